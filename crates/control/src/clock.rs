//! The clocks of a process.

use std::time::{SystemTime, UNIX_EPOCH};

use linnethitch_clock::Instant;
use linnethitch_protocol::ids::Timestamp;

use crate::member::MemberTime;

/// Monotonic time since the start and wall-clock time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    started: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub(crate) fn start() -> Self {
        Clock {
            started: Instant::now(),
        }
    }

    /// Reads both clocks, for a member.
    pub(crate) fn member_time(self) -> MemberTime {
        MemberTime {
            monotonic_ms: self.started.elapsed().as_millis() as u64,
            wall: self.wall(),
        }
    }

    /// Wall-clock time; a clock set before 1970 is read as 1970.
    pub(crate) fn wall(self) -> Timestamp {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Timestamp(since.as_millis() as u64)
    }
}
