//! Replicas and loads with versions, so that changes can be sent without the unchanged entries.

use std::collections::{BTreeMap, VecDeque};

use linnethitch_protocol::{
    attach::ReplicaLoad,
    fleet::{BackEndKind, LoadReport, MachineState, ReplicaInfo},
    ids::ReplicaId,
    query::ReplicaStatus,
};

use crate::load_selector::KnownLoad;

/// Maximum number of recorded removals; a receiver that missed an older removal gets the full
/// fleet.
const MAX_REMOVALS: usize = 1_024;

/// Increases with every change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct FleetVersion(pub(crate) u64);

#[derive(Clone, Debug)]
struct Versioned<T> {
    value: T,
    version: FleetVersion,
}

/// Replicas and their loads.
#[derive(Debug, Default)]
pub(crate) struct VersionedFleet {
    version: FleetVersion,
    replicas: BTreeMap<ReplicaId, Versioned<ReplicaInfo>>,
    loads: BTreeMap<ReplicaId, Versioned<LoadReport>>,
    removals: VecDeque<(FleetVersion, ReplicaId)>,
    /// Removals up to this version are no longer recorded.
    discarded: FleetVersion,
}

/// What has changed between two versions.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct FleetDelta {
    /// Whether `changed` is the complete list.
    pub(crate) full: bool,
    pub(crate) changed: Vec<ReplicaInfo>,
    pub(crate) removed: Vec<ReplicaId>,
    pub(crate) loads: Vec<ReplicaLoad>,
    /// The version to which the delta applies.
    pub(crate) base: FleetVersion,
    /// The version after the delta.
    pub(crate) version: FleetVersion,
}

impl VersionedFleet {
    /// The current version.
    pub(crate) fn version(&self) -> FleetVersion {
        self.version
    }

    /// All replicas in the order of their names.
    pub(crate) fn replicas(&self) -> impl Iterator<Item = &ReplicaInfo> {
        self.replicas.values().map(|entry| &entry.value)
    }

    /// The newest known load of a replica.
    pub(crate) fn load(&self, replica: &ReplicaId) -> Option<LoadReport> {
        self.loads.get(replica).map(|entry| entry.value)
    }

    /// All known loads.
    pub(crate) fn known_loads(&self) -> impl Iterator<Item = KnownLoad<'_>> {
        self.loads.iter().filter_map(|(replica, entry)| {
            Some(KnownLoad {
                replica,
                zone: &self.replicas.get(replica)?.value.machine.zone,
                load: entry.value,
            })
        })
    }

    /// Whether a list of replicas, possibly an empty one, was ever set.
    pub(crate) fn is_known(&self) -> bool {
        self.version > FleetVersion(0)
    }

    /// Adds or changes a replica.
    pub(crate) fn put(&mut self, info: ReplicaInfo) {
        let id = info.machine.replica.clone();
        if self
            .replicas
            .get(&id)
            .is_some_and(|known| known.value == info)
        {
            return;
        }
        let version = self.next_version();
        let value = Versioned {
            value: info,
            version,
        };
        self.replicas.insert(id, value);
    }

    /// Removes a replica and its load.
    pub(crate) fn remove(&mut self, replica: &ReplicaId) {
        self.loads.remove(replica);
        if self.replicas.remove(replica).is_none() {
            return;
        }
        let version = self.next_version();
        self.removals.push_back((version, replica.clone()));
        if self.removals.len() > MAX_REMOVALS
            && let Some((version, _)) = self.removals.pop_front()
        {
            self.discarded = version;
        }
    }

    /// Replaces the list of replicas.
    pub(crate) fn replace(&mut self, all: Vec<ReplicaInfo>) {
        let removed: Vec<ReplicaId> = {
            let remaining = all.iter().map(|info| &info.machine.replica);
            let remaining: std::collections::BTreeSet<&ReplicaId> = remaining.collect();
            let known = self.replicas.keys();
            known
                .filter(|id| !remaining.contains(id))
                .cloned()
                .collect()
        };
        for replica in &removed {
            self.remove(replica);
        }
        for info in all {
            self.put(info);
        }
        if !self.is_known() {
            self.next_version();
        }
    }

    /// Stores the load of a listed replica, unless a load that is as new is known.
    pub(crate) fn put_load(&mut self, replica: &ReplicaId, load: LoadReport) {
        let known = self.loads.get(replica);
        let is_newer = known.is_none_or(|known| known.value.measured_at < load.measured_at);
        if !is_newer || !self.replicas.contains_key(replica) {
            return;
        }
        let version = self.next_version();
        let value = Versioned {
            value: load,
            version,
        };
        self.loads.insert(replica.clone(), value);
    }

    /// All replicas and loads.
    pub(crate) fn full(&self) -> FleetDelta {
        FleetDelta {
            full: true,
            changed: self.replicas().cloned().collect(),
            removed: Vec::new(),
            loads: self.loads_since(FleetVersion(0)),
            base: FleetVersion(0),
            version: self.version,
        }
    }

    /// Changes since a version; all replicas and loads if removals since then are no longer
    /// recorded, or if the version is newer than the current one.
    pub(crate) fn since(&self, base: FleetVersion) -> FleetDelta {
        if base < self.discarded || base > self.version {
            return self.full();
        }
        let changed = self.replicas.values().filter(|entry| entry.version > base);
        let removed = self
            .removals
            .iter()
            .filter(|(version, id)| *version > base && !self.replicas.contains_key(id));
        FleetDelta {
            full: false,
            changed: changed.map(|entry| entry.value.clone()).collect(),
            removed: removed.map(|(_, id)| id.clone()).collect(),
            loads: self.loads_since(base),
            base,
            version: self.version,
        }
    }

    fn loads_since(&self, base: FleetVersion) -> Vec<ReplicaLoad> {
        let changed = self.loads.iter().filter(|(_, entry)| entry.version > base);
        let load = |(replica, entry): (&ReplicaId, &Versioned<LoadReport>)| ReplicaLoad {
            replica: replica.clone(),
            load: entry.value,
        };
        changed.map(load).collect()
    }

    fn next_version(&mut self) -> FleetVersion {
        self.version.0 += 1;
        self.version
    }
}

/// The entry of a replica in the answer to a status query.
pub(super) fn replica_status(info: &ReplicaInfo) -> ReplicaStatus {
    let serves = match (&info.machine.kind, &info.engine.model) {
        (BackEndKind::Application(service), _) => service.0.clone(),
        (BackEndKind::Engine, Some(model)) => format!("{model} {}", info.engine.version),
        (BackEndKind::Engine, None) => "nothing".to_owned(),
    };
    let state = match info.machine.state {
        MachineState::Live if !info.engine.leaving => "live",
        MachineState::Live | MachineState::Leaving => "leaving",
    };
    ReplicaStatus {
        replica: info.machine.replica.clone(),
        zone: info.machine.zone.0.clone(),
        serves,
        state: state.to_owned(),
    }
}
