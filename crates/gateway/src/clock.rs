//! Monotonic Unix time of the process, in milliseconds.

use std::time::{SystemTime, UNIX_EPOCH};

use linnethitch_clock::Instant;
use linnethitch_protocol::ids::Timestamp;

/// Unix time that is read once at the start and then advanced by the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start_time: Timestamp,
    started: Instant,
}

impl Clock {
    /// Starts the clock at the current system time.
    pub(crate) fn start() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            start_time: Timestamp(u64::try_from(unix.as_millis()).unwrap_or(u64::MAX)),
            started: Instant::now(),
        }
    }

    /// The current time.
    pub(crate) fn now(&self) -> Timestamp {
        let elapsed = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        Timestamp(self.start_time.0.saturating_add(elapsed))
    }

    /// Duration from now until `time`, in whole milliseconds; zero when `time` has passed.
    pub(crate) fn until(&self, time: Timestamp) -> std::time::Duration {
        std::time::Duration::from_millis(time.0.saturating_sub(self.now().0))
    }
}
