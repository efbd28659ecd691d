//! Entry point of callers' requests.

use std::{sync::Arc, time::Duration};

use http::{HeaderMap, HeaderValue, Response, header};
use linnethitch_clock::Instant;
use linnethitch_cluster::GatewayNode;
use linnethitch_errors::ErrorKind;
use linnethitch_job_store::{ItemSpec, JobSpec};
use linnethitch_registry::{FleetView, Route, RouteTable};
use linnethitch_routing::{answer_times::StopRequest, cold::ColdSettings, quota::QuotaSettings};
use slog::{Logger, info};
use tokio_util::sync::CancellationToken;

use crate::{
    attempt::{Attempt, DEFAULT_RETRY_AFTER},
    body::{BodyUse, read_request_body},
    callers::{Caller, KeyPolicy, set_tenant_header},
    counters::RequestEnd,
    deferred_items::DeferReason,
    dialect::Dialect,
    exchange::{Admitted, Outgoing, strip_connection_headers},
    following::{follow_fleet, follow_gateways, maintain},
    item_request::ItemFault,
    planned_stop::{PlannedStop, RunState},
    response::{ResponseBody, error_response},
    server::CallerRequest,
    shared::Shared,
    stream_records::STREAM_LIFETIME_MS,
};

/// Settings of a relay.
#[derive(Clone, Debug)]
pub struct RelaySettings {
    /// The zone of this gateway.
    pub zone: String,
    /// Seed of random choices between equal candidates.
    pub seed: u64,
    /// How strictly revoked keys are refused.
    pub keys: KeyPolicy,
    /// Settings of tenant limits.
    pub quota: QuotaSettings,
    /// How far the fleet may exceed the declared limits of cold replicas.
    pub cold: ColdSettings,
    /// Bytes of responses that may be buffered for slow readers before new requests are refused.
    pub max_buffered_bytes: u64,
    /// Maximum time from the request to stop to the end of the process.
    pub stop_within: Duration,
}

/// An eighth of the memory of a small machine of 160 MB.
const DEFAULT_MAX_BUFFERED_BYTES: u64 = 20 * 1024 * 1024;
/// Default time that service managers allow before they kill a process.
const DEFAULT_STOP_WITHIN: Duration = Duration::from_secs(30);

/// Time by which a caller's attempt to take a stream up may arrive after its deadline.
const TAKE_UP_SLACK: Duration = Duration::from_secs(1);

impl Default for RelaySettings {
    fn default() -> Self {
        RelaySettings {
            zone: String::new(),
            seed: 0,
            keys: KeyPolicy::default(),
            quota: QuotaSettings::default(),
            cold: ColdSettings::default(),
            max_buffered_bytes: DEFAULT_MAX_BUFFERED_BYTES,
            stop_within: DEFAULT_STOP_WITHIN,
        }
    }
}

/// Relays callers' requests. Clones share the state.
#[derive(Clone)]
pub struct Relay {
    pub(crate) shared: Arc<Shared>,
    stopping: CancellationToken,
}

impl Relay {
    /// Starts the relay of a gateway.
    #[must_use]
    pub fn new(
        gateway: GatewayNode,
        dialect: Arc<dyn Dialect>,
        settings: &RelaySettings,
        stopping: CancellationToken,
        logger: Logger,
    ) -> Self {
        let stop = PlannedStop::new(stopping.clone(), settings.stop_within, gateway.clock());
        let shared = Shared::new(gateway.clone(), dialect, settings, stop, logger);
        let shared = Arc::new(shared);
        tokio::spawn(follow_fleet(Arc::clone(&shared), gateway.clone()));
        tokio::spawn(follow_gateways(Arc::clone(&shared), gateway));
        tokio::spawn(maintain(Arc::clone(&shared)));
        tokio::spawn(shared.delays.clone().record());
        Relay { shared, stopping }
    }

    /// The route table in force here; `None` before one was received.
    #[must_use]
    pub fn table(&self) -> Option<Arc<RouteTable>> {
        self.shared.table()
    }

    /// The current view of the fleet if a route table is in force; otherwise the first such view
    /// within the limit.
    pub async fn wait_for_fleet(&self, limit: Duration) -> Option<Arc<FleetView>> {
        let mut views = self.shared.gateway.follow();
        let arrives = views.wait_for(|view| view.table().is_some());
        let view = linnethitch_clock::timeout(limit, arrives)
            .await
            .ok()?
            .ok()?;
        Some(Arc::clone(&view))
    }

    /// Identifies the caller; `None` if the call needs no key and has no known key.
    ///
    /// # Errors
    /// The response to a caller whose key is missing, unknown or cannot be checked.
    pub fn caller(
        &self,
        fleet: &FleetView,
        headers: &HeaderMap,
        needs_key: bool,
    ) -> Result<Option<Caller>, Box<Response<ResponseBody>>> {
        let caller = self.shared.caller(fleet, headers, needs_key);
        caller.map_err(|refusal| Box::new(refusal.answer()))
    }

