//! What a control member's pulses tell: who is present, and the registry where this member
//! knows what is in force.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use linnethitch_clock::Clock;
use linnethitch_protocol::ids::{LogIndex, MachineId};
use linnethitch_registry::{FleetUpdate, Place};

use crate::{
    pulse::{PresentFleet, PulseSource},
    registry_service::RegistryShared,
};

/// A control member has heard of every gateway by this time after its start.
const HEARD_OF_ALL_MS: u64 = 1_200;

/// Where the pulses of a control member at a place come from.
pub(crate) fn pulse_source(
    shared: &Arc<RegistryShared>,
    own: MachineId,
    place: Place,
    clock: Clock,
) -> PulseSource {
    let for_present = Arc::clone(shared);
    let for_update = Arc::clone(shared);
    let for_news = Arc::clone(shared);
    let for_current = Arc::clone(shared);
    PulseSource::new(
        own,
        shared.changes.subscribe(),
        move || present_fleet(&for_present, own, &place, clock.now_ms()),
        move |since| has_news(&for_news, since, clock.now_ms()),
        move |since| update_since(&for_update, since, clock.now_ms()),
        move || current(&for_current, clock.now_ms()),
    )
}

fn update_since(shared: &RegistryShared, since: LogIndex, now_ms: u64) -> Option<FleetUpdate> {
    let view = Arc::clone(&shared.view.lock());
    has_news(shared, since, now_ms).then(|| view.registry.update_since(since))
}

/// The newest change, where the member knows what is in force.
fn current(shared: &RegistryShared, now_ms: u64) -> Option<LogIndex> {
    let changed_at = shared.view.lock().registry.changed_at();
    shared.is_current(now_ms).then_some(changed_at)
}

fn has_news(shared: &RegistryShared, since: LogIndex, now_ms: u64) -> bool {
    current(shared, now_ms).is_some_and(|changed_at| changed_at > since)
}

fn present_fleet(
    shared: &RegistryShared,
    own: MachineId,
    own_place: &Place,
    now_ms: u64,
) -> PresentFleet {
    let view = Arc::clone(&shared.view.lock());
    let presence = shared.presence.lock();
    let mut control: BTreeSet<MachineId> = view.members.iter().copied().collect();
    let heard = presence.control(now_ms);
    let mut tellers: BTreeMap<_, _> = heard.map(|(at, place)| (at, place.clone())).collect();
    control.extend(tellers.keys());
    control.insert(own);
    tellers.insert(own, own_place.clone());
    let heard_of_all = now_ms >= HEARD_OF_ALL_MS;
    PresentFleet {
        control,
        tellers,
        stores: presence.stores(now_ms).into_iter().collect(),
        store_members: presence.store_members(),
        gateways: heard_of_all.then(|| presence.gateways().ready(now_ms).into_iter().collect()),
        coordinators: presence.placed_coordinators(now_ms),
        silent_coordinators: presence
            .coordinators()
            .silent(view.registry.gateways(), now_ms),
    }
}
