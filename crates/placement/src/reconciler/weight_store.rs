//! How much may be asked of the weight store.

use linnethitch_protocol::ids::Timestamp;

/// Longest wait for weights that is believed, in milliseconds.
const MAX_READY_MS: u64 = 3_600_000;

/// What the weight store answered to a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReservationAnswer {
    /// The weights are on the machine after this many milliseconds.
    ReadyAfter(u64),
    /// The store's rate is used up for this many milliseconds.
    Busy(u64),
    /// The store did not answer.
    NoAnswer,
}

/// The store as its answers show it.
#[derive(Debug, Default)]
pub(super) struct WeightStore {
    busy_until: Timestamp,
}

impl WeightStore {
    /// Transfers that may be asked for now, when some are under way.
    pub(super) fn room(&self, now: Timestamp, under_way: usize, most: usize) -> usize {
        if now < self.busy_until {
            return 0;
        }
        most.saturating_sub(under_way)
    }

    /// Nothing more is asked for until then.
    pub(super) fn wait_until(&mut self, until: Timestamp) {
        self.busy_until = self.busy_until.max(until);
    }
}

/// When weights are on their machine.
pub(super) fn ready_at(now: Timestamp, ready_after_ms: u64) -> Timestamp {
    Timestamp(now.0 + ready_after_ms.min(MAX_READY_MS))
}