    /// Removes credentials and tenant headers from a job's items, so that keys are not stored.
    pub fn strip_credentials(&self, fleet: &FleetView, items: &mut [ItemSpec]) {
        if !fleet.tenants().are_listed() {
            return;
        }
        let names = self.shared.dialect.names();
        let is_own = |name: &str| {
            name.eq_ignore_ascii_case(header::AUTHORIZATION.as_str())
                || name.eq_ignore_ascii_case(names.tenant.as_str())
        };
        for item in items {
            item.headers.retain(|(name, _)| !is_own(name));
        }
    }

    /// Checks that every item of a job can be sent to a replica.
    ///
    /// # Errors
    /// The first item that cannot, and why.
    pub fn check_items<'j>(&self, job: &'j JobSpec) -> Result<(), (&'j ItemSpec, ItemFault)> {
        job.items.iter().try_for_each(|item| {
            let request = self.shared.item_request(&job.host, item);
            request.map(|_| ()).map_err(|fault| (item, fault))
        })
    }

    /// Number of requests and items that this gateway is running at a service.
    #[must_use]
    pub fn own_running(&self, service: &str) -> u32 {
        self.shared.own_running(service)
    }

    /// Metrics in the Prometheus text format.
    #[must_use]
    pub fn metrics_text(&self) -> String {
        let gateway = &self.shared.gateway;
        let counters = &self.shared.counters;
        let silent_ms = gateway.control_silent_ms();
        counters.control_silent_ms.set(silent_ms as i64);
        let age_ms = gateway.knowledge_age_ms();
        counters.knowledge_age_ms.set(age_ms as i64);
        counters.control_links.set(gateway.control_links() as i64);
        counters.held_bytes.set(self.shared.buffered.bytes() as i64);
        let listed = gateway.coordinators().len();
        counters.listed_gateways.set(listed as i64);
        let silent = gateway.silent_coordinators().len();
        counters.silent_gateways.set(silent as i64);
        for reason in DeferReason::ALL {
            let (number, oldest) = self.shared.deferred_items.deferred(reason);
            counters.note_deferred_items(reason, number, oldest);
        }
        counters.to_text()
    }

    /// The gateway node of this relay.
    #[must_use]
    pub fn gateway(&self) -> &GatewayNode {
        &self.shared.gateway
    }

    /// Whether the process was asked to stop.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.is_cancelled()
    }

    /// Cancelled when the process is asked to stop.
    pub(crate) fn stopping(&self) -> CancellationToken {
        self.stopping.clone()
    }

    /// Relays a request that matched a route. If this process stops, the request is answered
    /// before the process ends.
    pub async fn relay(
        &self,
        fleet: &FleetView,
        table: &RouteTable,
        route: &Route,
        request: CallerRequest,
    ) -> Response<ResponseBody> {
        let id_name = &self.shared.dialect.names().request_id;
        let request_id = request.headers().get(id_name).cloned();
        let run_state = RunState::default();
        tokio::select! {
            biased;
            response = self.serve(fleet, table, route, request, run_state.clone()) => response,
            () = self.shared.stop.until_answers_due() => {
                let id = request_id.as_ref().and_then(|id| id.to_str().ok());
                self.shared.answer_as_stopping(id.unwrap_or_default(), &route.name, &run_state)
            }
        }
    }

    async fn serve(
        &self,
        fleet: &FleetView,
        table: &RouteTable,
        route: &Route,
        request: CallerRequest,
        run_state: RunState,
    ) -> Response<ResponseBody> {
        let arrived = Instant::now();
        let (head, body) = request.into_parts();
        let caller = match self.shared.caller(fleet, &head.headers, !route.public) {
            Ok(caller) => caller,
            Err(refusal) => {
                let counters = &self.shared.counters;
                counters.request_ended(&route.name, RequestEnd::KeyRefused);
                return refusal.answer();
            }
        };
        let names = self.shared.dialect.names();
        let Some(request_id) = head.headers.get(&names.request_id).cloned() else {
            return error_response(ErrorKind::MalformedRequest, None);
        };
        let limit = time_limit(&head.headers, names, route);
        let prompt = self.shared.dialect.prompt(&head.headers);
        let stop_request = || stop_request(route, limit, prompt.max_output_tokens);
        if let Some(remaining) = self.shared.stop.remaining_if_too_short(stop_request) {
            let id = request_id.to_str().unwrap_or_default();
            return self.shared.refuse_as_stopping(id, &route.name, remaining);
        }
        if !self.shared.buffered.has_capacity() {
            return self.refuse_over_buffer_limit(&request_id, route);
        }
        let deadline = arrived + limit;
        let max_bytes = table.limits.body_bytes;
        let body = read_request_body(&head, body, BodyUse::Relayed, max_bytes, deadline).await;
        let body = match body {
            Ok(body) => body,
            Err(kind) => return self.refuse_body(kind, route),
        };
        let tenant = caller.as_ref().map(|caller| caller.tenant.name.clone());
        let rank = caller.as_ref().and_then(|caller| caller.tenant.rank);
        let admitted = match self.admit(caller, &request_id, route).await {
            Ok(admitted) => admitted,
            Err(answer) => return *answer,
        };
        let homes = self.shared.homes_of(route, tenant.as_deref());
        let origin = self.shared.stream_origin(fleet, route, &head.headers);
        let origin = match origin.await {
            Ok(origin) => origin,
            Err(answer) => return *answer,
        };
        let begun_at = origin.service.clone();
        let Some(service) = begun_at.or_else(|| self.shared.pick_service(route, &homes)) else {
            return error_response(ErrorKind::NoBackEnd, Some(DEFAULT_RETRY_AFTER));
        };
        let take_up_until = arrived + take_up_limit(&head.headers, names, route);
        let mut headers = head.headers;
        strip_connection_headers(&mut headers);
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(&names.deadline_ms);
        let are_listed = fleet.tenants().are_listed();
        set_tenant_header(&mut headers, names, are_listed, tenant.as_deref());
        let attempt = Attempt {
            shared: &self.shared,
            route,
            service,
            outgoing: Arc::new(Outgoing {
                method: head.method,
                uri: head.uri,
                shared_parts: prompt.shared_parts(),
                headers,
                body,
                request_id,
                tenant,
                item: None,
                homes: route.homes.clone(),
                table_version: Some(table.version),
                admitted,
            }),
            rank: rank.unwrap_or(route.priority),
            prompt,
            deadline,
            arrived,
            tried: Vec::new(),
            runs: 0,
            refusals: 0,
            full: Vec::new(),
            pauses: 0,
            origin,
            take_up_until,
            run_state,
        };
        attempt.run().await
    }

    /// Refuses a request whose body was not received.
    #[must_use]
    pub fn refuse_body(&self, kind: ErrorKind, route: &Route) -> Response<ResponseBody> {
        if kind != ErrorKind::Overloaded {
            return error_response(kind, None);
        }
        let counters = &self.shared.counters;
        counters.request_ended(&route.name, RequestEnd::NoRoom);
        error_response(kind, Some(DEFAULT_RETRY_AFTER))
    }

    /// Refuses a request while the buffers for slow readers are full.
    fn refuse_over_buffer_limit(
        &self,
        request_id: &HeaderValue,
        route: &Route,
    ) -> Response<ResponseBody> {
        let counters = &self.shared.counters;
        counters.request_ended(&route.name, RequestEnd::NoRoom);
        info!(self.shared.logger, "request: refused, buffers for slow readers are full";
            "request" => request_id.to_str().unwrap_or_default(),
            "held_bytes" => self.shared.buffered.bytes());
        error_response(ErrorKind::Overloaded, Some(DEFAULT_RETRY_AFTER))
    }

    /// Admits a tenant's request if it is within the tenant's limit. A request over the limit is
    /// refused before it uses any resources.
    async fn admit(
        &self,
        caller: Option<Caller>,
        request_id: &HeaderValue,
        route: &Route,
    ) -> Result<Option<Admitted>, Box<Response<ResponseBody>>> {
        let Some(caller) = caller else {
            return Ok(None);
        };
        match self.shared.quotas.admit(&caller.tenant).await {
            Ok(permit) => Ok(Some(Admitted { caller, permit })),
            Err(retry_in) => {
                let counters = &self.shared.counters;
                counters.request_ended(&route.name, RequestEnd::OverLimit);
                info!(self.shared.logger, "request: over the tenant's limit";
                    "request" => request_id.to_str().unwrap_or_default(),
                    "tenant" => &caller.tenant.name, "again_in_ms" => retry_in.as_millis() as u64);
                let kind = ErrorKind::RequestRateLimited;
                Err(Box::new(error_response(kind, Some(retry_in))))
            }
        }
    }
}

