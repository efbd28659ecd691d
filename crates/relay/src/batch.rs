//! Running batch items under leases of the job store, on slots that online
//! requests leave free.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Uri};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use linnethitch_job_store::{ItemOutcome, ItemWork, StoreCall, StoreReply};
use linnethitch_registry::{Route, RouteKind};
use linnethitch_routing::dispatch::{Chosen, FailureKind};
use slog::info;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::{
    counters::ItemEnd,
    events::{EventSplitter, data_of},
    exchange::{Exchange, Limits, Opened, Outgoing, exchange},
    relay::Relay,
    running_items::{Made, RunningItems},
    shared::Shared,
    slots::ItemSlot,
};

/// Settings of batch execution.
#[derive(Clone, Debug)]
pub struct BatchSettings {
    /// This gateway, as IP:PORT.
    pub name: String,
    /// Most items at once.
    pub most_items: u32,
}

/// Shortest pause between two calls for work.
const WORK_INTERVAL: Duration = Duration::from_millis(150);
/// Pauses after which leases are renewed and progress is told, also where no
/// further item is wanted.
const PAUSES_PER_RENEWAL: u32 = 3;
/// Items asked for at once, so that gateways share a heap.
const ITEMS_AT_ONCE: u32 = 12;
/// Longest time for a call for work.
const WORK_LIMIT: Duration = Duration::from_millis(1_000);
/// Longest time for a report; the lease ends and the item runs again after it.
const REPORT_LIMIT: Duration = Duration::from_secs(10);
/// Longest silence of a replica in the middle of an item.
const SILENCE_LIMIT: Duration = Duration::from_millis(2_500);
/// Longest wait for the first event.
const FIRST_EVENT_LIMIT: Duration = Duration::from_secs(6);
/// Time given to a replica for an item.
const ITEM_LIMIT: Duration = Duration::from_secs(60);
/// Longest wait for a slot before the item is given back, so that another
/// gateway goes on with it.
const SLOT_WAIT: Duration = Duration::from_millis(400);
/// Pause after a replica did not take an item.
const NOT_TAKEN_PAUSE: Duration = Duration::from_millis(100);
/// Status that says that an item can never be done.
const UNPROCESSABLE: u16 = 422;

