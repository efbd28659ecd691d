//! Which gateway coordinates the slots of which replica, from the view of one gateway.
//!
//! A gateway has to know which replicas it coordinates itself, and which gateways coordinate the
//! replicas that it requests slots of. The first is kept up to date: one check for a replica that
//! is added or removed, and with a new list of gateways one check for each replica of the zones in
//! which this gateway may coordinate. The second is computed on request.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

use linnethitch_protocol::ids::MachineId;

use super::rendezvous::NearGateways;

type Key = Arc<str>;

/// The location of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ReplicaLocation {
    zone: String,
    region: Option<String>,
}

/// Coordinators of replicas, as seen by one gateway.
#[derive(Clone, Debug)]
pub struct CoordinatorTable {
    own: MachineId,
    gateways: NearGateways,
    replicas: HashMap<Key, ReplicaLocation>,
    by_zone: BTreeMap<String, BTreeSet<Key>>,
    coordinated: BTreeSet<Key>,
}

impl CoordinatorTable {
    /// The table of a gateway that knows no other gateways yet.
    #[must_use]
    pub fn new(own: MachineId) -> Self {
        CoordinatorTable {
            own,
            gateways: NearGateways::default(),
            replicas: HashMap::new(),
            by_zone: BTreeMap::new(),
            coordinated: BTreeSet::new(),
        }
    }

    /// Replaces the list of gateways.
    pub fn set_gateways(&mut self, gateways: NearGateways) {
        self.gateways = gateways;
        self.coordinated.clear();
        for keys in self.by_zone.values() {
            // All replicas of a zone have the same candidates.
            let Some(location) = keys.first().and_then(|key| self.replicas.get(key)) else {
                continue;
            };
            let candidates = self
                .gateways
                .coordinator_candidates(&location.zone, location.region.as_deref());
            if candidates.contains(&self.own) {
                let own = keys
                    .iter()
                    .filter(|key| candidates.is_coordinator(self.own, key));
                self.coordinated.extend(own.cloned());
            }
        }
    }

    /// Adds a replica or updates its location.
    pub fn put(&mut self, replica: &str, zone: &str, region: Option<&str>) {
        let location = ReplicaLocation {
            zone: zone.to_owned(),
            region: region.map(str::to_owned),
        };
        if self.replicas.get(replica) == Some(&location) {
            return;
        }
        self.remove(replica);
        let key = Key::from(replica);
        let candidates = self.gateways.coordinator_candidates(zone, region);
        if candidates.contains(&self.own) && candidates.is_coordinator(self.own, replica) {
            self.coordinated.insert(Arc::clone(&key));
        }
        let in_zone = self.by_zone.entry(zone.to_owned()).or_default();
        in_zone.insert(Arc::clone(&key));
        self.replicas.insert(key, location);
    }

    /// Removes a replica.
    pub fn remove(&mut self, replica: &str) {
        let Some((key, location)) = self.replicas.remove_entry(replica) else {
            return;
        };
        self.coordinated.remove(&key);
        if let Some(in_zone) = self.by_zone.get_mut(&location.zone) {
            in_zone.remove(&key);
            if in_zone.is_empty() {
                self.by_zone.remove(&location.zone);
            }
        }
    }

    /// The gateway that coordinates a replica; `None` if the replica is unknown or there is no
    /// gateway.
    #[must_use]
    pub fn coordinator_of(&self, replica: &str) -> Option<MachineId> {
        let location = self.replicas.get(replica)?;
        let region = location.region.as_deref();
        self.gateways
            .coordinator_of(replica, &location.zone, region)
    }

    /// Replicas that this gateway coordinates, in order.
    pub fn coordinated(&self) -> impl Iterator<Item = &str> {
        self.coordinated.iter().map(Arc::as_ref)
    }
}
