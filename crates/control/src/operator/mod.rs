//! The HTTP interface for operators.

mod apply;
mod explain;
mod jobs;
mod orders;
mod request;
mod routes;
mod status;

use std::{sync::Arc, time::Duration};

use gotham::helpers::http::Body;
use http::{HeaderValue, Response, StatusCode};
use linnethitch_errors::{ErrorKind, Failure};
use linnethitch_http_server::{
    ConnectionLimits, Endpoints,
    answer::{bytes_response, failure_response, json_response},
};
use linnethitch_observability::metrics::{self, Metrics};
use linnethitch_protocol::{
    attach::{ControlAnswer, ControlCall},
    command::{CommandBody, Outcome},
    query::{Query, QueryAnswer},
};
use serde::Serialize;

use crate::{clock::Clock, driver::Driver, metrics::ControlMetrics, record::Recorder};
pub(crate) use request::OperatorKey;
use request::OperatorRequest;
pub(crate) use routes::build_router;

/// Time after which an operator should retry a request that control could not answer.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// A member is not ready if it last confirmed a leader with a quorum longer ago than this, in
/// milliseconds.
const MAX_CONFIRMED_AGE_MS: u64 = 2_000;

/// Maximum number of operators' connections; idle and unfinished ones give way to new ones.
pub(crate) const MAX_CONNECTIONS: usize = 256;
/// Memory for the bodies of operators' requests and for what is made of them, in bytes.
pub(crate) const BODY_MEMORY_BYTES: u64 = 64 * 1024 * 1024;
/// Limits of each operator's connection.
pub(crate) const CONNECTION_LIMITS: ConnectionLimits = ConnectionLimits {
    header_bytes: 64 * 1024,
    header_time: Duration::from_secs(10),
    write_stall: Duration::from_secs(10),
};

/// The endpoints of the interface.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Endpoint {
    /// `GET /v1/configuration`
    Configuration,
    /// `PUT /v1/configuration`
    Apply,
    /// `GET /v1/status`
    Status,
    /// `GET /v1/jobs/{tenant}`
    Jobs,
    /// `GET /v1/jobs/{tenant}/{job}`
    Job,
    /// `GET /v1/orders`
    Orders,
    /// `GET /v1/explain/{id}`
    Explain,
    /// `GET /healthz`
    Health,
    /// `GET /readyz`
    Ready,
    /// `GET /metrics`
    Metrics,
}

impl Endpoint {
    /// Whether the operators' key is required.
    fn is_protected(self) -> bool {
        !matches!(self, Endpoint::Health | Endpoint::Ready | Endpoint::Metrics)
    }
}

/// State shared by the request handlers.
pub(crate) struct Operator {
    pub(crate) driver: Driver,
    pub(crate) key: OperatorKey,
    pub(crate) recorder: Recorder,
    pub(crate) metrics: Metrics,
    pub(crate) gauges: ControlMetrics,
    pub(crate) clock: Clock,
    /// Number of control machines.
    pub(crate) machines: usize,
}

#[derive(Serialize)]
struct ConfigurationBody {
    revision: u64,
    content: String,
}

#[derive(Serialize)]
struct HealthBody {
    status: &'static str,
}

impl Operator {
    /// Checks the key and handles a request.
    async fn respond(
        &self,
        endpoint: Endpoint,
        request: OperatorRequest,
    ) -> Result<Response<Body>, Failure> {
        if endpoint.is_protected() {
            self.key.check(&request.incoming.head)?;
        }
        match endpoint {
            Endpoint::Configuration => self.configuration().await,
            Endpoint::Apply => apply::apply(self, request.incoming).await,
            Endpoint::Status => status::status(self).await,
            Endpoint::Jobs => jobs::list(self, request).await,
            Endpoint::Job => jobs::get(self, request).await,
            Endpoint::Orders => Ok(orders::list(self).await),
            Endpoint::Explain => explain::explain(self, request).await,
            Endpoint::Health => Ok(json_response(StatusCode::OK, &HealthBody { status: "ok" })),
            Endpoint::Ready => self.ready(),
            Endpoint::Metrics => Ok(self.metrics_text()),
        }
    }

    async fn configuration(&self) -> Result<Response<Body>, Failure> {
        match self.query(Query::Configuration).await? {
            QueryAnswer::Configuration { revision, content } => Ok(json_response(
                StatusCode::OK,
                &ConfigurationBody {
                    revision: revision.0,
                    content,
                },
            )),
            _ => Err(unexpected()),
        }
    }

    /// Ready if changes are accepted: a leader is known and there are enough voters.
    fn ready(&self) -> Result<Response<Body>, Failure> {
        let view = self.driver.view();
        let age_ms = self.clock.wall().0.saturating_sub(view.confirmed_at.0);
        if view.leader.is_none() || age_ms > MAX_CONFIRMED_AGE_MS {
            return Err(not_ready("no leader is known"));
        }
        if view.voters / 2 < self.machines / 2 {
            return Err(not_ready("too few voters"));
        }
        Ok(json_response(
            StatusCode::OK,
            &HealthBody { status: "ready" },
        ))
    }

    fn metrics_text(&self) -> Response<Body> {
        self.gauges.update(&self.driver.view());
        let text = self.metrics.text();
        let content_type = HeaderValue::from_static(metrics::CONTENT_TYPE);
        bytes_response(StatusCode::OK, content_type, text)
    }

    /// Reads the replicated state after a confirmed read index.
    async fn query(&self, query: Query) -> Result<QueryAnswer, Failure> {
        match self.driver.call(ControlCall::Query(query)).await {
            ControlAnswer::Answer(answer) => Ok(answer),
            ControlAnswer::Refused(refusal) => {
                Err(Failure::from(refusal).with_retry_after(RETRY_AFTER))
            }
            ControlAnswer::Outcome(_) => Err(unexpected()),
        }
    }

    /// Proposes a command and waits for its outcome.
    async fn propose(&self, command: CommandBody) -> Result<Outcome, Failure> {
        match self.driver.call(ControlCall::Propose(command)).await {
            ControlAnswer::Outcome(Outcome::Refused(refusal)) => Err(refusal.into()),
            ControlAnswer::Outcome(outcome) => Ok(outcome),
            ControlAnswer::Refused(refusal) => {
                Err(Failure::from(refusal).with_retry_after(RETRY_AFTER))
            }
            ControlAnswer::Answer(_) => Err(unexpected()),
        }
    }
}

impl Endpoints for Operator {
    type Endpoint = Endpoint;
    type Request = OperatorRequest;

    async fn answer(
        self: Arc<Self>,
        endpoint: Endpoint,
        request: OperatorRequest,
    ) -> Response<Body> {
        let answered = self.respond(endpoint, request).await;
        answered.unwrap_or_else(|failure| failure_response(&failure))
    }
}

fn not_ready(message: &str) -> Failure {
    Failure::new(ErrorKind::NotReady, message).with_retry_after(RETRY_AFTER)
}

fn unexpected() -> Failure {
    Failure::new(
        ErrorKind::Internal,
        "the member returned an unexpected type of answer",
    )
}
