//! One caller's request: admitted, sent, retried where that is safe, answered.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Body, Frame, Incoming};
use linnethitch_clock::{Instant, sleep, timeout_at};
use linnethitch_cluster::GatewayNode;
use linnethitch_errors::ErrorKind;
use linnethitch_registry::{Route, RouteKind, RouteTable};
use linnethitch_routing::dispatch::FailureKind;
use slog::{Logger, info};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::{
    answer::{AnswerBody, BodyFailure, own_answer, whole},
    body::read_body,
    counters::RequestEnd,
    dialect::{Dialect, Prompt},
    exchange::{Exchange, Limits, Opened, Outgoing, Target, exchange, strip_connection_headers},
    following::{follow_fleet, follow_slots, keep_slots},
    pump::{Pump, PumpSettings},
    search::{Placed, Search},
    shared::Shared,
};

/// A caller is told to come back after this long where nothing says better.
const COME_BACK_AFTER: Duration = Duration::from_millis(150);
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
/// Refusals by replicas after which a request is refused here.
const MAX_REFUSALS: usize = 4;
/// Frames of a stream that wait for a slow caller.
const STREAM_FRAMES: usize = 8;

/// Relays callers' requests. Clones share it.
#[derive(Clone)]
pub struct Relay {
    pub(crate) shared: Arc<Shared>,
    stopping: CancellationToken,
}

/// One request while it is worked on.
struct Attempt<'a> {
    shared: &'a Arc<Shared>,
    route: &'a Route,
    service: String,
    outgoing: Arc<Outgoing>,
    prompt: Prompt,
    until: Instant,
    arrived: Instant,
    /// Replicas that it was sent to or that did not take it; it is not sent there again.
    tried: Vec<String>,
    /// Sends that may have run.
    runs: u32,
    refusals: usize,
}

impl Relay {
    /// A relay of this gateway.
    #[must_use]
    pub fn new(
        gateway: GatewayNode,
        dialect: Arc<dyn Dialect>,
        zone: &str,
        seed: u64,
        stopping: CancellationToken,
        logger: Logger,
    ) -> Self {
        let shared = Arc::new(Shared::new(gateway.clone(), dialect, zone, seed, logger));
        tokio::spawn(follow_fleet(Arc::clone(&shared), gateway.clone()));
        tokio::spawn(follow_slots(Arc::clone(&shared), gateway));
        tokio::spawn(keep_slots(Arc::clone(&shared)));
        Relay { shared, stopping }
    }

    /// The table in force here; `None` before one was learned.
    #[must_use]
    pub fn table(&self) -> Option<Arc<RouteTable>> {
        self.shared.table()
    }

    /// The table in force here; where none was learned yet, the first that comes
    /// within the limit.
    pub async fn first_table(&self, limit: Duration) -> Option<Arc<RouteTable>> {
        if let Some(table) = self.table() {
            return Some(table);
        }
        let mut views = self.shared.gateway.follow();
        let arrives = views.wait_for(|view| view.table().is_some());
        let view = linnethitch_clock::timeout(limit, arrives)
            .await
            .ok()?
            .ok()?;
        view.table().cloned()
    }

    /// Requests and items under way at a service.
    #[must_use]
    pub fn own_running(&self, service: &str) -> u32 {
        self.shared.own_running(service)
    }

    /// Figures since the start, as Prometheus text.
    #[must_use]
    pub fn figures(&self) -> String {
        let silent_ms = self.shared.gateway.control_silent_ms();
        self.shared.counters.control_silent_ms.set(silent_ms as i64);
        self.shared.counters.to_text()
    }

    /// The gateway that this relay serves.
    #[must_use]
    pub fn gateway(&self) -> &GatewayNode {
        &self.shared.gateway
    }

    /// Whether the process is to stop.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.is_cancelled()
    }

    /// Cancelled when the process is to stop.
    pub(crate) fn stopping(&self) -> CancellationToken {
        self.stopping.clone()
    }

    /// Relays a request of a route.
    pub async fn relay(
        &self,
        table: &RouteTable,
        route: &Route,
        request: Request<Incoming>,
    ) -> Response<AnswerBody> {
        let arrived = Instant::now();
        let (head, body) = request.into_parts();
        let names = self.shared.dialect.names();
        let Some(request_id) = head.headers.get(&names.request_id).cloned() else {
            return own_answer(ErrorKind::MalformedRequest, None);
        };
        let limit = time_limit(&head.headers, names, route);
        let until = arrived + limit;
        let body = match read_body(body, table.limits.body_bytes, until).await {
            Ok(body) => body,
            Err(kind) => return own_answer(kind, None),
        };
        let Some(service) = self.shared.pick_service(route) else {
            return own_answer(ErrorKind::NoBackEnd, Some(COME_BACK_AFTER));
        };
        let prompt = self.shared.dialect.prompt(&head.headers);
        let mut headers = head.headers;
        strip_connection_headers(&mut headers);
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(&names.deadline_ms);
        let attempt = Attempt {
            shared: &self.shared,
            route,
            service,
            outgoing: Arc::new(Outgoing {
                method: head.method,
                uri: head.uri,
                headers,
                body,
                request_id,
            }),
            prompt,
            until,
            arrived,
            tried: Vec::new(),
            runs: 0,
            refusals: 0,
        };
        attempt.run().await
    }
}

