//! Answers: bodies, and the gateway's own answers by kind of error.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use linnethitch_errors::ErrorKind;

/// Why a relayed body broke off; the connection to the caller is cut then.
pub(crate) type BodyFailure = Box<dyn std::error::Error + Send + Sync>;

/// The body of any answer.
pub type ResponseBody = UnsyncBoxBody<Bytes, BodyFailure>;

/// A body that is there as a whole.
pub(crate) fn whole(bytes: Bytes) -> ResponseBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// An answer of this process with a body of its own.
#[must_use]
pub fn gateway_response(
    status: StatusCode,
    content_type: &'static str,
    body: Bytes,
) -> Response<ResponseBody> {
    let mut response = Response::new(whole(body));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

/// The gateway's own answer for a kind of error. `again_in` tells the caller
/// when to come back; it is given only where the request has not run.
#[must_use]
pub fn error_response(kind: ErrorKind, again_in: Option<Duration>) -> Response<ResponseBody> {
    let answer = kind.answer();
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let body = whole(Bytes::from_static(answer.code.as_bytes()));
    let mut response = Response::new(body);
    *response.status_mut() = status;
    if let Some(again_in) = again_in {
        let seconds = format!("{:.2}", again_in.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}
