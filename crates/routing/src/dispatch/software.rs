//! The software that a request may be served by. What replicas of two software versions generate
//! must not be joined, so that a stream goes on at the version that began it.

use linnethitch_protocol::software::SoftwareFingerprint;

use super::replica::ReplicaTraits;

/// The software that a request may be served by.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum SoftwareNeed {
    /// Any: the requester has no part of the answer yet.
    #[default]
    Any,
    /// This version of its service.
    Version(String),
    /// The version of its service with this fingerprint.
    Fingerprint(SoftwareFingerprint),
    /// The incarnation of a replica with this key, whose version is unknown.
    Incarnation(String),
}

impl SoftwareNeed {
    /// What may go on with the work of a replica: replicas of its version, or itself only if its
    /// version is unknown.
    #[must_use]
    pub fn same_as(replica: &str, software: Option<&str>) -> Self {
        match software {
            Some(version) => SoftwareNeed::Version(version.to_owned()),
            None => SoftwareNeed::Incarnation(replica.to_owned()),
        }
    }

    /// Whether a replica of the request's service has the software.
    #[must_use]
    pub fn allows(&self, traits: &ReplicaTraits) -> bool {
        match self {
            SoftwareNeed::Any => true,
            SoftwareNeed::Version(version) => traits.software.as_ref() == Some(version),
            SoftwareNeed::Fingerprint(fingerprint) => {
                let version = traits.software.as_deref();
                version.is_some_and(|version| {
                    fingerprint.is_same(SoftwareFingerprint::of(&traits.service, version))
                })
            }
            SoftwareNeed::Incarnation(key) => traits.id == *key,
        }
    }
}
