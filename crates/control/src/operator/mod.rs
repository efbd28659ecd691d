//! The operators' HTTP interface.

mod answers;
mod apply;
mod explain;
mod jobs;
mod orders;
mod request;
mod routes;
mod server;
mod status;

use std::{sync::Arc, time::Duration};

use gotham::helpers::http::Body;
use http::{Response, StatusCode};
use linnethitch_errors::{ErrorKind, Failure};
use linnethitch_observability::metrics::{self, Metrics};
use linnethitch_protocol::{
    attach::{ControlAnswer, ControlCall},
    command::{CommandBody, Outcome},
    query::{Query, QueryAnswer},
};
use serde::Serialize;

use crate::{clock::Clock, driver::Driver, metrics::ControlMetrics, record::Recorder};
use answers::{bytes_response, failure_response, json_response};
pub(crate) use request::OperatorKey;
use request::{OperatorRequest, RequestHead};
pub(crate) use routes::build_router;
pub(crate) use server::OperatorServer;

/// When an operator should come back after control could not answer.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Knowledge older than this does not count as following a leader, in milliseconds.
const MAX_CONFIRMED_AGE_MS: u64 = 2_000;

/// What a path of the interface does.
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
    /// Whether the operators' key is needed.
    fn is_protected(self) -> bool {
        !matches!(self, Endpoint::Health | Endpoint::Ready | Endpoint::Metrics)
    }
}

/// What handlers work with.
pub(crate) struct Operator {
    pub(crate) driver: Driver,
    pub(crate) key: OperatorKey,
    pub(crate) recorder: Recorder,
    pub(crate) metrics: Metrics,
    pub(crate) gauges: ControlMetrics,
    pub(crate) clock: Clock,
    /// Control machines in all.
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
    /// Answers one request.
    pub(crate) async fn answer(
        self: Arc<Self>,
        endpoint: Endpoint,
        request: OperatorRequest,
    ) -> Response<Body> {
        if endpoint.is_protected()
            && let Err(failure) = self.key.check(&request.head)
        {
            return failure_response(&failure);
        }
        let answered = match endpoint {
            Endpoint::Configuration => self.configuration().await,
            Endpoint::Apply => apply::apply(&self, request).await,
            Endpoint::Status => status::status(&self).await,
            Endpoint::Jobs => jobs::list(&self, &request.head).await,
            Endpoint::Job => jobs::get(&self, &request.head).await,
            Endpoint::Orders => Ok(orders::list(&self).await),
            Endpoint::Explain => explain::explain(&self, &request.head).await,
            Endpoint::Health => Ok(json_response(&HealthBody { status: "ok" })),
            Endpoint::Ready => self.ready(),
            Endpoint::Metrics => Ok(self.metrics_text()),
        };
        answered.unwrap_or_else(|failure| failure_response(&failure))
    }

    async fn configuration(&self) -> Result<Response<Body>, Failure> {
        match self.query(Query::Configuration).await? {
            QueryAnswer::Configuration { revision, content } => {
                Ok(json_response(&ConfigurationBody {
                    revision: revision.0,
                    content,
                }))
            }
            _ => Err(unexpected()),
        }
    }

    /// Ready once changes are accepted: a leader is known and enough disks vote.
    fn ready(&self) -> Result<Response<Body>, Failure> {
        let view = self.driver.view();
        let age_ms = self.clock.wall().0.saturating_sub(view.confirmed_at.0);
        if view.leader.is_none() || age_ms > MAX_CONFIRMED_AGE_MS {
            return Err(not_ready("no leader is known"));
        }
        if view.voters / 2 < self.machines / 2 {
            return Err(not_ready("too few disks vote"));
        }
        Ok(json_response(&HealthBody { status: "ready" }))
    }

    fn metrics_text(&self) -> Response<Body> {
        self.gauges.update(&self.driver.view());
        let text = self.metrics.text();
        bytes_response(StatusCode::OK, metrics::CONTENT_TYPE, text)
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

    /// Commits a command.
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

fn not_ready(message: &str) -> Failure {
    Failure::new(ErrorKind::NotReady, message).with_retry_after(RETRY_AFTER)
}

fn unexpected() -> Failure {
    Failure::new(
        ErrorKind::Internal,
        "the member gave an answer to another question",
    )
}