impl Attempt<'_> {
    async fn run(mut self) -> Response<AnswerBody> {
        loop {
            let Some(known_ends) = self.shared.known_ends(&self.outgoing).await else {
                return self.refuse_as_ending();
            };
            let search = Search {
                shared: self.shared,
                service: &self.service,
                prompt: &self.prompt.parts,
                outgoing: &self.outgoing,
                known_ends,
                except: &self.tried,
                due: self.arrived + Duration::from_millis(self.route.target_ms),
                until: self.until,
            };
            let began = Instant::now();
            let Some(Placed { chosen, lease }) = search.run().await else {
                if self.may_wait() {
                    sleep(LOOK_AGAIN_AFTER).await;
                    continue;
                }
                return self.give_up("no replica");
            };
            self.note_slot(&chosen.id, began.elapsed());
            let limits = self.limits(chosen.expected_ms);
            let target = Target {
                chosen: &chosen,
                known_ends,
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
                    if self.refusals >= MAX_REFUSALS {
                        return self.give_up("replicas refused");
                    }
                    continue;
                }
                Exchange::Suspected => continue,
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
        // It goes to another one next, so that refusals end soon.
        self.tried.push(replica.to_owned());
        if kind != FailureKind::Full {
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

    /// Whether it may wait a little for a replica; it was not sent yet.
    fn may_wait(&self) -> bool {
        let wait = Duration::from_millis(self.route.target_ms) / WAIT_SHARE_OF_TARGET;
        self.tried.is_empty() && self.arrived.elapsed() < wait && Instant::now() < self.until
    }

    fn ended(&self, end: RequestEnd) {
        if end == RequestEnd::Served && self.shared.is_sampled() {
            self.log("served", "");
        }
        self.shared.counters.request_ended(&self.route.name, end);
        self.shared
            .counters
            .first_byte_after(self.arrived.elapsed());
    }

    /// The final answer of a request under which replicas end, at once. Where this
    /// attempt has not run it is one that clients do not repeat by themselves.
    fn refuse_as_ending(&self) -> Response<AnswerBody> {
        if self.runs > 0 {
            return self.give_up("replicas end under it");
        }
        info!(self.shared.logger, "request: refused, replicas end under it";
            "request" => self.outgoing.id(),
            "content" => self.outgoing.fingerprint().to_string());
        self.ended(RequestEnd::EndsReplicas);
        own_answer(ErrorKind::EndsReplicas, None)
    }

    /// The final answer of a request that no replica answered, at once.
    fn give_up(&self, why: &str) -> Response<AnswerBody> {
        self.log(why, "");
        if self.runs == 0 {
            self.ended(RequestEnd::Refused);
            return own_answer(ErrorKind::NoBackEnd, Some(COME_BACK_AFTER));
        }
        self.ended(RequestEnd::Failed);
        let kind = if Instant::now() >= self.until {
            ErrorKind::DeadlineExceeded
        } else {
            ErrorKind::BackEndFailed
        };
        own_answer(kind, None)
    }

    /// Passes an answer on; `None` where it turned out not to be whole and
    /// nothing of it was passed on yet.
    async fn pass_on(&mut self, opened: Opened) -> Option<Response<AnswerBody>> {
        let is_stream =
            self.route.kind == RouteKind::Streaming && opened.response.status() == StatusCode::OK;
        let is_short = opened
            .response
            .body()
            .size_hint()
            .upper()
            .is_none_or(|bytes| bytes <= MAX_HELD_BYTES as u64);
        if is_stream || !is_short {
            return Some(self.stream(opened));
        }
        self.hold(opened).await
    }

    /// Reads the whole answer before any of it is passed on.
    async fn hold(&mut self, opened: Opened) -> Option<Response<AnswerBody>> {
        let Opened {
            replica,
            response,
            mut connection,
            mut running,
        } = opened;
        running.first_event();
        let (mut head, mut body) = response.into_parts();
        let mut bytes = BytesMut::new();
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
        drop(running);
        if connection.is_usable_again().await {
            self.shared.connections.give_back(connection);
        }
        let is_server_failure = head.status.is_server_error();
        if is_server_failure && self.may_send_after(self.runs + 1) {
            return None;
        }
        self.ended(RequestEnd::Served);
        strip_connection_headers(&mut head.headers);
        head.headers.remove(header::CONTENT_LENGTH);
        Some(Response::from_parts(head, whole(bytes.freeze())))
    }

    /// Passes an answer on as it comes.
    fn stream(&mut self, opened: Opened) -> Response<AnswerBody> {
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
                service: self.service.clone(),
                outgoing: Arc::clone(&self.outgoing),
                prompt: self.prompt.parts.clone(),
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

fn channel_body(mut receiver: mpsc::Receiver<Result<Bytes, BodyFailure>>) -> AnswerBody {
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

/// How long a request may be held: the caller's time, but no more than the route's.
fn time_limit(headers: &HeaderMap, names: &crate::dialect::HeaderNames, route: &Route) -> Duration {
    let told = headers.get(&names.deadline_ms).and_then(parse_number);
    let limit_ms = told.map_or(route.timeout_ms, |told| told.min(route.timeout_ms));
    Duration::from_millis(limit_ms)
}

fn parse_number(value: &HeaderValue) -> Option<u64> {
    value.to_str().ok()?.trim().parse().ok()
}
