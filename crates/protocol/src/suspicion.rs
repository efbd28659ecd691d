//! Requests suspected of ending replicas, as reported between gateways and control.

use std::fmt;

use rkyv::{Archive, Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Begins the digest of a part, which no content can begin with: a length would stand there.
const PART_PREFIX: &[u8] = b"part of a prompt";
/// The same for the decision that requests with a part are refused.
const REFUSED_PART_PREFIX: &[u8] = b"refused part of a prompt";
/// The same for the decision that copies of a request are refused.
const REFUSED_REQUEST_PREFIX: &[u8] = b"refused request";
/// Begins the digest of a batch item.
const ITEM_PREFIX: &[u8] = b"batch item";
/// First bytes of the fingerprints of batch items. The rest of the digest, 96 bits, tells them
/// apart.
const ITEM_TAG: [u8; 4] = *b"item";
/// Length of a fingerprint in bytes: 128 bits of the digest make it infeasible to find a second
/// content with the same fingerprint.
const FINGERPRINT_BYTES: usize = 16;

/// The content of a request that identifies its copies; request id and connection headers are
/// not part of it.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// The method.
    pub method: &'a str,
    /// The host named by the request.
    pub host: &'a [u8],
    /// Path and query.
    pub path: &'a str,
    /// The identity stated by the caller; empty where callers state none.
    pub caller: &'a [u8],
    /// The complete body.
    pub body: &'a [u8],
}

/// Digest of a request's content, the same for all copies of a request at any gateway, or of a part
/// of prompts, the same for all requests with it. Different for other requests and parts.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Archive, Serialize, Deserialize,
)]
pub struct RequestFingerprint(pub [u8; FINGERPRINT_BYTES]);

impl RequestFingerprint {
    /// The fingerprint of a request's content.
    #[must_use]
    pub fn of(content: &RequestContent<'_>) -> Self {
        let parts = [
            content.method.as_bytes(),
            content.host,
            content.path.as_bytes(),
            content.caller,
            content.body,
        ];
        let mut digest = Sha256::new();
        for part in parts {
            // The length prefix keeps the boundaries between the parts unambiguous.
            digest.update((part.len() as u64).to_le_bytes());
            digest.update(part);
        }
        Self::truncated(digest)
    }

    /// The fingerprint of a part of the prompts of a service's requests.
    #[must_use]
    pub fn of_part(service: &str, part: u64) -> Self {
        Self::of_prefixed(PART_PREFIX, service, part)
    }

    /// The fingerprint of the decision that a service's requests with a part are refused. Its
    /// record tells all gateways, also those that know too little to decide themselves.
    #[must_use]
    pub fn of_refused_part(service: &str, part: u64) -> Self {
        Self::of_prefixed(REFUSED_PART_PREFIX, service, part)
    }

    /// The fingerprint of the decision that copies of a request are refused.
    #[must_use]
    pub fn of_refused_request(request: &RequestFingerprint) -> Self {
        let mut digest = Sha256::new();
        digest.update(REFUSED_REQUEST_PREFIX);
        digest.update(request.0);
        Self::truncated(digest)
    }

    /// The fingerprint of a batch item, by its job and its index there. Unlike a request, an item
    /// is one piece of work: ends of replicas under it pace it and say nothing of its content.
    #[must_use]
    pub fn of_item(job: &str, item: u32) -> Self {
        let RequestFingerprint(mut bytes) = Self::of_prefixed(ITEM_PREFIX, job, u64::from(item));
        bytes[..ITEM_TAG.len()].copy_from_slice(&ITEM_TAG);
        RequestFingerprint(bytes)
    }

    /// Whether this is the fingerprint of a batch item.
    #[must_use]
    pub fn is_item(&self) -> bool {
        self.0.starts_with(&ITEM_TAG)
    }

    fn of_prefixed(prefix: &[u8], name: &str, number: u64) -> Self {
        let mut digest = Sha256::new();
        digest.update(prefix);
        digest.update(number.to_le_bytes());
        digest.update(name.as_bytes());
        Self::truncated(digest)
    }

    fn truncated(digest: Sha256) -> Self {
        let mut truncated = [0; FINGERPRINT_BYTES];
        truncated.copy_from_slice(&digest.finalize()[..FINGERPRINT_BYTES]);
        RequestFingerprint(truncated)
    }

    /// A number for distributing requests over replicas.
    #[must_use]
    pub fn number(&self) -> u64 {
        let bytes = self.0.first_chunk().copied().unwrap_or_default();
        u64::from_be_bytes(bytes)
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

/// Maximum number of run lengths recorded per request: the number of ends that runs of one
/// minute need before the request is refused.
pub const MAX_RUN_LENGTHS: usize = 64;

/// Consecutive ends of replicas during runs of one request, since a copy of the request last
/// got a complete answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ConsecutiveEnds {
    /// How often the request was cleared of suspicion; ends before the last clearing no longer
    /// count.
    pub clearings: u32,
    /// Length of each run until its replica ended, in milliseconds, newest last.
    pub lengths_ms: Vec<u32>,
}

impl ConsecutiveEnds {
    /// Ends during runs of the same length, without a clearing.
    #[must_use]
    pub fn with_equal_lengths(ran_ms: u32, ends: u32) -> Self {
        ConsecutiveEnds {
            clearings: 0,
            lengths_ms: vec![ran_ms; (ends as usize).min(MAX_RUN_LENGTHS)],
        }
    }

    /// Whether no replica has ended since the last clearing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lengths_ms.is_empty()
    }

    /// Whether this state is newer than another: it has more clearings, or as many clearings
    /// and more ends.
    #[must_use]
    pub fn supersedes(&self, other: &ConsecutiveEnds) -> bool {
        let rank = |consecutive_ends: &ConsecutiveEnds| {
            (
                consecutive_ends.clearings,
                consecutive_ends.lengths_ms.len(),
            )
        };
        rank(self) > rank(other)
    }
}

/// A run that was interrupted when its replica ended.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct EndedRun {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// The ends known to the sending gateway when the run began.
    pub known: ConsecutiveEnds,
    /// Length of the run, in milliseconds.
    pub ran_ms: u32,
}

/// A gateway's knowledge of a suspected request, as sent to other gateways.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ReportedSuspicion {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// Incarnation key of the replica that ended last.
    pub replica: String,
    /// The ends during its runs.
    pub consecutive_ends: ConsecutiveEnds,
}
