//! Reads request bodies within bounds of size and time.

use std::time::Duration;

use bytes::Bytes;
use gotham::helpers::http::Body;
use http::{HeaderMap, header};
use http_body::Body as _;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use linnethitch_errors::{ErrorKind, Failure};

/// Bytes of a refused body that are read and thrown away. A caller that is
/// still sending would otherwise see a broken connection in place of the
/// refusal, since most clients read the answer only after their whole body.
const MAX_DISCARDED_BYTES: usize = 32 * 1024 * 1024;

/// Bounds of a request body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Largest size in bytes.
    pub bytes: u64,
    /// Longest time to send it.
    pub time: Duration,
}

/// Reads a whole body.
///
/// # Errors
/// `BodyTooLarge`, `RequestTimeout`, `TruncatedUpload`.
pub async fn read_whole(
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
    let most = usize::try_from(limit).unwrap_or(usize::MAX);
    match Limited::new(&mut body, most).collect().await {
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

/// Reads the rest of a refused body, up to a bound, and keeps nothing of it.
async fn discard(body: &mut Body) {
    let mut left = MAX_DISCARDED_BYTES;
    while let Some(Ok(frame)) = body.frame().await {
        let length = frame.data_ref().map_or(0, Bytes::len);
        match left.checked_sub(length) {
            Some(rest) => left = rest,
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

/// The refusal of a body over the limit, in bytes.
#[must_use]
pub fn body_too_large(limit: u64) -> Failure {
    Failure::new(
        ErrorKind::BodyTooLarge,
        format!("the request body is larger than {limit} bytes"),
    )
}

/// The refusal of a body that took too long.
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
