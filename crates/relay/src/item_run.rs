//! One leased batch item. It runs on slots that online requests leave free, resumes after its
//! last event, and ends with a report or is returned to the job store.

mod route;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Method, Uri};
use linnethitch_clock::{Instant, sleep, timeout};
use linnethitch_job_store::{ItemOutcome, ItemWork, StoreCall, StoreReply};
use linnethitch_registry::Route;
use linnethitch_response::{EventSplitter, data_of};
use linnethitch_routing::dispatch::{ChosenReplica, FailureKind, SoftwareNeed};
use slog::info;

use tokio_util::sync::CancellationToken;

use crate::{
    callers::set_tenant_header,
    counters::ItemEnd,
    exchange::{Exchange, Limits, OpenedResponse, Outgoing, Target, exchange},
    item_request::{ItemFault, ItemRequest},
    running_items::GeneratedProgress,
    search::{Placement, Search},
    shared::Shared,
    slots::{ItemSlot, SlotLease},
    source::{BodyKind, Source},
};

/// Time limit for a report; after it the lease ends and the item runs again.
const REPORT_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time without data from a replica in the middle of an item.
const STALL_TIMEOUT: Duration = Duration::from_millis(2_500);
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_secs(6);
/// Time limit of a run of an item.
const ITEM_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum wait for a slot before the item is returned, so that another gateway can continue it.
const SLOT_WAIT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long an item that cannot run at present is deferred at a gateway. Each gateway where it is
/// deferred costs two calls to the job store.
const DEFER_DURATION: Duration = Duration::from_secs(5);
/// Delay after a replica declined an item.
const DECLINED_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Delay of an item before its next run for each replica that ended under its runs. An item that
/// ends replicas would otherwise end all of them before gateways know which of its parts is common.
const SUSPECTED_RETRY_DELAY: Duration = Duration::from_millis(400);
const MAX_SUSPECTED_RETRY_DELAY: Duration = Duration::from_millis(1_600);
/// Status of an item that can never be processed.
const UNPROCESSABLE: u16 = 422;

/// A running item.
pub(crate) struct ItemRun {
    shared: Arc<Shared>,
    stopping: CancellationToken,
    work: ItemWork,
    leased_at: Instant,
    splitter: EventSplitter,
    generated: GeneratedProgress,
    /// Replicas that failed the item.
    tried: Vec<String>,
    due: Instant,
    /// Number of ends of replicas for which the item was delayed.
    delayed_ends: usize,
    /// Whether its parts were counted.
    is_counted: bool,
}

/// The replica and slot of an item.
struct ItemPlacement {
    chosen: ChosenReplica,
    /// A slot that online requests may preempt.
    slot: Option<ItemSlot>,
    /// The slot of a suspected item, which runs without other suspected requests.
    lease: Option<SlotLease>,
}

/// How an item's task ended.
pub(crate) enum ItemEnding {
    /// The outcome was reported.
    Reported,
    /// Another gateway continues the item.
    Returned,
}

/// How one run of an item ended.
enum RunEnd {
    Outcome(ItemOutcome),
    /// The item continues at another replica after its last complete event.
    Continue,
    /// The item continues at another gateway.
    Return,
}

impl ItemRun {
    /// A run of leased work that continues after the generated events.
    pub(crate) fn new(
        shared: Arc<Shared>,
        stopping: CancellationToken,
        work: ItemWork,
        generated: GeneratedProgress,
    ) -> Self {
        ItemRun {
            shared,
            stopping,
            leased_at: Instant::now(),
            splitter: EventSplitter::default(),
            generated,
            tried: Vec::new(),
            due: Instant::now() + Duration::from_millis(work.due_in_ms),
            delayed_ends: 0,
            is_counted: false,
            work,
        }
    }

    /// Runs the item until it is done or has to be returned.
    pub(crate) async fn run(mut self) -> ItemEnding {
        let deadline = Instant::now() + ITEM_TIMEOUT;
        while Instant::now() < deadline && !self.stopping.is_cancelled() {
            match self.send_once(deadline).await {
                RunEnd::Continue => {}
                RunEnd::Return => break,
                RunEnd::Outcome(outcome) => {
                    self.report(outcome).await;
                    return ItemEnding::Reported;
                }
            }
        }
        ItemEnding::Returned
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
        self.shared.gateway.call_store(call, REPORT_TIMEOUT).await;
    }

