//! Requests and replies of the stand-ins, apart from any server.

use std::{io, sync::Arc};

use bytes::Bytes;
use gotham::{helpers::http::Body, state::State};
use http::{HeaderMap, Method, Response, StatusCode, Uri, header};
use http_body_util::{BodyExt, Full, Limited};
use serde::{Serialize, de::DeserializeOwned};

/// Largest body that a stand-in takes, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// What a stand-in does with a request.
pub(crate) trait Service: Send + Sync + 'static {
    /// Answers one request. Dropping the future means that the caller is gone.
    fn respond(
        self: Arc<Self>,
        request: IncomingRequest,
    ) -> impl Future<Output = Response<Body>> + Send;
}

/// A request whose body has not been read.
pub(crate) struct IncomingRequest {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    body: Body,
}

impl IncomingRequest {
    /// Takes a request out of gotham's state.
    pub(super) fn take_from(state: &mut State) -> IncomingRequest {
        IncomingRequest {
            method: state.take(),
            uri: state.take(),
            headers: state.take(),
            body: state.take(),
        }
    }

    /// A parameter of the query; values are taken as they stand.
    pub(crate) fn query(&self, name: &str) -> Option<&str> {
        self.uri
            .query()?
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    /// The whole body.
    pub(crate) async fn into_bytes(self) -> Result<Bytes, Reply> {
        Limited::new(self.body, MAX_BODY_BYTES)
            .collect()
            .await
            .map(http_body_util::Collected::to_bytes)
            .map_err(|error| Reply::error(StatusCode::BAD_REQUEST, &error.to_string()))
    }

    /// The whole body as JSON.
    pub(crate) async fn into_json<T: DeserializeOwned>(self) -> Result<T, Reply> {
        let bytes = self.into_bytes().await?;
        serde_json::from_slice(&bytes)
            .map_err(|error| Reply::error(StatusCode::BAD_REQUEST, &error.to_string()))
    }
}

/// The text of a header, if it is there and is text.
pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// An error body in OpenAI's form.
#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorMembers<'a>,
}

#[derive(Serialize)]
struct ErrorMembers<'a> {
    message: &'a str,
    r#type: &'a str,
    code: Option<&'a str>,
}

/// A reply whose body is whole.
pub(crate) struct Reply {
    status: StatusCode,
    headers: Vec<(&'static str, String)>,
    content_type: &'static str,
    body: Bytes,
}

impl Reply {
    /// A JSON body with status 200.
    pub(crate) fn json(body: &impl Serialize) -> Reply {
        Reply {
            status: StatusCode::OK,
            headers: Vec::new(),
            content_type: "application/json",
            body: serde_json::to_vec(body).unwrap_or_default().into(),
        }
    }

    /// An error body.
    pub(crate) fn error(status: StatusCode, message: &str) -> Reply {
        let kind = if status.is_server_error() {
            "server_error"
        } else {
            "invalid_request_error"
        };
        let body = ErrorBody {
            error: ErrorMembers {
                message,
                r#type: kind,
                code: None,
            },
        };
        Reply::json(&body).with_status(status)
    }

    /// The reply to a path that does not exist.
    pub(crate) fn not_found() -> Reply {
        Reply::error(StatusCode::NOT_FOUND, "no such path")
    }

    /// Sets the status.
    pub(crate) fn with_status(mut self, status: StatusCode) -> Reply {
        self.status = status;
        self
    }

    /// Adds a header.
    pub(crate) fn with_header(mut self, name: &'static str, value: impl Into<String>) -> Reply {
        self.headers.push((name, value.into()));
        self
    }

    /// The reply as gotham sends it.
    pub(crate) fn into_response(self) -> Response<Body> {
        let body = Full::new(self.body).map_err(|never| match never {});
        let mut builder = Response::builder()
            .status(self.status)
            .header(header::CONTENT_TYPE, self.content_type);
        for (name, value) in self.headers {
            builder = builder.header(name, value);
        }
        builder
            .body(Body::new(body))
            .unwrap_or_else(|error| unsendable(&error))
    }
}

impl From<Reply> for Response<Body> {
    fn from(reply: Reply) -> Self {
        reply.into_response()
    }
}

/// A header value that HTTP does not allow.
fn unsendable(error: &http::Error) -> Response<Body> {
    let text = Full::new(Bytes::from(error.to_string()));
    let mut response = Response::new(Body::new(text.map_err(io::Error::other)));
    *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    response
}
