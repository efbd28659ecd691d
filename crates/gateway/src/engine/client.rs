//! HTTP client for back ends.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use linnethitch_protocol::{
    fleet::LoadReport,
    ids::{RequestId, Timestamp},
};
use linnethitch_response::check_head;
use serde::Deserialize;

use crate::engine::{fault::AttemptFault, software::SOFTWARE_HEADER};

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum idle connections to one back end.
const MAX_IDLE_PER_BACK_END: usize = 256;
/// Maximum bytes read from the body of an error response.
const MAX_ERROR_BODY_BYTES: usize = 16 * 1024;
/// Maximum size of the read buffer of one connection.
const MAX_READ_BUFFER_BYTES: usize = 64 * 1024;

/// Limit to read the body of an error response.
const ERROR_BODY_TIMEOUT: Duration = Duration::from_secs(2);

/// Limit to read the status of an engine.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of the status of an engine, in bytes.
const MAX_STATUS_BYTES: usize = 64 * 1024;

/// Priority of a request at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Priority {
    /// A caller is waiting.
    Online,
    /// The engine may preempt the request.
    Batch,
}

impl Priority {
    fn header(self) -> HeaderValue {
        HeaderValue::from_static(match self {
            Priority::Online => "online",
            Priority::Batch => "batch",
        })
    }
}

/// A generation request to an engine.
pub(crate) struct EngineRequest {
    /// `IP:port` of the engine.
    pub(crate) address: String,
    /// `/v1/chat/completions` or `/v1/completions`.
    pub(crate) path: &'static str,
    /// The request id, by which the request can be cancelled.
    pub(crate) id: String,
    /// The priority of the request.
    pub(crate) priority: Priority,
    /// Remaining time.
    pub(crate) deadline: Duration,
    /// The software version whose tokens the request resumes, if it resumes any.
    pub(crate) resumed_software: Option<String>,
    /// The JSON body.
    pub(crate) body: Bytes,
}

/// HTTP client with a connection pool for all back ends.
#[derive(Clone, Debug)]
pub(crate) struct BackEndClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl BackEndClient {
    /// Creates a client with an empty pool.
    pub(crate) fn new(connect_timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(connect_timeout));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE_PER_BACK_END)
            .http1_max_buf_size(MAX_READ_BUFFER_BYTES)
            .build(connector);
        BackEndClient { client }
    }

    /// Sends a generation request; `Ok` means that the engine has begun to respond. Any response's
    /// headers are passed to `on_headers`.
    pub(crate) async fn generate(
        &self,
        request: EngineRequest,
        on_headers: impl FnOnce(&HeaderMap),
    ) -> Result<Response<Incoming>, AttemptFault> {
        let mut builder = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{}", request.address, request.path));
        if let Some(headers) = builder.headers_mut() {
            headers.insert(
                header::CONTENT_TYPE,
                HeaderValue::from_static("application/json"),
            );
            headers.insert("x-priority", request.priority.header());
            let deadline_ms = u64::try_from(request.deadline.as_millis()).unwrap_or(u64::MAX);
            headers.insert("x-deadline-ms", HeaderValue::from(deadline_ms));
            if let Ok(id) = HeaderValue::from_str(&request.id) {
                headers.insert("x-request-id", id);
            }
            let software = request.resumed_software.as_deref();
            if let Some(Ok(software)) = software.map(HeaderValue::from_str) {
                headers.insert(SOFTWARE_HEADER, software);
            }
        }
        let message = builder
            .body(Full::new(request.body))
            .map_err(|error| AttemptFault::Connect(error.to_string()))?;
        let response = self.send(message).await?;
        on_headers(response.headers());
        if response.status().is_success() {
            return Ok(response);
        }
        Err(fault_of_response(response).await)
    }

    /// The incarnation of an engine's process; `None` if the engine names none, so that it cannot
    /// be asked about requests later.
    ///
    /// # Errors
    /// Why the engine did not answer in time.
    pub(crate) async fn incarnation(&self, address: &str) -> Result<Option<String>, AttemptFault> {
        let message = Request::builder()
            .uri(format!("http://{address}/engine/status"))
            .body(Full::default())
            .map_err(|error| AttemptFault::Connect(error.to_string()))?;
        let exchange = async {
            let response = self.send(message).await?;
            let body = Limited::new(response.into_body(), MAX_STATUS_BYTES).collect();
            let body = body
                .await
                .map_err(|error| AttemptFault::Interrupted(error.to_string()))?;
            let status: StatusBody = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
            Ok(status.incarnation)
        };
        tokio::time::timeout(STATUS_TIMEOUT, exchange)
            .await
            .unwrap_or(Err(AttemptFault::TimedOut(STATUS_TIMEOUT)))
    }

    /// Cancels a request at its engine; `None` if the engine does not answer.
    pub(crate) async fn cancel(&self, address: &str, id: &RequestId) -> Option<Cancellation> {
        let message = Request::builder()
            .method(Method::DELETE)
            .uri(format!("http://{address}/engine/requests/{id}"))
            .body(Full::default())
            .ok()?;
        let response = self.send(message).await.ok()?;
        let body = Limited::new(response.into_body(), MAX_STATUS_BYTES).collect();
        let body = body.await.ok()?.to_bytes();
        let body: CancelBody = serde_json::from_slice(&body).unwrap_or_default();
        Some(Cancellation {
            had_started: body.cancelled || body.started == Some(true),
        })
    }

    /// Sends any request to a back end.
    pub(crate) async fn send(
        &self,
        message: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, AttemptFault> {
        let response = self.client.request(message).await.map_err(|error| {
            let reason = error_chain(&error);
            if error.is_connect() {
                AttemptFault::Connect(reason)
            } else {
                AttemptFault::Interrupted(reason)
            }
        })?;
        let checked = check_head(response.status(), response.headers());
        checked.map_err(|fault| AttemptFault::Protocol(fault.to_string()))?;
        Ok(response)
    }
}

fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(inner) = cause {
        text.push_str(": ");
        text.push_str(&inner.to_string());
        cause = inner.source();
    }
    text
}

/// Classifies an error response by whether the request may have run.
async fn fault_of_response(response: Response<Incoming>) -> AttemptFault {
    let status = response.status().as_u16();
    let headers = response.headers();
    let leaving = header_is(headers, "x-engine-leaving", "yes");
    if header_is(headers, "x-engine-started", "no") {
        return refused_before_start(response, leaving).await;
    }
    if status >= 500 {
        return AttemptFault::Failed { status };
    }
    let message = read_error_message(response).await;
    AttemptFault::Rejected { status, message }
}

/// The fault for the response of a back end that did not start the request.
pub(crate) async fn refused_before_start(
    response: Response<Incoming>,
    leaving: bool,
) -> AttemptFault {
    let status = response.status().as_u16();
    let retry_after = response
        .headers()
        .get(header::RETRY_AFTER)
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .map(Duration::from_secs);
    AttemptFault::Refused {
        status,
        leaving,
        retry_after,
        message: read_error_message(response).await,
    }
}

async fn read_error_message(response: Response<Incoming>) -> String {
    let body = Limited::new(response.into_body(), MAX_ERROR_BODY_BYTES).collect();
    match tokio::time::timeout(ERROR_BODY_TIMEOUT, body).await {
        Ok(Ok(collected)) => error_message(&collected.to_bytes()),
        _ => String::new(),
    }
}

/// Whether a header has the given value, ignoring case.
pub(crate) fn header_is(headers: &HeaderMap, name: &str, value: &str) -> bool {
    headers
        .get(name)
        .is_some_and(|found| found.as_bytes().eq_ignore_ascii_case(value.as_bytes()))
}

/// An engine's answer to a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Cancellation {
    /// Whether the engine had started the request before.
    pub(crate) had_started: bool,
}

/// The answer to `DELETE /engine/requests/{id}`.
#[derive(Default, Deserialize)]
#[serde(default)]
struct CancelBody {
    cancelled: bool,
    started: Option<bool>,
}

/// The part of `GET /engine/status` that the gateway reads.
#[derive(Default, Deserialize)]
#[serde(default)]
struct StatusBody {
    incarnation: Option<String>,
}

#[derive(Deserialize)]
struct ErrorBody {
    error: ErrorDetail,
}

#[derive(Deserialize)]
struct ErrorDetail {
    message: String,
}

fn error_message(body: &[u8]) -> String {
    serde_json::from_slice::<ErrorBody>(body)
        .map(|parsed| parsed.error.message)
        .unwrap_or_default()
}

#[derive(Deserialize)]
#[serde(default)]
#[derive(Default)]
struct LoadHeader {
    measured_at_ms: u64,
    running_online: u32,
    running_batch: u32,
    running: u32,
    waiting: u32,
    queued_prefill_tokens: u32,
    waiting_batch: u32,
    queued_batch_prefill_tokens: u32,
    kv_used_tokens: u32,
    kv_capacity_tokens: u32,
    max_running: u32,
}

/// The load report in a response header, if it is present and valid.
pub(crate) fn load_report(headers: &HeaderMap, name: &str) -> Option<LoadReport> {
    let load: LoadHeader = serde_json::from_slice(headers.get(name)?.as_bytes()).ok()?;
    Some(LoadReport {
        measured_at: Timestamp(load.measured_at_ms),
        running_online: load.running_online.saturating_add(load.running),
        running_batch: load.running_batch,
        waiting: load.waiting,
        queued_prefill_tokens: load.queued_prefill_tokens,
        waiting_batch: load.waiting_batch,
        queued_batch_prefill_tokens: load.queued_batch_prefill_tokens,
        kv_used_tokens: load.kv_used_tokens,
        kv_capacity_tokens: load.kv_capacity_tokens,
        max_running: load.max_running,
    })
}
