//! Points of the clock.

use std::{
    ops::{Add, Sub},
    time::Duration,
};

use nix::time::{ClockId, clock_gettime};

/// How long the machine was pretended to be suspended, in milliseconds.
#[cfg(feature = "testing")]
static PRETENDED_MS: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);

/// Lets this process find that its machine was suspended for so long: the clock has
/// gone on, timers have not.
#[cfg(feature = "testing")]
pub fn suspend_for(time: Duration) {
    let time_ms = time.as_millis() as u64;
    PRETENDED_MS.fetch_add(time_ms, std::sync::atomic::Ordering::SeqCst);
}

/// A point of the clock that goes on while the machine is suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Instant {
    /// Since the machine was booted.
    since_boot: Duration,
}

impl Instant {
    /// The time now.
    #[must_use]
    pub fn now() -> Self {
        Instant {
            since_boot: since_boot(),
        }
    }

    /// How long ago it was; zero where it is to come.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        Instant::now().saturating_duration_since(*self)
    }

    /// The time from an earlier point to this one; zero where that is later.
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
    // The kernel has had this clock since version 2.6.39; without it there is no
    // other one that decisions may be made by.
    let now = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the kernel has CLOCK_BOOTTIME");
    let now = Duration::from(now);
    #[cfg(feature = "testing")]
    let now = now + Duration::from_millis(PRETENDED_MS.load(std::sync::atomic::Ordering::SeqCst));
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

    /// Milliseconds since the start, those of a suspended machine too; never steps back.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
}
