//! Rendezvous hashing: which of several machines or replicas a key belongs to. All that know the
//! same ones get the same result, and few keys move when one is added or removed.

use std::collections::HashMap;

use linnethitch_protocol::{hash::fnv1a, ids::MachineId};

/// The gateway that coordinates the slots of a replica; `None` without gateways.
#[must_use]
pub fn coordinator_of(replica: &str, gateways: &[MachineId]) -> Option<MachineId> {
    let gateways = gateways.iter().copied();
    gateways.max_by_key(|gateway| (rendezvous_hash(u64::from(gateway.0), replica), *gateway))
}

/// With fewer gateways than this in a replica's zone, the gateways of its region coordinate it: a
/// single gateway would get the load intended for many.
const MIN_GATEWAYS_IN_ZONE: usize = 2;

/// Gateways that coordinate slots, by location.
#[derive(Clone, Debug, Default)]
pub struct NearGateways {
    all: Vec<MachineId>,
    by_zone: HashMap<String, Vec<MachineId>>,
    by_region: HashMap<String, Vec<MachineId>>,
}

impl NearGateways {
    /// Adds a gateway.
    pub fn add(&mut self, gateway: MachineId, zone: &str, region: &str) {
        self.all.push(gateway);
        let by_zone = self.by_zone.entry(zone.to_owned());
        by_zone.or_default().push(gateway);
        let by_region = self.by_region.entry(region.to_owned());
        by_region.or_default().push(gateway);
    }

    /// The gateway that coordinates the slots of a replica: one of its zone, otherwise of its
    /// region, otherwise any. A replica whose zone is isolated has its coordinator in that zone.
    #[must_use]
    pub fn coordinator_of(
        &self,
        replica: &str,
        zone: &str,
        region: Option<&str>,
    ) -> Option<MachineId> {
        coordinator_of(replica, self.coordinator_candidates(zone, region).0)
    }

    /// The gateways that may coordinate replicas of a zone.
    pub(super) fn coordinator_candidates(
        &self,
        zone: &str,
        region: Option<&str>,
    ) -> CoordinatorCandidates<'_> {
        let in_zone = self.by_zone.get(zone);
        let in_region = region.and_then(|region| self.by_region.get(region));
        let near = in_zone.filter(|list| list.len() >= MIN_GATEWAYS_IN_ZONE);
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

    /// Whether `gateway` coordinates a replica, as [`coordinator_of`] would return. If it does not,
    /// one of the first candidates usually has a higher weight, so this check is cheap.
    pub(super) fn is_coordinator(self, gateway: MachineId, replica: &str) -> bool {
        let weight = |gateway: MachineId| rendezvous_hash(u64::from(gateway.0), replica);
        let own = (weight(gateway), gateway);
        self.0.iter().all(|other| (weight(*other), *other) <= own)
    }
}

/// A hash of a number and a name, spread over all numbers (FNV-1a, then a mix).
pub(crate) fn rendezvous_hash(number: u64, name: &str) -> u64 {
    let bytes = number.to_le_bytes().into_iter().chain(name.bytes());
    let hash = fnv1a(bytes);
    let mixed = (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed ^ (mixed >> 29)
}
