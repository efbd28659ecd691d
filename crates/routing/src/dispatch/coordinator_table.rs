//! Which gateway coordinates the slots of which replica, as one gateway works it out.
//!
//! A gateway has to know which replicas it coordinates itself, and who coordinates those that
//! it asks for. The first is kept up to date: a replica that comes or goes costs one look at
//! it, another list of gateways one at each replica of the zones in which this gateway may
//! coordinate. The second is found when it is asked for.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

use linnethitch_protocol::ids::MachineId;

use super::rendezvous::NearGateways;

type Key = Arc<str>;

/// Where a replica is.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ReplicaPlace {
    zone: String,
    region: Option<String>,
}

/// Coordinators of replicas, as seen by one gateway.
#[derive(Clone, Debug)]
pub struct CoordinatorTable {
    own: MachineId,
    gateways: NearGateways,
    replicas: HashMap<Key, ReplicaPlace>,
    by_zone: BTreeMap<String, BTreeSet<Key>>,
    coordinated: BTreeSet<Key>,
}

impl CoordinatorTable {
    /// The table of a gateway that knows no other ones yet.
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

    /// Takes another list of gateways.
    pub fn set_gateways(&mut self, gateways: NearGateways) {
        self.gateways = gateways;
        self.coordinated.clear();
        for keys in self.by_zone.values() {
            // Of one zone all have the same candidates.
            let Some(place) = keys.first().and_then(|key| self.replicas.get(key)) else {
                continue;
            };
            let candidates = self.gateways.near(&place.zone, place.region.as_deref());
            if candidates.contains(&self.own) {
                let own = keys.iter().filter(|key| candidates.wins(self.own, key));
                self.coordinated.extend(own.cloned());
            }
        }
    }

    /// Notes a replica, or where it is by now.
    pub fn put(&mut self, replica: &str, zone: &str, region: Option<&str>) {
        let place = ReplicaPlace {
            zone: zone.to_owned(),
            region: region.map(str::to_owned),
        };
        if self.replicas.get(replica) == Some(&place) {
            return;
        }
        self.remove(replica);
        let key = Key::from(replica);
        let candidates = self.gateways.near(zone, region);
        if candidates.contains(&self.own) && candidates.wins(self.own, replica) {
            self.coordinated.insert(Arc::clone(&key));
        }
        let of_zone = self.by_zone.entry(zone.to_owned()).or_default();
        of_zone.insert(Arc::clone(&key));
        self.replicas.insert(key, place);
    }

    /// Forgets a replica.
    pub fn remove(&mut self, replica: &str) {
        let Some((key, place)) = self.replicas.remove_entry(replica) else {
            return;
        };
        self.coordinated.remove(&key);
        if let Some(of_zone) = self.by_zone.get_mut(&place.zone) {
            of_zone.remove(&key);
            if of_zone.is_empty() {
                self.by_zone.remove(&place.zone);
            }
        }
    }

    /// The gateway that coordinates a replica; `None` where it is not known or there is none.
    #[must_use]
    pub fn coordinator_of(&self, replica: &str) -> Option<MachineId> {
        let place = self.replicas.get(replica)?;
        let region = place.region.as_deref();
        self.gateways.coordinator_of(replica, &place.zone, region)
    }

    /// Replicas that this gateway coordinates, in order.
    pub fn coordinated(&self) -> impl Iterator<Item = &str> {
        self.coordinated.iter().map(Arc::as_ref)
    }
}
