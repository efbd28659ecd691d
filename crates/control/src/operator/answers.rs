//! Responses of the operators' interface.

use bytes::Bytes;
use gotham::helpers::http::Body;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use linnethitch_errors::{ErrorKind, Failure};
use serde::Serialize;

/// Header that says whether a refused change may have taken effect.
const EXECUTED_HEADER: &str = "linnethitch-executed";
const JSON: &str = "application/json";

/// A response with the given content type.
pub(super) fn bytes_response(
    status: StatusCode,
    content_type: &'static str,
    bytes: impl Into<Bytes>,
) -> Response<Body> {
    let body = Full::new(bytes.into()).map_err(|never| match never {});
    let mut response = Response::new(Body::new(body));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

/// A successful JSON response.
pub(super) fn json_response(value: &impl Serialize) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(bytes) => bytes_response(StatusCode::OK, JSON, bytes),
        Err(error) => failure_response(&Failure::new(ErrorKind::Internal, error.to_string())),
    }
}

/// The answer to a failure, as the error table says.
pub(super) fn failure_response(failure: &Failure) -> Response<Body> {
    let answer = failure.kind.answer();
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = bytes_response(status, JSON, failure.body().to_string());
    let headers = response.headers_mut();
    let executed = HeaderValue::from_static(failure.executed().as_str());
    headers.insert(EXECUTED_HEADER, executed);
    if let Some(seconds) = failure.retry_after_seconds() {
        headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}
