//! Callers' requests as they come in.

use std::{sync::Arc, time::Duration};

use http::{HeaderMap, HeaderValue, Request, Response, header};
use hyper::body::Incoming;
use linnethitch_clock::Instant;
use linnethitch_cluster::GatewayNode;
use linnethitch_errors::ErrorKind;
use linnethitch_registry::{Route, RouteTable};
use slog::Logger;
use tokio_util::sync::CancellationToken;

use crate::{
    answer::{AnswerBody, own_answer},
    attempt::{Attempt, COME_BACK_AFTER},
    body::read_body,
    dialect::Dialect,
    exchange::{Outgoing, strip_connection_headers},
    following::{follow_fleet, follow_gateways, keep_slots},
    shared::Shared,
};

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
        zone: &str,
        seed: u64,
        stopping: CancellationToken,
        logger: Logger,
    ) -> Self {
        let shared = Arc::new(Shared::new(gateway.clone(), dialect, zone, seed, logger));
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

/// How long a request may be held: the caller's time, but no more than the route's.
fn time_limit(headers: &HeaderMap, names: &crate::dialect::HeaderNames, route: &Route) -> Duration {
    let told = headers.get(&names.deadline_ms).and_then(parse_number);
    let limit_ms = told.map_or(route.timeout_ms, |told| told.min(route.timeout_ms));
    Duration::from_millis(limit_ms)
}

fn parse_number(value: &HeaderValue) -> Option<u64> {
    value.to_str().ok()?.trim().parse().ok()
}