    /// Reports the last events of a complete response; false if the job store lacks the events
    /// before them.
    async fn finish(&self) -> bool {
        let call = StoreCall::Finish(self.generated.unreported_part(&self.work.item));
        let reply = self.shared.gateway.call_store(call, REPORT_TIMEOUT).await;
        !matches!(reply, StoreReply::ReportAgain(_))
    }

    async fn send_once(&mut self, deadline: Instant) -> RunEnd {
        let route = match self.route().await {
            Ok(route) => route,
            Err(end) => return end,
        };
        let homes = self.shared.homes_of(&route, self.work.tenant.as_deref());
        let begun_at = self.service_of_text(&route);
        let Some(service) = begun_at.or_else(|| self.shared.pick_service(&route, &homes)) else {
            return RunEnd::Return;
        };
        let outgoing = match outgoing(&self.shared, &self.work, &route) {
            Ok(outgoing) => outgoing,
            Err(fault) => return self.defer_unsendable(&fault).await,
        };
        if self.shared.has_no_home(&service, &homes) {
            return self
                .defer("no replica in its home regions", &outgoing)
                .await;
        }
        let prompt = self.shared.dialect.prompt(&outgoing.headers);
        if !self.is_counted {
            self.is_counted = true;
            self.shared.note_parts(&route.name, &outgoing);
        }
        let known = self.shared.known_ends(&outgoing, &route.name, &service);
        let Ok(known_ends) = known.await else {
            return self.defer("suspected of ending replicas", &outgoing).await;
        };
        if self.shared.is_refused_while_isolated(&known_ends) {
            return self.defer("suspected of ending replicas", &outgoing).await;
        }
        let ends = known_ends.content.lengths_ms.len();
        if ends > self.delayed_ends {
            self.delayed_ends = ends;
            return self.delay_suspected(ends).await;
        }
        let isolation_number = known_ends.isolation_number(|| outgoing.fingerprint());
        let placed = match isolation_number {
            None => self.wait_for_slot(&service, &outgoing).await,
            Some(number) => self.place_isolated(&service, &outgoing, number).await,
        };
        let Some(ItemPlacement {
            chosen,
            slot,
            lease,
        }) = placed
        else {
            return RunEnd::Return;
        };
        // A suspected item holds the slot of an online request and is not preempted.
        let stop = slot.as_ref().map(|slot| slot.stop.clone());
        let stop = stop.unwrap_or_default();
        let software = self.generated.software();
        if !self.shared.may_serve(&chosen.id, &software) {
            // The replica came back with other software after the slot was requested.
            return RunEnd::Continue;
        }
        let last_event = self.generated.last_event();
        let limits = Limits {
            deadline,
            head_deadline: deadline.min(Instant::now() + FIRST_EVENT_TIMEOUT),
        };
        let slot_report = slot.as_ref().map(|slot| slot.report.clone());
        let lease_report = lease.as_ref().map(|lease| lease.report.clone());
        let target = Target {
            chosen: &chosen,
            route: &route.name,
            service: &service,
            known_ends,
            report: slot_report.or(lease_report).unwrap_or_default(),
            lease,
            last_event,
            software: &software,
            limits,
        };
        let mut former = None;
        let exchanged = exchange(&self.shared, &outgoing, &prompt.parts, target, &mut former);
        let exchanged = tokio::select! {
            exchanged = exchanged => exchanged,
            () = stop.cancelled() => return self.preempt(&chosen.id),
            () = self.stopping.cancelled() => return RunEnd::Return,
        };
        match exchanged {
            Exchange::Answered(opened) => {
                let stopping = self.stopping.clone();
                tokio::select! {
                    end = self.read(&service, *opened) => end,
                    () = stop.cancelled() => self.preempt(&chosen.id),
                    () = stopping.cancelled() => RunEnd::Return,
                }
            }
            Exchange::NotRun(_) => {
                self.tried.push(chosen.id);
                sleep(DECLINED_RETRY_DELAY).await;
                RunEnd::Continue
            }
            Exchange::Cold | Exchange::OutsideHomes => {
                sleep(DECLINED_RETRY_DELAY).await;
                RunEnd::Continue
            }
            // `KeyRefused` does not occur: items carry no key.
            Exchange::Suspected | Exchange::KeyRefused(_) | Exchange::Evacuated => RunEnd::Continue,
            Exchange::Unknown => {
                self.tried.push(chosen.id);
                RunEnd::Continue
            }
            Exchange::TimedOut => {
                self.shared.note_failure(&chosen.id, FailureKind::Broken);
                self.tried.push(chosen.id);
                RunEnd::Continue
            }
        }
    }

