//! One caller's request: sends it, retries where that is safe, and answers the caller.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{Response, StatusCode, header, response::Parts};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Body, Frame};
use linnethitch_clock::{Instant, sleep, timeout_at};
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::slots::RunOutcome;
use linnethitch_registry::{Route, RouteKind};
use linnethitch_routing::{
    answer_times::StopRequest,
    cold::ColdState,
    dispatch::{FailureKind, RequestNeeds, SoftwareNeed},
};
use slog::info;
use tokio::sync::mpsc;

use crate::{
    callers::KeyRefusal,
    counters::{RequestEnd, TakeUpOutcome},
    dialect::Prompt,
    exchange::{
        Exchange, Limits, OpenedResponse, Outgoing, Target, exchange, strip_connection_headers,
    },
    homes::HomeZones,
    known_ends::RefusedBy,
    planned_stop::{AnsweredRequest, RunState},
    pump::{Pump, PumpSettings},
    response::{BodyFailure, ResponseBody, error_response, full_body},
    search::{Placement, Search},
    shared::Shared,
    source::{BodyKind, Interrupted, Source},
    taken_up::StreamOrigin,
};

/// Default `Retry-After`, used where no better estimate is known.
pub(crate) const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(150);
/// `Retry-After` while all replicas are in evacuated zones: evacuations last for seconds, and
/// gateways learn of their end within one second.
const EVACUATION_RETRY_AFTER: Duration = Duration::from_secs(1);
/// `Retry-After` for requests refused because this gateway is isolated: network partitions last
/// for seconds.
const ISOLATION_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum `Retry-After` while replicas are cold. For a gateway without a share of a cold
/// replica's rate, the exact value would be the whole cold period, up to a day, while other
/// gateways have shares of each second and other replicas may become warm sooner.
const MAX_COLD_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Largest response body that is buffered completely before it is forwarded.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 512 * 1024;
/// A request waits at most its target divided by this number for a replica; then it is refused.
const TARGET_WAIT_DIVISOR: u32 = 5;
const REPLICA_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// A repeatable request is sent to another replica when no response begins within this time, or
/// within [`RESPONSE_TIMEOUT_FACTOR`] times the expected time if that is longer.
const MIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(900);
const RESPONSE_TIMEOUT_FACTOR: f64 = 4.0;
/// Slot waits longer than this are logged.
const LONG_SLOT_WAIT: Duration = Duration::from_millis(100);
/// Delay before the next round after every replica refused a request as full, while the request
/// can still meet its target. A slot of an application replica becomes free within milliseconds,
/// and a replica whose two peers are down clears a burst of 225 requests per second at 200 within
/// a second, while callers allow three seconds. Without these rounds, callers were refused after
/// four tries: 510 of 6,000 requests in a run with two of three replicas down.
const FULL_RETRY_DELAY: Duration = Duration::from_millis(15);
/// Delay once the request is past its target: the burst may be over by the next round, and slots
/// that become free meanwhile go to requests that can still meet their targets.
const LATE_FULL_RETRY_DELAY: Duration = Duration::from_millis(250);
/// A request retries full replicas until this share of its time has passed; the remaining time is
/// for its run.
const FULL_RETRY_TIME_SHARE: f64 = 0.6;
/// Frames of a stream that are queued for a slow caller.
const STREAM_BUFFER_FRAMES: usize = 8;

/// A request in progress.
pub(crate) struct Attempt<'a> {
    pub(crate) shared: &'a Arc<Shared>,
    pub(crate) route: &'a Route,
    pub(crate) service: String,
    pub(crate) outgoing: Arc<Outgoing>,
    pub(crate) prompt: Prompt,
    /// Priority rank; 0 is the highest.
    pub(crate) rank: u8,
    pub(crate) deadline: Instant,
    pub(crate) arrived: Instant,
    /// Replicas that the request was sent to or that declined it; it is not sent there again.
    pub(crate) tried: Vec<String>,
    /// Number of sends that may have run.
    pub(crate) runs: u32,
    pub(crate) refusals: usize,
    /// Replicas that refused the request as full since its last pause.
    pub(crate) full: Vec<String>,
    /// Number of pauses after every replica had refused the request as full.
    pub(crate) pauses: u32,
    /// The stream that the request begins or takes up, and the software that may serve it.
    pub(crate) origin: StreamOrigin,
    /// Until when the caller may take the stream up again.
    pub(crate) take_up_until: Instant,
    /// Whether the request may have run.
    pub(crate) run_state: RunState,
}

