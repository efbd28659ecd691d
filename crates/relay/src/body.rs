//! Reading of the bodies of callers' requests.

use bytes::Bytes;
use http::request::Parts;
use hyper::body::Incoming;
use linnethitch_clock::Instant;
use linnethitch_errors::ErrorKind;
use linnethitch_ingress::{BodyLimits, ClientBody, ClientConnection, read_body};

/// Memory of a relayed request by the byte of its body: it is sent as it was received.
const RELAYED_MEMORY_FACTOR: u64 = 1;
/// Memory of a document by the byte: the document, its decoded content, and a message with the
/// content.
const DOCUMENT_MEMORY_FACTOR: u64 = 3;

/// What is made of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyUse {
    /// It is relayed.
    Relayed,
    /// It is parsed, and its content is sent to another node.
    Document,
}

impl BodyUse {
    /// Memory that a request takes for each byte of its body.
    #[must_use]
    pub fn memory_factor(self) -> u64 {
        match self {
            BodyUse::Relayed => RELAYED_MEMORY_FACTOR,
            BodyUse::Document => DOCUMENT_MEMORY_FACTOR,
        }
    }
}

/// Reads the body of a request that [`crate::serve_callers`] received.
///
/// # Errors
/// `BodyTooLarge`; `Overloaded` if there is no memory for it; `MalformedRequest` if it breaks
/// off; `RequestTimeout`.
pub async fn read_request_body(
    head: &Parts,
    body: ClientBody<Incoming>,
    body_use: BodyUse,
    max_bytes: usize,
    deadline: Instant,
) -> Result<Bytes, ErrorKind> {
    let Some(connection) = head.extensions.get::<ClientConnection>() else {
        return Err(ErrorKind::Internal);
    };
    let limits = BodyLimits {
        bytes: max_bytes,
        deadline,
        memory_factor: body_use.memory_factor(),
    };
    read_body(connection, body, limits)
        .await
        .map_err(|kind| match kind {
            ErrorKind::TruncatedUpload => ErrorKind::MalformedRequest,
            kind => kind,
        })
}
