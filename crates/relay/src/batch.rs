//! Running batch items under leases of the job store, on slots that online
//! requests leave free.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Uri};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use linnethitch_job_store::{ItemOutcome, ItemRef, ItemWork, StoreCall, StoreReply};
use linnethitch_registry::{Route, RouteKind};
use linnethitch_routing::dispatch::{FailureKind, Need};
use parking_lot::Mutex;
use slog::info;
use tokio::{
    task::AbortHandle,
    time::{Instant, sleep, timeout},
};

use crate::{
    batch_shares::BatchShares,
    counters::ItemEnd,
    events::{EventSplitter, data_of},
    exchange::{Exchange, Limits, Opened, Outgoing, exchange},
    relay::Relay,
    shared::Shared,
    urgency::Urgency,
};

/// Settings of batch execution.
#[derive(Clone, Debug)]
pub struct BatchSettings {
    /// This gateway, as IP:PORT.
    pub name: String,
    /// Most items at once.
    pub most_items: u32,
}

/// Pause between two calls for work.
const WORK_INTERVAL: Duration = Duration::from_millis(350);
/// Items asked for at once, so that gateways share a heap.
const ITEMS_AT_ONCE: u32 = 6;
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
/// Pause before a replica is looked for again.
const NO_ROOM_PAUSE: Duration = Duration::from_millis(100);
/// Status that says that an item can never be done.
const UNPROCESSABLE: u16 = 422;

type Running = Arc<Mutex<BTreeMap<ItemRef, AbortHandle>>>;

/// Runs items until the process stops. What runs then is given back.
pub async fn run_items(relay: Relay, settings: BatchSettings) {
    let running: Running = Arc::default();
    loop {
        sleep(WORK_INTERVAL).await;
        let is_stopping = relay.is_stopping();
        let held: Vec<ItemRef> = running.lock().keys().cloned().collect();
        let want = if is_stopping {
            0
        } else {
            wanted(&relay, settings.most_items, held.len() as u32)
        };
        if want == 0 && held.is_empty() {
            if is_stopping {
                return;
            }
            continue;
        }
        let call = StoreCall::Work {
            gateway: settings.name.clone(),
            running: held,
            want,
        };
        let reply = relay.shared.gateway.call_store(call, WORK_LIMIT).await;
        let StoreReply::Work { begin, stop } = reply else {
            continue;
        };
        for item in stop {
            if let Some(task) = running.lock().remove(&item) {
                task.abort();
            }
        }
        for work in begin {
            info!(relay.shared.logger, "item: begins"; "item" => &work.spec.id,
                "job" => &work.item.job, "failures" => work.failures,
                "due_in_ms" => work.due_in_ms);
            start(&relay.shared, &running, work);
        }
    }
}

fn wanted(relay: &Relay, most_items: u32, held: u32) -> u32 {
    let Some(table) = relay.table() else {
        return 0;
    };
    let batch = table.routes.iter().filter(|r| r.kind == RouteKind::Batch);
    let services = batch.flat_map(|route| route.backends.iter());
    let free: u32 = services
        .map(|backend| free_for_batch(relay, &backend.service))
        .max()
        .unwrap_or(0);
    most_items.saturating_sub(held).min(free).min(ITEMS_AT_ONCE)
}

/// Slots of a service that items of this gateway may begin on.
fn free_for_batch(relay: &Relay, service: &str) -> u32 {
    let shared = &relay.shared;
    let shares = shared.batch_shares(service);
    let part = shared.fair_part(service, shares.start);
    let left = part.saturating_sub(shared.own_running(service));
    left.min(shared.free_slots(service, shares.replica))
}

fn start(shared: &Arc<Shared>, running: &Running, work: ItemWork) {
    let item = work.item.clone();
    let run = ItemRun {
        shared: Arc::clone(shared),
        splitter: EventSplitter::default(),
        data: Vec::new(),
        tried: Vec::new(),
        urgency: Urgency::due_in(work.due_in_ms, Instant::now()),
        work,
    };
    let running_after = Arc::clone(running);
    let mut map = running.lock();
    let task = tokio::spawn(async move {
        let item = run.work.item.clone();
        run.run().await;
        running_after.lock().remove(&item);
    });
    map.insert(item, task.abort_handle());
}

