//! Response bodies, and the gateway's own responses by kind of error.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use linnethitch_errors::ErrorKind;

/// Why a relayed body was cut; the connection to the caller is then closed.
pub(crate) type BodyFailure = Box<dyn std::error::Error + Send + Sync>;

/// The body of any response to a caller.
pub type ResponseBody = UnsyncBoxBody<Bytes, BodyFailure>;

/// A body that is completely in memory.
pub(crate) fn full_body(bytes: Bytes) -> ResponseBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// A response that this process generates, with the given body.
#[must_use]
pub fn gateway_response(
    status: StatusCode,
    content_type: &'static str,
    body: Bytes,
) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

/// The gateway's own response for a kind of error. `retry_in` becomes the `Retry-After` header;
/// it is given only if the request has not run.
#[must_use]
pub fn error_response(kind: ErrorKind, retry_in: Option<Duration>) -> Response<ResponseBody> {
    let answer = kind.answer();
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let body = full_body(Bytes::from_static(answer.code.as_bytes()));
    let mut response = Response::new(body);
    *response.status_mut() = status;
    if let Some(retry_in) = retry_in {
        let seconds = format!("{:.2}", retry_in.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}
