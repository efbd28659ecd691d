//! One leased batch item. It runs on slots that online requests leave free, resumes after its
//! last event, and ends with a report or is returned to the job store.

mod declines;
mod route;
mod text;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Method, Uri};
use linnethitch_clock::{Instant, sleep, timeout};
use linnethitch_job_store::{ItemOutcome, ItemWork, StoreCall, StoreReply};
use linnethitch_registry::{ConsecutiveEnds, RequestFingerprint, Route, item_pause_ms};
use linnethitch_response::EventSplitter;
use linnethitch_routing::dispatch::{ChosenReplica, FailureKind, SoftwareNeed};
use slog::info;

use tokio_util::sync::CancellationToken;

use self::{declines::Declines, text::TextEnd};
use crate::{
    buffered_bytes::BufferedGuard,
    callers::set_tenant_header,
    counters::ItemEnd,
    deferred_items::DeferReason,
    exchange::{BatchItem, Exchange, Limits, OpenedResponse, Outgoing, Target, exchange},
    item_request::{ItemFault, ItemRequest},
    known_ends::KnownEnds,
    running_items::GeneratedProgress,
    shared::Shared,
    slots::ItemSlot,
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
    /// Memory of the text and of an unfinished event.
    held: BufferedGuard,
    /// Replicas that failed the item.
    tried: Vec<String>,
    declines: Declines,
    due: Instant,
    fingerprint: RequestFingerprint,
}

/// The replica and slot of an item.
struct ItemPlacement {
    chosen: ChosenReplica,
    /// A slot that online requests may preempt.
    slot: ItemSlot,
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
            stopping,
            leased_at: Instant::now(),
            splitter: EventSplitter::default(),
            held: shared.buffered.track(generated.text_bytes()),
            generated,
            tried: Vec::new(),
            declines: Declines::default(),
            due: Instant::now() + Duration::from_millis(work.due_in_ms),
            fingerprint: RequestFingerprint::of_item(&work.item.job, work.item.item),
            shared,
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
        let outgoing = match self.outgoing(&route) {
            Ok(outgoing) => outgoing,
            Err(fault) => return self.defer_unsendable(&fault).await,
        };
        if self.shared.has_no_home(&service, &homes) {
            return self.defer_outside_homes().await;
        }
        let prompt = self.shared.dialect.prompt(&outgoing.headers);
        let ends = self.shared.known_ends_of_item(self.fingerprint).await;
        if let Some(end) = self.pause_after_ends(&ends).await {
            return end;
        }
        let placed = self.wait_for_slot(&service, &outgoing).await;
        let Some(ItemPlacement { chosen, slot }) = placed else {
            if self.declines.has_any() {
                // The replicas that are left have declined it.
                return self.defer_declined(&service).await;
            }
            return RunEnd::Return;
        };
        let stop = slot.stop.clone();
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
        let target = Target {
            chosen: &chosen,
            route: &route.name,
            service: &service,
            known_ends: KnownEnds::of_item(ends),
            report: slot.report.clone(),
            lease: None,
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
            Exchange::NotRun(kind) => {
                self.tried.push(chosen.id);
                // The slot is free for other items.
                drop(slot);
                self.after_decline(kind, &service).await
            }
            Exchange::Cold | Exchange::OutsideHomes => {
                sleep(DECLINED_RETRY_DELAY).await;
                RunEnd::Continue
            }
            // `KeyRefused` and `Suspected` do not occur: items carry no key and are not suspected.
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

    /// The request of the item, whose job is on a route.
    fn outgoing(&self, route: &Route) -> Result<Arc<Outgoing>, ItemFault> {
        let (shared, work) = (&self.shared, &self.work);
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
            shared_parts: Vec::new(),
            headers,
            body: Bytes::from(work.spec.body.clone()),
            request_id,
            tenant: work.tenant.clone(),
            item: Some(BatchItem {
                fingerprint: self.fingerprint,
                route_prefix: route.path_prefix.clone(),
            }),
            homes: route.homes.clone(),
            table_version: None,
            admitted: None,
        }))
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
        let _deferred = self.shared.deferred_items.begin(DeferReason::NoSlot);
        let mut slot = self
            .shared
            .slots
            .queue_item(service, begin_by, self.tried.clone(), outside);
        let replica = timeout(SLOT_WAIT_TIMEOUT, slot.wait_for_grant())
            .await
            .ok()??;
        let chosen = self.shared.chosen_at(&replica)?;
        Some(ItemPlacement { chosen, slot })
    }

    /// Waits out the pause of an item under whose runs replicas ended, which begins anew with each
    /// end. `None` if there is none left; otherwise how the run ends.
    async fn pause_after_ends(&self, ends: &ConsecutiveEnds) -> Option<RunEnd> {
        let ends = ends.lengths_ms.len();
        let elapsed_ms = self.shared.since_last_end_ms(self.fingerprint, ends);
        let pause_ms = item_pause_ms(ends).saturating_sub(elapsed_ms);
        if pause_ms == 0 {
            return None;
        }
        info!(self.shared.logger, "item: pauses after replicas ended under it";
            "item" => &self.work.spec.id, "job" => &self.work.item.job, "ends" => ends,
            "pause_ms" => pause_ms, "due_in_ms" => self.due_in_ms(),
            "fingerprint" => self.fingerprint.to_string());
        let _deferred = self.shared.deferred_items.begin(DeferReason::ReplicasEnded);
        Some(tokio::select! {
            () = sleep(Duration::from_millis(pause_ms)) => RunEnd::Continue,
            () = self.stopping.cancelled() => RunEnd::Return,
        })
    }

    fn due_in_ms(&self) -> u64 {
        let remaining = self.due.saturating_duration_since(Instant::now());
        remaining.as_millis() as u64
    }

    /// Defers an item without a replica in its home regions. It cannot fail before its time is
    /// over, so it waits here for a while and is then returned for another gateway.
    async fn defer_outside_homes(&self) -> RunEnd {
        info!(self.shared.logger, "item: deferred, no replica in its home regions";
            "item" => &self.work.spec.id, "job" => &self.work.item.job,
            "due_in_ms" => self.due_in_ms());
        self.hold_then_return(DeferReason::OutsideHomes).await
    }

    /// Defers an item that cannot be sent, which an earlier build accepted: no replica has
    /// rejected it, so it is given up only once its time is over.
    async fn defer_unsendable(&self, fault: &ItemFault) -> RunEnd {
        info!(self.shared.logger, "item: no valid request"; "item" => &self.work.spec.id,
            "job" => &self.work.item.job, "cause" => %fault);
        self.hold_then_return(DeferReason::Unsendable).await
    }

    /// Keeps the item here for a while, then returns it for another gateway.
    async fn hold_then_return(&self, reason: DeferReason) -> RunEnd {
        let _deferred = self.shared.deferred_items.begin(reason);
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
        let text_end = self.read_events(service, &mut source).await;
        if text_end != TextEnd::Whole {
            source.running.interrupted();
            self.splitter.drop_partial();
            return self.after_incomplete_text(text_end, source.replica).await;
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
}