    /// The service with replicas that are coordinated here and may continue the item's text. The
    /// text is dropped if there is none: other gateways may coordinate such replicas, but waiting
    /// for one of them to lease the item could last as long as they exist.
    fn service_of_text(&mut self, route: &Route) -> Option<String> {
        let software = self.generated.software();
        if software == SoftwareNeed::Any {
            return None;
        }
        let services = route.backends.iter().map(|backend| &backend.service);
        let service = services.into_iter().find(|service| {
            let (matching, _) = self.shared.coordinated_by_software(service, &software);
            !matching.is_empty()
        });
        if service.is_none() {
            info!(self.shared.logger, "item: begins anew, no replica of its software here";
                "item" => &self.work.spec.id, "job" => &self.work.item.job,
                "software" => format!("{software:?}"), "events" => self.generated.events());
            self.shared.counters.items_begun_anew.inc();
            self.generated.begin_anew(self.shared.random_number());
            self.splitter = EventSplitter::default();
        }
        service.cloned()
    }

    /// Waits briefly for a slot of a replica, since the route may change.
    async fn wait_for_slot(&self, service: &str, outgoing: &Outgoing) -> Option<ItemPlacement> {
        let homes = self.shared.homes(outgoing);
        let mut outside = self.shared.coordinated_outside(&homes);
        let software = self.generated.software();
        if software != SoftwareNeed::Any {
            let (_, others) = self.shared.coordinated_by_software(service, &software);
            outside.extend(others);
        }
        let remaining_ms = self
            .shared
            .item_pace(service)
            .remaining_ms(self.generated.events());
        let now = Instant::now();
        let time = self.due.saturating_duration_since(now);
        let begin_by = now + time.saturating_sub(Duration::from_millis(remaining_ms));
        let mut slot = self
            .shared
            .slots
            .queue_item(service, begin_by, self.tried.clone(), outside);
        let replica = timeout(SLOT_WAIT_TIMEOUT, slot.wait_for_grant())
            .await
            .ok()??;
        let chosen = self.shared.chosen_at(&replica)?;
        Some(ItemPlacement {
            chosen,
            slot: Some(slot),
            lease: None,
        })
    }

    /// A slot at a replica that runs no other suspected request; the number chooses the replica.
    async fn place_isolated(
        &self,
        service: &str,
        outgoing: &Outgoing,
        isolation_number: u64,
    ) -> Option<ItemPlacement> {
        let by = Instant::now() + SLOT_WAIT_TIMEOUT;
        let homes = self.shared.homes(outgoing);
        let search = Search {
            shared: &self.shared,
            service,
            prompt: &[],
            isolation_number: Some(isolation_number),
            except: &self.tried,
            homes: &homes,
            software: &self.generated.software(),
            rank: u8::MAX,
            due: by,
            deadline: by,
        };
        let Placement { chosen, lease } = search.run().await?;
        Some(ItemPlacement {
            chosen,
            slot: None,
            lease: Some(lease),
        })
    }

    /// Delays an item under whose runs replicas ended.
    async fn delay_suspected(&self, ends: usize) -> RunEnd {
        let delay = SUSPECTED_RETRY_DELAY * ends as u32;
        tokio::select! {
            () = sleep(delay.min(MAX_SUSPECTED_RETRY_DELAY)) => RunEnd::Continue,
            () = self.stopping.cancelled() => RunEnd::Return,
        }
    }

    /// Defers an item that is suspected of ending replicas or has no replica in its home regions.
    /// It cannot fail before its time is over, so it waits here for a while and is then returned
    /// for another gateway.
    async fn defer(&self, why: &str, outgoing: &Outgoing) -> RunEnd {
        info!(self.shared.logger, "item: deferred, {}", why;
            "item" => &self.work.spec.id, "job" => &self.work.item.job,
            "content" => outgoing.fingerprint().to_string());
        self.hold_then_return().await
    }

