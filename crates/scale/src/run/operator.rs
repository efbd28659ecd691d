//! What an operator asks control for.

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

/// Longest wait for an answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(10);
/// Longest that the operator tries.
const TRY_LIMIT: Duration = Duration::from_secs(40);
const PAUSE: Duration = Duration::from_millis(20);

/// `GET /v1/status`, in part.
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

/// Talks to whichever member answers.
pub(super) struct Operator {
    runtime: Runtime,
    client: Client<HttpConnector, Full<Bytes>>,
    members: Vec<SocketAddr>,
    next: usize,
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
            next: 0,
            changes: 0,
        })
    }

    /// Applies a file to a revision; tells the revision that it became and when
    /// the accepting answer came.
    pub(super) fn apply(
        &mut self,
        expected: u64,
        content: &str,
    ) -> Result<(u64, Instant), Report<ErrorKind>> {
        self.changes += 1;
        let change = format!("change-{}", self.changes);
        let body = Bytes::copy_from_slice(content.as_bytes());
        let answer = self.until_answered(
            |builder| {
                builder
                    .method(Method::PUT)
                    .header("linnethitch-change", &change)
                    .header("linnethitch-expected-revision", expected)
                    .body(Full::new(body.clone()))
            },
            "/v1/configuration",
        )?;
        let accepted: Accepted =
            serde_json::from_slice(&answer).change_context(ErrorKind::Internal)?;
        Ok((accepted.revision, Instant::now()))
    }

    /// What the leader knows.
    pub(super) fn status(&mut self) -> Result<Status, Report<ErrorKind>> {
        let answer = self.until_answered(
            |builder| builder.method(Method::GET).body(Full::default()),
            "/v1/status",
        )?;
        serde_json::from_slice(&answer).change_context(ErrorKind::Internal)
    }

    /// Bytes that a member sent and received since its start.
    pub(super) fn member_bytes(&self, member: usize) -> Result<u64, Report<ErrorKind>> {
        let request = self
            .request(self.members[member], "/metrics")
            .method(Method::GET)
            .body(Full::default())
            .change_context(ErrorKind::Internal)?;
        let (_, body) = self.send(request)?;
        let text = String::from_utf8_lossy(&body);
        let sent = metric(&text, "control_sent_bytes");
        let received = metric(&text, "control_received_bytes");
        sent.zip(received)
            .map(|(sent, received)| sent + received)
            .ok_or_else(|| Report::new(ErrorKind::Internal).attach("no such metric"))
    }

    /// Asks one member after another until one accepts, or refuses for good.
    fn until_answered(
        &mut self,
        build: impl Fn(http::request::Builder) -> http::Result<Request<Full<Bytes>>>,
        path: &str,
    ) -> Result<Bytes, Report<ErrorKind>> {
        let deadline = Instant::now() + TRY_LIMIT;
        loop {
            let member = self.members[self.next % self.members.len()];
            let request = build(self.request(member, path)).change_context(ErrorKind::Internal)?;
            let outcome = self.send(request);
            match outcome {
                Ok((StatusCode::OK, body)) => return Ok(body),
                Ok((status, body)) if status.is_client_error() => {
                    let text = String::from_utf8_lossy(&body).into_owned();
                    return Err(Report::new(ErrorKind::InvalidValue).attach(text));
                }
                Ok(_) | Err(_) if Instant::now() < deadline => {
                    self.next += 1;
                    std::thread::sleep(PAUSE);
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
        let answer = async move {
            let response = client
                .request(request)
                .await
                .change_context(ErrorKind::Io)?;
            let status = response.status();
            let body = response.into_body().collect().await;
            Ok((status, body.change_context(ErrorKind::Io)?.to_bytes()))
        };
        self.runtime.block_on(async {
            tokio::time::timeout(ANSWER_LIMIT, answer)
                .await
                .change_context(ErrorKind::ControlUnavailable)?
        })
    }
}

/// The value of a gauge in Prometheus's text format.
fn metric(text: &str, name: &str) -> Option<u64> {
    let line = text
        .lines()
        .find(|line| !line.starts_with('#') && line.contains(name))?;
    line.rsplit(' ').next()?.parse().ok()
}
