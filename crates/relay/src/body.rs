//! Reading of request bodies.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use linnethitch_clock::{Instant, timeout_at};
use linnethitch_errors::ErrorKind;

/// Reads a request body within its size limit.
///
/// # Errors
/// `BodyTooLarge`; `MalformedRequest` if the body breaks off; `RequestTimeout`.
pub async fn read_body(
    mut body: Incoming,
    max_bytes: usize,
    deadline: Instant,
) -> Result<Bytes, ErrorKind> {
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(ErrorKind::BodyTooLarge);
    }
    let mut first: Option<Bytes> = None;
    let mut remaining = BytesMut::new();
    loop {
        let frame = match timeout_at(deadline, body.frame()).await {
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
            Some(_) => remaining.extend_from_slice(&data),
        }
        let length = first.as_ref().map_or(0, Bytes::len) + remaining.len();
        if length > max_bytes {
            return Err(ErrorKind::BodyTooLarge);
        }
    }
    let first = first.unwrap_or_default();
    if remaining.is_empty() {
        return Ok(first);
    }
    let mut body_bytes = BytesMut::with_capacity(first.len() + remaining.len());
    body_bytes.extend_from_slice(&first);
    body_bytes.extend_from_slice(&remaining);
    Ok(body_bytes.freeze())
}
