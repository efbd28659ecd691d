//! Client of the operator interface of control.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use linnethitch_errors::ErrorKind;
use serde::Deserialize;
use tokio::runtime::{Builder, Runtime};

use super::processes::OPERATOR_KEY;

/// Time-out of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Time during which a failed request is retried.
const RETRY_TIMEOUT: Duration = Duration::from_secs(40);
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Fields of the response to `GET /v1/status` that the run needs.
#[derive(Clone, Debug, Default, Deserialize)]
pub(super) struct Status {
    pub(super) revision: u64,
    pub(super) members: Vec<MemberStatus>,
    pub(super) gateways: Vec<GatewayStatus>,
    pub(super) replicas: Vec<serde::de::IgnoredAny>,
}

#[derive(Clone, Debug, Deserialize)]
pub(super) struct MemberStatus {
    pub(super) machine: u32,
    pub(super) voter: bool,
    pub(super) leader: bool,
}

#[derive(Clone, Debug, Deserialize)]
pub(super) struct GatewayStatus {
    pub(super) gateway: String,
    pub(super) revision: u64,
}

#[derive(Debug, Deserialize)]
struct Accepted {
    revision: u64,
}

/// Sends requests to one control member and switches to the next when a request fails.
pub(super) struct Operator {
    runtime: Runtime,
    client: Client<HttpConnector, Full<Bytes>>,
    members: Vec<SocketAddr>,
    next_member: usize,
    changes: u64,
}

impl Operator {
    pub(super) fn new(members: &[SocketAddr]) -> Result<Self, Report<ErrorKind>> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .thread_name("operator")
            .enable_all()
            .build()
            .change_context(ErrorKind::Io)?;
        Ok(Operator {
            runtime,
            client: Client::builder(TokioExecutor::new()).build_http(),
            members: members.to_vec(),
            next_member: 0,
            changes: 0,
        })
    }

    /// Applies a fleet file on top of the expected revision. Returns the new revision and the time
    /// of the accepting response.
    pub(super) fn apply(
        &mut self,
        expected_revision: u64,
        content: &str,
    ) -> Result<(u64, Instant), Report<ErrorKind>> {
        self.changes += 1;
        let change_id = format!("change-{}", self.changes);
        let body = Bytes::copy_from_slice(content.as_bytes());
        let response = self.send_with_retries(
            |builder| {
                builder
                    .method(Method::PUT)
                    .header("linnethitch-change", &change_id)
                    .header("linnethitch-expected-revision", expected_revision)
                    .body(Full::new(body.clone()))
            },
            "/v1/configuration",
        )?;
        let accepted: Accepted =
            serde_json::from_slice(&response).change_context(ErrorKind::Internal)?;
        Ok((accepted.revision, Instant::now()))
    }

    /// Status of the fleet.
    pub(super) fn status(&mut self) -> Result<Status, Report<ErrorKind>> {
        let response = self.send_with_retries(
            |builder| builder.method(Method::GET).body(Full::default()),
            "/v1/status",
        )?;
        serde_json::from_slice(&response).change_context(ErrorKind::Internal)
    }

    /// Bytes that a member has sent and received since its start.
    pub(super) fn member_bytes(&self, member: usize) -> Result<u64, Report<ErrorKind>> {
        let request = self
            .request(self.members[member], "/metrics")
            .method(Method::GET)
            .body(Full::default())
            .change_context(ErrorKind::Internal)?;
        let (_, body) = self.send(request)?;
        let text = String::from_utf8_lossy(&body);
        let sent = gauge_value(&text, "control_sent_bytes");
        let received = gauge_value(&text, "control_received_bytes");
        sent.zip(received)
            .map(|(sent, received)| sent + received)
            .ok_or_else(|| {
                Report::new(ErrorKind::Internal)
                    .attach("metrics lack control_sent_bytes or control_received_bytes")
            })
    }

    /// Sends a request to one member after another until a member returns 200 or a client error.
    /// Retries other failures until [`RETRY_TIMEOUT`] has passed.
    fn send_with_retries(
        &mut self,
        build: impl Fn(http::request::Builder) -> http::Result<Request<Full<Bytes>>>,
        path: &str,
    ) -> Result<Bytes, Report<ErrorKind>> {
        let deadline = Instant::now() + RETRY_TIMEOUT;
        loop {
            let member = self.members[self.next_member % self.members.len()];
            let request = build(self.request(member, path)).change_context(ErrorKind::Internal)?;
            let outcome = self.send(request);
            match outcome {
                Ok((StatusCode::OK, body)) => return Ok(body),
                Ok((status, body)) if status.is_client_error() => {
                    let text = String::from_utf8_lossy(&body).into_owned();
                    return Err(Report::new(ErrorKind::InvalidValue).attach(text));
                }
                Ok(_) | Err(_) if Instant::now() < deadline => {
                    self.next_member += 1;
                    std::thread::sleep(RETRY_DELAY);
                }
                Ok((status, _)) => {
                    let text = format!("{path}: {status}");
                    return Err(Report::new(ErrorKind::ControlUnavailable).attach(text));
                }
                Err(report) => return Err(report),
            }
        }
    }

    fn request(&self, member: SocketAddr, path: &str) -> http::request::Builder {
        Request::builder()
            .uri(format!("http://{member}{path}"))
            .header("authorization", format!("Bearer {OPERATOR_KEY}"))
    }

    fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Bytes), Report<ErrorKind>> {
        let client = self.client.clone();
        let exchange = async move {
            let response = client
                .request(request)
                .await
                .change_context(ErrorKind::Io)?;
            let status = response.status();
            let body = response.into_body().collect().await;
            Ok((status, body.change_context(ErrorKind::Io)?.to_bytes()))
        };
        self.runtime.block_on(async {
            tokio::time::timeout(REQUEST_TIMEOUT, exchange)
                .await
                .change_context(ErrorKind::ControlUnavailable)?
        })
    }
}

/// Value of a gauge in the Prometheus text format.
fn gauge_value(text: &str, name: &str) -> Option<u64> {
    let line = text
        .lines()
        .find(|line| !line.starts_with('#') && line.contains(name))?;
    line.rsplit(' ').next()?.parse().ok()
}
