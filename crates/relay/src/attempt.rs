//! One caller's request: sent, retried where that is safe, answered.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Response, StatusCode, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Body, Frame};
use linnethitch_clock::{Instant, sleep, timeout_at};
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::slots::RunOutcome;
use linnethitch_registry::{Route, RouteKind};
use linnethitch_routing::{
    cold::ColdState,
    dispatch::{FailureKind, RequestNeeds},
};
use slog::info;
use tokio::sync::mpsc;

use crate::{
    callers::KeyRefusal,
    counters::RequestEnd,
    dialect::Prompt,
    exchange::{Exchange, Limits, Opened, Outgoing, Target, exchange, strip_connection_headers},
    homes::HomeZones,
    pump::{Pump, PumpSettings},
    response::{BodyFailure, ResponseBody, error_response, whole},
    search::{Placed, Search},
    shared::Shared,
};

/// A caller is told to come back after this long where nothing says better.
pub(crate) const COME_BACK_AFTER: Duration = Duration::from_millis(150);
/// A caller is told to come back after this long where all replicas are in evacuated zones:
/// evacuations last for seconds, and their end is known within one.
const COME_BACK_AFTER_EVACUATION: Duration = Duration::from_secs(1);
/// Callers that are refused since their gateway is cut off come back to it after this: cuts
/// last for seconds.
const COME_BACK_AFTER_CUT_OFF: Duration = Duration::from_secs(1);
/// A caller is told to come back after this long at most where replicas are cold: for a gateway
/// without a part it would be the whole time that one is cold, which may be a day, while
/// other gateways have parts of each second and others may grow warm sooner.
const LONGEST_COME_BACK_AFTER_COLD: Duration = Duration::from_secs(1);
/// Longest body of an answer that is held back until it is whole.
const MAX_HELD_BYTES: usize = 512 * 1024;
/// A request waits this share of its target for a replica, then it is refused.
const WAIT_SHARE_OF_TARGET: u32 = 5;
/// Pause between two looks for a replica.
const LOOK_AGAIN_AFTER: Duration = Duration::from_millis(10);
/// A request that may be repeated is given to another replica when no answer
/// begins within this, or within a multiple of the expected time.
const SHORTEST_PATIENCE: Duration = Duration::from_millis(900);
const PATIENCE: f64 = 4.0;
/// A wait for a slot that is longer than this is logged.
const LONG_SLOT_WAIT: Duration = Duration::from_millis(100);
/// Pause after every replica has refused a request as full, while it can still be on time.
/// A slot of an application replica falls free within milliseconds, and one whose
/// fellows are gone clears a burst of 225 requests a second at 200 within a second, while
/// callers have three. Until then callers were refused after four tries: 510 of 6,000 on a
/// day on which two of three replicas were gone.
const FULL_PAUSE: Duration = Duration::from_millis(15);
/// The same once it is late: it comes back when the burst may be over, and leaves the slots
/// that fall free meanwhile to those that can still be on time.
const LATE_FULL_PAUSE: Duration = Duration::from_millis(250);
/// A request pauses so until this part of its time is over: the rest is for its run.
const LAST_CALL_SHARE: f64 = 0.6;
/// Frames of a stream that wait for a slow caller.
const STREAM_FRAMES: usize = 8;

/// One request while it is worked on.
pub(crate) struct Attempt<'a> {
    pub(crate) shared: &'a Arc<Shared>,
    pub(crate) route: &'a Route,
    pub(crate) service: String,
    pub(crate) outgoing: Arc<Outgoing>,
    pub(crate) prompt: Prompt,
    /// Its rank; 0 is the highest.
    pub(crate) rank: u8,
    pub(crate) until: Instant,
    pub(crate) arrived: Instant,
    /// Replicas that it was sent to or that did not take it; it is not sent there again.
    pub(crate) tried: Vec<String>,
    /// Sends that may have run.
    pub(crate) runs: u32,
    pub(crate) refusals: usize,
    /// Replicas that refused it as full since it paused last.
    pub(crate) full: Vec<String>,
    /// Pauses since every replica refused it.
    pub(crate) pauses: u32,
}

