//! Until when starts of replicas are cold by what this control member proposed last.

use std::collections::BTreeMap;

use linnethitch_registry::ReplicaChange;

/// A heartbeat that was longer under way than the one before it seems to say that more of
/// the cold time is left, in milliseconds: by less than this it says nothing new. A cold
/// time may thus be taken for this much too short, about as long as news of a replica takes
/// to reach the gateways.
const SLACK_MS: u64 = 100;

/// When starts that are held grow warm, by their keys. Times are steady, in milliseconds.
#[derive(Default)]
pub(crate) struct ColdTimes {
    until_ms: BTreeMap<String, u64>,
    /// Starts that are no longer held are looked for once there are so many: a look at all for
    /// each commit would cost the square of a fleet that starts cold.
    prune_at: usize,
}

/// So few are kept without a look.
const MIN_PRUNE_SIZE: usize = 64;

impl ColdTimes {
    /// Whether a heartbeat says that its start is cold for longer than was proposed here.
    ///
    /// So does each of a start of which this member has proposed no cold time: heartbeats
    /// may go to another member each time, and how old the record is that is held is not
    /// known here. The first that each member hears is thus committed, once for each member.
    /// A spare commit costs one entry of the log; after a missed one gateways would send a
    /// cold replica what a warm one bears.
    pub(crate) fn is_cold_longer(&self, key: &str, change: &ReplicaChange, now_ms: u64) -> bool {
        if change.cold_ms == 0 {
            return false;
        }
        let proposed = self.until_ms.get(key);
        proposed.is_none_or(|until_ms| now_ms + change.cold_ms > until_ms + SLACK_MS)
    }

    /// What a start said at this time was committed. Starts that are no longer held are
    /// forgotten.
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
