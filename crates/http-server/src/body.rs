//! Reads request bodies within limits of size and time.

use std::time::Duration;

use bytes::Bytes;
use gotham::helpers::http::Body;
use http::{HeaderMap, header};
use http_body::Body as _;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use linnethitch_errors::{ErrorKind, Failure};

/// Maximum bytes of a refused body that are read and discarded. Most clients read the
/// response only after they have sent the complete body, so without this a client would see
/// a broken connection instead of the refusal.
const MAX_DISCARDED_BYTES: usize = 32 * 1024 * 1024;

/// Limits of a request body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Maximum size in bytes.
    pub bytes: u64,
    /// Maximum time to receive the body.
    pub time: Duration,
}

/// Reads a complete body.
///
/// # Errors
/// `BodyTooLarge`, `RequestTimeout`, `TruncatedUpload`.
pub async fn read_complete(
    headers: &HeaderMap,
    body: Body,
    limits: BodyLimits,
) -> Result<Bytes, Failure> {
    let reading = read_bounded(headers, body, limits.bytes);
    match tokio::time::timeout(limits.time, reading).await {
        Err(_) => Err(body_timeout(limits.time)),
        Ok(outcome) => outcome,
    }
}

async fn read_bounded(headers: &HeaderMap, mut body: Body, limit: u64) -> Result<Bytes, Failure> {
    if let Err(failure) = check_announced_length(headers, limit) {
        discard(&mut body).await;
        return Err(failure);
    }
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let max_bytes = usize::try_from(limit).unwrap_or(usize::MAX);
    match Limited::new(&mut body, max_bytes).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            discard(&mut body).await;
            Err(body_too_large(limit))
        }
        Err(error) => Err(Failure::new(
            ErrorKind::TruncatedUpload,
            format!("the request body could not be read to its end: {error}"),
        )),
    }
}

/// Reads and discards the remaining bytes of a refused body, up to a maximum.
async fn discard(body: &mut Body) {
    let mut remaining = MAX_DISCARDED_BYTES;
    while let Some(Ok(frame)) = body.frame().await {
        let length = frame.data_ref().map_or(0, Bytes::len);
        match remaining.checked_sub(length) {
            Some(after_frame) => remaining = after_frame,
            None => return,
        }
    }
}

/// Refuses a body whose announced length is over the limit before reading it.
///
/// # Errors
/// `BodyTooLarge`.
pub fn check_announced_length(headers: &HeaderMap, limit: u64) -> Result<(), Failure> {
    let announced = headers
        .get(header::CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse::<u64>().ok());
    match announced {
        Some(length) if length > limit => Err(body_too_large(limit)),
        _ => Ok(()),
    }
}

/// The failure for a body over the limit in bytes.
#[must_use]
pub fn body_too_large(limit: u64) -> Failure {
    Failure::new(
        ErrorKind::BodyTooLarge,
        format!("the request body is larger than {limit} bytes"),
    )
}

/// The failure for a body that did not arrive within the time limit.
#[must_use]
pub fn body_timeout(limit: Duration) -> Failure {
    Failure::new(
        ErrorKind::RequestTimeout,
        format!(
            "the request body did not arrive within {} ms",
            limit.as_millis()
        ),
    )
}
