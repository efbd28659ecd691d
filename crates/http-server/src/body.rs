//! Reads request bodies within limits of size and time.

use std::time::Duration;

use bytes::Bytes;
use gotham::helpers::http::Body;
use http::{HeaderMap, header};
use linnethitch_clock::Instant;
use linnethitch_errors::{ErrorKind, Failure};
use linnethitch_ingress::{ClientConnection, read_body};

/// `Retry-After` of requests for whose bodies there is no memory.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Limits of a request body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Maximum size in bytes.
    pub bytes: u64,
    /// Maximum time to receive the body.
    pub time: Duration,
    /// Memory that the request takes for each byte of its body until it is answered: one, and
    /// what is made of the body.
    pub memory_factor: u64,
}

/// Reads the complete body of a request on a connection.
///
/// # Errors
/// `BodyTooLarge`, `Overloaded`, `RequestTimeout`, `TruncatedUpload`.
pub async fn read_complete(
    connection: &ClientConnection,
    headers: &HeaderMap,
    body: Body,
    limits: BodyLimits,
) -> Result<Bytes, Failure> {
    check_announced_length(headers, limits.bytes)?;
    let body_limits = linnethitch_ingress::BodyLimits {
        bytes: usize::try_from(limits.bytes).unwrap_or(usize::MAX),
        deadline: Instant::now() + limits.time,
        memory_factor: limits.memory_factor,
    };
    read_body(connection, body, body_limits)
        .await
        .map_err(|kind| failure(kind, limits))
}

fn failure(kind: ErrorKind, limits: BodyLimits) -> Failure {
    match kind {
        ErrorKind::BodyTooLarge => body_too_large(limits.bytes),
        ErrorKind::RequestTimeout => body_timeout(limits.time),
        ErrorKind::Overloaded => no_memory(),
        kind => Failure::new(kind, "the request body could not be read to its end"),
    }
}

/// The failure for a body for which there is no memory.
#[must_use]
pub fn no_memory() -> Failure {
    Failure::new(
        ErrorKind::Overloaded,
        "other request bodies occupy the memory for them",
    )
    .with_retry_after(NO_MEMORY_RETRY_AFTER)
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
