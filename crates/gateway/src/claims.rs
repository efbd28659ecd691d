//! Idempotency keys.

use http::HeaderMap;
use linnethitch_errors::{ErrorKind, Failure};
use linnethitch_protocol::ids::IdempotencyKey;

/// Header with the caller's key.
const KEY_HEADER: &str = "idempotency-key";
/// Longest key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// The caller's key, if it sent one.
pub(crate) fn idempotency_key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, Failure> {
    let Some(value) = headers.get(KEY_HEADER) else {
        return Ok(None);
    };
    let key = value
        .to_str()
        .ok()
        .filter(|key| (1..=MAX_KEY_BYTES).contains(&key.len()));
    key.map(|key| Some(IdempotencyKey::from(key)))
        .ok_or_else(|| {
            Failure::new(
                ErrorKind::InvalidValue,
                "the idempotency key must have 1 to 255 visible ASCII characters",
            )
            .with_param(KEY_HEADER)
        })
}
