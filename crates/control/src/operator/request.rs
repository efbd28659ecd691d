//! A request of an operator and the proof that it comes from one.

use std::time::Duration;

use bytes::Bytes;
use gotham::{
    helpers::http::Body,
    state::{FromState, State},
};
use http::{HeaderMap, Uri, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use linnethitch_consensus::MAX_ENTRY_BYTES;
use linnethitch_errors::{ErrorKind, Failure};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use super::routes::PathNames;

/// Largest fleet file, in bytes: it must fit into one entry of the log.
const MAX_BODY_BYTES: usize = MAX_ENTRY_BYTES;
/// Longest time to send it.
const BODY_LIMIT: Duration = Duration::from_secs(30);

/// A request taken out of gotham's state.
pub(crate) struct OperatorRequest {
    /// Everything but the body.
    pub(super) head: RequestHead,
    body: Body,
}

/// A request without its body.
pub(crate) struct RequestHead {
    /// What stands in the path in place of names.
    pub(super) names: PathNames,
    uri: Uri,
    headers: HeaderMap,
}

impl OperatorRequest {
    /// Takes the request's parts; the state keeps none of them.
    pub(super) fn take_from(state: &mut State) -> Self {
        OperatorRequest {
            head: RequestHead {
                names: PathNames::try_take_from(state).unwrap_or_default(),
                uri: Uri::take_from(state),
                headers: HeaderMap::take_from(state),
            },
            body: Body::take_from(state),
        }
    }

    /// The whole body as text.
    pub(super) async fn into_text(self) -> Result<String, Failure> {
        let reading = Limited::new(self.body, MAX_BODY_BYTES).collect();
        let bytes: Bytes = match tokio::time::timeout(BODY_LIMIT, reading).await {
            Ok(Ok(collected)) => collected.to_bytes(),
            Ok(Err(error)) if error.is::<LengthLimitError>() => {
                let message = format!("a fleet file has at most {MAX_BODY_BYTES} bytes");
                return Err(Failure::new(ErrorKind::BodyTooLarge, message));
            }
            Ok(Err(error)) => {
                return Err(Failure::new(ErrorKind::TruncatedUpload, error.to_string()));
            }
            Err(_) => {
                let message = "the body did not arrive in time";
                return Err(Failure::new(ErrorKind::RequestTimeout, message));
            }
        };
        String::from_utf8(bytes.into())
            .map_err(|_| Failure::new(ErrorKind::MalformedRequest, "the body is not UTF-8"))
    }
}

impl RequestHead {
    /// A header's value as text.
    pub(super) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// A header's value that must be there.
    pub(super) fn required_header(&self, name: &str) -> Result<&str, Failure> {
        self.header(name)
            .filter(|value| !value.is_empty())
            .ok_or_else(|| {
                let message = format!("the header {name} is needed");
                Failure::new(ErrorKind::MalformedRequest, message).with_param(name)
            })
    }

    /// A parameter of the query string, as it stands there.
    pub(super) fn parameter(&self, name: &str) -> Option<&str> {
        self.uri
            .query()?
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find_map(|(key, value)| (key == name).then_some(value))
    }
}

/// SHA-256 of the operators' key.
pub(crate) struct OperatorKey {
    hash: Vec<u8>,
}

impl OperatorKey {
    /// The key of the settings.
    ///
    /// # Errors
    /// `InvalidValue` when the text is no hexadecimal hash.
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
