//! What a gateway follows: the fleet, and the work of other gateways.

use std::{sync::Arc, time::Duration};

use linnethitch_clock::sleep;
use linnethitch_cluster::GatewayNode;
use linnethitch_protocol::slots::GatewayDatagram;
use linnethitch_registry::FleetView;

use crate::{shared::Shared, slots::receive_messages};

/// How often the engines that are coordinated here are looked at.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(100);
/// Looks for each time that held leases are told.
const ROUNDS_PER_TELLING: u32 = 5;
/// Looks for each time that news of suspected requests are told again.
const ROUNDS_PER_NEWS: u32 = 2;
/// Looks for each time that connections are looked at which rest.
const ROUNDS_PER_SWEEP: u32 = 10;

/// Takes what differs in every newer view of the fleet, and drops what no longer serves.
pub(crate) async fn follow_fleet(shared: Arc<Shared>, gateway: GatewayNode) {
    let mut views = gateway.follow();
    let mut held = Arc::new(FleetView::default());
    loop {
        let view = Arc::clone(&views.borrow_and_update());
        shared.take_fleet(&held, &view);
        shared.keep_coordinated();
        held = view;
        if views.changed().await.is_err() {
            return;
        }
    }
}

/// Takes what other gateways say.
pub(crate) async fn follow_gateways(shared: Arc<Shared>, gateway: GatewayNode) {
    receive_messages(gateway, |from, message| {
        shared.note_gateway_heard();
        match message {
            GatewayDatagram::Quota(message) => shared.quotas.take_message(from, message),
            GatewayDatagram::Suspicions(told) => {
                told.into_iter()
                    .for_each(|told| shared.take_told(from, told));
            }
            about_slots => {
                let loads = shared.slots.take_message(from, about_slots);
                shared.note_told(&loads);
            }
        }
    })
    .await;
}

/// Keeps the engines that are coordinated here up to date, and tells other
/// coordinators from time to time which leases this gateway holds.
pub(crate) async fn keep_slots(shared: Arc<Shared>) {
    let mut rounds: u32 = 0;
    loop {
        sleep(UPKEEP_INTERVAL).await;
        shared.cold.upkeep();
        shared.keep_coordinated();
        shared.quotas.upkeep();
        rounds = rounds.wrapping_add(1);
        if rounds.is_multiple_of(ROUNDS_PER_NEWS) {
            shared.tell_news_again();
        }
        if rounds.is_multiple_of(ROUNDS_PER_SWEEP) {
            shared.connections.sweep();
        }
        if rounds.is_multiple_of(ROUNDS_PER_TELLING) {
            shared.slots.tell_held();
            shared.counters.note_slots(&shared.slots.own_loads());
        }
    }
}
