//! The records of streams that one gateway keeps.

use std::collections::{BTreeSet, HashMap};

use linnethitch_protocol::streams::StreamRecord;

/// Maximum number of records. At 1,200 streams a second, 410 gateways and three copies of a
/// record, one gateway gets nine a second; the maximum holds those of a few gateways that
/// serve all callers for a minute.
const MAX_RECORDS: usize = 65_536;
/// Maximum time for which a record is kept, in milliseconds.
const MAX_RETENTION_MS: u64 = 600_000;

/// A record and when it was received.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Kept {
    record: StreamRecord,
    received_ms: u64,
    expires_ms: u64,
}

/// Records of streams, each until no attempt can take its stream up any more.
#[derive(Debug, Default)]
pub struct StreamTable {
    by_stream: HashMap<String, Kept>,
    by_expiry: BTreeSet<(u64, String)>,
}

impl StreamTable {
    /// Keeps a record. What began a stream does not change: of two records the first one stays,
    /// until the later of both times.
    pub fn put(&mut self, record: StreamRecord, now_ms: u64) {
        self.remove_expired(now_ms);
        let retention_ms = u64::from(record.remaining_ms).min(MAX_RETENTION_MS);
        let expires_ms = now_ms + retention_ms;
        let stream = record.stream.clone();
        let kept = self.by_stream.entry(stream.clone()).or_insert(Kept {
            record,
            received_ms: now_ms,
            expires_ms,
        });
        self.by_expiry.remove(&(kept.expires_ms, stream.clone()));
        kept.expires_ms = kept.expires_ms.max(expires_ms);
        self.by_expiry.insert((kept.expires_ms, stream));
        if self.by_stream.len() > MAX_RECORDS {
            self.remove_first();
        }
    }

    /// The record of a stream and its age in milliseconds.
    #[must_use]
    pub fn get(&self, stream: &str, now_ms: u64) -> Option<(StreamRecord, u64)> {
        let kept = self.by_stream.get(stream)?;
        let remaining_ms = kept.expires_ms.checked_sub(now_ms).filter(|ms| *ms > 0)?;
        let record = StreamRecord {
            remaining_ms: remaining_ms as u32,
            ..kept.record.clone()
        };
        Some((record, now_ms.saturating_sub(kept.received_ms)))
    }

    /// Number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_stream.len()
    }

    /// Whether there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_stream.is_empty()
    }

    /// Removes records that are no longer of use.
    pub fn remove_expired(&mut self, now_ms: u64) {
        while self
            .by_expiry
            .first()
            .is_some_and(|(expires_ms, _)| *expires_ms <= now_ms)
        {
            self.remove_first();
        }
    }

    fn remove_first(&mut self) {
        if let Some((_, stream)) = self.by_expiry.pop_first() {
            self.by_stream.remove(&stream);
        }
    }
}