/// What a planned stop asks of a request that arrives now.
fn stop_request(route: &Route, limit: Duration, max_output_tokens: u32) -> StopRequest<'_> {
    let backends = route.backends.iter();
    StopRequest {
        route: &route.name,
        services: backends.map(|backend| backend.service.as_str()).collect(),
        limit_ms: limit.as_millis() as u64,
        max_output_tokens,
        target_ms: route.target_ms,
        is_repeatable: route.is_repeatable(),
    }
}

/// Time limit of a request: the caller's deadline, but at most the route's time-out.
fn time_limit(headers: &HeaderMap, names: &crate::dialect::HeaderNames, route: &Route) -> Duration {
    let requested = headers.get(&names.deadline_ms).and_then(parse_number);
    let limit_ms = requested.map_or(route.timeout_ms, |requested| {
        requested.min(route.timeout_ms)
    });
    Duration::from_millis(limit_ms)
}

/// Time after the arrival of a request within which its caller may take its stream up again: the
/// caller's deadline, which may be later than the route's time-out.
fn take_up_limit(
    headers: &HeaderMap,
    names: &crate::dialect::HeaderNames,
    route: &Route,
) -> Duration {
    let requested = headers.get(&names.deadline_ms).and_then(parse_number);
    let limit_ms = requested
        .unwrap_or(STREAM_LIFETIME_MS)
        .max(route.timeout_ms);
    Duration::from_millis(limit_ms) + TAKE_UP_SLACK
}

fn parse_number(value: &HeaderValue) -> Option<u64> {
    value.to_str().ok()?.trim().parse().ok()
}
