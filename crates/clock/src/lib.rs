//! The clock for leases, ages, times since last contact and deadlines.
//!
//! The clock advances while the machine is suspended (`CLOCK_BOOTTIME`). The clock of
//! [`std::time::Instant`] and of the runtime's timers does not: with that clock, a process
//! that resumes would take leases, connections and updates from before the suspension for
//! recent ones. Unlike the time of day, this clock is never stepped.
//!
//! Waits check this clock every half second, so that a deadline that passed while the
//! machine was suspended is noticed within that time.

mod instant;
mod waits;

pub use instant::{Clock, Instant};
pub use waits::{sleep, sleep_until, timeout, timeout_at};

/// Simulated suspension of the machine, for tests.
#[cfg(feature = "testing")]
pub mod testing {
    pub use crate::instant::suspend_for;
}