/// Runs items until the process stops. What runs then is given back.
pub async fn run_items(relay: Relay, settings: BatchSettings) {
    let running = RunningItems::default();
    let mut pauses = 0;
    loop {
        sleep(WORK_INTERVAL).await;
        pauses += 1;
        let is_stopping = relay.is_stopping();
        if is_stopping && running.is_empty() {
            return;
        }
        let want = if is_stopping {
            0
        } else {
            wanted(&relay, settings.most_items, running.len() as u32)
        };
        let is_due = pauses >= PAUSES_PER_RENEWAL && !running.is_empty();
        if is_due || is_stopping || running.has_given_back() {
            tell_progress(&relay, &running).await;
        }
        if want > 0 || is_due || is_stopping {
            pauses = 0;
            call_for_work(&relay, &settings, &running, want).await;
        }
    }
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

/// Tells what runs, renews its leases and begins what is leased besides.
async fn call_for_work(relay: &Relay, settings: &BatchSettings, items: &RunningItems, want: u32) {
    let call = StoreCall::Work {
        gateway: settings.name.clone(),
        running: items.running(),
        want,
        item_ms: longest_item_ms(relay),
    };
    let reply = relay.shared.gateway.call_store(call, WORK_LIMIT).await;
    let StoreReply::Work { begin, stop } = reply else {
        return;
    };
    stop.iter().for_each(|item| items.stop(item));
    for work in begin {
        info!(relay.shared.logger, "item: begins"; "item" => &work.spec.id,
            "job" => &work.item.job, "failures" => work.failures,
            "due_in_ms" => work.due_in_ms, "last_event" => work.made.last_event);
        start(relay, items, work);
    }
}

/// Expected time of a whole item, of the service where it is longest.
fn longest_item_ms(relay: &Relay) -> u64 {
    let services = batch_services(relay);
    let times = services.iter().map(|service| {
        let pace = relay.shared.item_pace(service);
        pace.left_ms(0)
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

fn wanted(relay: &Relay, most_items: u32, held: u32) -> u32 {
    let services = batch_services(relay);
    let free: u32 = services
        .iter()
        .map(|service| relay.shared.slots.free_for_items(service))
        .max()
        .unwrap_or(0);
    most_items.saturating_sub(held).min(free).min(ITEMS_AT_ONCE)
}

fn start(relay: &Relay, items: &RunningItems, mut work: ItemWork) {
    let item = work.item.clone();
    let made = Made::new(std::mem::take(&mut work.made));
    let run = ItemRun {
        shared: Arc::clone(&relay.shared),
        stopping: relay.stopping(),
        splitter: EventSplitter::default(),
        made: made.clone(),
        tried: Vec::new(),
        due: Instant::now() + Duration::from_millis(work.due_in_ms),
        work,
    };
    let after = items.clone();
    let told = made.events();
    items.begin(item, made, told, || {
        let task = tokio::spawn(async move {
            let item = run.work.item.clone();
            match run.run().await {
                ItemEnding::Reported => after.end(&item),
                ItemEnding::GivenBack => after.give_back(&item),
            }
        });
        task.abort_handle()
    });
}

/// One item while it runs.
struct ItemRun {
    shared: Arc<Shared>,
    stopping: CancellationToken,
    work: ItemWork,
    splitter: EventSplitter,
    made: Made,
    /// Replicas that failed it.
    tried: Vec<String>,
    due: Instant,
}

/// How an item's task ended.
enum ItemEnding {
    Reported,
    /// Another gateway goes on.
    GivenBack,
}

/// How one send of an item ended.
enum RunEnd {
    Outcome(ItemOutcome),
    /// It goes on at another replica after the last whole event.
    GoOn,
    /// It goes on at another gateway.
    GiveBack,
}

impl ItemRun {
    async fn run(mut self) -> ItemEnding {
        let until = Instant::now() + ITEM_LIMIT;
        while Instant::now() < until && !self.stopping.is_cancelled() {
            match self.send_once(until).await {
                RunEnd::GoOn => {}
                RunEnd::GiveBack => break,
                RunEnd::Outcome(outcome) => {
                    self.report(outcome).await;
                    return ItemEnding::Reported;
                }
            }
        }
        ItemEnding::GivenBack
    }

    async fn report(&self, outcome: ItemOutcome) {
        let kind = match &outcome {
            ItemOutcome::Succeeded(_) => "succeeded",
            ItemOutcome::Unprocessable => "unprocessable",
            ItemOutcome::Failed { .. } => "failed",
            ItemOutcome::RouteRemoved => "route removed",
        };
        if kind != "succeeded" {
            info!(self.shared.logger, "item: {}", kind; "item" => &self.work.spec.id,
                "job" => &self.work.item.job, "failures" => self.work.failures);
        }
        let end = match &outcome {
            ItemOutcome::Succeeded(_) => ItemEnd::Succeeded,
            _ => ItemEnd::Failed,
        };
        self.shared.counters.item_ended(end);
        let call = StoreCall::Report {
            item: self.work.item.clone(),
            outcome,
        };
        self.shared.gateway.call_store(call, REPORT_LIMIT).await;
    }

    /// The route as of now: a changed one holds for items too.
    fn route(&self) -> Option<Route> {
        let table = self.shared.table()?;
        let route = table.find(&self.work.host, &self.work.spec.path)?;
        (route.kind == RouteKind::Batch).then(|| route.clone())
    }

    async fn send_once(&mut self, until: Instant) -> RunEnd {
        let Some(route) = self.route() else {
            return RunEnd::Outcome(ItemOutcome::RouteRemoved);
        };
        let Some(service) = self.shared.pick_service(&route) else {
            return RunEnd::GiveBack;
        };
        let Some(outgoing) = outgoing(&self.shared, &self.work) else {
            return RunEnd::Outcome(ItemOutcome::Unprocessable);
        };
        let Some((chosen, slot)) = self.wait_for_slot(&service).await else {
            return RunEnd::GiveBack;
        };
        let prompt = self.shared.dialect.prompt(&outgoing.headers);
        let last_event = self.made.last_event();
        let limits = Limits {
            until,
            head_until: until.min(Instant::now() + FIRST_EVENT_LIMIT),
        };
        let exchanged = exchange(
            &self.shared,
            &chosen,
            &outgoing,
            &prompt.parts,
            None,
            last_event,
            limits,
        );
        let exchanged = tokio::select! {
            exchanged = exchanged => exchanged,
            () = slot.stop.cancelled() => return self.give_way(&chosen.id),
            () = self.stopping.cancelled() => return RunEnd::GiveBack,
        };
        match exchanged {
            Exchange::Answered(opened) => {
                let stopping = self.stopping.clone();
                tokio::select! {
                    end = self.read(&service, *opened) => end,
                    () = slot.stop.cancelled() => self.give_way(&chosen.id),
                    () = stopping.cancelled() => RunEnd::GiveBack,
                }
            }
            Exchange::NotRun(_) => {
                self.tried.push(chosen.id);
                sleep(NOT_TAKEN_PAUSE).await;
                RunEnd::GoOn
            }
            Exchange::Unknown => {
                self.tried.push(chosen.id);
                RunEnd::GoOn
            }
            Exchange::TimedOut => {
                self.shared.note_failure(&chosen.id, FailureKind::Broken);
                self.tried.push(chosen.id);
                RunEnd::GoOn
            }
        }
    }

    /// Waits for a slot of a replica; not too long, since the route may change.
    async fn wait_for_slot(&mut self, service: &str) -> Option<(Chosen, ItemSlot)> {
        let avoid = self.tried.clone();
        let left_ms = self.shared.item_pace(service).left_ms(self.made.events());
        let now = Instant::now();
        let time = self.due.saturating_duration_since(now);
        let begin_by = now + time.saturating_sub(Duration::from_millis(left_ms));
        let mut slot = self.shared.slots.want_slot(service, begin_by, avoid);
        let replica = timeout(SLOT_WAIT, slot.granted()).await.ok()??;
        let chosen = self.shared.chosen_at(&replica)?;
        Some((chosen, slot))
    }

    /// It goes on after its last whole event, once there is room.
    fn give_way(&mut self, replica: &str) -> RunEnd {
        self.shared.counters.item_ended(ItemEnd::Interrupted);
        self.splitter.drop_partial();
        info!(self.shared.logger, "item: gives way"; "item" => &self.work.spec.id,
            "replica" => replica, "last_event" => self.made.last_event());
        RunEnd::GoOn
    }

    async fn read(&mut self, service: &str, mut opened: Opened) -> RunEnd {
        let status = opened.response.status();
        if status.as_u16() == UNPROCESSABLE {
            return RunEnd::Outcome(ItemOutcome::Unprocessable);
        }
        if !status.is_success() {
            return RunEnd::Outcome(ItemOutcome::Failed {
                failures_before: self.work.failures,
            });
        }
        let whole = self.read_events(service, &mut opened).await;
        if !whole {
            self.shared
                .note_failure(&opened.replica, FailureKind::Broken);
            self.tried.push(opened.replica);
            self.splitter.drop_partial();
            return RunEnd::GoOn;
        }
        self.shared.note_success(&opened.replica);
        drop(opened.running);
        if opened.connection.is_usable_again().await {
            self.shared.connections.give_back(opened.connection);
        }
        let events = self.made.events();
        self.shared
            .learn_item_pace(service, |pace| pace.note_item(events));
        RunEnd::Outcome(ItemOutcome::Succeeded(self.made.text()))
    }

    /// Whether the stream came to its whole end.
    async fn read_events(&mut self, service: &str, opened: &mut Opened) -> bool {
        let before = self.made.events();
        let mut began = None;
        let body: &mut Incoming = opened.response.body_mut();
        loop {
            match timeout(SILENCE_LIMIT, body.frame()).await {
                Ok(None) => {
                    let events = self.made.events() - before;
                    let took = began.map_or(Duration::ZERO, |began: Instant| began.elapsed());
                    let took_ms = took.as_millis() as u64;
                    self.shared
                        .learn_item_pace(service, |pace| pace.note_run(events, took_ms));
                    return !self.splitter.has_partial();
                }
                Ok(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    opened.running.first_event();
                    began.get_or_insert_with(Instant::now);
                    let Some(events) = self.splitter.push(&data) else {
                        return false;
                    };
                    if !events.is_empty() {
                        self.made.push(data_of(&events), self.splitter.last_id());
                    }
                }
                Ok(Some(Err(_))) | Err(_) => return false,
            }
        }
    }
}

fn outgoing(shared: &Shared, work: &ItemWork) -> Option<Outgoing> {
    let names = shared.dialect.names();
    let mut headers = HeaderMap::new();
    for (name, value) in &work.spec.headers {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_str(value).ok()?);
    }
    let request_id = HeaderValue::from_str(&work.spec.id).ok()?;
    headers.insert(names.request_id.clone(), request_id.clone());
    headers.insert(http::header::HOST, HeaderValue::from_str(&work.host).ok()?);
    Some(Outgoing {
        method: Method::POST,
        uri: work.spec.path.parse::<Uri>().ok()?,
        headers,
        body: Bytes::from(work.spec.body.clone()),
        request_id,
    })
}
