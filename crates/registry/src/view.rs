//! The registry as seen by a node without a disk.

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

/// The newest state received from any control member. It never returns to an older state. A
/// clone shares its content and has the same cost for any number of replicas.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    table: Option<Arc<RouteTable>>,
    tenants: Arc<TenantDirectory>,
    replicas: ReplicaRecords,
    zones: ServiceZones,
    /// Records of replicas that ended up to this entry are deleted: an older update does not
    /// add an unknown replica.
    forgotten_up_to: LogIndex,
    store: StoreMembers,
    store_at: LogIndex,
    suspicions: Suspicions,
    evacuations: Evacuations,
    up_to_index: LogIndex,
    /// The last update could not be applied completely, because its base is missing here.
    needs_full_update: bool,
}

impl FleetView {
    /// The route table in force; `None` before the first one is received.
    #[must_use]
    pub fn table(&self) -> Option<&Arc<RouteTable>> {
        self.table.as_ref()
    }

    /// The tenants of the table in force.
    #[must_use]
    pub fn tenants(&self) -> &Arc<TenantDirectory> {
        &self.tenants
    }

    /// Replicas that take work or finish their work.
    pub fn live_replicas(&self) -> impl Iterator<Item = &ReplicaRecord> {
        self.replicas.live()
    }

    /// Number of live replicas.
    #[must_use]
    pub fn live_count(&self) -> usize {
        self.replicas.live_count()
    }

    /// The replicas that differ between an earlier view and this one. The cost is proportional
    /// to the number of differences.
    pub fn differences<'a>(
        &'a self,
        before: &'a FleetView,
    ) -> impl Iterator<Item = ReplicaDifference<'a>> {
        self.replicas.since(&before.replicas)
    }

    /// Zones of all known replicas of a service, including ended replicas whose record is
    /// deleted.
    pub fn service_zones(&self, service: &str) -> impl Iterator<Item = &str> {
        self.zones.of(service)
    }

    /// The newest incarnation of a replica by its id, in any state; `None` if the replica is
    /// unknown.
    #[must_use]
    pub fn replica(&self, id: &str) -> Option<&ReplicaRecord> {
        self.replicas.get(id)
    }

    /// The state of an incarnation by its key: ended if a later one is known, `None` if the
    /// incarnation is unknown.
    #[must_use]
    pub fn state_of_incarnation(&self, key: &str) -> Option<ReplicaState> {
        let (id, incarnation) = parse_incarnation_key(key);
        let reported = &self.replicas.get(id)?.reported;
        match reported.incarnation.cmp(&incarnation) {
            Ordering::Less => None,
            Ordering::Equal => Some(reported.state),
            Ordering::Greater => Some(ReplicaState::Ended),
        }
    }

    /// The zone of a replica by the key of any of its incarnations; `None` if the replica is
    /// unknown.
    #[must_use]
    pub fn zone_of_incarnation(&self, key: &str) -> Option<&str> {
        let (id, _) = parse_incarnation_key(key);
        let record = self.replicas.get(id);
        record.map(|record| record.reported.zone.as_str())
    }

    /// The members of the job store.
    #[must_use]
    pub fn store(&self) -> &StoreMembers {
        &self.store
    }

    /// Requests under which replicas ended.
    #[must_use]
    pub fn suspicions(&self) -> &Suspicions {
        &self.suspicions
    }

    /// Evacuated zones, whose replicas get no new work.
    #[must_use]
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// The newest log entry whose change is known here.
    #[must_use]
    pub fn up_to_index(&self) -> LogIndex {
        self.up_to_index
    }

    /// Whether the last update has a base that is not known here, so that control has to
    /// send the complete state again.
    #[must_use]
    pub fn needs_full_update(&self) -> bool {
        self.needs_full_update
    }

    /// Applies an update; true if it changed anything.
    pub fn apply(&mut self, update: FleetUpdate) -> bool {
        let knows_base = update.since <= self.up_to_index;
        let mut changed = false;
        self.needs_full_update = !knows_base;
        if knows_base {
            changed |= self.apply_configuration(update.table, update.tenants);
        }
        changed |= self.apply_replicas(
            update.replicas,
            update.replicas_complete,
            update.up_to_index,
        );
        self.forget(update.forgotten_up_to);
        if let Some(store) = update.store
            && update.store_at > self.store_at
        {
            self.store = store;
            self.store_at = update.store_at;
            changed = true;
        }
        for suspicion in update.suspicions {
            changed |= self.suspicions.apply(suspicion);
        }
        for record in update.evacuations {
            changed |= self.evacuations.apply(record);
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

    /// Applies table and tenants of a newer configuration, both or neither.
    fn apply_configuration(
        &mut self,
        table: Option<TableUpdate>,
        tenants: Option<TenantsUpdate>,
    ) -> bool {
        let current = self.table.as_deref();
        let is_newer =
            |table: &TableUpdate| current.is_none_or(|current| current.version < table.version);
        let Some(table) = table.filter(is_newer) else {
            return false;
        };
        let Some(table) = table.apply(current) else {
            self.needs_full_update = true;
            return false;
        };
        self.table = Some(Arc::new(table));
        if let Some(tenants) = tenants {
            Arc::make_mut(&mut self.tenants).apply(tenants);
        }
        true
    }

    /// Applies records of replicas as of an entry; they are all replicas if `is_complete`.
    fn apply_replicas(
        &mut self,
        reported: Vec<ReplicaRecord>,
        is_complete: bool,
        up_to_index: LogIndex,
    ) -> bool {
        let mut changed = false;
        if is_complete {
            changed |= self.remove_unlisted(&reported, up_to_index);
        }
        for record in reported {
            changed |= self.apply_replica(record, up_to_index);
        }
        changed
    }

    /// Removes replicas that did not change after an entry and are not in the complete list
    /// of that entry.
    fn remove_unlisted(&mut self, all: &[ReplicaRecord], up_to_index: LogIndex) -> bool {
        let listed: BTreeSet<&str> = all.iter().map(|r| r.reported.id.as_str()).collect();
        let current = self.replicas.all();
        let unlisted = current
            .filter(|record| record.changed_at <= up_to_index)
            .filter(|record| !listed.contains(record.reported.id.as_str()));
        let unlisted: Vec<String> = unlisted.map(|record| record.reported.id.clone()).collect();
        for id in &unlisted {
            self.replicas.remove(id);
        }
        !unlisted.is_empty()
    }

    fn apply_replica(&mut self, record: ReplicaRecord, up_to_index: LogIndex) -> bool {
        match self.replicas.get(&record.reported.id) {
            Some(current) if current.changed_at >= record.changed_at => return false,
            // The replica may have ended, with its record already deleted here.
            None if up_to_index < self.forgotten_up_to => return false,
            _ => {}
        }
        self.zones
            .add(&record.reported.service, &record.reported.zone);
        if let Some(before) = self.replicas.put(record) {
            // The replica may have another service or zone now. Deleting an ended one does
            // not come here, so that its zone stays listed for its service.
            self.zones
                .remove(&before.reported.service, &before.reported.zone);
        }
        true
    }

    /// Deletes records of replicas that ended at an entry or an earlier one.
    fn forget(&mut self, up_to_index: LogIndex) {
        self.forgotten_up_to = self.forgotten_up_to.max(up_to_index);
        while let Some((at, id)) = self.replicas.first_ended()
            && at <= self.forgotten_up_to
        {
            let id = id.to_owned();
            self.replicas.remove(&id);
        }
    }
}
