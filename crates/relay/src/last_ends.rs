//! When this gateway learned of the last replica that ended under a request, a part or an item.

use std::collections::HashMap;

use linnethitch_registry::RequestFingerprint;
use parking_lot::Mutex;

/// Maximum number of remembered ends; the oldest are dropped first.
const MAX_ENDS: usize = 1_024;

/// The time of the last end under each fingerprint. Control reports no times, so a gateway that
/// has just started counts from its first look.
#[derive(Default)]
pub(crate) struct LastEnds {
    known: Mutex<HashMap<RequestFingerprint, LastEnd>>,
}

struct LastEnd {
    /// Number of ends up to this one.
    ends: usize,
    known_at_ms: u64,
}

impl LastEnds {
    /// Time since the last of this number of ends, in milliseconds; `noted_at_ms` is when it was
    /// noted here, if it was.
    pub(crate) fn elapsed_ms(
        &self,
        fingerprint: RequestFingerprint,
        ends: usize,
        noted_at_ms: Option<u64>,
        now_ms: u64,
    ) -> u64 {
        let mut known = self.known.lock();
        if known.len() >= MAX_ENDS && !known.contains_key(&fingerprint) {
            let oldest = known.iter().min_by_key(|(_, last)| last.known_at_ms);
            if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
                known.remove(&oldest);
            }
        }
        let newest = || LastEnd {
            ends,
            known_at_ms: noted_at_ms.unwrap_or(now_ms),
        };
        let last = known.entry(fingerprint).or_insert_with(newest);
        if last.ends != ends {
            *last = newest();
        }
        now_ms.saturating_sub(last.known_at_ms)
    }
}
