//! One leased batch item: it runs on slots that online requests leave free, goes
//! on after its last event, and ends with a report or is given back.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Uri};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use linnethitch_clock::{Instant, sleep, timeout};
use linnethitch_job_store::{ItemOutcome, ItemWork, StoreCall, StoreReply};
use linnethitch_registry::{Route, RouteKind};
use linnethitch_routing::dispatch::{ChosenReplica, FailureKind};
use slog::info;

use tokio_util::sync::CancellationToken;

use crate::{
    callers::name_tenant,
    counters::ItemEnd,
    events::{EventSplitter, data_of},
    exchange::{Exchange, Limits, Opened, Outgoing, Target, exchange},
    running_items::Made,
    search::{Placed, Search},
    shared::Shared,
    slots::{ItemSlot, SlotLease},
};

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
/// How long an item that cannot be run for now rests at a gateway. Each gateway that it
/// rests at costs two calls of the job store.
const SET_ASIDE_FOR: Duration = Duration::from_secs(5);
/// Pause after a replica did not take an item.
const NOT_TAKEN_PAUSE: Duration = Duration::from_millis(100);
/// Status that says that an item can never be done.
const UNPROCESSABLE: u16 = 422;

/// One item while it runs.
pub(crate) struct ItemRun {
    shared: Arc<Shared>,
    stopping: CancellationToken,
    work: ItemWork,
    splitter: EventSplitter,
    made: Made,
    /// Replicas that failed it.
    tried: Vec<String>,
    due: Instant,
}

/// Where an item runs.
struct ItemPlace {
    chosen: ChosenReplica,
    /// The slot that it has while online requests do not need it.
    slot: Option<ItemSlot>,
    /// The slot of an item that runs alone.
    lease: Option<SlotLease>,
}

/// How an item's task ended.
pub(crate) enum ItemEnding {
    /// Its outcome was reported.
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
    /// A run of leased work that goes on after what was made.
    pub(crate) fn new(
        shared: Arc<Shared>,
        stopping: CancellationToken,
        work: ItemWork,
        made: Made,
    ) -> Self {
        ItemRun {
            shared,
            stopping,
            splitter: EventSplitter::default(),
            made,
            tried: Vec::new(),
            due: Instant::now() + Duration::from_millis(work.due_in_ms),
            work,
        }
    }

    /// Runs it until it is done or has to be given back.
    pub(crate) async fn run(mut self) -> ItemEnding {
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
        let is_done = matches!(outcome, ItemOutcome::Succeeded(_));
        if is_done && self.finish().await {
            return;
        }
        let call = StoreCall::Report {
            item: self.work.item.clone(),
            outcome,
        };
        self.shared.gateway.call_store(call, REPORT_LIMIT).await;
    }