    /// Defers an item that cannot be sent, which an earlier build accepted: no replica has
    /// rejected it, so it is given up only once its time is over.
    async fn defer_unsendable(&self, fault: &ItemFault) -> RunEnd {
        info!(self.shared.logger, "item: no valid request"; "item" => &self.work.spec.id,
            "job" => &self.work.item.job, "cause" => %fault);
        self.hold_then_return().await
    }

    /// Keeps the item here for a while, then returns it for another gateway.
    async fn hold_then_return(&self) -> RunEnd {
        tokio::select! {
            () = sleep(DEFER_DURATION) => {}
            () = self.stopping.cancelled() => {}
        }
        RunEnd::Return
    }

    /// The item was preempted. It continues after its last complete event once a slot is free.
    fn preempt(&mut self, replica: &str) -> RunEnd {
        self.shared.counters.item_ended(ItemEnd::Interrupted);
        self.splitter.drop_partial();
        info!(self.shared.logger, "item: preempted"; "item" => &self.work.spec.id,
            "replica" => replica, "last_event" => self.generated.last_event());
        RunEnd::Continue
    }

    async fn read(&mut self, service: &str, opened: OpenedResponse) -> RunEnd {
        let status = opened.response.status();
        if status.as_u16() == UNPROCESSABLE {
            return RunEnd::Outcome(ItemOutcome::Unprocessable);
        }
        if !status.is_success() {
            return RunEnd::Outcome(ItemOutcome::Failed {
                failures_before: self.work.failures,
            });
        }
        let (_, source) = Source::open(opened, BodyKind::Events);
        let mut source = source.continuing(self.generated.last_event().is_some());
        let is_complete = self.read_events(service, &mut source).await;
        if !is_complete {
            source.running.interrupted();
            self.tried.push(source.replica);
            self.splitter.drop_partial();
            return RunEnd::Continue;
        }
        let Source {
            connection,
            running,
            ..
        } = source;
        running.completed();
        drop(running);
        self.shared.connections.release(connection);
        let events = self.generated.events();
        self.shared
            .learn_item_pace(service, |pace| pace.note_item(events));
        RunEnd::Outcome(ItemOutcome::Succeeded(self.generated.text()))
    }

    /// Reads the events; true if the stream was complete.
    async fn read_events(&mut self, service: &str, source: &mut Source) -> bool {
        self.generated
            .begin_at(service, &source.replica, source.software.as_deref());
        let before = self.generated.events();
        let mut began = None;
        loop {
            match timeout(STALL_TIMEOUT, source.data()).await {
                Ok(None) => {
                    let events = self.generated.events() - before;
                    let took = began.map_or(Duration::ZERO, |began: Instant| began.elapsed());
                    let took_ms = took.as_millis() as u64;
                    self.shared
                        .learn_item_pace(service, |pace| pace.note_run(events, took_ms));
                    return source.is_whole(&self.shared).await;
                }
                Ok(Some(Ok(data))) => {
                    source.running.first_event();
                    began.get_or_insert_with(Instant::now);
                    let Some(events) = self.splitter.push(&data) else {
                        return false;
                    };
                    if !events.is_empty() {
                        self.generated
                            .push(data_of(&events), self.splitter.last_id());
                    }
                }
                Ok(Some(Err(_))) | Err(_) => return false,
            }
        }
    }
}

/// The request of an item whose job is on a route.
fn outgoing(shared: &Shared, work: &ItemWork, route: &Route) -> Result<Arc<Outgoing>, ItemFault> {
    let names = shared.dialect.names();
    let ItemRequest {
        path,
        request_id,
        mut headers,
    } = shared.item_request(&work.host, &work.spec)?;
    set_tenant_header(&mut headers, names, false, work.tenant.as_deref());
    Ok(Arc::new(Outgoing {
        method: Method::POST,
        uri: Uri::from(path),
        shared_parts: shared.dialect.prompt(&headers).shared_parts(),
        headers,
        body: Bytes::from(work.spec.body.clone()),
        request_id,
        tenant: work.tenant.clone(),
        route_prefix: Some(route.path_prefix.clone()),
        homes: route.homes.clone(),
        table_version: None,
        admitted: None,
    }))
}
