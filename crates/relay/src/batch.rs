//! Batch items leased from the job store: requesting work, reporting progress, and the items'
//! tasks.

use std::{sync::Arc, time::Duration};

use linnethitch_clock::sleep;
use linnethitch_job_store::{ItemWork, StoreCall, StoreReply};
use linnethitch_registry::RouteKind;
use linnethitch_routing::dispatch::{ItemCapacity, ItemRampUp, WorkCallSchedule, WorkState};
use slog::info;

use crate::{
    item_run::{ItemEnding, ItemRun},
    relay::Relay,
    running_items::{GeneratedProgress, LeaseNumber, RunningItems},
};

/// Settings of batch execution.
#[derive(Clone, Debug)]
pub struct BatchSettings {
    /// Address of this gateway, as IP:PORT.
    pub name: String,
    /// Maximum number of concurrent items.
    pub max_items: u32,
}

/// Interval at which the gateway decides whether to call the job store.
const WORK_INTERVAL: Duration = Duration::from_millis(150);
/// Maximum number of items per request for work, so that gateways share a batch of pending items.
const ITEMS_AT_ONCE: u32 = 12;
/// Time limit of a call for work.
const WORK_CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Runs items until the process stops. Items that are running then are returned.
pub async fn run_items(relay: Relay, settings: BatchSettings) {
    let running = RunningItems::default();
    let mut schedule =
        WorkCallSchedule::with_random_phase(relay.shared.random_number(), gateways(&relay));
    let mut ramp_up = ItemRampUp::default();
    let mut found_none = false;
    let mut had_batch_routes = false;
    loop {
        sleep(WORK_INTERVAL).await;
        let is_stopping = relay.is_stopping();
        if is_stopping && running.is_empty() {
            return;
        }
        let services = batch_services(&relay);
        had_batch_routes |= !services.is_empty();
        let leased = running.active() as u32;
        let may_run = if is_stopping {
            0
        } else if services.is_empty() && had_batch_routes {
            // Items of the routes that ended take no slot: they are given up.
            ITEMS_AT_ONCE
        } else {
            ramp_up.items_to_request(item_capacity(&relay, &services), leased)
        };
        let free = settings.max_items.saturating_sub(leased);
        let max_items = may_run.min(free).min(ITEMS_AT_ONCE);
        let calls = schedule.after_interval(WorkState {
            requested: max_items,
            holds_items: !running.is_empty(),
            returned_item: running.has_returned(),
            stopping: is_stopping,
            found_none,
            gateways: gateways(&relay),
        });
        if calls.report_progress {
            report_progress(&relay, &running).await;
        }
        if calls.request_work {
            let begun = request_work(&relay, &settings, &running, max_items).await;
            found_none = begun == 0;
            ramp_up.note_running(running.active() as u32);
        }
    }
}

/// Number of gateways that request work from the job store.
fn gateways(relay: &Relay) -> u32 {
    relay.shared.gateway.coordinators().len() as u32
}

/// Reports the progress of runs, so that other gateways can continue the items.
async fn report_progress(relay: &Relay, items: &RunningItems) {
    let progress = items.progress_to_report();
    if progress.is_empty() {
        return;
    }
    let call = StoreCall::Progress(progress.clone());
    match relay
        .shared
        .gateway
        .call_store(call, WORK_CALL_TIMEOUT)
        .await
    {
        StoreReply::Done => {}
        StoreReply::ReportAgain(behind) => behind.iter().for_each(|item| items.report_again(item)),
        _ => items.restore_unreported(progress),
    }
}

/// Reports the running items, which renews their leases, and starts newly leased items; returns
/// the number of items started.
async fn request_work(
    relay: &Relay,
    settings: &BatchSettings,
    items: &RunningItems,
    max_items: u32,
) -> usize {
    let call = StoreCall::Work {
        gateway: settings.name.clone(),
        running: items.running(),
        max_items,
        item_ms: longest_item_ms(relay),
        excluded: relay.shared.excluded_work(),
    };
    let reply = relay
        .shared
        .gateway
        .call_store(call, WORK_CALL_TIMEOUT)
        .await;
    let StoreReply::Work { begin, stop } = reply else {
        return 0;
    };
    stop.iter().for_each(|item| items.stop(item));
    let begun = begin.len();
    for work in begin {
        info!(relay.shared.logger, "item: started"; "item" => &work.spec.id,
            "job" => &work.item.job, "failures" => work.failures,
            "due_in_ms" => work.due_in_ms, "last_event" => work.generated.generated.last_event);
        start(relay, items, work);
    }
    begun
}

/// Expected duration of a complete item of the slowest batch service.
fn longest_item_ms(relay: &Relay) -> u64 {
    let services = batch_services(relay);
    let times = services.iter().map(|service| {
        let pace = relay.shared.item_pace(service);
        pace.remaining_ms(0)
    });
    times.max().unwrap_or(0)
}

/// Services of batch routes; empty if no batch route is in force.
fn batch_services(relay: &Relay) -> Vec<String> {
    let Some(table) = relay.table() else {
        return Vec::new();
    };
    let batch = table.routes.iter().filter(|r| r.kind == RouteKind::Batch);
    let backends = batch.flat_map(|route| route.backends.iter());
    backends.map(|backend| backend.service.clone()).collect()
}

/// Capacity for items at the service with the most free slots.
fn item_capacity(relay: &Relay, services: &[String]) -> ItemCapacity {
    let capacities = services
        .iter()
        .map(|service| relay.shared.slots.item_capacity(service));
    capacities
        .max_by_key(|capacity| capacity.slots)
        .unwrap_or_default()
}

fn start(relay: &Relay, items: &RunningItems, mut work: ItemWork) {
    let item = work.item.clone();
    let lease = LeaseNumber(relay.shared.random_number());
    let stored_events = work.generated.generated.events.len();
    let generated = GeneratedProgress::new(std::mem::take(&mut work.generated), lease);
    if stored_events > 0 && generated.events() == 0 {
        info!(relay.shared.logger, "item: begins anew, software of its text unknown";
            "item" => &work.spec.id, "job" => &work.item.job, "events" => stored_events);
    }
    let reference = item.clone();
    let task = ItemRun::new(
        Arc::clone(&relay.shared),
        relay.stopping(),
        work,
        generated.clone(),
    );
    let after = items.clone();
    items.begin(item, generated, || {
        let spawned = tokio::spawn(async move {
            match task.run().await {
                ItemEnding::Reported => after.end(&reference, lease),
                ItemEnding::Returned => after.return_item(&reference, lease),
            }
        });
        spawned.abort_handle()
    });
}