    /// Reports the last events of a whole answer; false when the job store does not
    /// hold those before them.
    async fn finish(&self) -> bool {
        let call = StoreCall::Finish(self.made.last_part(&self.work.item));
        let reply = self.shared.gateway.call_store(call, REPORT_LIMIT).await;
        !matches!(reply, StoreReply::TellAgain(_))
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
        let homes = self.shared.homes_of(&route, self.work.tenant.as_deref());
        let Some(service) = self.shared.pick_service(&route, &homes) else {
            return RunEnd::GiveBack;
        };
        let Some(outgoing) = outgoing(&self.shared, &self.work) else {
            return RunEnd::Outcome(ItemOutcome::Unprocessable);
        };
        if self.shared.has_no_home(&service, &homes) {
            return self.set_aside("outside its homes", &outgoing).await;
        }
        let prompt = self.shared.dialect.prompt(&outgoing.headers);
        let Some(known_ends) = self.shared.known_ends(&outgoing).await else {
            return self.set_aside("replicas end under it", &outgoing).await;
        };
        if self.shared.is_tried_alone_enough(&known_ends) {
            return self.set_aside("replicas end under it", &outgoing).await;
        }
        let placed = if known_ends.is_empty() {
            self.wait_for_slot(&service, &outgoing).await
        } else {
            self.place_apart(&service, &outgoing).await
        };
        let Some(ItemPlace {
            chosen,
            slot,
            lease,
        }) = placed
        else {
            return RunEnd::GiveBack;
        };
        // One that runs alone has an online request's slot and does not give way.
        let stop = slot.as_ref().map(|slot| slot.stop.clone());
        let stop = stop.unwrap_or_default();
        let last_event = self.made.last_event();
        let limits = Limits {
            until,
            head_until: until.min(Instant::now() + FIRST_EVENT_LIMIT),
        };
        let slot_report = slot.as_ref().map(|slot| slot.report.clone());
        let lease_report = lease.as_ref().map(|lease| lease.report.clone());
        let target = Target {
            chosen: &chosen,
            known_ends,
            report: slot_report.or(lease_report).unwrap_or_default(),
            lease,
            last_event,
            limits,
        };
        let exchanged = exchange(&self.shared, &outgoing, &prompt.parts, target);
        let exchanged = tokio::select! {
            exchanged = exchanged => exchanged,
            () = stop.cancelled() => return self.give_way(&chosen.id),
            () = self.stopping.cancelled() => return RunEnd::GiveBack,
        };
        match exchanged {
            Exchange::Answered(opened) => {
                let stopping = self.stopping.clone();
                tokio::select! {
                    end = self.read(&service, *opened) => end,
                    () = stop.cancelled() => self.give_way(&chosen.id),
                    () = stopping.cancelled() => RunEnd::GiveBack,
                }
            }
            Exchange::NotRun(_) => {
                self.tried.push(chosen.id);
                sleep(NOT_TAKEN_PAUSE).await;
                RunEnd::GoOn
            }
            Exchange::Cold | Exchange::OutsideHomes => {
                sleep(NOT_TAKEN_PAUSE).await;
                RunEnd::GoOn
            }
            // Items carry no key.
            Exchange::Suspected | Exchange::KeyRefused(_) | Exchange::Evacuated => RunEnd::GoOn,
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
    async fn wait_for_slot(&self, service: &str, outgoing: &Outgoing) -> Option<ItemPlace> {
        let homes = self.shared.homes(outgoing);
        let outside = self.shared.coordinated_outside(&homes);
        let left_ms = self
            .shared
            .item_pace(service)
            .remaining_ms(self.made.events());
        let now = Instant::now();
        let time = self.due.saturating_duration_since(now);
        let begin_by = now + time.saturating_sub(Duration::from_millis(left_ms));
        let mut slot = self
            .shared
            .slots
            .want_slot(service, begin_by, self.tried.clone(), outside);
        let replica = timeout(SLOT_WAIT, slot.granted()).await.ok()??;
        let chosen = self.shared.chosen_at(&replica)?;
        Some(ItemPlace {
            chosen,
            slot: Some(slot),
            lease: None,
        })
    }

    /// A slot where no other request runs under which replicas ended.
    async fn place_apart(&self, service: &str, outgoing: &Outgoing) -> Option<ItemPlace> {
        let by = Instant::now() + SLOT_WAIT;
        let homes = self.shared.homes(outgoing);
        let search = Search {
            shared: &self.shared,
            service,
            prompt: &[],
            outgoing,
            alone: true,
            except: &self.tried,
            homes: &homes,
            rank: u8::MAX,
            due: by,
            until: by,
        };
        let Placed { chosen, lease } = search.run().await?;
        Some(ItemPlace {
            chosen,
            slot: None,
            lease: Some(lease),
        })
    }

    /// It is not run now: replicas end under it, or it has no home. It cannot be given up
    /// either before its time is over, so it rests here for a while, then elsewhere.
    async fn set_aside(&self, why: &str, outgoing: &Outgoing) -> RunEnd {
        info!(self.shared.logger, "item: set aside, {}", why;
            "item" => &self.work.spec.id, "job" => &self.work.item.job,
            "content" => outgoing.fingerprint().to_string());
        tokio::select! {
            () = sleep(SET_ASIDE_FOR) => {}
            () = self.stopping.cancelled() => {}
        }
        RunEnd::GiveBack
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
            opened.running.broke();
            self.tried.push(opened.replica);
            self.splitter.drop_partial();
            return RunEnd::GoOn;
        }
        opened.running.came_to_an_end();
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

fn outgoing(shared: &Shared, work: &ItemWork) -> Option<Arc<Outgoing>> {
    let names = shared.dialect.names();
    let mut headers = HeaderMap::new();
    for (name, value) in &work.spec.headers {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_str(value).ok()?);
    }
    let request_id = HeaderValue::from_str(&work.spec.id).ok()?;
    headers.insert(names.request_id.clone(), request_id.clone());
    name_tenant(&mut headers, names, false, work.tenant.as_deref());
    headers.insert(http::header::HOST, HeaderValue::from_str(&work.host).ok()?);
    Some(Arc::new(Outgoing {
        method: Method::POST,
        uri: work.spec.path.parse::<Uri>().ok()?,
        headers,
        body: Bytes::from(work.spec.body.clone()),
        request_id,
        tenant: work.tenant.clone(),
        homes: Vec::new(),
        table_version: None,
        admitted: None,
    }))
}
