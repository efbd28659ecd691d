//! One request to one replica: what is sent, and what the head of the response means.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{
    HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, Uri, header,
};
use http_body_util::Full;
use hyper::body::Incoming;
use linnethitch_clock::{Instant, timeout, timeout_at};
use linnethitch_protocol::slots::RunOutcome;
use linnethitch_registry::{
    RequestContent, RequestFingerprint, Route, RouteTable, parse_incarnation_key,
};
use linnethitch_response::check_head;
use linnethitch_routing::{
    cold::SendOutcome,
    dispatch::{ChosenReplica, FailureKind, PromptPart, SoftwareNeed},
};
use slog::info;

use crate::{
    callers::{Caller, KeyRefusal},
    connections::{Connection, OpenFailure, SendFailure},
    known_ends::KnownEnds,
    quotas::Permit,
    running_guard::RunningGuard,
    shared::Shared,
    slots::{RunReport, SlotLease},
    source::Source,
};

/// Headers that apply to one connection only.
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

/// A request as it is sent to replicas.
pub(crate) struct Outgoing {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    /// Parts of the prompt that other requests may have too: all but the last. Empty for batch
    /// items, which are never suspected of ending replicas.
    pub(crate) shared_parts: Vec<u64>,
    /// Without connection headers and without the headers that are set for each send.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// The request id that the caller chose.
    pub(crate) request_id: HeaderValue,
    /// The tenant's name; `None` where no key is needed.
    pub(crate) tenant: Option<String>,
    /// The batch item that this is the request of; `None` for online requests.
    pub(crate) item: Option<BatchItem>,
    /// Home regions of the route when the request arrived.
    pub(crate) homes: Vec<String>,
    /// The version of the route table that `homes` was read from; `None` for batch items.
    pub(crate) table_version: Option<u64>,
    /// The admitted caller; `None` for batch items, and where no key is needed.
    pub(crate) admitted: Option<Admitted>,
}

/// A batch item.
#[derive(Clone, Debug)]
pub(crate) struct BatchItem {
    pub(crate) fingerprint: RequestFingerprint,
    /// Path prefix of the route of its job, which need not begin the item's path.
    pub(crate) route_prefix: String,
}

/// A tenant's request that was admitted within the tenant's limit.
pub(crate) struct Admitted {
    pub(crate) caller: Caller,
    pub(crate) permit: Permit,
}

impl Outgoing {
    /// The route of the request in a table.
    pub(crate) fn route<'t>(&self, table: &'t RouteTable) -> Option<&'t Route> {
        let host = self.headers.get(header::HOST)?.to_str().ok()?;
        match &self.item {
            Some(item) => table.route_at(host, &item.route_prefix),
            None => table.find(host, self.uri.path()),
        }
    }

    /// The request id, for logs.
    pub(crate) fn id(&self) -> &str {
        self.request_id.to_str().unwrap_or_default()
    }

    /// Fingerprint of the content, equal for all copies of the request, or of the batch item.
    pub(crate) fn fingerprint(&self) -> RequestFingerprint {
        if let Some(item) = &self.item {
            return item.fingerprint;
        }
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

/// A response whose head has been received.
pub(crate) struct OpenedResponse {
    pub(crate) replica: String,
    /// The version of the replica's software; `None` if it is unknown.
    pub(crate) software: Option<String>,
    pub(crate) response: Response<Incoming>,
    pub(crate) connection: Connection,
    pub(crate) running: RunningGuard,
}

/// Outcome of an exchange, up to the head of the response.
pub(crate) enum Exchange {
    /// The replica responded.
    Answered(Box<OpenedResponse>),
    /// The replica did not run the request and will not run it.
    NotRun(FailureKind),
    /// The replica may have run the request.
    Unknown,
    /// The time limit was reached; the replica may still run the request.
    TimedOut,
    /// Not sent: the key was revoked, or the known keys are too old.
    KeyRefused(KeyRefusal),
    /// Not sent: the replica's zone is evacuated.
    Evacuated,
    /// Not sent: the replica is outside the request's home regions.
    OutsideHomes,
    /// Not sent: the replica is cold and this gateway may not send to it now.
    Cold,
    /// Not sent: more replicas have ended under copies of this request than was known when the
    /// replica was chosen.
    Suspected,
}

impl Exchange {
    /// Whether a replica may have run the request.
    pub(crate) fn may_have_run(&self) -> bool {
        matches!(
            self,
            Exchange::Answered(_) | Exchange::Unknown | Exchange::TimedOut
        )
    }
}

/// Time limits of an exchange.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    /// Deadline of the caller or the route, whichever is earlier; sent to the replica.
    pub(crate) deadline: Instant,
    /// Deadline for the head of the response.
    pub(crate) head_deadline: Instant,
}

