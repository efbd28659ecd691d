//! Which of several machines or replicas a key belongs to, alike for everyone
//! who knows the same ones, and changing little when one comes or goes.

use linnethitch_protocol::{hash::fnv1a, ids::MachineId};

/// The gateway that coordinates the slots of a replica; `None` without gateways.
#[must_use]
pub fn coordinator_of(replica: &str, gateways: &[MachineId]) -> Option<MachineId> {
    let gateways = gateways.iter().copied();
    gateways.max_by_key(|gateway| spread(u64::from(gateway.0), replica))
}

/// A hash of a number and a name, spread over all numbers (FNV-1a, then a mix).
pub(crate) fn spread(number: u64, name: &str) -> u64 {
    let bytes = number.to_le_bytes().into_iter().chain(name.bytes());
    let hash = fnv1a(bytes);
    let mixed = (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed ^ (mixed >> 29)
}
