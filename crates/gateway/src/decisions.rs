//! Chooses replicas.

use std::{collections::HashMap, sync::Arc};

use linnethitch_protocol::{
    fleet::{BackEndKind, LoadReport, MachineState, ReplicaInfo},
    ids::{ReplicaId, ZoneId},
};
use parking_lot::Mutex;

/// What a request needs of a replica.
#[derive(Clone, Debug)]
pub(crate) struct Needs {
    pub(crate) model: String,
    pub(crate) adapter: Option<String>,
}

/// A chosen replica; dropping it gives its place back.
pub(crate) struct Chosen {
    pub(crate) replica: ReplicaId,
    pub(crate) address: String,
    decisions: Arc<Decisions>,
}

impl Drop for Chosen {
    fn drop(&mut self) {
        if let Some(entry) = self.decisions.table.lock().get_mut(&self.replica) {
            entry.in_flight = entry.in_flight.saturating_sub(1);
        }
    }
}

#[derive(Debug)]
struct Entry {
    info: ReplicaInfo,
    in_flight: u32,
    leaving: bool,
}

/// The replicas as this gateway sees them.
#[derive(Debug)]
pub(crate) struct Decisions {
    zone: ZoneId,
    table: Mutex<HashMap<ReplicaId, Entry>>,
}

impl Decisions {
    pub(crate) fn new(zone: ZoneId) -> Self {
        Decisions {
            zone,
            table: Mutex::default(),
        }
    }

    /// Puts a whole list in place of what was known.
    pub(crate) fn replace_replicas(&self, replicas: Vec<ReplicaInfo>) {
        let mut table = self.table.lock();
        let mut old = std::mem::take(&mut *table);
        for info in replicas {
            let id = info.machine.replica.clone();
            let known = old.remove(&id);
            let entry = Entry {
                info,
                in_flight: known.as_ref().map_or(0, |entry| entry.in_flight),
                leaving: false,
            };
            table.insert(id, entry);
        }
    }

    /// The engine with the least of this gateway's work, the own zone first.
    pub(crate) fn choose(
        self: &Arc<Self>,
        needs: &Needs,
        excluded: &[ReplicaId],
    ) -> Option<Chosen> {
        let mut table = self.table.lock();
        let (id, entry) = table
            .iter_mut()
            .filter(|(id, entry)| !excluded.contains(id) && entry.serves(needs))
            .min_by_key(|(_, entry)| (entry.info.machine.zone != self.zone, entry.in_flight))?;
        entry.in_flight += 1;
        Some(Chosen {
            replica: id.clone(),
            address: entry.info.machine.address.clone(),
            decisions: Arc::clone(self),
        })
    }

    pub(crate) fn on_load(&self, _replica: &ReplicaId, _load: LoadReport) {}

    pub(crate) fn on_leaving(&self, replica: &ReplicaId) {
        if let Some(entry) = self.table.lock().get_mut(replica) {
            entry.leaving = true;
        }
    }
}

impl Entry {
    fn serves(&self, needs: &Needs) -> bool {
        let machine = &self.info.machine;
        machine.kind == BackEndKind::Engine
            && machine.state == MachineState::Live
            && !self.leaving
            && self
                .info
                .engine
                .model
                .as_ref()
                .is_some_and(|model| model.0 == needs.model)
            && needs
                .adapter
                .as_ref()
                .is_none_or(|adapter| self.info.engine.adapters.contains(adapter))
    }
}
