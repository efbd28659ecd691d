//! How long a request waits for a slot before it is sent although none is free.

use std::time::Duration;

/// Shortest time for which a request waits for a slot.
const SHORTEST_WAIT: Duration = Duration::from_millis(600);
/// Part of a request's time for which it leaves the slots that fall free to those that can
/// still be on time: the rest is for its run.
pub const LAST_CALL_SHARE: f64 = 0.6;

/// How long a request waits in a coordinator's queue, counted from its ask: until its last
/// call. There late ones come after those that can still be on time. Sent without a slot they
/// are in the engine's own queue, before all that come later.
#[must_use]
pub fn slot_wait(due_in: Duration, last_call_in: Duration, left: Duration) -> Duration {
    due_in.max(SHORTEST_WAIT).max(last_call_in).min(left)
}
