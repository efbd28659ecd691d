//! Pauses of batch items under whose runs replicas ended.

use std::collections::HashMap;

use linnethitch_registry::{RequestFingerprint, item_pause_ms};
use parking_lot::Mutex;

/// Maximum number of items whose last end is remembered; the oldest are dropped first.
const MAX_ITEMS: usize = 1_024;

/// When this gateway learned of the last replica that ended under each item. Control reports no
/// times, so a gateway that has just started counts from its first look.
#[derive(Default)]
pub(crate) struct PacedItems {
    last_ends: Mutex<HashMap<RequestFingerprint, LastEnd>>,
}

struct LastEnd {
    /// Number of ends up to this one.
    ends: usize,
    known_at_ms: u64,
}

impl PacedItems {
    /// Remaining pause of an item under which this number of replicas ended, in milliseconds;
    /// 0 if it may run. `noted_at_ms` is when the last of them was noted here, if it was.
    pub(crate) fn remaining_ms(
        &self,
        item: RequestFingerprint,
        ends: usize,
        noted_at_ms: Option<u64>,
        now_ms: u64,
    ) -> u64 {
        let mut last_ends = self.last_ends.lock();
        if ends == 0 {
            last_ends.remove(&item);
            return 0;
        }
        if last_ends.len() >= MAX_ITEMS {
            let oldest = last_ends.iter().min_by_key(|(_, last)| last.known_at_ms);
            if let Some(oldest) = oldest.map(|(item, _)| *item) {
                last_ends.remove(&oldest);
            }
        }
        let newest = || LastEnd {
            ends,
            known_at_ms: noted_at_ms.unwrap_or(now_ms),
        };
        let last = last_ends.entry(item).or_insert_with(newest);
        if last.ends < ends {
            *last = newest();
        }
        let since_ms = now_ms.saturating_sub(last.known_at_ms);
        item_pause_ms(last.ends).saturating_sub(since_ms)
    }
}
