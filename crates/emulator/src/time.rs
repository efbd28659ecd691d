//! The time type of the cores.

use std::ops::{Add, Sub};

/// Microseconds since an origin that the caller chooses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Time(pub u64);

impl Time {
    /// The origin.
    pub const ZERO: Time = Time(0);

    /// Converts milliseconds since the origin.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Time {
        Time(millis * 1_000)
    }

    /// Whole milliseconds since the origin.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Microseconds since `earlier`; zero when `earlier` is later.
    #[must_use]
    pub const fn micros_since(self, earlier: Time) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<u64> for Time {
    type Output = Time;

    /// Adds microseconds.
    fn add(self, micros: u64) -> Time {
        Time(self.0 + micros)
    }
}

impl Sub<u64> for Time {
    type Output = Time;

    /// Subtracts microseconds; the result is not before the origin.
    fn sub(self, micros: u64) -> Time {
        Time(self.0.saturating_sub(micros))
    }
}
