//! Which coordinators of slots are waited for, and for how long.

use std::{collections::HashMap, time::Duration};

use linnethitch_protocol::ids::MachineId;

/// A coordinator that does not answer within this, beyond the round trip to its replica, is
/// not waited for.
const SILENCE_LIMIT: Duration = Duration::from_millis(25);
/// After that it is told of requests, but not waited for, for so long, in milliseconds.
const SILENT_FOR_MS: u64 = 300;

/// How long a coordinator's answer is waited for. It is near its replica: a word to it and
/// back takes the round trip to that.
#[must_use]
pub fn answer_timeout(round_trip: Duration) -> Duration {
    SILENCE_LIMIT + round_trip
}

/// Coordinators that did not answer lately. Times are of a steady clock, in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct SilentCoordinators {
    /// Until when each is not waited for.
    until_ms: HashMap<MachineId, u64>,
}

impl SilentCoordinators {
    /// A coordinator did not answer within [`answer_timeout`].
    pub fn note_silence(&mut self, coordinator: MachineId, now_ms: u64) {
        self.until_ms.insert(coordinator, now_ms + SILENT_FOR_MS);
    }

    /// A coordinator answered, if late.
    pub fn note_answer(&mut self, coordinator: MachineId) {
        self.until_ms.remove(&coordinator);
    }

    /// Whether it is told of requests, but not waited for.
    #[must_use]
    pub fn is_silent(&self, coordinator: MachineId, now_ms: u64) -> bool {
        let until_ms = self.until_ms.get(&coordinator);
        until_ms.is_some_and(|until_ms| now_ms < *until_ms)
    }
}
