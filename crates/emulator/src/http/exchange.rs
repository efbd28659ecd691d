//! Requests and replies of the emulators, independent of the server.

use std::{io, sync::Arc};

use bytes::Bytes;
use gotham::{helpers::http::Body, state::State};
use http::{HeaderMap, Method, Response, StatusCode, Uri, header};
use http_body_util::{BodyExt, Full, Limited};
use serde::{Serialize, de::DeserializeOwned};

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Handler of the requests to an emulator.
pub(crate) trait Service: Send + Sync + 'static {
    /// Answers a request. The future is dropped when the caller disconnects.
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
    /// Takes the request out of gotham's state.
    pub(super) fn take_from(state: &mut State) -> IncomingRequest {
        IncomingRequest {
            method: state.take(),
            uri: state.take(),
            headers: state.take(),
            body: state.take(),
        }
    }

    /// The value of a query parameter, without percent-decoding.
    pub(crate) fn query(&self, name: &str) -> Option<&str> {
        self.uri
            .query()?
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    /// Reads the complete body.
    pub(crate) async fn into_bytes(self) -> Result<Bytes, Reply> {
        Limited::new(self.body, MAX_BODY_BYTES)
            .collect()
            .await
            .map(http_body_util::Collected::to_bytes)
            .map_err(|error| Reply::error(StatusCode::BAD_REQUEST, &error.to_string()))
    }

    /// Reads the complete body as JSON.
    pub(crate) async fn into_json<T: DeserializeOwned>(self) -> Result<T, Reply> {
        let bytes = self.into_bytes().await?;
        serde_json::from_slice(&bytes)
            .map_err(|error| Reply::error(StatusCode::BAD_REQUEST, &error.to_string()))
    }
}

/// The value of a header, if it is present and valid text.
pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// An error body in the format of OpenAI.
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

/// A reply that is not streamed.
pub(crate) struct Reply {
    status: StatusCode,
    headers: Vec<(&'static str, String)>,
    content_type: &'static str,
    body: Bytes,
}

impl Reply {
    /// Creates a reply with a JSON body and status 200.
    pub(crate) fn json(body: &impl Serialize) -> Reply {
        Reply {
            status: StatusCode::OK,
            headers: Vec::new(),
            content_type: "application/json",
            body: serde_json::to_vec(body).unwrap_or_default().into(),
        }
    }

    /// Creates a reply with an error body.
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

    pub(crate) fn with_status(mut self, status: StatusCode) -> Reply {
        self.status = status;
        self
    }

    pub(crate) fn with_header(mut self, name: &'static str, value: impl Into<String>) -> Reply {
        self.headers.push((name, value.into()));
        self
    }

    /// Converts the reply to a response for gotham.
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
            .unwrap_or_else(|error| invalid_response(&error))
    }
}

impl From<Reply> for Response<Body> {
    fn from(reply: Reply) -> Self {
        reply.into_response()
    }
}

/// The response that replaces a reply with an invalid header value.
fn invalid_response(error: &http::Error) -> Response<Body> {
    let text = Full::new(Bytes::from(error.to_string()));
    let mut response = Response::new(Body::new(text.map_err(io::Error::other)));
    *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    response
}
