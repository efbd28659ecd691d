//! What a node without a disk keeps of the registry.

use std::{cmp::Ordering, collections::BTreeMap, sync::Arc};

use linnethitch_protocol::ids::LogIndex;
use linnethitch_tenants::{TenantDirectory, TenantsUpdate};

use crate::{
    evacuations::Evacuations,
    registry::StoreMembers,
    replica::{ReplicaRecord, ReplicaState},
    routes::RouteTable,
    start::parse_start_key,
    suspicion::Suspicions,
    table_update::TableUpdate,
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
    /// Something that was told could not be taken without what it builds on.
    needs_whole: bool,
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

    /// Zones of the replicas of a service that were ever heard of, as far as they are kept.
    pub fn service_zones(&self, service: &str) -> impl Iterator<Item = &str> {
        let replicas = self.replicas.values();
        let replicas = replicas.filter(move |record| record.told.service == service);
        replicas.map(|record| record.told.zone.as_str())
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

    /// The zone of a replica by the key of any start of it; `None` before it was heard of.
    #[must_use]
    pub fn zone_of_start(&self, key: &str) -> Option<&str> {
        let (id, _) = parse_start_key(key);
        self.replicas
            .get(id)
            .map(|record| record.told.zone.as_str())
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

    /// Whether what was told last builds on something that is not known here: control has
    /// to tell everything once more.
    #[must_use]
    pub fn needs_whole(&self) -> bool {
        self.needs_whole
    }

    /// Takes an update; true when it brought anything new.
    pub fn take(&mut self, update: FleetUpdate) -> bool {
        let knows_base = update.since <= self.upto;
        let mut changed = false;
        self.needs_whole = !knows_base;
        if knows_base {
            changed |= self.take_configuration(update.table, update.tenants);
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
        if self.needs_whole {
            self.upto = if knows_base { LogIndex(0) } else { self.upto };
        } else {
            self.upto = self.upto.max(update.upto);
        }
        changed
    }

    /// Takes table and tenants of a newer configuration, both or neither.
    fn take_configuration(
        &mut self,
        table: Option<TableUpdate>,
        tenants: Option<TenantsUpdate>,
    ) -> bool {
        let held = self.table.as_deref();
        let is_newer = |table: &TableUpdate| held.is_none_or(|held| held.version < table.version);
        let Some(table) = table.filter(is_newer) else {
            return false;
        };
        let Some(table) = table.apply(held) else {
            self.needs_whole = true;
            return false;
        };
        self.table = Some(Arc::new(table));
        if let Some(tenants) = tenants {
            Arc::make_mut(&mut self.tenants).take(tenants);
        }
        true
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
