//! Reads request bodies within bounds of size and time.

use std::time::Duration;

use bytes::Bytes;
use gotham::helpers::http::Body;
use http::{HeaderMap, header};
use http_body::Body as _;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use linnethitch_errors::{ErrorKind, Failure};

/// Bounds of a request body.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyLimits {
    /// Largest size in bytes.
    pub(crate) bytes: u64,
    /// Longest time to send it.
    pub(crate) time: Duration,
}

/// Reads a whole body.
pub(crate) async fn read_whole(
    headers: &HeaderMap,
    body: Body,
    limits: BodyLimits,
) -> Result<Bytes, Failure> {
    check_announced_length(headers, limits.bytes)?;
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let limited = Limited::new(body, usize::try_from(limits.bytes).unwrap_or(usize::MAX));
    match tokio::time::timeout(limits.time, limited.collect()).await {
        Err(_) => Err(body_timeout(limits.time)),
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(body_too_large(limits.bytes)),
        Ok(Err(error)) => Err(Failure::new(
            ErrorKind::TruncatedUpload,
            format!("the request body could not be read to its end: {error}"),
        )),
    }
}

/// Refuses a body whose announced length is over the limit before reading it.
pub(crate) fn check_announced_length(headers: &HeaderMap, limit: u64) -> Result<(), Failure> {
    let announced = headers
        .get(header::CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse::<u64>().ok());
    match announced {
        Some(length) if length > limit => Err(body_too_large(limit)),
        _ => Ok(()),
    }
}

pub(crate) fn body_too_large(limit: u64) -> Failure {
    Failure::new(
        ErrorKind::BodyTooLarge,
        format!("the request body is larger than {limit} bytes"),
    )
}

pub(crate) fn body_timeout(limit: Duration) -> Failure {
    Failure::new(
        ErrorKind::RequestTimeout,
        format!(
            "the request body did not arrive within {} ms",
            limit.as_millis()
        ),
    )
}
