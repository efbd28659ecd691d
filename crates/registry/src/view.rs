//! What a node without a disk keeps of the registry.

use std::{cmp::Ordering, collections::BTreeMap, sync::Arc};

use linnethitch_protocol::ids::LogIndex;
use linnethitch_tenants::TenantDirectory;

use crate::{
    evacuations::Evacuations,
    registry::StoreMembers,
    replica::{ReplicaRecord, ReplicaState},
    routes::RouteTable,
    start::parse_start_key,
    suspicion::Suspicions,
    update::FleetUpdate,
};

/// Gone replicas kept, so that an older update cannot bring them back.
const KEPT_GONE: usize = 4_096;

/// The newest of everything that any control member told. It never steps back.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    table: Option<Arc<RouteTable>>,
    tenants: Arc<TenantDirectory>,
    replicas: BTreeMap<String, ReplicaRecord>,
    store: StoreMembers,
    store_at: LogIndex,
    suspicions: Suspicions,
    evacuations: Evacuations,
    upto: LogIndex,
}

impl FleetView {
    /// The route table in force; `None` before the first was learned.
    #[must_use]
    pub fn table(&self) -> Option<&Arc<RouteTable>> {
        self.table.as_ref()
    }

    /// The tenants of the table in force.
    #[must_use]
    pub fn tenants(&self) -> &Arc<TenantDirectory> {
        &self.tenants
    }

    /// Replicas that are not gone.
    pub fn live_replicas(&self) -> impl Iterator<Item = &ReplicaRecord> {
        let replicas = self.replicas.values();
        replicas.filter(|record| record.told.state.is_live())
    }

    /// The newest start of a replica by its id, whatever its state; `None` before it was
    /// heard of.
    #[must_use]
    pub fn replica(&self, id: &str) -> Option<&ReplicaRecord> {
        self.replicas.get(id)
    }

    /// The state of a start by its key: gone where a later one is known, `None` before it
    /// was heard of.
    #[must_use]
    pub fn state_of_start(&self, key: &str) -> Option<ReplicaState> {
        let (id, born) = parse_start_key(key);
        let told = &self.replicas.get(id)?.told;
        match told.born.cmp(&born) {
            Ordering::Less => None,
            Ordering::Equal => Some(told.state),
            Ordering::Greater => Some(ReplicaState::Gone),
        }
    }

    /// The job store as control knows it.
    #[must_use]
    pub fn store(&self) -> &StoreMembers {
        &self.store
    }

    /// Requests under which replicas ended.
    #[must_use]
    pub fn suspicions(&self) -> &Suspicions {
        &self.suspicions
    }

    /// Zones to whose replicas nothing more is sent.
    #[must_use]
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// The newest change known here.
    #[must_use]
    pub fn upto(&self) -> LogIndex {
        self.upto
    }

    /// Takes an update; true when it brought anything new.
    pub fn take(&mut self, update: FleetUpdate) -> bool {
        let mut changed = false;
        if let Some(table) = update.table {
            let held = self.table.as_ref().map(|table| table.version);
            if held.is_none_or(|held| held < table.version) {
                self.table = Some(Arc::new(table));
                changed = true;
            }
        }
        if let Some(tenants) = update.tenants {
            Arc::make_mut(&mut self.tenants).take(tenants);
        }
        for record in update.replicas {
            changed |= self.take_replica(record);
        }
        if let Some(store) = update.store
            && update.store_at > self.store_at
        {
            self.store = store;
            self.store_at = update.store_at;
            changed = true;
        }
        for suspicion in update.suspicions {
            changed |= self.suspicions.take(suspicion);
        }
        for record in update.evacuations {
            changed |= self.evacuations.take(record);
        }
        self.upto = self.upto.max(update.upto);
        changed
    }

    fn take_replica(&mut self, record: ReplicaRecord) -> bool {
        let held = self.replicas.get(&record.told.id);
        if held.is_some_and(|held| held.changed_at >= record.changed_at) {
            return false;
        }
        self.replicas.insert(record.told.id.clone(), record);
        self.drop_oldest_gone();
        true
    }

    fn drop_oldest_gone(&mut self) {
        let gone = |record: &&ReplicaRecord| !record.told.state.is_live();
        if self.replicas.len() <= KEPT_GONE {
            return;
        }
        let oldest = self
            .replicas
            .values()
            .filter(gone)
            .min_by_key(|r| r.changed_at);
        if let Some(id) = oldest.map(|record| record.told.id.clone()) {
            self.replicas.remove(&id);
        }
    }
}
