//! Callers' requests as they come in.

use std::{sync::Arc, time::Duration};

use http::{HeaderMap, HeaderValue, Request, Response, header};
use hyper::body::Incoming;
use linnethitch_clock::Instant;
use linnethitch_cluster::GatewayNode;
use linnethitch_errors::ErrorKind;
use linnethitch_job_store::ItemSpec;
use linnethitch_registry::{FleetView, Route, RouteTable};
use linnethitch_routing::{cold::ColdSettings, quota::QuotaSettings};
use slog::{Logger, info};
use tokio_util::sync::CancellationToken;

use crate::{
    attempt::{Attempt, COME_BACK_AFTER},
    body::read_body,
    callers::{Caller, KeyPolicy, name_tenant},
    counters::RequestEnd,
    dialect::Dialect,
    exchange::{Admitted, Outgoing, strip_connection_headers},
    following::{follow_fleet, follow_gateways, keep_slots},
    planned_stop::PlannedStop,
    response::{ResponseBody, error_response},
    shared::Shared,
};

/// Settings of a relay.
#[derive(Clone, Debug)]
pub struct RelaySettings {
    /// The zone of this gateway.
    pub zone: String,
    /// Seed of choices between equals.
    pub seed: u64,
    /// How strictly keys that were taken away are refused.
    pub keys: KeyPolicy,
    /// How tenants' limits are counted.
    pub quota: QuotaSettings,
    /// How far the fleet may go beyond what cold replicas bear.
    pub cold: ColdSettings,
    /// Bytes of requests and answers that may be held before new requests are refused.
    pub max_buffered_bytes: u64,
    /// Longest time from being told to stop to the end of the process.
    pub stop_within: Duration,
}

/// A quarter of a small machine of 160 MB: the rest is the process itself, the fleet as it
/// knows it, and what its connections hold.
const DEFAULT_HELD_BYTES: u64 = 40 * 1024 * 1024;
/// What service managers allow by default before they kill a process.
const DEFAULT_ENDS_WITHIN: Duration = Duration::from_secs(30);

impl Default for RelaySettings {
    fn default() -> Self {
        RelaySettings {
            zone: String::new(),
            seed: 0,
            keys: KeyPolicy::default(),
            quota: QuotaSettings::default(),
            cold: ColdSettings::default(),
            max_buffered_bytes: DEFAULT_HELD_BYTES,
            stop_within: DEFAULT_ENDS_WITHIN,
        }
    }
}

/// Relays callers' requests. Clones share it.
#[derive(Clone)]
pub struct Relay {
    pub(crate) shared: Arc<Shared>,
    stopping: CancellationToken,
}

impl Relay {
    /// A relay of this gateway.
    #[must_use]
    pub fn new(
        gateway: GatewayNode,
        dialect: Arc<dyn Dialect>,
        settings: &RelaySettings,
        stopping: CancellationToken,
        logger: Logger,
    ) -> Self {
        let stop = PlannedStop::new(stopping.clone(), settings.stop_within);
        let shared = Shared::new(gateway.clone(), dialect, settings, stop, logger);
        let shared = Arc::new(shared);
        tokio::spawn(follow_fleet(Arc::clone(&shared), gateway.clone()));
        tokio::spawn(follow_gateways(Arc::clone(&shared), gateway));
        tokio::spawn(keep_slots(Arc::clone(&shared)));
        Relay { shared, stopping }
    }

    /// The table in force here; `None` before one was learned.
    #[must_use]
    pub fn table(&self) -> Option<Arc<RouteTable>> {
        self.shared.table()
    }

    /// The fleet as it is known here, once a table is in force; where none was learned
    /// yet, the first that comes within the limit.
    pub async fn wait_for_fleet(&self, limit: Duration) -> Option<Arc<FleetView>> {
        let mut views = self.shared.gateway.follow();
        let arrives = views.wait_for(|view| view.table().is_some());
        let view = linnethitch_clock::timeout(limit, arrives)
            .await
            .ok()?
            .ok()?;
        Some(Arc::clone(&view))
    }

    /// Whose a call is; `None` where it needs no key and shows none that is known.
    ///
    /// # Errors
    /// The answer to a caller whose key is not known.
    pub fn caller(
        &self,
        fleet: &FleetView,
        headers: &HeaderMap,
        needs_key: bool,
    ) -> Result<Option<Caller>, Box<Response<ResponseBody>>> {
        let caller = self.shared.caller(fleet, headers, needs_key);
        caller.map_err(|refusal| Box::new(refusal.answer()))
    }

    /// Takes out of a job's items what its caller said of itself: keys are not kept.
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

