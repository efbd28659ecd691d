//! Fingerprints of software versions, for places that cannot store a version's name.

use crate::hash::fnv1a;

/// Identifies a software version of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct SoftwareFingerprint(u32);

/// Separates the names of service and version, which do not contain it.
const SEPARATOR: u8 = 0;

impl SoftwareFingerprint {
    /// The version is unknown. It never counts as equal to another version, not even to itself.
    pub const UNKNOWN: SoftwareFingerprint = SoftwareFingerprint(0);

    /// The fingerprint of a version of a service.
    #[must_use]
    pub fn of(service: &str, version: &str) -> Self {
        let bytes = service.bytes().chain([SEPARATOR]).chain(version.bytes());
        let hash = fnv1a(bytes);
        SoftwareFingerprint(((hash ^ (hash >> 32)) as u32).max(1))
    }

    /// The fingerprint with a number, as [`Self::number`] returned it.
    #[must_use]
    pub fn from_number(number: u32) -> Self {
        SoftwareFingerprint(number)
    }

    /// The number of the fingerprint.
    #[must_use]
    pub fn number(self) -> u32 {
        self.0
    }

    /// Whether both are the same known version.
    #[must_use]
    pub fn is_same(self, other: Self) -> bool {
        self != Self::UNKNOWN && self == other
    }
}