/// The replica that a request is sent to, and how.
pub(crate) struct Target<'a> {
    pub(crate) chosen: &'a ChosenReplica,
    /// The route of the request.
    pub(crate) route: &'a str,
    /// The service of the replica.
    pub(crate) service: &'a str,
    /// Ends of replicas under copies of this request and under its parts, as known when the
    /// replica was chosen.
    pub(crate) known_ends: KnownEnds,
    /// Slot lease of an online request, or of a suspected request that runs without other
    /// suspected requests.
    pub(crate) lease: Option<SlotLease>,
    /// Outcome of the run, for the replica's coordinator.
    pub(crate) report: RunReport,
    /// The last event that the requester already has.
    pub(crate) last_event: Option<u64>,
    /// The software that may serve the request.
    pub(crate) software: &'a SoftwareNeed,
    pub(crate) limits: Limits,
}

/// Whether a header applies to one connection only.
pub(crate) fn is_connection_header(name: &HeaderName) -> bool {
    CONNECTION_HEADERS.contains(name) || name == KEEP_ALIVE || name == PROXY_CONNECTION
}

/// Removes headers that apply to one connection only, including those that `Connection` names.
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

/// Sends a request to a replica and waits for the head of the response. Online requests pass the
/// lease of their slot. A former replica that may still be at work on the request is released
/// before the request is sent; it is kept if the request is not sent.
///
/// All sends to replicas go through this function, so that no request is sent again after it was
/// refused for ending replicas.
pub(crate) async fn exchange(
    shared: &Arc<Shared>,
    outgoing: &Arc<Outgoing>,
    prompt: &[PromptPart],
    target: Target<'_>,
    former: &mut Option<Source>,
) -> Exchange {
    let Target {
        chosen,
        route,
        service,
        last_event,
        software,
        limits,
        ..
    } = target;
    let known_ends = target.known_ends.clone();
    wait_for_update_after_pause(shared, limits).await;
    if known_ends.is_suspected() {
        wait_while_isolated(shared, limits).await;
    }
    // Checked before the request counts as running at the replica and before a connection is
    // opened.
    if shared.is_evacuated(&chosen.id) {
        return not_sent_evacuated(shared, outgoing, chosen);
    }
    let Some(mut running) = RunningGuard::begin(shared, outgoing, prompt, target) else {
        return Exchange::NotRun(FailureKind::Replaced);
    };
    loop {
        let bytes = || shared.replica_bytes(&chosen.id);
        let connecting = shared.connections.get(&chosen.id, &chosen.address, bytes);
        let mut connection = match timeout_at(limits.head_deadline, connecting).await {
            Ok(Ok(connection)) => connection,
            Ok(Err(failure)) => {
                // A refused connection costs each gateway nothing and is noticed at once; an
                // unresponsive replica costs a wait each time, so only that is reported to the
                // coordinator.
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
        // The process may have been paused while the connection was opened.
        wait_for_update_after_pause(shared, limits).await;
        if shared.is_evacuated(&chosen.id) {
            return not_sent_evacuated(shared, outgoing, chosen);
        }
        if shared.is_outside_homes(outgoing, &chosen.id) {
            return shared.not_sent_outside_homes(outgoing, &chosen.id);
        }
        let has_other_software = shared.has_other_software(&chosen.id, chosen.software.as_deref());
        if !shared.is_known_ready(&chosen.id) || has_other_software {
            return Exchange::NotRun(FailureKind::Replaced);
        }
        let known_now = shared.ends(outgoing, route, service);
        if !known_now.is_ok_and(|now| !known_ends.is_outdated(&now)) {
            return Exchange::Suspected;
        }
        if let Err(refusal) = shared.verify_key(outgoing) {
            return Exchange::KeyRefused(refusal);
        }
        let Some(counted) = shared.cold.begin(&chosen.id, outgoing) else {
            return Exchange::Cold;
        };
        if let Some(former) = former.take() {
            former.interrupted();
        }
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
                counted.ended(send_outcome(&response));
                let answered =
                    interpret_head(shared, chosen, outgoing, running, connection, response);
                return check_software(shared, chosen, software, answered);
            }
            Err(NoResponse::Stale) => {
                counted.ended(SendOutcome::NotCounted);
                shared.not_sent(outgoing);
            }
            Err(NoResponse::Failed) => {
                running.interrupted();
                return Exchange::Unknown;
            }
            Err(NoResponse::TimedOut) => {
                if connection.is_reused {
                    shared.connections.discard_idle(&chosen.id);
                }
                running.first_event();
                return Exchange::TimedOut;
            }
        }
    }
}

/// After a process pause, waits for a current view of the fleet, for at most half of the
/// request's remaining time. Then the request is sent with the view known here, since a longer
/// wait does not help its caller.
async fn wait_for_update_after_pause(shared: &Shared, limits: Limits) {
    let remaining = limits.deadline.saturating_duration_since(Instant::now());
    // On a time-out the request continues as well.
    let _ = timeout(remaining / 2, shared.gateway.wait_for_update_after_pause()).await;
}

