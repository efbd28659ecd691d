//! Which of several machines or replicas a key belongs to, alike for everyone
//! who knows the same ones, and changing little when one comes or goes.

use std::collections::HashMap;

use linnethitch_protocol::{hash::fnv1a, ids::MachineId};

/// The gateway that coordinates the slots of a replica; `None` without gateways.
#[must_use]
pub fn coordinator_of(replica: &str, gateways: &[MachineId]) -> Option<MachineId> {
    let gateways = gateways.iter().copied();
    gateways.max_by_key(|gateway| (spread(u64::from(gateway.0), replica), *gateway))
}

/// With fewer gateways than this in a replica's zone, its region's coordinate it: one alone
/// would bear what is meant for many.
const FEWEST_IN_ZONE: usize = 2;

/// Gateways that coordinate slots, by where they are.
#[derive(Clone, Debug, Default)]
pub struct NearGateways {
    all: Vec<MachineId>,
    by_zone: HashMap<String, Vec<MachineId>>,
    by_region: HashMap<String, Vec<MachineId>>,
}

impl NearGateways {
    /// Notes a gateway.
    pub fn add(&mut self, gateway: MachineId, zone: &str, region: &str) {
        self.all.push(gateway);
        let by_zone = self.by_zone.entry(zone.to_owned());
        by_zone.or_default().push(gateway);
        let by_region = self.by_region.entry(region.to_owned());
        by_region.or_default().push(gateway);
    }

    /// The gateway that coordinates the slots of a replica: one of its zone, else of its
    /// region, else any. A replica whose zone is cut off has its coordinator there.
    #[must_use]
    pub fn coordinator_of(
        &self,
        replica: &str,
        zone: &str,
        region: Option<&str>,
    ) -> Option<MachineId> {
        coordinator_of(replica, self.near(zone, region).0)
    }

    /// The gateways that may coordinate replicas of a zone.
    pub(super) fn near(&self, zone: &str, region: Option<&str>) -> CoordinatorCandidates<'_> {
        let in_zone = self.by_zone.get(zone);
        let in_region = region.and_then(|region| self.by_region.get(region));
        let near = in_zone.filter(|list| list.len() >= FEWEST_IN_ZONE);
        CoordinatorCandidates(near.or(in_region).unwrap_or(&self.all))
    }
}

/// Gateways that may coordinate a replica.
#[derive(Clone, Copy, Debug)]
pub(super) struct CoordinatorCandidates<'a>(&'a [MachineId]);

impl CoordinatorCandidates<'_> {
    pub(super) fn contains(self, gateway: &MachineId) -> bool {
        self.0.contains(gateway)
    }

    /// Whether one of them coordinates a replica: [`coordinator_of`] names it. Of many it is
    /// outdone by one of the first, so that this costs little.
    pub(super) fn wins(self, gateway: MachineId, replica: &str) -> bool {
        let weight = |gateway: MachineId| spread(u64::from(gateway.0), replica);
        let own = (weight(gateway), gateway);
        self.0.iter().all(|other| (weight(*other), *other) <= own)
    }
}

/// A hash of a number and a name, spread over all numbers (FNV-1a, then a mix).
pub(crate) fn spread(number: u64, name: &str) -> u64 {
    let bytes = number.to_le_bytes().into_iter().chain(name.bytes());
    let hash = fnv1a(bytes);
    let mixed = (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed ^ (mixed >> 29)
}
