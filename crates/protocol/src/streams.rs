//! Records of resumable streams, which gateways give to each other: a caller may take a stream up
//! again at any gateway, and it may go on only at the software version that began it.

use rkyv::{Archive, Deserialize, Serialize};

/// What began a stream.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct StreamRecord {
    /// The id of the caller's attempt that brought the first event. It stays the same over later
    /// attempts.
    pub stream: String,
    /// The service of the replica.
    pub service: String,
    /// The key of the replica's incarnation.
    pub replica: String,
    /// The version of the replica's software; `None` if it is unknown.
    pub software: Option<String>,
    /// Time until no attempt can take the stream up any more, in milliseconds.
    pub remaining_ms: u32,
}
