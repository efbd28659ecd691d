//! Headers by which a caller controls repeated runs of its request.

use http::HeaderMap;
use linnethitch_errors::{ErrorKind, Failure};
use linnethitch_protocol::ids::IdempotencyKey;

/// Header with the caller's key.
const KEY_HEADER: &str = "idempotency-key";
/// Longest key, in bytes.
const MAX_KEY_BYTES: usize = 255;
/// Header that marks a request as unsafe to repeat.
const RUN_HEADER: &str = "linnethitch-run";
/// The only valid value of [`RUN_HEADER`].
const AT_MOST_ONCE: &str = "at-most-once";

/// How often a request may run, and under which key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RunRules {
    /// The caller's key.
    pub(crate) key: Option<IdempotencyKey>,
    /// Whether the request must never run twice; such a request always has a key.
    pub(crate) at_most_once: bool,
}

/// Reads and checks the headers of a request.
pub(crate) fn run_rules(headers: &HeaderMap) -> Result<RunRules, Failure> {
    let key = idempotency_key(headers)?;
    let at_most_once = match headers.get(RUN_HEADER) {
        None => false,
        Some(value)
            if value
                .as_bytes()
                .eq_ignore_ascii_case(AT_MOST_ONCE.as_bytes()) =>
        {
            true
        }
        Some(_) => {
            let message = "the only value of this header is `at-most-once`";
            return Err(Failure::new(ErrorKind::InvalidValue, message).with_param(RUN_HEADER));
        }
    };
    if at_most_once && key.is_none() {
        return Err(Failure::new(
            ErrorKind::IdempotencyKeyRequired,
            "an at-most-once request needs an `Idempotency-Key`",
        ));
    }
    Ok(RunRules { key, at_most_once })
}

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
