//! HTTP client of the gateways' interface for callers.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

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

const DEFAULT_GATEWAY: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 8080);
/// Timeout of the head of an answer.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(150);

/// Sends requests to the gateways in turn.
pub(super) struct GatewayClient {
    client: Client<HttpConnector, Full<Bytes>>,
    gateways: Vec<SocketAddr>,
    api_key: String,
    next: AtomicUsize,
}

/// A request to a gateway.
pub(super) struct Call {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) content_type: &'static str,
    pub(super) idempotency_key: Option<String>,
    pub(super) body: Bytes,
}

impl Call {
    pub(super) fn get(path: impl Into<String>) -> Call {
        Call {
            method: Method::GET,
            path: path.into(),
            content_type: "application/json",
            idempotency_key: None,
            body: Bytes::new(),
        }
    }

    pub(super) fn post(path: impl Into<String>, body: impl Into<Bytes>) -> Call {
        Call {
            method: Method::POST,
            body: body.into(),
            ..Call::get(path)
        }
    }

    pub(super) fn with_content_type(mut self, content_type: &'static str) -> Call {
        self.content_type = content_type;
        self
    }

    pub(super) fn with_idempotency_key(mut self, key: String) -> Call {
        self.idempotency_key = Some(key);
        self
    }
}

/// A call without the expected answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Failed {
    /// The error's code, or a code for the failure of the connection.
    pub(super) code: String,
    /// Whether the request was executed, as the gateway reported; empty if it did not.
    pub(super) executed: String,
}

impl Failed {
    pub(super) fn connection(code: &str) -> Failed {
        Failed {
            code: code.to_owned(),
            executed: String::new(),
        }
    }
}

impl std::fmt::Display for Failed {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.code)
    }
}

impl std::error::Error for Failed {}

#[derive(Deserialize)]
struct ErrorBody {
    error: ErrorMembers,
}

#[derive(Deserialize)]
struct ErrorMembers {
    code: String,
    #[serde(default)]
    executed: String,
}

#[derive(Deserialize)]
struct ModelList {
    data: Vec<ModelEntry>,
}

#[derive(Deserialize)]
struct ModelEntry {
    id: String,
}

impl GatewayClient {
    pub(super) fn new(gateways: &[SocketAddr], api_key: &str) -> GatewayClient {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let gateways = if gateways.is_empty() {
            vec![DEFAULT_GATEWAY]
        } else {
            gateways.to_vec()
        };
        GatewayClient {
            client: Client::builder(TokioExecutor::new()).build(connector),
            gateways,
            api_key: api_key.to_owned(),
            next: AtomicUsize::new(0),
        }
    }

    fn gateway(&self) -> SocketAddr {
        let turn = self.next.fetch_add(1, Ordering::Relaxed);
        self.gateways[turn % self.gateways.len()]
    }

    /// Sends a call and returns the answer with its body unread; any status but 200 is a failure.
    pub(super) async fn send(&self, call: Call) -> Result<Response<Incoming>, Failed> {
        let request = self.request(call)?;
        let sending = self.client.request(request);
        let response = tokio::time::timeout(RESPONSE_TIMEOUT, sending)
            .await
            .map_err(|_| Failed::connection("client_timeout"))?
            .map_err(|_| Failed::connection("connection_failed"))?;
        if response.status() == StatusCode::OK {
            return Ok(response);
        }
        Err(read_failure(response).await)
    }

    fn request(&self, call: Call) -> Result<Request<Full<Bytes>>, Failed> {
        let mut builder = Request::builder()
            .method(call.method)
            .uri(format!("http://{}{}", self.gateway(), call.path))
            .header(header::CONTENT_TYPE, call.content_type)
            .header(header::AUTHORIZATION, format!("Bearer {}", self.api_key));
        if let Some(key) = call.idempotency_key {
            builder = builder.header("idempotency-key", key);
        }
        builder
            .body(Full::new(call.body))
            .map_err(|_| Failed::connection("bad_request_of_this_tool"))
    }

    /// Sends a call and returns the complete body of the answer.
    pub(super) async fn fetch(&self, call: Call) -> Result<Bytes, Failed> {
        let response = self.send(call).await?;
        let collected = response.into_body().collect().await;
        collected
            .map(http_body_util::Collected::to_bytes)
            .map_err(|_| Failed::connection("answer_cut_off"))
    }

    /// Sends a call and returns the JSON body of the answer.
    pub(super) async fn fetch_json<T: for<'a> Deserialize<'a>>(
        &self,
        call: Call,
    ) -> Result<T, Failed> {
        let bytes = self.fetch(call).await?;
        serde_json::from_slice(&bytes).map_err(|_| Failed::connection("answer_not_understood"))
    }

    /// The first model of the gateway's list.
    pub(super) async fn first_model(&self) -> Result<String, Report<ErrorKind>> {
        let list: ModelList = self
            .fetch_json(Call::get("/v1/models"))
            .await
            .change_context(ErrorKind::NotReady)
            .attach("the gateway did not list its models")?;
        let first = list.data.into_iter().next();
        first
            .map(|model| model.id)
            .ok_or_else(|| Report::new(ErrorKind::UnknownModel).attach("the gateway has no models"))
    }
}

async fn read_failure(response: Response<Incoming>) -> Failed {
    let status = response.status();
    let bytes = match response.into_body().collect().await {
        Ok(collected) => collected.to_bytes(),
        Err(_) => return Failed::connection("answer_cut_off"),
    };
    match serde_json::from_slice::<ErrorBody>(&bytes) {
        Ok(body) => Failed {
            code: body.error.code,
            executed: body.error.executed,
        },
        Err(_) => Failed::connection(&format!("status_{}", status.as_u16())),
    }
}
