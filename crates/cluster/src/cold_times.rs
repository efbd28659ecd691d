//! Until when replicas are cold, according to the last proposals of this control member.

use std::collections::BTreeMap;

use linnethitch_registry::ReplicaChange;

/// Smaller increases of a cold time, in milliseconds, are ignored: a heartbeat that was longer in
/// transit than the one before seems to announce a longer cold time. A cold time may thus be too
/// short by this much, about as long as an update of a replica takes to reach the gateways.
const SLACK_MS: u64 = 100;

/// When the stored incarnations become warm, by key. Times are steady, in milliseconds.
#[derive(Default)]
pub(crate) struct ColdTimes {
    until_ms: BTreeMap<String, u64>,
    /// Number of entries at which those of removed incarnations are pruned. Checking all entries at
    /// each commit would cost quadratic time when a fleet starts cold.
    prune_at: usize,
}

/// Below this number of entries nothing is pruned.
const MIN_PRUNE_SIZE: usize = 64;

impl ColdTimes {
    /// Whether a heartbeat announces a longer cold time than this member has proposed.
    ///
    /// This is also the case if this member has proposed no cold time for the incarnation:
    /// heartbeats may go to a different member each time, and the age of the stored record is not
    /// known here. The first heartbeat that each member receives is thus committed, once for each
    /// member. An unnecessary commit costs one log entry; after a missing one gateways would send a
    /// cold replica the load of a warm one.
    pub(crate) fn is_cold_longer(&self, key: &str, change: &ReplicaChange, now_ms: u64) -> bool {
        if change.cold_ms == 0 {
            return false;
        }
        let proposed = self.until_ms.get(key);
        proposed.is_none_or(|until_ms| now_ms + change.cold_ms > until_ms + SLACK_MS)
    }

    /// Records that the cold time of an incarnation, announced at this time, was committed. Entries
    /// of incarnations that are no longer stored are pruned.
    pub(crate) fn committed(
        &mut self,
        key: String,
        cold_ms: u64,
        now_ms: u64,
        is_held: impl Fn(&str) -> bool,
    ) {
        if self.until_ms.len() >= self.prune_at.max(MIN_PRUNE_SIZE) {
            self.until_ms.retain(|key, _| is_held(key));
            self.prune_at = 2 * self.until_ms.len();
        }
        if cold_ms > 0 {
            self.until_ms.insert(key, now_ms + cold_ms);
        } else {
            self.until_ms.remove(&key);
        }
    }
}
