//! The content of a control member's heartbeats: the nodes that are present, and the registry if
//! this member knows the state in force.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use linnethitch_clock::Clock;
use linnethitch_protocol::{
    format::Format,
    ids::{LogIndex, MachineId},
};
use linnethitch_registry::{FleetUpdate, Place};

use crate::{
    heartbeat::{HeartbeatRegistry, HeartbeatSource},
    message::{NodeRole, PlacedMachine},
    present_fleet::PresentFleet,
    registry_service::RegistryShared,
};

/// A control member has had contact with every gateway this long after its start, in milliseconds.
const ALL_CONTACTED_MS: u64 = 1_200;

/// The source of the heartbeats of a control member at a place.
pub(crate) fn heartbeat_source(
    shared: &Arc<RegistryShared>,
    own: MachineId,
    place: Place,
    clock: Clock,
) -> HeartbeatSource {
    let registry = ControlHeartbeatRegistry {
        shared: Arc::clone(shared),
        own,
        place,
        clock,
    };
    HeartbeatSource::new(own, shared.changes.subscribe(), registry)
}

/// The state that heartbeats are made from.
struct ControlHeartbeatRegistry {
    shared: Arc<RegistryShared>,
    own: MachineId,
    place: Place,
    clock: Clock,
}

impl HeartbeatRegistry for ControlHeartbeatRegistry {
    fn presence_change_count(&self) -> u64 {
        self.shared.presence.lock().change_count()
    }

    fn present(&self) -> PresentFleet {
        let now_ms = self.clock.now_ms();
        let view = Arc::clone(&self.shared.view.lock());
        let presence = self.shared.presence.lock();
        let reachable = presence.control(now_ms);
        let mut senders: BTreeMap<_, _> =
            reachable.map(|(at, place)| (at, place.clone())).collect();
        senders.insert(self.own, self.place.clone());
        let members = view.members.iter().chain(senders.keys());
        let control = members.map(|machine| PlacedMachine {
            machine: *machine,
            place: senders.get(machine).cloned().unwrap_or_default(),
        });
        let control: BTreeSet<PlacedMachine> = control.collect();
        let all_contacted = now_ms >= ALL_CONTACTED_MS;
        PresentFleet {
            control,
            senders,
            stores: presence.stores(now_ms).into_iter().collect(),
            store_members: presence.store_members(),
            gateways: all_contacted
                .then(|| presence.gateways().ready(now_ms).into_iter().collect()),
            coordinators: presence.placed_coordinators(now_ms),
            silent_coordinators: presence
                .coordinators()
                .silent(view.registry.gateways(), now_ms),
            reachable: presence.directly_reachable(now_ms),
            stopped: presence.stopped_partially_linked(now_ms),
        }
    }

    fn has_update(&self, role: NodeRole, since: LogIndex) -> bool {
        if !self.shared.is_current(self.clock.now_ms()) {
            return false;
        }
        let view = Arc::clone(&self.shared.view.lock());
        match role {
            NodeRole::Gateway => view.registry.changed_at() > since,
            NodeRole::Store => view.registry.store_changed_at() > since,
            // Control members have the registry in their log.
            NodeRole::Control => false,
        }
    }

    fn update(&self, role: NodeRole, format: Format, since: LogIndex) -> Option<FleetUpdate> {
        if !self.has_update(role, since) {
            return None;
        }
        let view = Arc::clone(&self.shared.view.lock());
        Some(match role {
            NodeRole::Store => view.registry.store_update_since(since),
            NodeRole::Gateway | NodeRole::Control => view.registry.update_in(format, since),
        })
    }

    fn current(&self) -> Option<LogIndex> {
        let changed_at = self.shared.view.lock().registry.changed_at();
        let is_current = self.shared.is_current(self.clock.now_ms());
        is_current.then_some(changed_at)
    }
}
