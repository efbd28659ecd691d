//! One request to one replica: what is sent, and what the head of the answer means.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{
    HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, Uri, header,
};
use http_body_util::Full;
use hyper::body::Incoming;
use linnethitch_clock::{Instant, timeout, timeout_at};
use linnethitch_protocol::slots::RunOutcome;
use linnethitch_registry::{EndsInRow, RequestContent, RequestFingerprint, parse_incarnation_key};
use linnethitch_routing::{
    cold::SendOutcome,
    dispatch::{ChosenReplica, FailureKind, PromptPart},
};
use slog::info;

use crate::{
    callers::{Caller, KeyRefusal},
    connections::{Connection, OpenFailure, SendFailure},
    quotas::Leave,
    running_guard::RunningGuard,
    shared::Shared,
    slots::{RunReport, SlotLease},
};

/// Headers that pertain to one connection only.
const CONNECTION_HEADERS: [HeaderName; 6] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::EXPECT,
];
const KEEP_ALIVE: &str = "keep-alive";
const PROXY_CONNECTION: &str = "proxy-connection";

/// A request as it is sent to any replica.
pub(crate) struct Outgoing {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    /// Without those of the connection, and without what is set for each send.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// The caller's id of it.
    pub(crate) request_id: HeaderValue,
    /// The tenant; `None` where no key is needed.
    pub(crate) tenant: Option<String>,
    /// Homes of its route as it arrived.
    pub(crate) homes: Vec<String>,
    /// The version of the table that they are of; `None` for batch items.
    pub(crate) table_version: Option<u64>,
    /// Whose it is; `None` for batch items, and where no key is needed.
    pub(crate) admitted: Option<Admitted>,
}

/// A tenant's request that was let in.
pub(crate) struct Admitted {
    pub(crate) caller: Caller,
    pub(crate) leave: Leave,
}

impl Outgoing {
    /// The caller's id of it, for logs.
    pub(crate) fn id(&self) -> &str {
        self.request_id.to_str().unwrap_or_default()
    }

    /// Alike for all copies of it.
    pub(crate) fn fingerprint(&self) -> RequestFingerprint {
        let tenant = self.admitted.as_ref();
        let tenant = tenant.map(|admitted| admitted.caller.tenant.name.as_bytes());
        let value = |name| {
            self.headers
                .get(name)
                .map_or(&[][..], HeaderValue::as_bytes)
        };
        RequestFingerprint::of(&RequestContent {
            method: self.method.as_str(),
            host: value(header::HOST),
            path: self.uri.path_and_query().map_or("", |path| path.as_str()),
            caller: tenant.unwrap_or_else(|| value(header::AUTHORIZATION)),
            body: &self.body,
        })
    }
}

/// An answer whose head has come.
pub(crate) struct Opened {
    pub(crate) replica: String,
    pub(crate) response: Response<Incoming>,
    pub(crate) connection: Connection,
    pub(crate) running: RunningGuard,
}

/// How an exchange came out, as far as the head.
pub(crate) enum Exchange {
    /// An answer of the replica.
    Answered(Box<Opened>),
    /// The replica did not run the request and never will.
    NotRun(FailureKind),
    /// The replica may have run it.
    Unknown,
    /// Time was up; the replica may run it.
    TimedOut,
    /// Its key was taken away, or keys are not known to be in force; it was not sent.
    KeyRefused(KeyRefusal),
    /// The replica's zone is evacuated; it was not sent.
    Evacuated,
    /// The replica stands outside its homes; it was not sent.
    OutsideHomes,
    /// The replica is cold and this gateway may send nothing to it now; it was not sent.
    Cold,
    /// More replicas ended under such requests than was known at the search for this
    /// one; it was not sent.
    Suspected,
}

/// How long an exchange may take.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    /// When the caller's time, or the route's, is over; the replica is told.
    pub(crate) until: Instant,
    /// When the head of the answer must have come.
    pub(crate) head_until: Instant,
}

/// Where and how a request is sent.
pub(crate) struct Target<'a> {
    pub(crate) chosen: &'a ChosenReplica,
    /// Replicas that ended under such requests, as was known at the choice.
    pub(crate) known_ends: EndsInRow,
    /// The slot of an online request, or of one that runs alone.
    pub(crate) lease: Option<SlotLease>,
    /// How it came out, for the replica's coordinator.
    pub(crate) report: RunReport,
    /// The last event that the asker has.
    pub(crate) last_event: Option<u64>,
    pub(crate) limits: Limits,
}

/// Whether a header pertains to one connection only.
pub(crate) fn is_connection_header(name: &HeaderName) -> bool {
    CONNECTION_HEADERS.contains(name) || name == KEEP_ALIVE || name == PROXY_CONNECTION
}