/// While this gateway is isolated, waits for updates on a suspected request, for at most half of
/// the request's remaining time: other gateways may know that the request is refused, and each
/// isolated gateway could otherwise let the request end three more replicas.
async fn wait_while_isolated(shared: &Shared, limits: Limits) {
    let remaining = limits.deadline.saturating_duration_since(Instant::now());
    // On a time-out the request continues as well.
    let _ = timeout(remaining / 2, shared.wait_while_isolated()).await;
}

/// Counts and logs a send that was stopped because the zone was evacuated after the replica was
/// chosen.
fn not_sent_evacuated(shared: &Shared, outgoing: &Outgoing, chosen: &ChosenReplica) -> Exchange {
    shared.counters.evacuated_sends.inc();
    info!(shared.logger, "request: not sent, zone evacuated"; "request" => outgoing.id(),
        "replica" => &chosen.id, "upto" => shared.gateway.fleet().up_to_index().0);
    Exchange::Evacuated
}

/// Whether a response shows that its request reached the cold replica. A request that expected
/// another incarnation does not count.
fn send_outcome(response: &Response<Incoming>) -> SendOutcome {
    if response.status() == StatusCode::MISDIRECTED_REQUEST {
        SendOutcome::NotCounted
    } else {
        SendOutcome::Arrived
    }
}

/// Why no response head was received.
enum NoResponse {
    /// An idle connection was closed before anything was sent.
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
) -> Result<Response<Incoming>, NoResponse> {
    let remaining = limits.deadline.saturating_duration_since(Instant::now());
    let Some(request) = build(shared, chosen, outgoing, last_event, remaining) else {
        return Err(NoResponse::Failed);
    };
    match timeout_at(limits.head_deadline, connection.send(request)).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(SendFailure::NotSent)) => Err(NoResponse::Stale),
        Ok(Err(SendFailure::MayHaveArrived)) => Err(NoResponse::Failed),
        Err(_) => Err(NoResponse::TimedOut),
    }
}

fn build(
    shared: &Shared,
    chosen: &ChosenReplica,
    outgoing: &Arc<Outgoing>,
    last_event: Option<u64>,
    remaining: Duration,
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
    let remaining_ms = remaining.as_millis().max(1) as u64;
    headers.insert(names.deadline_ms.clone(), HeaderValue::from(remaining_ms));
    if let Some(last_event) = last_event {
        headers.insert(names.last_event.clone(), HeaderValue::from(last_event));
    }
    Some(request)
}

/// Interprets the head of a response.
fn interpret_head(
    shared: &Shared,
    chosen: &ChosenReplica,
    outgoing: &Arc<Outgoing>,
    running: RunningGuard,
    connection: Connection,
    response: Response<Incoming>,
) -> Exchange {
    let names = shared.dialect.names();
    let headers = response.headers();
    if let Err(fault) = check_head(response.status(), headers) {
        info!(shared.logger, "response with a spoilt head"; "replica" => &chosen.id,
            "request" => outgoing.id(), "cause" => %fault);
        running.report.note(RunOutcome::Failed);
        shared.note_failure(&chosen.id, FailureKind::Broken);
        return Exchange::Unknown;
    }
    if let Some(load) = headers
        .get(&names.load)
        .and_then(|v| shared.dialect.load(v))
    {
        shared.note_load(&chosen.id, load);
    }
    let echoed = headers.get(&names.request_id);
    let is_mismatched = echoed.is_some_and(|id| *id != outgoing.request_id);
    let is_unproven = echoed.is_none() && connection.is_reused;
    if is_mismatched {
        shared.note_failure(&chosen.id, FailureKind::Broken);
        return Exchange::Unknown;
    }
    let status = response.status();
    let was_not_run =
        headers.contains_key(&names.not_run) || status == StatusCode::MISDIRECTED_REQUEST;
    if was_not_run {
        // Without an id, the response may belong to an earlier request on this connection.
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
            shared.report_replaced(&chosen.id);
        }
        return Exchange::NotRun(kind);
    }
    if !headers.contains_key(&names.signature) {
        running.report.note(RunOutcome::Failed);
        shared.note_failure(&chosen.id, FailureKind::Broken);
        return Exchange::Unknown;
    }
    Exchange::Answered(Box::new(OpenedResponse {
        replica: chosen.id.clone(),
        software: chosen.software.clone(),
        response,
        connection,
        running,
    }))
}

/// Checks the software of the replica after its response: a replica that came back at its id with
/// other software may have sent it. Such a response must not continue a stream, and nothing may
/// continue it.
fn check_software(
    shared: &Shared,
    chosen: &ChosenReplica,
    software: &SoftwareNeed,
    answered: Exchange,
) -> Exchange {
    let Exchange::Answered(mut opened) = answered else {
        return answered;
    };
    if !shared.has_other_software(&chosen.id, chosen.software.as_deref()) {
        return Exchange::Answered(opened);
    }
    info!(shared.logger, "replica has other software than when it was chosen";
        "replica" => &chosen.id, "software" => &chosen.software);
    if *software != SoftwareNeed::Any {
        return Exchange::Unknown;
    }
    opened.software = None;
    Exchange::Answered(opened)
}
