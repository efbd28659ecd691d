//! Tasks that follow the fleet and the messages of other gateways.

use std::{sync::Arc, time::Duration};

use linnethitch_clock::sleep;
use linnethitch_cluster::GatewayNode;
use linnethitch_protocol::slots::GatewayDatagram;
use linnethitch_registry::FleetView;

use crate::{shared::Shared, slots::receive_messages};

/// Interval of the periodic maintenance.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(100);
/// Maintenance rounds per report of held leases.
const ROUNDS_PER_LEASE_REPORT: u32 = 5;
/// Maintenance rounds per resend of updates on suspected requests.
const ROUNDS_PER_RESEND: u32 = 2;
/// Maintenance rounds per sweep of idle connections.
const ROUNDS_PER_SWEEP: u32 = 10;

/// Applies each newer view of the fleet, and removes replicas that no longer serve.
pub(crate) async fn follow_fleet(shared: Arc<Shared>, gateway: GatewayNode) {
    let mut views = gateway.follow();
    let mut previous = Arc::new(FleetView::default());
    loop {
        let view = Arc::clone(&views.borrow_and_update());
        shared.apply_fleet(&previous, &view);
        shared.update_coordinated();
        previous = view;
        if views.changed().await.is_err() {
            return;
        }
    }
}

/// Handles messages of other gateways.
pub(crate) async fn follow_gateways(shared: Arc<Shared>, gateway: GatewayNode) {
    receive_messages(gateway, |from, message| {
        shared.note_gateway_contact();
        match message {
            GatewayDatagram::Quota(message) => shared.quotas.handle_message(from, message),
            GatewayDatagram::Suspicions(told) => {
                told.into_iter()
                    .for_each(|told| shared.handle_suspicion(from, told));
            }
            about_streams if about_streams.is_about_streams() => {
                shared.stream_records.handle_message(from, about_streams);
            }
            about_slots => {
                let loads = shared.slots.handle_message(from, about_slots);
                shared.note_reported_loads(&loads);
            }
        }
    })
    .await;
}

/// Periodic maintenance: updates the engines that are coordinated here, and regularly reports to
/// other coordinators the leases that this gateway holds.
pub(crate) async fn maintain(shared: Arc<Shared>) {
    let mut rounds: u32 = 0;
    loop {
        sleep(MAINTENANCE_INTERVAL).await;
        shared.cold.run_maintenance();
        shared.update_coordinated();
        shared.quotas.run_maintenance();
        rounds = rounds.wrapping_add(1);
        if rounds.is_multiple_of(ROUNDS_PER_RESEND) {
            shared.resend_suspicions();
        }
        if rounds.is_multiple_of(ROUNDS_PER_SWEEP) {
            shared.connections.sweep();
            let records = shared.stream_records.run_maintenance();
            shared.counters.stream_records.set(records as i64);
        }
        if rounds.is_multiple_of(ROUNDS_PER_LEASE_REPORT) {
            shared.slots.report_held_leases();
            shared.counters.note_slots(&shared.slots.own_loads());
        }
    }
}
