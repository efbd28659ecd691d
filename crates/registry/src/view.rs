//! What a node without a disk keeps of the registry.

use std::{cmp::Ordering, collections::BTreeSet, sync::Arc};

use linnethitch_protocol::ids::LogIndex;
use linnethitch_tenants::{TenantDirectory, TenantsUpdate};

use crate::{
    evacuations::Evacuations,
    incarnation_key::parse_incarnation_key,
    registry::StoreMembers,
    replica::{ReplicaRecord, ReplicaState},
    replica_records::{ReplicaDifference, ReplicaRecords},
    routes::RouteTable,
    service_zones::ServiceZones,
    suspicion::Suspicions,
    table_update::TableUpdate,
    update::FleetUpdate,
};

/// The newest of everything that any control member told. It never steps back. A clone shares
/// what it holds, and costs the same however many replicas there are.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    table: Option<Arc<RouteTable>>,
    tenants: Arc<TenantDirectory>,
    replicas: ReplicaRecords,
    zones: ServiceZones,
    /// Ends up to this entry are forgotten: nothing that is older brings a replica here.
    forgotten: LogIndex,
    store: StoreMembers,
    store_at: LogIndex,
    suspicions: Suspicions,
    evacuations: Evacuations,
    up_to_index: LogIndex,
    /// Something that was told could not be taken without what it builds on.
    needs_full_update: bool,
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
        self.replicas.live()
    }

    /// Number of replicas that are not gone.
    #[must_use]
    pub fn live_count(&self) -> usize {
        self.replicas.live_count()
    }

    /// What differs in the replicas between an earlier view and this one. It costs what
    /// differs.
    pub fn differences<'a>(
        &'a self,
        before: &'a FleetView,
    ) -> impl Iterator<Item = ReplicaDifference<'a>> {
        self.replicas.since(&before.replicas)
    }

    /// Zones of the replicas of a service that were ever heard of, also where they are
    /// forgotten.
    pub fn service_zones(&self, service: &str) -> impl Iterator<Item = &str> {
        self.zones.of(service)
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
    pub fn state_of_incarnation(&self, key: &str) -> Option<ReplicaState> {
        let (id, incarnation) = parse_incarnation_key(key);
        let told = &self.replicas.get(id)?.reported;
        match told.incarnation.cmp(&incarnation) {
            Ordering::Less => None,
            Ordering::Equal => Some(told.state),
            Ordering::Greater => Some(ReplicaState::Ended),
        }
    }

    /// The zone of a replica by the key of any start of it; `None` before it was heard of.
    #[must_use]
    pub fn zone_of_incarnation(&self, key: &str) -> Option<&str> {
        let (id, _) = parse_incarnation_key(key);
        let record = self.replicas.get(id);
        record.map(|record| record.reported.zone.as_str())
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
    pub fn up_to_index(&self) -> LogIndex {
        self.up_to_index
    }

    /// Whether what was told last builds on something that is not known here: control has
    /// to tell everything once more.
    #[must_use]
    pub fn needs_full_update(&self) -> bool {
        self.needs_full_update
    }

    /// Takes an update; true when it brought anything new.
    pub fn apply(&mut self, update: FleetUpdate) -> bool {
        let knows_base = update.since <= self.up_to_index;
        let mut changed = false;
        self.needs_full_update = !knows_base;
        if knows_base {
            changed |= self.take_configuration(update.table, update.tenants);
        }
        changed |= self.take_replicas(
            update.replicas,
            update.replicas_complete,
            update.up_to_index,
        );
        self.forget(update.forgotten);
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
        if self.needs_full_update {
            self.up_to_index = if knows_base {
                LogIndex(0)
            } else {
                self.up_to_index
            };
        } else {
            self.up_to_index = self.up_to_index.max(update.up_to_index);
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
            self.needs_full_update = true;
            return false;
        };
        self.table = Some(Arc::new(table));
        if let Some(tenants) = tenants {
            Arc::make_mut(&mut self.tenants).apply(tenants);
        }
        true
    }

    /// Takes records that tell the replicas as of an entry: all of them where `is_complete`.
    fn take_replicas(
        &mut self,
        told: Vec<ReplicaRecord>,
        is_complete: bool,
        up_to_index: LogIndex,
    ) -> bool {
        let mut changed = false;
        if is_complete {
            changed |= self.drop_unnamed(&told, up_to_index);
        }
        for record in told {
            changed |= self.take_replica(record, up_to_index);
        }
        changed
    }

    /// Drops replicas that did not change since an entry and that are not among all those
    /// that there were then.
    fn drop_unnamed(&mut self, all: &[ReplicaRecord], up_to_index: LogIndex) -> bool {
        let named: BTreeSet<&str> = all.iter().map(|r| r.reported.id.as_str()).collect();
        let held = self.replicas.all();
        let unnamed = held
            .filter(|record| record.changed_at <= up_to_index)
            .filter(|record| !named.contains(record.reported.id.as_str()));
        let unnamed: Vec<String> = unnamed.map(|record| record.reported.id.clone()).collect();
        for id in &unnamed {
            self.replicas.remove(id);
        }
        !unnamed.is_empty()
    }

    fn take_replica(&mut self, record: ReplicaRecord, up_to_index: LogIndex) -> bool {
        match self.replicas.get(&record.reported.id) {
            Some(held) if held.changed_at >= record.changed_at => return false,
            // It may be one whose end is forgotten here.
            None if up_to_index < self.forgotten => return false,
            _ => {}
        }
        self.zones
            .note(&record.reported.service, &record.reported.zone);
        if let Some(before) = self.replicas.put(record) {
            // It is elsewhere now. One that is gone keeps its service's zone.
            self.zones
                .leave(&before.reported.service, &before.reported.zone);
        }
        true
    }

    /// Forgets replicas that were gone since an entry or an earlier one.
    fn forget(&mut self, up_to_index: LogIndex) {
        self.forgotten = self.forgotten.max(up_to_index);
        while let Some((at, id)) = self.replicas.first_gone()
            && at <= self.forgotten
        {
            let id = id.to_owned();
            self.replicas.remove(&id);
        }
    }
}
