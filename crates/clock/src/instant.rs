//! Points in time and the clock of a process.

use std::{
    ops::{Add, Sub},
    time::Duration,
};

use nix::time::{ClockId, clock_gettime};

/// Total simulated suspension of the machine, in milliseconds.
#[cfg(feature = "testing")]
static SIMULATED_SUSPENSION_MS: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);

/// Simulates a suspension of the machine for this process: the clock advances by `time`,
/// timers do not.
#[cfg(feature = "testing")]
pub fn suspend_for(time: Duration) {
    let time_ms = time.as_millis() as u64;
    SIMULATED_SUSPENSION_MS.fetch_add(time_ms, std::sync::atomic::Ordering::SeqCst);
}

/// A point in time of the clock that advances while the machine is suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Instant {
    /// Time since the machine was booted.
    since_boot: Duration,
}

impl Instant {
    /// The current time.
    #[must_use]
    pub fn now() -> Self {
        Instant {
            since_boot: since_boot(),
        }
    }

    /// The time since this point; zero if the point is in the future.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        Instant::now().saturating_duration_since(*self)
    }

    /// The time from an earlier point to this one; zero if `earlier` is later.
    #[must_use]
    pub fn saturating_duration_since(&self, earlier: Instant) -> Duration {
        self.since_boot.saturating_sub(earlier.since_boot)
    }
}

impl Add<Duration> for Instant {
    type Output = Instant;

    fn add(self, time: Duration) -> Instant {
        Instant {
            since_boot: self.since_boot.saturating_add(time),
        }
    }
}

impl Sub<Instant> for Instant {
    type Output = Duration;

    fn sub(self, earlier: Instant) -> Duration {
        self.saturating_duration_since(earlier)
    }
}

fn since_boot() -> Duration {
    // Linux has this clock since version 2.6.39. Without it, the process cannot continue,
    // because no other clock is safe for its decisions.
    let now = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the kernel has CLOCK_BOOTTIME");
    let now = Duration::from(now);
    #[cfg(feature = "testing")]
    let now = now
        + Duration::from_millis(SIMULATED_SUSPENSION_MS.load(std::sync::atomic::Ordering::SeqCst));
    now
}

/// The clock of a process, in milliseconds since it started.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    #[must_use]
    pub fn start() -> Self {
        Clock {
            start: Instant::now(),
        }
    }

    /// Milliseconds since the start, including the time that the machine was suspended; never
    /// goes back.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
}
