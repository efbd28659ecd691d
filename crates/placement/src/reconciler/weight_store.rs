//! Rate limiting of reservations at the weight store.

use linnethitch_protocol::ids::Timestamp;

/// Maximum wait that is accepted from the weight store, in milliseconds; longer ones are
/// cut to it.
const MAX_READY_MS: u64 = 3_600_000;

/// The weight store's answer to a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReservationAnswer {
    /// The weights are on the machine after this time, in milliseconds.
    ReadyAfter(u64),
    /// The store accepts no reservation for this time, in milliseconds.
    Busy(u64),
    /// The store did not answer.
    NoAnswer,
}

/// The state of the weight store, derived from its answers.
#[derive(Debug, Default)]
pub(super) struct WeightStore {
    busy_until: Timestamp,
}

impl WeightStore {
    /// Number of transfers that may be reserved now, besides those in progress.
    pub(super) fn free_transfers(&self, now: Timestamp, in_progress: usize, max: usize) -> usize {
        if now < self.busy_until {
            return 0;
        }
        max.saturating_sub(in_progress)
    }

    /// Suspends reservations until a time.
    pub(super) fn wait_until(&mut self, until: Timestamp) {
        self.busy_until = self.busy_until.max(until);
    }
}

/// The time at which weights are on their machine.
pub(super) fn ready_at(now: Timestamp, ready_after_ms: u64) -> Timestamp {
    Timestamp(now.0 + ready_after_ms.min(MAX_READY_MS))
}
