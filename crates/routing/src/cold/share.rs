//! Which gateways may send to a cold replica, and how many requests.

use linnethitch_protocol::ids::MachineId;

use crate::dispatch::rendezvous_hash;

/// Gateways with different lists may each take a place among the holders. The bound is divided so
/// that this many lists without a common gateway can be in use at once.
const CONCURRENT_LISTS: u32 = 2;

/// How the bound of a cold replica is divided among gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// Gateways that have a share.
    pub holders: u32,
    /// Requests of each holder in any second.
    pub sends: u32,
}

impl Share {
    /// Divides the maximum number of requests per second among the gateways. A bound of one request
    /// cannot be halved; a bound of zero gives no gateway a share.
    #[must_use]
    pub fn of(max_per_second: u32, gateways: usize) -> Self {
        let per_list = max_per_second / CONCURRENT_LISTS;
        let shares = per_list.max(max_per_second.min(1));
        let holders = shares.min(gateways.min(u32::MAX as usize) as u32);
        let sends = shares.checked_div(holders).unwrap_or(0);
        Share { holders, sends }
    }
}

/// Whether a gateway is among the first `holders` of a list for a replica (rendezvous hashing).
#[must_use]
pub fn is_holder(own: MachineId, replica: &str, gateways: &[MachineId], holders: u32) -> bool {
    let weight = |gateway: MachineId| (rendezvous_hash(u64::from(gateway.0), replica), gateway);
    let own_weight = weight(own);
    let ahead = gateways.iter().copied();
    let ahead = ahead.filter(|gateway| weight(*gateway) > own_weight);
    ahead.count() < holders as usize
}
