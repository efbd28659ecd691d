//! Responses: JSON, event streams, and failures according to the error table.

use std::io;

use bytes::Bytes;
use gotham::helpers::http::Body;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use linnethitch_errors::{ErrorKind, Failure};
use serde::Serialize;

/// Header that says whether a refused request ran.
pub const EXECUTED_HEADER: &str = "linnethitch-executed";
/// Header with the request's id.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// A body whose complete content is known.
pub fn complete_body(bytes: impl Into<Bytes>) -> Body {
    Body::new(Full::new(bytes.into()).map_err(|never| match never {}))
}

/// A response with the given content type.
pub fn bytes_response(
    status: StatusCode,
    content_type: HeaderValue,
    bytes: impl Into<Bytes>,
) -> Response<Body> {
    let mut response = Response::new(complete_body(bytes));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

/// A JSON response.
pub fn json_response(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(bytes) => bytes_response(status, JSON, bytes),
        Err(error) => failure_response(&Failure::new(ErrorKind::Internal, error.to_string())),
    }
}

/// The response to a failure according to the error table.
pub fn failure_response(failure: &Failure) -> Response<Body> {
    let answer = failure.kind.answer();
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = bytes_response(status, JSON, failure.body().to_string());
    let headers = response.headers_mut();
    headers.insert(
        EXECUTED_HEADER,
        HeaderValue::from_static(failure.executed().as_str()),
    );
    if let Some(seconds) = failure.retry_after_seconds() {
        headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    // Common client libraries decide on retries by status alone; this header prevents retries
    // that cannot succeed.
    if !answer.retryable {
        headers.insert("x-should-retry", HeaderValue::from_static("false"));
    }
    response
}

/// An event stream from a stream of byte chunks.
pub fn event_stream_response(
    chunks: impl futures_util::Stream<Item = Result<Bytes, io::Error>> + Send + 'static,
) -> Response<Body> {
    use futures_util::TryStreamExt;
    let frames = chunks.map_ok(http_body::Frame::data);
    let mut response = Response::new(Body::new(http_body_util::StreamBody::new(frames)));
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/event-stream"),
    );
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    response
}
