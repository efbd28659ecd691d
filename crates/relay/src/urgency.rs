//! When a batch item stops giving way to online requests.

use std::time::Duration;

use tokio::time::Instant;

/// An item that is due within this no longer gives way.
const URGENT_BEFORE_DUE: Duration = Duration::from_secs(8);

/// The time in which an item is urgent: shortly before it is due. Before that it
/// can wait; after it, it is late whatever is done, and others come first.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Urgency {
    due: Instant,
    from: Instant,
}

impl Urgency {
    /// The urgency of an item that is due in so many milliseconds; 0 when it is late.
    pub(crate) fn due_in(due_in_ms: u64, now: Instant) -> Self {
        let due_in = Duration::from_millis(due_in_ms);
        Urgency {
            due: now + due_in,
            from: now + due_in.saturating_sub(URGENT_BEFORE_DUE),
        }
    }

    /// Whether the item gives way to nothing now.
    pub(crate) fn is_urgent(&self, now: Instant) -> bool {
        self.from <= now && now < self.due
    }

    /// Of items that give way, the one with the highest rank does so first: late
    /// ones, then those due last.
    pub(crate) fn patience(&self, now: Instant) -> impl Ord + use<> {
        (self.due <= now, self.due)
    }
}