/// One item while it runs.
struct ItemRun {
    shared: Arc<Shared>,
    work: ItemWork,
    splitter: EventSplitter,
    /// Data of the whole events so far.
    data: Vec<String>,
    /// Replicas that failed it.
    tried: Vec<String>,
    urgency: Urgency,
}

/// How one send of an item ended.
enum RunEnd {
    Outcome(ItemOutcome),
    /// It goes on at another replica after the last whole event.
    GoOn,
}

impl ItemRun {
    async fn run(mut self) {
        let until = Instant::now() + ITEM_LIMIT;
        while Instant::now() < until {
            let end = self.send_once(until).await;
            if let RunEnd::Outcome(outcome) = end {
                self.report(outcome).await;
                return;
            }
        }
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
            return RunEnd::GoOn;
        };
        let Some(outgoing) = outgoing(&self.shared, &self.work) else {
            return RunEnd::Outcome(ItemOutcome::Unprocessable);
        };
        if !self.has_part_left(&service) {
            sleep(NO_ROOM_PAUSE).await;
            return RunEnd::GoOn;
        }
        let prompt = self.shared.dialect.prompt(&outgoing.headers);
        let need = Need {
            service: &service,
            prompt: &prompt.parts,
            except: &self.tried,
            busy_share: Some(self.shares(&service).replica),
            yielding: None,
        };
        let Some(chosen) = self.shared.choose(&need) else {
            self.tried.clear();
            sleep(NO_ROOM_PAUSE).await;
            return RunEnd::GoOn;
        };
        let last_event = self.splitter.last_id();
        let run = self
            .shared
            .batch_runs
            .begin(&service, &chosen.id, self.urgency);
        let limits = Limits {
            until,
            head_until: until.min(Instant::now() + FIRST_EVENT_LIMIT),
        };
        let exchanged = exchange(
            &self.shared,
            &chosen,
            &outgoing,
            &prompt.parts,
            last_event,
            limits,
        );
        let exchanged = tokio::select! {
            exchanged = exchanged => exchanged,
            () = run.stop.cancelled() => return self.give_way(&chosen.id),
        };
        match exchanged {
            Exchange::Answered(opened) => tokio::select! {
                end = self.read(*opened) => end,
                () = run.stop.cancelled() => self.give_way(&chosen.id),
            },
            Exchange::NotRun(_) => {
                self.tried.push(chosen.id);
                sleep(NO_ROOM_PAUSE).await;
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

    /// Whether this gateway has room for the item within its part of the slots.
    fn has_part_left(&self, service: &str) -> bool {
        let part = self.shared.fair_part(service, self.shares(service).start);
        self.shared.own_running(service) < part
    }

    fn shares(&self, service: &str) -> BatchShares {
        if self.urgency.is_urgent(Instant::now()) {
            BatchShares::URGENT
        } else {
            self.shared.batch_shares(service)
        }
    }

    /// It goes on after its last whole event, once there is room.
    fn give_way(&mut self, replica: &str) -> RunEnd {
        self.shared.counters.item_ended(ItemEnd::Interrupted);
        self.splitter.drop_partial();
        info!(self.shared.logger, "item: gives way"; "item" => &self.work.spec.id,
            "replica" => replica, "last_event" => self.splitter.last_id());
        RunEnd::GoOn
    }

    async fn read(&mut self, mut opened: Opened) -> RunEnd {
        let status = opened.response.status();
        if status.as_u16() == UNPROCESSABLE {
            return RunEnd::Outcome(ItemOutcome::Unprocessable);
        }
        if !status.is_success() {
            return RunEnd::Outcome(ItemOutcome::Failed {
                failures_before: self.work.failures,
            });
        }
        let whole = self.read_events(&mut opened).await;
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
        let text = std::mem::take(&mut self.data).join("\n");
        RunEnd::Outcome(ItemOutcome::Succeeded(text))
    }

    /// Whether the stream came to its whole end.
    async fn read_events(&mut self, opened: &mut Opened) -> bool {
        let body: &mut Incoming = opened.response.body_mut();
        loop {
            match timeout(SILENCE_LIMIT, body.frame()).await {
                Ok(None) => return !self.splitter.has_partial(),
                Ok(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    opened.running.first_event();
                    let Some(events) = self.splitter.push(&data) else {
                        return false;
                    };
                    self.data.extend(data_of(&events));
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
