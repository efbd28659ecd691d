//! Configures the started processes and waits until the fleet serves.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use linnethitch_errors::ErrorKind;
use serde::Deserialize;
use tokio::time::{Instant, sleep};

const CONFIGURATION: &str = "/v1/configuration";
const STATUS: &str = "/v1/status";
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of each step.
const STEP_TIMEOUT: Duration = Duration::from_secs(60);
/// Id of the change that applies the deployment's file; every retry has the same id.
const FIRST_CHANGE: &str = "linnethitch-lab-dev-first";

/// What is in force when the fleet is ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct InForce {
    pub(super) revision: u64,
    /// Whether the configuration is not the deployment's file but one of an earlier run on the
    /// same folder.
    pub(super) differs: bool,
}

/// A client of the operators' interface and of the gateways' readiness.
pub(super) struct ReadyClient {
    client: Client<HttpConnector, Full<Bytes>>,
    operator: SocketAddr,
    operator_key: String,
}

#[derive(Deserialize)]
struct Configuration {
    revision: u64,
    content: String,
}

#[derive(Deserialize)]
struct Accepted {
    revision: u64,
}

#[derive(Deserialize)]
struct Status {
    replicas: Vec<Replica>,
}

#[derive(Deserialize)]
struct Replica {}

impl ReadyClient {
    pub(super) fn new(operator: SocketAddr, operator_key: &str) -> ReadyClient {
        ReadyClient {
            client: Client::builder(TokioExecutor::new()).build_http(),
            operator,
            operator_key: operator_key.to_owned(),
        }
    }

    /// Applies the fleet file as the first revision; a configuration already in force is not
    /// replaced.
    ///
    /// # Errors
    /// `NotReady` when control does not answer in time, `InvalidConfiguration` when it refuses the file.
    pub(super) async fn configure(&self, content: &str) -> Result<InForce, Report<ErrorKind>> {
        let read = self.request_until_ok(|| self.operator_request(Method::GET, CONFIGURATION, ""));
        let current: Configuration = parse(&read.await?)?;
        if current.revision > 0 {
            return Ok(InForce {
                revision: current.revision,
                differs: current.content != content,
            });
        }
        let apply =
            self.request_until_ok(|| self.operator_request(Method::PUT, CONFIGURATION, content));
        let accepted: Accepted = parse(&apply.await?)?;
        Ok(InForce {
            revision: accepted.revision,
            differs: false,
        })
    }

    /// Waits until control lists all back ends.
    ///
    /// # Errors
    /// `NotReady` when this takes longer than the timeout.
    pub(super) async fn wait_for_replicas(&self, count: usize) -> Result<(), Report<ErrorKind>> {
        let end = Instant::now() + STEP_TIMEOUT;
        loop {
            let read = self.request_until_ok(|| self.operator_request(Method::GET, STATUS, ""));
            let status: Status = parse(&read.await?)?;
            if status.replicas.len() >= count {
                return Ok(());
            }
            if Instant::now() >= end {
                let listed = status.replicas.len();
                return Err(Report::new(ErrorKind::NotReady)
                    .attach(format!("control lists {listed} of {count} back ends")));
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until a gateway is ready for requests.
    ///
    /// # Errors
    /// `NotReady` when this takes longer than the timeout.
    pub(super) async fn wait_for_gateway(
        &self,
        gateway: SocketAddr,
    ) -> Result<(), Report<ErrorKind>> {
        let probe = || Request::get(format!("http://{gateway}/readyz")).body(Full::default());
        self.request_until_ok(probe).await.map(drop)
    }

    fn operator_request(
        &self,
        method: Method,
        path: &str,
        body: &str,
    ) -> http::Result<Request<Full<Bytes>>> {
        Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.operator))
            .header(
                header::AUTHORIZATION,
                format!("Bearer {}", self.operator_key),
            )
            .header("linnethitch-change", FIRST_CHANGE)
            .header("linnethitch-expected-revision", "0")
            .body(Full::new(Bytes::copy_from_slice(body.as_bytes())))
    }

    /// Repeats a request until it is answered with 200 and returns the body.
    async fn request_until_ok(
        &self,
        request: impl Fn() -> http::Result<Request<Full<Bytes>>>,
    ) -> Result<Bytes, Report<ErrorKind>> {
        let end = Instant::now() + STEP_TIMEOUT;
        loop {
            let request = request().change_context(ErrorKind::Internal)?;
            let answer = match self.client.request(request).await {
                Ok(response) => ok_body(response).await,
                Err(error) => Err(error.to_string()),
            };
            match answer {
                Ok(body) => return Ok(body),
                Err(reason) if Instant::now() >= end => {
                    return Err(Report::new(ErrorKind::NotReady).attach(reason));
                }
                Err(_) => sleep(POLL_INTERVAL).await,
            }
        }
    }
}

/// The complete body of an answer with status 200; otherwise status and body as an error.
async fn ok_body(response: Response<Incoming>) -> Result<Bytes, String> {
    let status = response.status();
    let collected = response.into_body().collect().await;
    let body = collected.map_err(|error| error.to_string())?.to_bytes();
    if status == StatusCode::OK {
        return Ok(body);
    }
    Err(format!("{status}: {}", String::from_utf8_lossy(&body)))
}

fn parse<'a, T: Deserialize<'a>>(body: &'a Bytes) -> Result<T, Report<ErrorKind>> {
    serde_json::from_slice(body).change_context(ErrorKind::Internal)
}
