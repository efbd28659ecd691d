//! Differences between two views of the fleet, in the form that the parts of a gateway need.

use linnethitch_registry::{
    FleetView, ReplicaDifference, ReplicaRecord, ReplicaState, ServiceTraits,
};
use linnethitch_routing::dispatch::ReplicaTraits;

/// Replicas to update and incarnations to remove.
pub(crate) struct FleetChanges<'a> {
    /// Keys of incarnations that have ended or were replaced by another incarnation.
    pub(crate) removed: Vec<String>,
    /// Replicas that are new or have changed.
    pub(crate) updated: Vec<&'a ReplicaRecord>,
}

impl<'a> FleetChanges<'a> {
    /// Computes the differences. The cost is proportional to the changes, except when traits of
    /// services have changed: then every replica is updated.
    pub(crate) fn between(previous: &'a FleetView, fleet: &'a FleetView) -> Self {
        let has_other_services = services(previous).ne(services(fleet));
        let mut changes = FleetChanges {
            removed: Vec::new(),
            updated: Vec::new(),
        };
        for difference in fleet.differences(previous) {
            changes.note(difference);
        }
        if has_other_services {
            changes.updated = fleet.live_replicas().collect();
        }
        changes
    }

    fn note(&mut self, difference: ReplicaDifference<'a>) {
        let is_live = |record: &&ReplicaRecord| record.reported.state.is_live();
        let before = difference.before.filter(is_live);
        let now = difference.now.filter(is_live);
        let removed = before.filter(|before| {
            now.is_none_or(|now| now.reported.incarnation != before.reported.incarnation)
        });
        self.removed
            .extend(removed.map(|removed| removed.reported.incarnation_key()));
        self.updated.extend(now);
    }
}

fn services(fleet: &FleetView) -> impl Iterator<Item = &ServiceTraits> {
    let table = fleet.table().into_iter();
    table.flat_map(|table| table.services.iter())
}

/// Traits of a replica that are used to choose among replicas.
pub(crate) fn replica_traits(fleet: &FleetView, record: &ReplicaRecord) -> ReplicaTraits {
    let service = fleet
        .table()
        .and_then(|table| table.service(&record.reported.service));
    let engine = service.and_then(|service| service.engine.as_ref());
    ReplicaTraits {
        id: record.reported.incarnation_key(),
        service: record.reported.service.clone(),
        address: record.reported.address.clone(),
        zone: record.reported.zone.clone(),
        slots: record.reported.slots,
        kv_tokens: engine.map_or(0, |engine| engine.kv_tokens),
        ready: record.reported.state == ReplicaState::Ready,
        software: record.reported.software.clone(),
    }
}
