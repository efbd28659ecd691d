//! What gateways say of requests under which replicas ended.

use std::fmt;

use rkyv::{Archive, Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Bytes of the digest that a fingerprint keeps: 128 bits, so that nobody finds a
/// second content for a fingerprint.
const KEPT_BYTES: usize = 16;

/// What a request says, whatever id and headers of the connection it comes with.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// The method.
    pub method: &'a str,
    /// The host that it names.
    pub host: &'a [u8],
    /// Path and query.
    pub path: &'a str,
    /// Who the caller says to be; empty where callers name nobody.
    pub caller: &'a [u8],
    /// The whole body.
    pub body: &'a [u8],
}

/// Alike for all copies of a request, at any gateway, and for no other request.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Archive, Serialize, Deserialize,
)]
pub struct RequestFingerprint(pub [u8; KEPT_BYTES]);

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
            // With its length, so that no part can pass for the beginning of the next.
            digest.update((part.len() as u64).to_le_bytes());
            digest.update(part);
        }
        let mut kept = [0; KEPT_BYTES];
        kept.copy_from_slice(&digest.finalize()[..KEPT_BYTES]);
        RequestFingerprint(kept)
    }

    /// A number that spreads requests over replicas.
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

/// Lengths of runs that are remembered of a row: as many ends as are needed under runs of a
/// minute.
pub const MAX_RUN_LENGTHS: usize = 64;

/// What is known of one request: a row of replicas that ended under it, one after the
/// other, since a copy of it last came to a whole answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ConsecutiveEnds {
    /// How often the request was cleared of suspicion; rows before the last time are over.
    pub clearings: u32,
    /// How long each run had lasted when its replica ended, in milliseconds, the newest
    /// last.
    pub lengths_ms: Vec<u32>,
}

impl ConsecutiveEnds {
    /// So many ends under runs of one length, never cleared.
    #[must_use]
    pub fn with_equal_lengths(ran_ms: u32, ends: u32) -> Self {
        ConsecutiveEnds {
            clearings: 0,
            lengths_ms: vec![ran_ms; (ends as usize).min(MAX_RUN_LENGTHS)],
        }
    }

    /// Whether no replica ended.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lengths_ms.is_empty()
    }

    /// Whether this is known later than another: of two that know of the same clearings
    /// the longer one is.
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

/// A run that broke off when its replica ended.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct EndedRun {
    /// What ran.
    pub fingerprint: RequestFingerprint,
    /// What was known where the run began, when it began.
    pub known: ConsecutiveEnds,
    /// How long it had run, in milliseconds.
    pub ran_ms: u32,
}

/// What a gateway knows of a request, as it tells others.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ReportedSuspicion {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// The replica that ended last, by the key of its start.
    pub replica: String,
    /// The ends under it.
    pub consecutive_ends: ConsecutiveEnds,
}
