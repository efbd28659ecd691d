//! Bodies of callers' requests.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use linnethitch_clock::{Instant, timeout_at};
use linnethitch_errors::ErrorKind;

/// Reads a body within its bound.
///
/// # Errors
/// `BodyTooLarge`, `MalformedRequest` when it breaks off, `RequestTimeout`.
pub async fn read_body(
    mut body: Incoming,
    most_bytes: usize,
    until: Instant,
) -> Result<Bytes, ErrorKind> {
    if body.size_hint().lower() > most_bytes as u64 {
        return Err(ErrorKind::BodyTooLarge);
    }
    let mut first: Option<Bytes> = None;
    let mut rest = BytesMut::new();
    loop {
        let frame = match timeout_at(until, body.frame()).await {
            Ok(None) => break,
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) => return Err(ErrorKind::MalformedRequest),
            Err(_) => return Err(ErrorKind::RequestTimeout),
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        match &first {
            None => first = Some(data),
            Some(_) => rest.extend_from_slice(&data),
        }
        let length = first.as_ref().map_or(0, Bytes::len) + rest.len();
        if length > most_bytes {
            return Err(ErrorKind::BodyTooLarge);
        }
    }
    let first = first.unwrap_or_default();
    if rest.is_empty() {
        return Ok(first);
    }
    let mut whole = BytesMut::with_capacity(first.len() + rest.len());
    whole.extend_from_slice(&first);
    whole.extend_from_slice(&rest);
    Ok(whole.freeze())
}