/// Drops the headers that pertain to one connection, the ones that
/// `Connection` names among them.
pub(crate) fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|word| HeaderName::from_bytes(word.trim().as_bytes()).ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    let drop: Vec<HeaderName> = headers
        .keys()
        .filter(|name| is_connection_header(name))
        .cloned()
        .collect();
    for name in drop {
        headers.remove(name);
    }
}

/// Sends a request to a replica and waits for the head of the answer. Online
/// requests bring the lease of their slot.
///
/// Everything that is sent to replicas goes through here, so that nothing is sent
/// again under which replicas ended.
pub(crate) async fn exchange(
    shared: &Arc<Shared>,
    outgoing: &Arc<Outgoing>,
    prompt: &[PromptPart],
    target: Target<'_>,
) -> Exchange {
    let Target {
        chosen,
        last_event,
        limits,
        ..
    } = target;
    let known_ends = target.known_ends.clone();
    news_after_standstill(shared, limits).await;
    if !known_ends.is_empty() {
        news_while_cut_off(shared, limits).await;
    }
    // Before it counts there, and before a connection is opened.
    if shared.is_evacuated(&chosen.id) {
        return evacuated(shared, outgoing, chosen);
    }
    let Some(mut running) = RunningGuard::begin(shared, outgoing, prompt, target) else {
        return Exchange::NotRun(FailureKind::Replaced);
    };
    loop {
        let bytes = || shared.replica_bytes(&chosen.id);
        let connecting = shared.connections.get(&chosen.id, &chosen.address, bytes);
        let mut connection = match timeout_at(limits.head_until, connecting).await {
            Ok(Ok(connection)) => connection,
            Ok(Err(failure)) => {
                // Each gateway finds out at once and at no cost that a replica is not there,
                // but waits each time for one that is silent.
                if failure == OpenFailure::Silent {
                    running.report.note(RunOutcome::Failed);
                }
                shared.note_failure(&chosen.id, FailureKind::Unreachable);
                return Exchange::NotRun(FailureKind::Unreachable);
            }
            Err(_) => return Exchange::NotRun(FailureKind::Unreachable),
        };
        if let Some(opened) = &connection.opened {
            shared.counters.connection_opened(opened.reason);
            shared.note_connected(&chosen.id, opened.took);
        }
        // The process may have stood still while the connection was opened.
        news_after_standstill(shared, limits).await;
        if shared.is_evacuated(&chosen.id) {
            return evacuated(shared, outgoing, chosen);
        }
        if shared.is_outside_homes(outgoing, &chosen.id) {
            return shared.not_sent_outside(outgoing, &chosen.id);
        }
        if !shared.is_known_ready(&chosen.id) {
            return Exchange::NotRun(FailureKind::Replaced);
        }
        if shared
            .ends(outgoing)
            .is_none_or(|ends| !ends.is_empty() && ends.outweighs(&known_ends))
        {
            return Exchange::Suspected;
        }
        if let Err(refusal) = shared.still_admits(outgoing) {
            return Exchange::KeyRefused(refusal);
        }
        let Some(counted) = shared.cold.begin(&chosen.id, outgoing) else {
            return Exchange::Cold;
        };
        shared.count_send(outgoing);
        running.note_sent();
        match send(
            shared,
            chosen,
            outgoing,
            last_event,
            &mut connection,
            limits,
        )
        .await
        {
            Ok(response) => {
                counted.ended(arrival(&response));
                return judge(shared, chosen, outgoing, running, connection, response);
            }
            Err(NoHead::Stale) => {
                counted.ended(SendOutcome::NotCounted);
                shared.not_sent(outgoing);
            }
            Err(NoHead::Failed) => {
                running.broke();
                return Exchange::Unknown;
            }
            Err(NoHead::TimedOut) => {
                if connection.is_reused {
                    shared.connections.distrust(&chosen.id);
                }
                running.first_event();
                return Exchange::TimedOut;
            }
        }
    }
}

/// Waits for news where the process stood still, for half of the request's time at most: then
/// it is sent by what is known here. Its caller is not served by a longer wait.
async fn news_after_standstill(shared: &Shared, limits: Limits) {
    let left = limits.until.saturating_duration_since(Instant::now());
    // Where time is over, the request goes on as well.
    let _ = timeout(left / 2, shared.gateway.wait_for_update_after_pause()).await;
}

/// Waits for news of a suspected request where this gateway is cut off, for half of the
/// request's time at most: others may know that it is refused, and each gateway that is cut
/// off would let it end three replicas more.
async fn news_while_cut_off(shared: &Shared, limits: Limits) {
    let left = limits.until.saturating_duration_since(Instant::now());
    // Where time is over, the request goes on as well.
    let _ = timeout(left / 2, shared.news_while_cut_off()).await;
}

