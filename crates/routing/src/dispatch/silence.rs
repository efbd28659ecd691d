//! Which coordinators of slots are waited for, and for how long.

use std::{collections::HashMap, time::Duration};

use linnethitch_protocol::ids::MachineId;

/// Time within which a coordinator has to answer, in addition to the round trip to its replica.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(25);
/// After a timeout the coordinator is still notified of requests but not waited for during this
/// time, in milliseconds.
const SILENT_FOR_MS: u64 = 300;

/// How long to wait for a coordinator's answer. The coordinator is near its replica, so the round
/// trip to it takes as long as that to the replica.
#[must_use]
pub fn answer_timeout(round_trip: Duration) -> Duration {
    ANSWER_TIMEOUT + round_trip
}

/// Coordinators that recently did not answer. Times are monotonic, in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct SilentCoordinators {
    /// The time until which each one is not waited for.
    until_ms: HashMap<MachineId, u64>,
}

impl SilentCoordinators {
    /// Records that a coordinator did not answer within [`answer_timeout`].
    pub fn note_silence(&mut self, coordinator: MachineId, now_ms: u64) {
        self.until_ms.insert(coordinator, now_ms + SILENT_FOR_MS);
    }

    /// Records that a coordinator answered, even if late.
    pub fn note_answer(&mut self, coordinator: MachineId) {
        self.until_ms.remove(&coordinator);
    }

    /// Whether a coordinator is notified of requests but not waited for.
    #[must_use]
    pub fn is_silent(&self, coordinator: MachineId, now_ms: u64) -> bool {
        let until_ms = self.until_ms.get(&coordinator);
        until_ms.is_some_and(|until_ms| now_ms < *until_ms)
    }
}
