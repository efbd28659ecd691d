//! Requests of operators and the check of the operators' key.

use std::time::Duration;

use gotham::state::{FromState, State};
use http::header;
use linnethitch_consensus::MAX_ENTRY_BYTES;
use linnethitch_errors::{ErrorKind, Failure};
use linnethitch_http_server::{
    IncomingRequest, RequestHead, TakenFromState,
    body::{BodyLimits, read_complete},
};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use super::routes::PathNames;

/// Limits of a fleet file, which must fit into one log entry.
const BODY_LIMITS: BodyLimits = BodyLimits {
    bytes: MAX_ENTRY_BYTES as u64,
    time: Duration::from_secs(30),
    memory_factor: 3,
};

/// A request and the names in its path.
pub(crate) struct OperatorRequest {
    pub(super) names: PathNames,
    pub(super) incoming: IncomingRequest,
}

impl TakenFromState for OperatorRequest {
    fn take_from(state: &mut State) -> Self {
        OperatorRequest {
            names: PathNames::try_take_from(state).unwrap_or_default(),
            incoming: IncomingRequest::take_from(state),
        }
    }
}

/// Reads the complete body as text.
pub(super) async fn read_text(request: IncomingRequest) -> Result<String, Failure> {
    let bytes = read_complete(
        &request.connection,
        &request.head.headers,
        request.body,
        BODY_LIMITS,
    )
    .await?;
    String::from_utf8(bytes.into())
        .map_err(|_| Failure::new(ErrorKind::MalformedRequest, "the body is not UTF-8"))
}

/// The value of a required header.
pub(super) fn required_header<'a>(head: &'a RequestHead, name: &str) -> Result<&'a str, Failure> {
    head.header(name)
        .filter(|value| !value.is_empty())
        .ok_or_else(|| {
            let message = format!("the header {name} is required");
            Failure::new(ErrorKind::MalformedRequest, message).with_param(name)
        })
}

/// SHA-256 of the operators' key.
pub(crate) struct OperatorKey {
    hash: Vec<u8>,
}

impl OperatorKey {
    /// Reads the hash from its text in the settings.
    ///
    /// # Errors
    /// `InvalidValue` if the text is not hexadecimal.
    pub(crate) fn from_hexadecimal(text: &str) -> Result<Self, ErrorKind> {
        let hash = hex::decode(text).map_err(|_| ErrorKind::InvalidValue)?;
        Ok(OperatorKey { hash })
    }

    /// Compares the request's key in constant time.
    pub(super) fn check(&self, head: &RequestHead) -> Result<(), Failure> {
        let key = head
            .header(header::AUTHORIZATION.as_str())
            .and_then(|value| value.strip_prefix("Bearer "))
            .unwrap_or("");
        let hash = Sha256::digest(key.trim().as_bytes());
        if bool::from(hash.as_slice().ct_eq(&self.hash)) {
            return Ok(());
        }
        let message = "the operators' bearer key is missing or wrong";
        Err(Failure::new(ErrorKind::InvalidKey, message))
    }
}
