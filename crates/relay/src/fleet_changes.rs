//! What differs between two views of the fleet, as the parts of a gateway take it.

use linnethitch_registry::{
    FleetView, ReplicaDifference, ReplicaRecord, ReplicaState, ServiceTraits,
};
use linnethitch_routing::dispatch::ReplicaTraits;

/// Replicas that are to be taken, and starts that are to be forgotten.
pub(crate) struct FleetChanges<'a> {
    /// Keys of starts that are gone, or whose place another one took.
    pub(crate) left: Vec<String>,
    /// Replicas that are new, or about which something is.
    pub(crate) came: Vec<&'a ReplicaRecord>,
}

impl<'a> FleetChanges<'a> {
    /// What differs. It costs what differs, but where services have other traits: then every
    /// replica may.
    pub(crate) fn between(held: &'a FleetView, fleet: &'a FleetView) -> Self {
        let has_other_services = services(held).ne(services(fleet));
        let mut changes = FleetChanges {
            left: Vec::new(),
            came: Vec::new(),
        };
        for difference in fleet.differences(held) {
            changes.note(difference);
        }
        if has_other_services {
            changes.came = fleet.live_replicas().collect();
        }
        changes
    }

    fn note(&mut self, difference: ReplicaDifference<'a>) {
        let is_live = |record: &&ReplicaRecord| record.reported.state.is_live();
        let before = difference.before.filter(is_live);
        let now = difference.now.filter(is_live);
        let left = before.filter(|before| {
            now.is_none_or(|now| now.reported.incarnation != before.reported.incarnation)
        });
        self.left
            .extend(left.map(|left| left.reported.incarnation_key()));
        self.came.extend(now);
    }
}

fn services(fleet: &FleetView) -> impl Iterator<Item = &ServiceTraits> {
    let table = fleet.table().into_iter();
    table.flat_map(|table| table.services.iter())
}

/// A replica as choices among replicas need it.
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
    }
}