/// What was to be sent is not: its zone was evacuated since the replica was chosen.
fn evacuated(shared: &Shared, outgoing: &Outgoing, chosen: &ChosenReplica) -> Exchange {
    shared.counters.evacuated_sends.inc();
    info!(shared.logger, "request: not sent, zone evacuated"; "request" => outgoing.id(),
        "replica" => &chosen.id, "upto" => shared.gateway.fleet().up_to_index().0);
    Exchange::Evacuated
}

/// What an answer tells of its request's arrival at a cold replica: one that was meant for
/// another incarnation does not count.
fn arrival(response: &Response<Incoming>) -> SendOutcome {
    if response.status() == StatusCode::MISDIRECTED_REQUEST {
        SendOutcome::NotCounted
    } else {
        SendOutcome::Arrived
    }
}

/// Why no head of an answer came.
enum NoHead {
    /// A resting connection was closed before anything was sent.
    Stale,
    Failed,
    TimedOut,
}

async fn send(
    shared: &Shared,
    chosen: &ChosenReplica,
    outgoing: &Arc<Outgoing>,
    last_event: Option<u64>,
    connection: &mut Connection,
    limits: Limits,
) -> Result<Response<Incoming>, NoHead> {
    let left = limits.until.saturating_duration_since(Instant::now());
    let Some(request) = build(shared, chosen, outgoing, last_event, left) else {
        return Err(NoHead::Failed);
    };
    match timeout_at(limits.head_until, connection.send(request)).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(SendFailure::NotSent)) => Err(NoHead::Stale),
        Ok(Err(SendFailure::MayHaveArrived)) => Err(NoHead::Failed),
        Err(_) => Err(NoHead::TimedOut),
    }
}

fn build(
    shared: &Shared,
    chosen: &ChosenReplica,
    outgoing: &Arc<Outgoing>,
    last_event: Option<u64>,
    left: Duration,
) -> Option<Request<Full<Bytes>>> {
    let names = shared.dialect.names();
    let mut request = Request::new(Full::new(outgoing.body.clone()));
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.uri.clone();
    let headers = request.headers_mut();
    *headers = outgoing.headers.clone();
    headers.insert(
        names.expect_replica.clone(),
        HeaderValue::from_str(parse_incarnation_key(&chosen.id).0).ok()?,
    );
    let left_ms = left.as_millis().max(1) as u64;
    headers.insert(names.deadline_ms.clone(), HeaderValue::from(left_ms));
    if let Some(last_event) = last_event {
        headers.insert(names.last_event.clone(), HeaderValue::from(last_event));
    }
    Some(request)
}

/// What the head of an answer means.
fn judge(
    shared: &Shared,
    chosen: &ChosenReplica,
    outgoing: &Arc<Outgoing>,
    running: RunningGuard,
    connection: Connection,
    response: Response<Incoming>,
) -> Exchange {
    let names = shared.dialect.names();
    let headers = response.headers();
    if let Some(load) = headers
        .get(&names.load)
        .and_then(|v| shared.dialect.load(v))
    {
        shared.note_load(&chosen.id, load);
    }
    let echoed = headers.get(&names.request_id);
    let is_other = echoed.is_some_and(|id| *id != outgoing.request_id);
    let is_unproven = echoed.is_none() && connection.is_reused;
    if is_other {
        shared.note_failure(&chosen.id, FailureKind::Broken);
        return Exchange::Unknown;
    }
    let status = response.status();
    let was_not_run =
        headers.contains_key(&names.not_run) || status == StatusCode::MISDIRECTED_REQUEST;
    if was_not_run {
        // Without an id it might answer an earlier request of this connection.
        if is_unproven && status != StatusCode::MISDIRECTED_REQUEST {
            return Exchange::Unknown;
        }
        let kind = if status == StatusCode::MISDIRECTED_REQUEST {
            FailureKind::Replaced
        } else {
            FailureKind::Full
        };
        shared.note_failure(&chosen.id, kind);
        shared.not_sent(outgoing);
        if kind == FailureKind::Replaced {
            shared.tell_not_there(&chosen.id);
        }
        return Exchange::NotRun(kind);
    }
    if !headers.contains_key(&names.signature) {
        running.report.note(RunOutcome::Failed);
        shared.note_failure(&chosen.id, FailureKind::Broken);
        return Exchange::Unknown;
    }
    Exchange::Answered(Box::new(Opened {
        replica: chosen.id.clone(),
        response,
        connection,
        running,
    }))
}
