//! HTTP/1.1 client of the command line, with limits on time and size.

use std::{net::SocketAddr, path::Path, time::Duration};

use bytes::Bytes;
use http::{Method, Request, Response, header};
use http_body_util::{BodyExt, Full, Limited, combinators::BoxBody};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use linnethitch_errors::ErrorKind;
use serde::de::DeserializeOwned;

use crate::exit::{CommandError, ExitStatus};

/// Timeout of connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of the head of an answer, and of its body.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);
/// Largest answer that is read into memory, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// The body of a request.
pub(crate) type RequestBody = BoxBody<Bytes, std::io::Error>;

/// A request body from bytes in memory.
pub(crate) fn full_body(bytes: impl Into<Bytes>) -> RequestBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed()
}

/// Reads a bearer key from a file.
pub(crate) fn read_key(file: &Path) -> Result<String, CommandError> {
    let text = std::fs::read_to_string(file)
        .map_err(|error| CommandError::refused(format!("{}: {error}", file.display())))?;
    let key = text.trim();
    let printable = key.bytes().all(|byte| byte.is_ascii_graphic());
    if key.is_empty() || !printable {
        let message = format!(
            "{}: contains no key of printable ASCII characters",
            file.display()
        );
        return Err(CommandError::refused(message));
    }
    Ok(key.to_owned())
}

/// A request before it is sent.
pub(crate) struct ApiRequest {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: Vec<(&'static str, String)>,
    pub(crate) body: RequestBody,
}

impl ApiRequest {
    pub(crate) fn get(path: impl Into<String>) -> Self {
        ApiRequest {
            method: Method::GET,
            path: path.into(),
            headers: Vec::new(),
            body: full_body(Bytes::new()),
        }
    }

    pub(crate) fn json(method: Method, path: impl Into<String>, body: &serde_json::Value) -> Self {
        ApiRequest {
            method,
            path: path.into(),
            headers: vec![("content-type", "application/json".to_owned())],
            body: full_body(body.to_string()),
        }
    }

    pub(crate) fn with_header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }
}

/// Sends requests to one process with one bearer key.
pub(crate) struct ApiClient {
    address: SocketAddr,
    key: String,
    client: Client<HttpConnector, RequestBody>,
}

impl ApiClient {
    pub(crate) fn new(address: SocketAddr, key: impl Into<String>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        ApiClient {
            address,
            key: key.into(),
            client: Client::builder(TokioExecutor::new()).build(connector),
        }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request; an answer other than success is an error.
    pub(crate) async fn send(&self, request: ApiRequest) -> Result<Response<Incoming>, ApiError> {
        let request = self.build(request)?;
        let sent = tokio::time::timeout(ANSWER_TIMEOUT, self.client.request(request)).await;
        let response = match sent {
            Ok(Ok(response)) => response,
            Ok(Err(error)) => return Err(self.no_answer(&root_cause(&error))),
            Err(_) => return Err(self.no_answer("timed out waiting for the answer")),
        };
        if response.status().is_success() {
            return Ok(response);
        }
        Err(self.refusal(response).await)
    }

    /// Sends a request and reads its JSON answer.
    pub(crate) async fn fetch<T>(&self, request: ApiRequest) -> Result<T, ApiError>
    where
        T: DeserializeOwned,
    {
        let response = self.send(request).await?;
        let body = self.read_body(response).await?;
        serde_json::from_slice(&body).map_err(|error| ApiError {
            kind: None,
            reached: true,
            message: format!("{}: unexpected answer: {error}", self.address),
        })
    }

    fn build(&self, request: ApiRequest) -> Result<Request<RequestBody>, ApiError> {
        let mut builder = Request::builder()
            .method(request.method)
            .uri(format!("http://{}{}", self.address, request.path))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key));
        for (name, value) in request.headers {
            builder = builder.header(name, value);
        }
        builder.body(request.body).map_err(|error| ApiError {
            kind: None,
            reached: false,
            message: format!("cannot build the request: {error}"),
        })
    }

    async fn read_body(&self, response: Response<Incoming>) -> Result<Bytes, ApiError> {
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect();
        match tokio::time::timeout(ANSWER_TIMEOUT, body).await {
            Ok(Ok(body)) => Ok(body.to_bytes()),
            Ok(Err(error)) => Err(self.no_answer(&error.to_string())),
            Err(_) => Err(self.no_answer("timed out reading the answer")),
        }
    }

    fn no_answer(&self, cause: &str) -> ApiError {
        ApiError {
            kind: None,
            reached: false,
            message: format!("{}: {cause}", self.address),
        }
    }

    async fn refusal(&self, response: Response<Incoming>) -> ApiError {
        let status = response.status();
        let body = match self.read_body(response).await {
            Ok(body) => body,
            Err(error) => return error,
        };
        let error = serde_json::from_slice::<serde_json::Value>(&body).unwrap_or_default();
        let field = |name: &str| error["error"][name].as_str().map(str::to_owned);
        let kind = field("code").and_then(|code| ErrorKind::from_code(&code));
        let message = field("message").unwrap_or_else(|| format!("status {status}"));
        let code = kind.map_or_else(String::new, |kind| format!(" ({kind})"));
        ApiError {
            kind,
            reached: true,
            message: format!("{}: {message}{code}", self.address),
        }
    }
}

/// The message of the innermost error, which names the cause.
fn root_cause(error: &(dyn std::error::Error + 'static)) -> String {
    let mut deepest = error;
    while let Some(cause) = deepest.source() {
        deepest = cause;
    }
    deepest.to_string()
}

/// Why a request got no successful answer.
#[derive(Debug)]
pub(crate) struct ApiError {
    /// The error kind, if the process answered with a known code.
    pub(crate) kind: Option<ErrorKind>,
    /// Whether the process answered.
    pub(crate) reached: bool,
    pub(crate) message: String,
}

impl ApiError {
    /// Whether the same request may succeed when it is sent again or to another process.
    pub(crate) fn is_retryable(&self) -> bool {
        match self.kind {
            Some(kind) => kind.answer().retryable,
            None => !self.reached,
        }
    }
}

impl From<ApiError> for CommandError {
    fn from(error: ApiError) -> Self {
        match error.kind {
            Some(kind) => CommandError::from_kind(kind, error.message),
            None if error.reached => CommandError::failed(error.message),
            None => CommandError::new(ExitStatus::Unreachable, error.message),
        }
    }
}
