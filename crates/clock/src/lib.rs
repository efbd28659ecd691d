//! The clock by which leases, ages, silences and deadlines are counted.
//!
//! It goes on while the machine is suspended (`CLOCK_BOOTTIME`), unlike the clock of
//! [`std::time::Instant`] and of the runtime's timers, which stands still meanwhile. By
//! that one a process that wakes up would take a lease, a connection or news from
//! before for as young as they were. It never steps, unlike the time of day.
//!
//! Waits look at this clock again every half second, so that what fell due while the
//! machine was suspended is found by then.

mod instant;
mod waits;

pub use instant::{Clock, Instant};
pub use waits::{sleep, sleep_until, timeout, timeout_at};

/// A pretended suspension of the machine, for tests.
#[cfg(feature = "testing")]
pub mod testing {
    pub use crate::instant::suspend_for;
}
