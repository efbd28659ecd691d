//! Which gateways may send to a cold replica, and how much.

use linnethitch_protocol::ids::MachineId;

use crate::dispatch::rendezvous_hash;

/// Gateways whose lists differ may take one another's places. The bound is given out once
/// for each of so many lists that share no gateway.
const LISTS_AT_ONCE: u32 = 2;

/// How the bound of a cold replica is divided among gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// Gateways that have a part.
    pub holders: u32,
    /// Requests of each in any second.
    pub sends: u32,
}

impl Share {
    /// Divides what a replica may get in a second among so many gateways. A bound of one
    /// request cannot be halved; one of none is given to nobody.
    #[must_use]
    pub fn of(max_per_second: u32, gateways: usize) -> Self {
        let divided = max_per_second / LISTS_AT_ONCE;
        let part = divided.max(max_per_second.min(1));
        let holders = part.min(gateways.min(u32::MAX as usize) as u32);
        let sends = part.checked_div(holders).unwrap_or(0);
        Share { holders, sends }
    }
}

/// Whether a gateway is among the first so many of a list for a replica (rendezvous
/// hashing).
#[must_use]
pub fn is_holder(own: MachineId, replica: &str, gateways: &[MachineId], holders: u32) -> bool {
    let weight = |gateway: MachineId| (rendezvous_hash(u64::from(gateway.0), replica), gateway);
    let own_weight = weight(own);
    let before = gateways.iter().copied();
    let before = before.filter(|gateway| weight(*gateway) > own_weight);
    before.count() < holders as usize
}
