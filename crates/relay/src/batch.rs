//! Batch items under leases of the job store: which are asked for, what is told
//! of them, and their tasks.

use std::{sync::Arc, time::Duration};

use linnethitch_clock::sleep;
use linnethitch_job_store::{ItemWork, StoreCall, StoreReply};
use linnethitch_registry::RouteKind;
use linnethitch_routing::dispatch::{ItemCapacity, ItemRampUp, WorkCallSchedule, WorkState};
use slog::info;

use crate::{
    item_run::{ItemEnding, ItemRun},
    relay::Relay,
    running_items::{Made, RunningItems},
};

/// Settings of batch execution.
#[derive(Clone, Debug)]
pub struct BatchSettings {
    /// This gateway, as IP:PORT.
    pub name: String,
    /// Most items at once.
    pub max_items: u32,
}

/// Pause between two looks at what to call the job store for.
const WORK_INTERVAL: Duration = Duration::from_millis(150);
/// Items asked for at once, so that gateways share a heap.
const ITEMS_AT_ONCE: u32 = 12;
/// Longest time for a call for work.
const WORK_LIMIT: Duration = Duration::from_millis(1_000);

/// Runs items until the process stops. What runs then is given back.
pub async fn run_items(relay: Relay, settings: BatchSettings) {
    let running = RunningItems::default();
    let mut rhythm = WorkCallSchedule::with_random_phase(relay.shared.draw(), gateways(&relay));
    let mut growth = ItemRampUp::default();
    let mut found_none = false;
    loop {
        sleep(WORK_INTERVAL).await;
        let is_stopping = relay.is_stopping();
        if is_stopping && running.is_empty() {
            return;
        }
        let want = if is_stopping {
            0
        } else {
            let held = running.len() as u32;
            let wanted = growth.items_to_request(room_for_items(&relay), held);
            let left = settings.max_items.saturating_sub(held);
            wanted.min(left).min(ITEMS_AT_ONCE)
        };
        let calls = rhythm.after_interval(WorkState {
            requested: want,
            holds_items: !running.is_empty(),
            returned_item: running.has_given_back(),
            stopping: is_stopping,
            found_none,
            gateways: gateways(&relay),
        });
        if calls.report_progress {
            tell_progress(&relay, &running).await;
        }
        if calls.request_work {
            let begun = call_for_work(&relay, &settings, &running, want).await;
            found_none = begun == 0;
            growth.note_running(running.len() as u32);
        }
    }
}

/// Gateways that ask the job store for work.
fn gateways(relay: &Relay) -> u32 {
    relay.shared.gateway.coordinators().len() as u32
}

/// Lets the job store keep what runs have made, so that others can go on.
async fn tell_progress(relay: &Relay, items: &RunningItems) {
    let progress = items.to_tell();
    if progress.is_empty() {
        return;
    }
    let call = StoreCall::Progress(progress.clone());
    match relay.shared.gateway.call_store(call, WORK_LIMIT).await {
        StoreReply::Done => {}
        StoreReply::TellAgain(behind) => behind.iter().for_each(|item| items.tell_again(item)),
        _ => items.not_told(progress),
    }
}

/// Tells what runs, renews its leases and begins what is leased besides; returns
/// how many items that are.
async fn call_for_work(
    relay: &Relay,
    settings: &BatchSettings,
    items: &RunningItems,
    want: u32,
) -> usize {
    let call = StoreCall::Work {
        gateway: settings.name.clone(),
        running: items.running(),
        want,
        item_ms: longest_item_ms(relay),
        outside: relay.shared.work_outside(),
    };
    let reply = relay.shared.gateway.call_store(call, WORK_LIMIT).await;
    let StoreReply::Work { begin, stop } = reply else {
        return 0;
    };
    stop.iter().for_each(|item| items.stop(item));
    let begun = begin.len();
    for work in begin {
        info!(relay.shared.logger, "item: begins"; "item" => &work.spec.id,
            "job" => &work.item.job, "failures" => work.failures,
            "due_in_ms" => work.due_in_ms, "last_event" => work.made.made.last_event);
        start(relay, items, work);
    }
    begun
}

/// Expected time of a whole item, of the service where it is longest.
fn longest_item_ms(relay: &Relay) -> u64 {
    let services = batch_services(relay);
    let times = services.iter().map(|service| {
        let pace = relay.shared.item_pace(service);
        pace.remaining_ms(0)
    });
    times.max().unwrap_or(0)
}

fn batch_services(relay: &Relay) -> Vec<String> {
    let Some(table) = relay.table() else {
        return Vec::new();
    };
    let batch = table.routes.iter().filter(|r| r.kind == RouteKind::Batch);
    let backends = batch.flat_map(|route| route.backends.iter());
    backends.map(|backend| backend.service.clone()).collect()
}

/// Room for items at the service that has most.
fn room_for_items(relay: &Relay) -> ItemCapacity {
    let services = batch_services(relay);
    let rooms = services
        .iter()
        .map(|service| relay.shared.slots.room_for_items(service));
    rooms.max_by_key(|room| room.slots).unwrap_or_default()
}

fn start(relay: &Relay, items: &RunningItems, mut work: ItemWork) {
    let item = work.item.clone();
    let run = relay.shared.draw_run();
    let made = Made::new(std::mem::take(&mut work.made), run);
    let reference = item.clone();
    let task = ItemRun::new(
        Arc::clone(&relay.shared),
        relay.stopping(),
        work,
        made.clone(),
    );
    let after = items.clone();
    items.begin(item, made, || {
        let spawned = tokio::spawn(async move {
            match task.run().await {
                ItemEnding::Reported => after.end(&reference, run),
                ItemEnding::GivenBack => after.give_back(&reference, run),
            }
        });
        spawned.abort_handle()
    });
}