    /// Requests and items under way at a service.
    #[must_use]
    pub fn own_running(&self, service: &str) -> u32 {
        self.shared.own_running(service)
    }

    /// Figures since the start, as Prometheus text.
    #[must_use]
    pub fn metrics_text(&self) -> String {
        let gateway = &self.shared.gateway;
        let counters = &self.shared.counters;
        let silent_ms = gateway.control_silent_ms();
        counters.control_silent_ms.set(silent_ms as i64);
        let age_ms = gateway.knowledge_age_ms();
        counters.knowledge_age_ms.set(age_ms as i64);
        counters.control_links.set(gateway.control_links() as i64);
        counters.held_bytes.set(self.shared.held.bytes() as i64);
        let listed = gateway.coordinators().len();
        counters.listed_gateways.set(listed as i64);
        let silent = gateway.silent_coordinators().len();
        counters.silent_gateways.set(silent as i64);
        counters.to_text()
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
        fleet: &FleetView,
        table: &RouteTable,
        route: &Route,
        request: Request<Incoming>,
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
        let now_ms = self.shared.clock.now_ms();
        if let Some(left) = self.shared.stop.too_short_for(&route.name, limit, now_ms) {
            return self.refuse_before_the_end(&request_id, route, left);
        }
        if !self.shared.held.has_room() {
            return self.refuse_without_room(&request_id, route);
        }
        let until = arrived + limit;
        let body = match read_body(body, table.limits.body_bytes, until).await {
            Ok(body) => self.shared.held.keep(body),
            Err(kind) => return error_response(kind, None),
        };
        let tenant = caller.as_ref().map(|caller| caller.tenant.name.clone());
        let rank = caller.as_ref().and_then(|caller| caller.tenant.rank);
        let admitted = match self.admit(caller, &request_id, route).await {
            Ok(admitted) => admitted,
            Err(answer) => return *answer,
        };
        let homes = self.shared.homes_of(route, tenant.as_deref());
        let Some(service) = self.shared.pick_service(route, &homes) else {
            return error_response(ErrorKind::NoBackEnd, Some(COME_BACK_AFTER));
        };
        let prompt = self.shared.dialect.prompt(&head.headers);
        let mut headers = head.headers;
        strip_connection_headers(&mut headers);
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(&names.deadline_ms);
        let are_listed = fleet.tenants().are_listed();
        name_tenant(&mut headers, names, are_listed, tenant.as_deref());
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
                tenant,
                homes: route.homes.clone(),
                table_version: Some(table.version),
                admitted,
            }),
            rank: rank.unwrap_or(route.priority),
            prompt,
            until,
            arrived,
            tried: Vec::new(),
            runs: 0,
            refusals: 0,
            full: Vec::new(),
            pauses: 0,
        };
        attempt.run().await
    }

    /// The answer to a request that may outlast this process. Other gateways take it at once.
    fn refuse_before_the_end(
        &self,
        request_id: &HeaderValue,
        route: &Route,
        left: Duration,
    ) -> Response<ResponseBody> {
        let counters = &self.shared.counters;
        counters.request_ended(&route.name, RequestEnd::Stopping);
        info!(self.shared.logger, "request: refused, this gateway ends before it may";
            "request" => request_id.to_str().unwrap_or_default(), "route" => &route.name,
            "left_ms" => left.as_millis() as u64);
        error_response(ErrorKind::Stopping, Some(Duration::ZERO))
    }

    /// The answer to a request that comes while too much is held for others who read slowly.
    fn refuse_without_room(
        &self,
        request_id: &HeaderValue,
        route: &Route,
    ) -> Response<ResponseBody> {
        let counters = &self.shared.counters;
        counters.request_ended(&route.name, RequestEnd::NoRoom);
        info!(self.shared.logger, "request: refused, too much is held for slow readers";
            "request" => request_id.to_str().unwrap_or_default(),
            "held_bytes" => self.shared.held.bytes());
        error_response(ErrorKind::Overloaded, Some(COME_BACK_AFTER))
    }

    /// Lets a tenant's request in, if it is within the tenant's limit. What is beyond it
    /// is refused before it takes anything.
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
            Ok(leave) => Ok(Some(Admitted { caller, leave })),
            Err(again_in) => {
                let counters = &self.shared.counters;
                counters.request_ended(&route.name, RequestEnd::OverLimit);
                info!(self.shared.logger, "request: beyond the tenant's limit";
                    "request" => request_id.to_str().unwrap_or_default(),
                    "tenant" => &caller.tenant.name, "again_in_ms" => again_in.as_millis() as u64);
                let kind = ErrorKind::RequestRateLimited;
                Err(Box::new(error_response(kind, Some(again_in))))
            }
        }
    }
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