impl Attempt<'_> {
    pub(crate) async fn run(mut self) -> Response<ResponseBody> {
        loop {
            let Some(known_ends) = self.shared.known_ends(&self.outgoing).await else {
                return self.refuse_as_ending();
            };
            if self.shared.is_tried_alone_enough(&known_ends) {
                return self.refuse_while_cut_off();
            }
            let homes = self.shared.homes(&self.outgoing);
            if !self.turn_to_home(&homes) {
                return self.refuse_outside_homes();
            }
            let except: Vec<String> = self.tried.iter().chain(&self.full).cloned().collect();
            let search = Search {
                shared: self.shared,
                service: &self.service,
                prompt: &self.prompt.parts,
                outgoing: &self.outgoing,
                alone: !known_ends.is_empty(),
                except: &except,
                homes: &homes,
                rank: self.rank,
                due: self.due(),
                until: self.until,
            };
            let began = Instant::now();
            let Some(Placed { chosen, lease }) = search.run().await else {
                if self.shared.is_service_evacuated(&self.service, &homes) {
                    return self.refuse_as_evacuated();
                }
                if self.wait_for_replica().await {
                    continue;
                }
                return self.give_up_unplaced();
            };
            self.note_slot(&chosen.id, began.elapsed());
            let limits = self.limits(chosen.expected_ms);
            let target = Target {
                chosen: &chosen,
                known_ends,
                report: lease.report.clone(),
                lease: Some(lease),
                last_event: None,
                limits,
            };
            let sending = exchange(self.shared, &self.outgoing, &self.prompt.parts, target);
            match sending.await {
                Exchange::Answered(opened) => {
                    if let Some(response) = self.pass_on(*opened).await {
                        return response;
                    }
                    self.note_run(&chosen.id);
                }
                Exchange::NotRun(kind) => {
                    self.note_refusal(&chosen.id, kind);
                    continue;
                }
                // It was not sent, and is searched for again.
                Exchange::Suspected
                | Exchange::Evacuated
                | Exchange::OutsideHomes
                | Exchange::Cold => continue,
                Exchange::KeyRefused(refusal) => return self.refuse_key(refusal),
                Exchange::Unknown => self.note_run(&chosen.id),
                Exchange::TimedOut if limits.head_until < self.until => {
                    self.shared.note_failure(&chosen.id, FailureKind::Broken);
                    self.note_run(&chosen.id);
                }
                Exchange::TimedOut => {
                    self.runs += 1;
                    return self.give_up("time is up");
                }
            }
            if !self.may_send_after(self.runs) || Instant::now() >= self.until {
                return self.give_up("the answer was lost");
            }
            self.shared.counters.retries.inc();
        }
    }

    /// Whether its service, or another one of its route, has a home for it: homes may have
    /// changed since the service was picked.
    fn turn_to_home(&mut self, homes: &HomeZones) -> bool {
        if !self.shared.has_no_home(&self.service, homes) {
            return true;
        }
        let picked = self.shared.pick_service(self.route, homes);
        self.service = picked.unwrap_or_else(|| self.service.clone());
        !self.shared.has_no_home(&self.service, homes)
    }

    /// When it is late.
    fn due(&self) -> Instant {
        self.arrived + Duration::from_millis(self.route.target_ms)
    }

    /// Until when it may wait for replicas that were full.
    fn last_call(&self) -> Instant {
        let time = self.until.saturating_duration_since(self.arrived);
        self.arrived + time.mul_f64(LAST_CALL_SHARE)
    }

    /// Whether it may be sent again after so many runs.
    fn may_send_after(&self, runs: u32) -> bool {
        self.route.is_repeatable() && runs < self.route.max_attempts
    }

    /// Where another replica may be tried, the first is not waited for too long.
    fn limits(&self, expected_ms: f64) -> Limits {
        let mut head_until = self.until;
        if self.may_send_after(self.runs + 1) {
            let expected = Duration::from_secs_f64(expected_ms / 1_000.0);
            let patience = expected.mul_f64(PATIENCE).max(SHORTEST_PATIENCE);
            head_until = head_until.min(Instant::now() + patience);
        }
        Limits {
            until: self.until,
            head_until,
        }
    }

    fn note_run(&mut self, replica: &str) {
        self.runs += 1;
        self.tried.push(replica.to_owned());
        self.log("send failed", replica);
    }

    fn note_refusal(&mut self, replica: &str, kind: FailureKind) {
        self.refusals += 1;
        // It goes to another one next.
        if kind == FailureKind::Full {
            self.full.push(replica.to_owned());
        } else {
            self.tried.push(replica.to_owned());
            self.log("not taken", replica);
        }
    }

    fn log(&self, what: &str, replica: &str) {
        info!(self.shared.logger, "request: {}", what; "request" => self.outgoing.id(),
            "replica" => replica, "runs" => self.runs, "refusals" => self.refusals,
            "ms" => self.arrived.elapsed().as_millis() as u64);
    }

    /// Notes how long it was until the request had a slot.
    fn note_slot(&self, replica: &str, took: Duration) {
        self.shared.counters.slot_after(took);
        if took > LONG_SLOT_WAIT {
            self.log("waited for a slot", replica);
        }
    }

    /// Waits a little where that may help: where no replica is known for the moment, or
    /// all that are known were full. False when it is to be refused at once.
    async fn wait_for_replica(&mut self) -> bool {
        // After a pause some are still left alone by this gateway: it goes on waiting.
        let were_full = !self.full.is_empty() || self.pauses > 0;
        if were_full && Instant::now() < self.last_call() {
            self.full.clear();
            self.pauses += 1;
            let is_late = Instant::now() >= self.due();
            sleep(if is_late { LATE_FULL_PAUSE } else { FULL_PAUSE }).await;
            return true;
        }
        if let Some(next) = self.next_cold() {
            self.full.clear();
            sleep(next.max(LOOK_AGAIN_AFTER)).await;
            return true;
        }
        if self.may_wait() {
            sleep(LOOK_AGAIN_AFTER).await;
            return true;
        }
        false
    }

    /// How long until a cold replica that it was not sent to may be sent a request.
    fn next_cold_in(&self) -> Option<Duration> {
        let homes = self.shared.homes(&self.outgoing);
        self.shared.next_cold_in(&self.need(&homes))
    }

    /// What it needs of a replica that it was not sent to.
    fn need<'b>(&'b self, homes: &'b HomeZones) -> RequestNeeds<'b> {
        RequestNeeds {
            service: &self.service,
            prompt: &self.prompt.parts,
            except: &self.tried,
            homes: homes.as_ref(),
        }
    }

    /// How long until a replica that is cold may be sent this request, where it can still
    /// be on time then.
    fn next_cold(&self) -> Option<Duration> {
        let next = self.next_cold_in()?;
        let left = self
            .due()
            .min(self.until)
            .saturating_duration_since(Instant::now());
        (!next.is_zero() && next < left / 2).then_some(next)
    }

    /// When a caller that is refused is to come back.
    fn come_back_after(&self) -> Duration {
        let next = self.next_cold_in();
        next.map_or(COME_BACK_AFTER, |next| {
            next.clamp(COME_BACK_AFTER, LONGEST_COME_BACK_AFTER_COLD)
        })
    }

    /// Whether it may wait a little for a replica; it was not sent yet.
    fn may_wait(&self) -> bool {
        let wait = Duration::from_millis(self.route.target_ms) / WAIT_SHARE_OF_TARGET;
        self.tried.is_empty() && self.arrived.elapsed() < wait && Instant::now() < self.until
    }

    fn served(&self) {
        if self.shared.is_sampled() {
            self.log("served", "");
        }
        self.shared.note_served(&self.route.name, self.arrived);
        self.shared
            .counters
            .first_byte_after(self.arrived.elapsed());
    }

    fn ended(&self, end: RequestEnd) {
        self.shared.counters.request_ended(&self.route.name, end);
        self.shared
            .counters
            .first_byte_after(self.arrived.elapsed());
    }

    /// The final answer of a request under which replicas end, at once. Where this
    /// attempt has not run it is one that clients do not repeat by themselves.
    fn refuse_as_ending(&self) -> Response<ResponseBody> {
        if self.runs > 0 {
            return self.give_up("replicas end under it");
        }
        info!(self.shared.logger, "request: refused, replicas end under it";
            "request" => self.outgoing.id(),
            "content" => self.outgoing.fingerprint().to_string());
        self.ended(RequestEnd::EndsReplicas);
        error_response(ErrorKind::EndsReplicas, None)
    }

    /// The final answer of a request under which replicas ended, at a gateway that is cut off.
    fn refuse_while_cut_off(&self) -> Response<ResponseBody> {
        if self.runs > 0 {
            return self.give_up("replicas end under it, and this gateway is cut off");
        }
        self.log(
            "refused, replicas end under it and this gateway is cut off",
            "",
        );
        self.ended(RequestEnd::EndsReplicas);
        error_response(ErrorKind::NoBackEnd, Some(COME_BACK_AFTER_CUT_OFF))
    }

    /// The final answer of a request whose replicas are all in evacuated zones, at once:
    /// waiting a little does not help.
    fn refuse_as_evacuated(&self) -> Response<ResponseBody> {
        if self.runs > 0 {
            return self.give_up("every replica is evacuated");
        }
        self.log("refused, every replica is evacuated", "");
        self.ended(RequestEnd::Evacuated);
        error_response(ErrorKind::NoBackEnd, Some(COME_BACK_AFTER_EVACUATION))
    }

    /// The final answer of a request that has no home at its service, at once.
    fn refuse_outside_homes(&self) -> Response<ResponseBody> {
        if self.runs > 0 {
            return self.give_up("no replica is in its homes");
        }
        let tenant = self.outgoing.tenant.as_deref();
        self.shared
            .counters
            .first_byte_after(self.arrived.elapsed());
        self.shared
            .refuse_outside_homes(self.outgoing.id(), self.route, tenant)
    }

    /// The final answer of a request whose key was taken away before it was sent.
    fn refuse_key(&self, refusal: KeyRefusal) -> Response<ResponseBody> {
        if self.runs > 0 {
            return self.give_up("the key is no longer known");
        }
        self.ended(RequestEnd::KeyRefused);
        refusal.answer()
    }

    /// The final answer of a request that no replica may be given, at once.
    fn give_up_unplaced(&self) -> Response<ResponseBody> {
        match self.state_of_open() {
            ColdState::Warm => self.give_up("no replica"),
            ColdState::Cold => self.give_up("replicas are cold"),
            ColdState::Unsure => self.give_up("replicas may be cold"),
        }
    }

    /// What keeps it from all the replicas that are open to it.
    fn state_of_open(&self) -> ColdState {
        let homes = self.shared.homes(&self.outgoing);
        self.shared.state_of_open(&self.need(&homes))
    }

    /// The final answer of a request that no replica answered, at once.
    fn give_up(&self, why: &str) -> Response<ResponseBody> {
        self.log(why, "");
        if self.runs == 0 {
            self.ended(RequestEnd::Refused);
            return error_response(ErrorKind::NoBackEnd, Some(self.come_back_after()));
        }
        self.ended(RequestEnd::Failed);
        let kind = if Instant::now() >= self.until {
            ErrorKind::DeadlineExceeded
        } else {
            ErrorKind::BackEndFailed
        };
        error_response(kind, None)
    }

    /// Passes an answer on; `None` where it turned out not to be whole and
    /// nothing of it was passed on yet.
    async fn pass_on(&mut self, opened: Opened) -> Option<Response<ResponseBody>> {
        let is_stream =
            self.route.kind == RouteKind::Streaming && opened.response.status() == StatusCode::OK;
        let is_short = opened
            .response
            .body()
            .size_hint()
            .upper()
            .is_none_or(|bytes| bytes <= MAX_HELD_BYTES as u64);
        if is_stream || !is_short || !self.shared.held.has_room() {
            return Some(self.stream(opened));
        }
        self.hold(opened).await
    }

    /// Reads the whole answer before any of it is passed on.
    async fn hold(&mut self, opened: Opened) -> Option<Response<ResponseBody>> {
        let Opened {
            replica,
            response,
            mut connection,
            mut running,
        } = opened;
        running.first_event();
        let (mut head, mut body) = response.into_parts();
        let mut bytes = BytesMut::new();
        let expected = body.size_hint().lower();
        let being_read = self.shared.held.hold(expected);
        loop {
            match timeout_at(self.until, body.frame()).await {
                Ok(None) => break,
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        bytes.extend_from_slice(&data);
                    }
                }
                Ok(Some(Err(_))) => {
                    running.broke();
                    return None;
                }
                Err(_) => {
                    self.shared.note_failure(&replica, FailureKind::Broken);
                    return None;
                }
            }
        }
        running.came_to_an_end();
        if head.status.is_server_error() {
            running.report.note(RunOutcome::Failed);
        }
        drop(running);
        if connection.is_usable_again().await {
            self.shared.connections.give_back(connection);
        }
        let is_server_failure = head.status.is_server_error();
        if is_server_failure && self.may_send_after(self.runs + 1) {
            return None;
        }
        self.served();
        strip_connection_headers(&mut head.headers);
        head.headers.remove(header::CONTENT_LENGTH);
        let bytes = self.shared.held.keep(bytes.freeze());
        drop(being_read);
        Some(Response::from_parts(head, whole(bytes)))
    }

    /// Passes an answer on as it comes.
    fn stream(&mut self, opened: Opened) -> Response<ResponseBody> {
        let (mut head, body) = opened.response.into_parts();
        let length = head.headers.get(header::CONTENT_LENGTH).cloned();
        strip_connection_headers(&mut head.headers);
        let is_events = is_event_stream(&head.headers);
        let resumable = self.route.resumable && is_events && length.is_none();
        self.shared
            .counters
            .first_byte_after(self.arrived.elapsed());
        let (sender, receiver) = mpsc::channel(STREAM_FRAMES);
        let gap = Duration::from_millis(self.route.gap_target_ms);
        self.tried.push(opened.replica.clone());
        let pump = Pump::new(
            Arc::clone(self.shared),
            PumpSettings {
                route: self.route.name.clone(),
                rank: self.rank,
                service: self.service.clone(),
                outgoing: Arc::clone(&self.outgoing),
                prompt: self.prompt.parts.clone(),
                arrived: self.arrived,
                until: self.until,
                resumable,
                sends_left: self.route.max_attempts.saturating_sub(self.runs + 1),
                gap,
                tried: std::mem::take(&mut self.tried),
            },
            opened.replica,
            body,
            opened.connection,
            opened.running,
        );
        tokio::spawn(pump.run(sender));
        Response::from_parts(head, channel_body(receiver))
    }
}

fn channel_body(mut receiver: mpsc::Receiver<Result<Bytes, BodyFailure>>) -> ResponseBody {
    let frames = futures_util::stream::poll_fn(move |context| {
        let polled = receiver.poll_recv(context);
        polled.map(|item| item.map(|result| result.map(Frame::data)))
    });
    StreamBody::new(frames).boxed_unsync()
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    headers
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .is_some_and(|value| value.starts_with("text/event-stream"))
}
