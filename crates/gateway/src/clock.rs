//! The process's clock: Unix milliseconds that never go back.

use std::time::{SystemTime, UNIX_EPOCH};

use linnethitch_clock::Instant;
use linnethitch_protocol::ids::Timestamp;

/// Unix time read once, then carried on by the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    started_at: Timestamp,
    started: Instant,
}

impl Clock {
    /// Reads the system's time.
    pub(crate) fn start() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started_at: Timestamp(u64::try_from(unix.as_millis()).unwrap_or(u64::MAX)),
            started: Instant::now(),
        }
    }

    /// Now.
    pub(crate) fn now(&self) -> Timestamp {
        let elapsed = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        Timestamp(self.started_at.0.saturating_add(elapsed))
    }

    /// Milliseconds from now until a time; 0 when it is past.
    pub(crate) fn until(&self, time: Timestamp) -> std::time::Duration {
        std::time::Duration::from_millis(time.0.saturating_sub(self.now().0))
    }
}