/// How long the head of a response is awaited that is expected after this time, where another
/// replica may be tried.
pub(crate) fn response_timeout(expected_ms: f64) -> Duration {
    let expected = Duration::from_secs_f64(expected_ms / 1_000.0);
    let factored = expected.mul_f64(RESPONSE_TIMEOUT_FACTOR);
    factored.max(MIN_RESPONSE_TIMEOUT)
}

impl Attempt<'_> {
    pub(crate) async fn run(mut self) -> Response<ResponseBody> {
        self.shared.note_parts(&self.route.name, &self.outgoing);
        loop {
            let known = self
                .shared
                .known_ends(&self.outgoing, &self.route.name, &self.service);
            let known_ends = match known.await {
                Ok(known_ends) => known_ends,
                Err(refused_by) => return self.refuse_as_suspected(refused_by),
            };
            if self.shared.is_refused_while_isolated(&known_ends) {
                return self.refuse_while_isolated();
            }
            let homes = self.shared.homes(&self.outgoing);
            if !self.ensure_home_service(&homes) {
                return self.refuse_outside_homes();
            }
            if !self.has_software() {
                return self.refuse_version_gone();
            }
            let except: Vec<String> = self.tried.iter().chain(&self.full).cloned().collect();
            let search = Search {
                shared: self.shared,
                service: &self.service,
                prompt: &self.prompt.parts,
                isolation_number: known_ends.isolation_number(|| self.outgoing.fingerprint()),
                except: &except,
                homes: &homes,
                software: &self.origin.software,
                rank: self.rank,
                due: self.due(),
                deadline: self.deadline,
            };
            let began = Instant::now();
            let placed = tokio::select! {
                biased;
                () = self.until_too_short_for_stop() => return self.refuse_as_stopping(),
                placed = search.run() => placed,
            };
            let Some(Placement { chosen, lease }) = placed else {
                if self.shared.is_service_evacuated(&self.service, &homes) {
                    return self.refuse_as_evacuated();
                }
                if self.wait_for_replica().await {
                    continue;
                }
                return self.give_up_unplaced();
            };
            self.note_slot_wait(&chosen.id, began.elapsed());
            let limits = self.limits(chosen.expected_ms);
            let target = Target {
                chosen: &chosen,
                route: &self.route.name,
                service: &self.service,
                known_ends,
                report: lease.report.clone(),
                lease: Some(lease),
                last_event: None,
                software: &self.origin.software,
                limits,
            };
            let (outgoing, prompt) = (&self.outgoing, &self.prompt.parts);
            let mut former = None;
            self.run_state.set_may_have_run(true);
            let sending = exchange(self.shared, outgoing, prompt, target, &mut former);
            let exchanged = sending.await;
            let may_have_run = self.runs > 0 || exchanged.may_have_run();
            self.run_state.set_may_have_run(may_have_run);
            match exchanged {
                Exchange::Answered(opened) => {
                    if let Some(response) = self.forward(*opened).await {
                        return response;
                    }
                    self.note_run(&chosen.id);
                }
                Exchange::NotRun(kind) => {
                    self.note_refusal(&chosen.id, kind);
                    continue;
                }
                // The request was not sent; search for another replica.
                Exchange::Suspected
                | Exchange::Evacuated
                | Exchange::OutsideHomes
                | Exchange::Cold => continue,
                Exchange::KeyRefused(refusal) => return self.refuse_key(refusal),
                Exchange::Unknown => self.note_run(&chosen.id),
                Exchange::TimedOut if limits.head_deadline < self.deadline => {
                    self.shared.note_failure(&chosen.id, FailureKind::Broken);
                    self.note_run(&chosen.id);
                }
                Exchange::TimedOut => {
                    self.runs += 1;
                    return self.give_up("deadline exceeded");
                }
            }
            if !self.may_send_after(self.runs) || Instant::now() >= self.deadline {
                return self.give_up("response lost");
            }
            self.shared.counters.retries.inc();
        }
    }

    /// Completes once the request may not be answered before this process ends, if it begins now.
    async fn until_too_short_for_stop(&self) {
        let stop = &self.shared.stop;
        stop.until_too_short(|| self.stop_request()).await;
    }

    /// What a planned stop asks of the request if it begins now.
    fn stop_request(&self) -> StopRequest<'_> {
        StopRequest {
            route: &self.route.name,
            services: vec![&self.service],
            limit_ms: remaining_ms(self.deadline),
            max_output_tokens: self.prompt.max_output_tokens,
            target_ms: self.route.target_ms,
            is_repeatable: self.route.is_repeatable(),
        }
    }

    /// Refuses a request that waited for a replica until this process was about to end.
    fn refuse_as_stopping(&self) -> Response<ResponseBody> {
        if self.runs > 0 {
            return self.give_up("no time for another replica before the gateway stops");
        }
        let remaining = self.shared.stop.remaining().unwrap_or_default();
        self.shared
            .refuse_as_stopping(self.outgoing.id(), &self.route.name, remaining)
    }

    /// Whether the selected service, or another service of the route, has a replica zone among
    /// the request's homes. Selects another service if needed: homes may have changed since the
    /// service was selected.
    fn ensure_home_service(&mut self, homes: &HomeZones) -> bool {
        if !self.shared.has_no_home(&self.service, homes) {
            return true;
        }
        if self.origin.service.is_some() {
            // A stream goes on at the service that began it.
            return false;
        }
        let picked = self.shared.pick_service(self.route, homes);
        self.service = picked.unwrap_or_else(|| self.service.clone());
        !self.shared.has_no_home(&self.service, homes)
    }

    /// The time at which the request misses its target.
    fn due(&self) -> Instant {
        self.arrived + Duration::from_millis(self.route.target_ms)
    }

    /// The time until which the request retries replicas that were full.
    fn full_retry_deadline(&self) -> Instant {
        let time = self.deadline.saturating_duration_since(self.arrived);
        self.arrived + time.mul_f64(FULL_RETRY_TIME_SHARE)
    }

    /// Whether the request may be sent again after this number of runs.
    fn may_send_after(&self, runs: u32) -> bool {
        self.route.is_repeatable() && runs < self.route.max_attempts
    }

    /// Time limits of one send. Where another replica may be tried, the response head of the
    /// first is awaited for a shorter time.
    fn limits(&self, expected_ms: f64) -> Limits {
        let mut head_deadline = self.deadline;
        let head_timeout = response_timeout(expected_ms);
        // In a planned stop the first replica is awaited if there is no time to try another one.
        let stop = &self.shared.stop;
        let may_try_another = self.may_send_after(self.runs + 1)
            && stop.may_begin_again_after(head_timeout, || self.stop_request());
        if may_try_another {
            head_deadline = head_deadline.min(Instant::now() + head_timeout);
        }
        Limits {
            deadline: self.deadline,
            head_deadline,
        }
    }

    fn note_run(&mut self, replica: &str) {
        self.runs += 1;
        self.tried.push(replica.to_owned());
        self.log("send failed", replica);
    }

    fn note_refusal(&mut self, replica: &str, kind: FailureKind) {
        self.refusals += 1;
        // The request goes to another replica next.
        if kind == FailureKind::Full {
            self.full.push(replica.to_owned());
        } else {
            self.tried.push(replica.to_owned());
            self.log("declined by replica", replica);
        }
    }

    fn log(&self, what: &str, replica: &str) {
        info!(self.shared.logger, "request: {}", what; "request" => self.outgoing.id(),
            "replica" => replica, "runs" => self.runs, "refusals" => self.refusals,
            "ms" => self.arrived.elapsed().as_millis() as u64);
    }

    /// Records how long the request took to get a slot.
    fn note_slot_wait(&self, replica: &str, took: Duration) {
        self.shared.counters.record_slot_wait(took);
        if took > LONG_SLOT_WAIT {
            self.log("waited for a slot", replica);
        }
    }

    /// Waits briefly where that may help: no replica is available at the moment, or all available
    /// replicas were full. Returns false if the request is to be refused at once.
    async fn wait_for_replica(&mut self) -> bool {
        // After a pause this gateway still avoids some of the replicas that were full, so it
        // continues to wait.
        let were_full = !self.full.is_empty() || self.pauses > 0;
        if were_full && Instant::now() < self.full_retry_deadline() {
            self.full.clear();
            self.pauses += 1;
            let is_late = Instant::now() >= self.due();
            sleep(if is_late {
                LATE_FULL_RETRY_DELAY
            } else {
                FULL_RETRY_DELAY
            })
            .await;
            return true;
        }
        if let Some(next) = self.usable_cold_delay() {
            self.full.clear();
            sleep(next.max(REPLICA_POLL_INTERVAL)).await;
            return true;
        }
        if self.may_wait() {
            sleep(REPLICA_POLL_INTERVAL).await;
            return true;
        }
        false
    }

    /// Time until this gateway may send the request to a cold replica that has not been tried.
    fn cold_send_delay(&self) -> Option<Duration> {
        let homes = self.shared.homes(&self.outgoing);
        self.shared.cold_send_delay(&self.need(&homes))
    }

    /// What the request needs, excluding replicas that have been tried.
    fn need<'b>(&'b self, homes: &'b HomeZones) -> RequestNeeds<'b> {
        RequestNeeds {
            service: &self.service,
            prompt: &self.prompt.parts,
            except: &self.tried,
            homes: homes.as_ref(),
            software: &self.origin.software,
        }
    }

    /// Time until the request may be sent to a cold replica, if it can still meet its target
    /// then.
    fn usable_cold_delay(&self) -> Option<Duration> {
        let next = self.cold_send_delay()?;
        let remaining = self
            .due()
            .min(self.deadline)
            .saturating_duration_since(Instant::now());
        (!next.is_zero() && next < remaining / 2).then_some(next)
    }

    /// `Retry-After` for a refused caller.
    fn retry_after(&self) -> Duration {
        let next = self.cold_send_delay();
        next.map_or(DEFAULT_RETRY_AFTER, |next| {
            next.clamp(DEFAULT_RETRY_AFTER, MAX_COLD_RETRY_AFTER)
        })
    }

    /// Whether the request may wait briefly for a replica; only before its first send.
    fn may_wait(&self) -> bool {
        let wait = Duration::from_millis(self.route.target_ms) / TARGET_WAIT_DIVISOR;
        self.tried.is_empty() && self.arrived.elapsed() < wait && Instant::now() < self.deadline
    }

    fn record_served(&self) {
        if self.shared.is_sampled() {
            self.log("served", "");
        }
        self.shared.note_served(&AnsweredRequest {
            route: &self.route.name,
            service: &self.service,
            max_output_tokens: self.prompt.max_output_tokens,
            arrived: self.arrived,
        });
        self.shared
            .counters
            .record_first_byte(self.arrived.elapsed());
    }

    fn record_end(&self, end: RequestEnd) {
        self.shared.counters.request_ended(&self.route.name, end);
        self.shared
            .counters
            .record_first_byte(self.arrived.elapsed());
    }

    /// Refuses a request that is suspected of ending replicas. If this attempt has not run, the
    /// response is one that clients do not retry by themselves.
    fn refuse_as_suspected(&self, refused_by: RefusedBy) -> Response<ResponseBody> {
        if self.runs > 0 {
            return self.give_up("suspected of ending replicas");
        }
        info!(self.shared.logger, "request: refused, suspected of ending replicas";
            "request" => self.outgoing.id(),
            "content" => self.outgoing.fingerprint().to_string(), "part" => refused_by.part());
        self.record_end(RequestEnd::EndsReplicas);
        error_response(ErrorKind::EndsReplicas, None)
    }

    /// Refuses a request that is suspected of ending replicas, at an isolated gateway.
    fn refuse_while_isolated(&self) -> Response<ResponseBody> {
        if self.runs > 0 {
            return self.give_up("suspected of ending replicas, and this gateway is isolated");
        }
        self.log(
            "refused, suspected of ending replicas and this gateway is isolated",
            "",
        );
        self.record_end(RequestEnd::EndsReplicas);
        error_response(ErrorKind::NoBackEnd, Some(ISOLATION_RETRY_AFTER))
    }

    /// Whether any replica may serve the request, by its software.
    fn has_software(&self) -> bool {
        self.origin.software == SoftwareNeed::Any
            || self
                .shared
                .has_software(&self.service, &self.origin.software)
    }

    /// Refuses a request whose stream no replica can continue, without waiting.
    fn refuse_version_gone(&self) -> Response<ResponseBody> {
        if self.runs > 0 {
            return self.give_up("no replica of the stream's software");
        }
        let (id, software) = (self.outgoing.id(), &self.origin.software);
        self.shared.refuse_version_gone(id, self.route, software)
    }

    /// Refuses a request whose replicas are all in evacuated zones, without waiting: a short wait
    /// does not help.
    fn refuse_as_evacuated(&self) -> Response<ResponseBody> {
        if self.runs > 0 {
            return self.give_up("all replicas are in evacuated zones");
        }
        self.log("refused, all replicas are in evacuated zones", "");
        self.record_end(RequestEnd::Evacuated);
        error_response(ErrorKind::NoBackEnd, Some(EVACUATION_RETRY_AFTER))
    }

    /// Refuses a request that may not be served by any replica of its service.
    fn refuse_outside_homes(&self) -> Response<ResponseBody> {
        if self.runs > 0 {
            return self.give_up("no replica in its home regions");
        }
        let tenant = self.outgoing.tenant.as_deref();
        self.shared
            .counters
            .record_first_byte(self.arrived.elapsed());
        self.shared
            .refuse_outside_homes(self.outgoing.id(), self.route, tenant)
    }

    /// Refuses a request whose key was revoked before it was sent.
    fn refuse_key(&self, refusal: KeyRefusal) -> Response<ResponseBody> {
        if self.runs > 0 {
            return self.give_up("key revoked");
        }
        self.record_end(RequestEnd::KeyRefused);
        refusal.answer()
    }

    /// Refuses a request for which no replica was found.
    fn give_up_unplaced(&self) -> Response<ResponseBody> {
        match self.state_of_available() {
            ColdState::Warm => self.give_up("no replica available"),
            ColdState::Cold => self.give_up("replicas are cold"),
            ColdState::Unsure => self.give_up("replicas may be cold"),
        }
    }

    /// Cold state of the replicas that are otherwise available to the request.
    fn state_of_available(&self) -> ColdState {
        let homes = self.shared.homes(&self.outgoing);
        self.shared.state_of_available(&self.need(&homes))
    }

    /// Ends a request that no replica answered.
    fn give_up(&self, why: &str) -> Response<ResponseBody> {
        self.log(why, "");
        if self.runs == 0 {
            self.record_end(RequestEnd::Refused);
            return error_response(ErrorKind::NoBackEnd, Some(self.retry_after()));
        }
        self.record_end(RequestEnd::Failed);
        let kind = if Instant::now() >= self.deadline {
            ErrorKind::DeadlineExceeded
        } else {
            ErrorKind::BackEndFailed
        };
        error_response(kind, None)
    }

    /// Forwards a response; `None` if the response was incomplete and none of it has been
    /// forwarded.
    async fn forward(&mut self, opened: OpenedResponse) -> Option<Response<ResponseBody>> {
        let is_stream =
            self.route.kind == RouteKind::Streaming && opened.response.status() == StatusCode::OK;
        let is_bufferable = opened
            .response
            .body()
            .size_hint()
            .upper()
            .is_none_or(|bytes| bytes <= MAX_BUFFERED_RESPONSE_BYTES as u64);
        if is_stream || !is_bufferable || !self.shared.buffered.has_capacity() {
            return Some(self.stream(opened));
        }
        self.buffer_response(opened).await
    }

    /// Whether the caller already has events of the stream.
    fn continues_stream(&self) -> bool {
        let last_event = &self.shared.dialect.names().last_event;
        self.outgoing.headers.contains_key(last_event)
    }

    /// Reads the complete response before any of it is forwarded. A response that grows too large
    /// for that is forwarded while the rest of it is received.
    async fn buffer_response(&mut self, opened: OpenedResponse) -> Option<Response<ResponseBody>> {
        let (mut head, mut source) = Source::open(opened, BodyKind::Document);
        source.running.first_event();
        let mut bytes = BytesMut::new();
        let mut held = self.shared.buffered.track(0);
        loop {
            let data = tokio::select! {
                data = timeout_at(self.deadline, source.data()) => data,
                () = held.until_must_give_way() => {
                    return Some(self.forward_rest(head, source, bytes.freeze()));
                }
            };
            match data {
                Ok(None) => break,
                Ok(Some(Ok(data))) => {
                    bytes.extend_from_slice(&data);
                    held.set(bytes.capacity() as u64);
                }
                Ok(Some(Err(Interrupted))) => {
                    source.running.interrupted();
                    return None;
                }
                Err(_) => {
                    self.shared
                        .note_failure(&source.replica, FailureKind::Broken);
                    return None;
                }
            }
            if bytes.len() > MAX_BUFFERED_RESPONSE_BYTES {
                return Some(self.forward_rest(head, source, bytes.freeze()));
            }
        }
        let is_whole = timeout_at(self.deadline, source.is_whole(self.shared)).await;
        if !is_whole.unwrap_or(false) {
            source.running.interrupted();
            return None;
        }
        let Source {
            connection,
            running,
            ..
        } = source;
        running.completed();
        if head.status.is_server_error() {
            running.report.note(RunOutcome::Failed);
        }
        drop(running);
        self.shared.connections.release(connection);
        let is_server_failure = head.status.is_server_error();
        if is_server_failure && self.may_send_after(self.runs + 1) {
            return None;
        }
        self.record_served();
        strip_connection_headers(&mut head.headers);
        head.headers.remove(header::CONTENT_LENGTH);
        let bytes = self.shared.buffered.wrap(bytes.freeze());
        drop(held);
        Some(Response::from_parts(head, full_body(bytes)))
    }

    /// Forwards a response, of which this data has been received, while the rest is received.
    fn forward_rest(
        &mut self,
        head: Parts,
        mut source: Source,
        received: Bytes,
    ) -> Response<ResponseBody> {
        info!(self.shared.logger, "response too large to be collected, passed on as it comes";
            "request" => self.outgoing.id(), "replica" => &source.replica,
            "bytes" => received.len(), "held_bytes" => self.shared.buffered.bytes());
        source.put_back(received);
        self.forward_while_receiving(head, source)
    }

    /// Forwards a response while it is being received.
    fn stream(&mut self, opened: OpenedResponse) -> Response<ResponseBody> {
        let is_streaming = self.route.kind == RouteKind::Streaming;
        let kind = if is_streaming {
            BodyKind::Stream
        } else {
            BodyKind::Document
        };
        let (head, source) = Source::open(opened, kind);
        let source = source.continuing(self.continues_stream());
        self.forward_while_receiving(head, source)
    }

    fn forward_while_receiving(
        &mut self,
        mut head: Parts,
        source: Source,
    ) -> Response<ResponseBody> {
        let length = head.headers.get(header::CONTENT_LENGTH).cloned();
        strip_connection_headers(&mut head.headers);
        let resumable = self.route.resumable && source.is_event_stream() && length.is_none();
        self.shared
            .counters
            .record_first_byte(self.arrived.elapsed());
        let (sender, receiver) = mpsc::channel(STREAM_BUFFER_FRAMES);
        let gap = Duration::from_millis(self.route.gap_target_ms);
        self.tried.push(source.replica.clone());
        if self.origin.service.is_some() {
            self.shared.counters.take_up_ended(TakeUpOutcome::Resumed);
        }
        let new_stream = StreamOrigin::new_stream(&self.outgoing.request_id);
        let origin = std::mem::replace(&mut self.origin, new_stream);
        let pump = Pump::new(
            Arc::clone(self.shared),
            PumpSettings {
                route: self.route.name.clone(),
                rank: self.rank,
                service: self.service.clone(),
                outgoing: Arc::clone(&self.outgoing),
                prompt: self.prompt.parts.clone(),
                max_output_tokens: self.prompt.max_output_tokens,
                arrived: self.arrived,
                deadline: self.deadline,
                resumable,
                remaining_sends: self.route.max_attempts.saturating_sub(self.runs + 1),
                gap,
                tried: std::mem::take(&mut self.tried),
                origin,
                take_up_until: self.take_up_until,
            },
        );
        tokio::spawn(pump.run(source, sender));
        Response::from_parts(head, channel_body(receiver))
    }
}

/// Time until an instant, in milliseconds.
fn remaining_ms(until: Instant) -> u64 {
    until.saturating_duration_since(Instant::now()).as_millis() as u64
}

fn channel_body(mut receiver: mpsc::Receiver<Result<Bytes, BodyFailure>>) -> ResponseBody {
    let frames = futures_util::stream::poll_fn(move |context| {
        let polled = receiver.poll_recv(context);
        polled.map(|item| item.map(|result| result.map(Frame::data)))
    });
    StreamBody::new(frames).boxed_unsync()
}
