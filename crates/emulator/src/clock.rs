//! Conversion between real time and the time of a core.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use linnethitch_protocol::ids::Timestamp;

use crate::Time;

/// Maps real time to the time of a core, which runs `compression` times as fast.
#[derive(Debug)]
pub(crate) struct CompressedClock {
    origin: Instant,
    origin_millis: u64,
    compression: u32,
}

impl CompressedClock {
    /// Starts a clock whose core time begins at one hour, so that subtracting a lag
    /// from the current time does not reach the origin.
    pub(crate) fn start(compression: u32) -> CompressedClock {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        CompressedClock {
            origin: Instant::now(),
            origin_millis: u64::try_from(since_epoch.as_millis()).unwrap_or(0),
            compression: compression.max(1),
        }
    }

    /// The current time of the core.
    pub(crate) fn now(&self) -> Time {
        let micros = u64::try_from(self.origin.elapsed().as_micros()).unwrap_or(u64::MAX);
        Self::START + micros * u64::from(self.compression)
    }

    /// Converts a time of the core to an instant.
    pub(crate) fn instant(&self, time: Time) -> Instant {
        let micros = time.micros_since(Self::START) / u64::from(self.compression);
        self.origin + Duration::from_micros(micros)
    }

    /// Converts a time of the core, in milliseconds, to milliseconds since the Unix epoch.
    pub(crate) fn timestamp(&self, core_millis: Timestamp) -> Timestamp {
        let since_start = i128::from(core_millis.0) - i128::from(Self::START.as_millis());
        let real = i128::from(self.origin_millis) + since_start / i128::from(self.compression);
        Timestamp(u64::try_from(real).unwrap_or(0))
    }

    const START: Time = Time::from_millis(3_600_000);
}
