//! Waits between attempts to connect.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Jittered exponential back-off.
///
/// The ceiling doubles with each attempt; the wait is drawn evenly between
/// half the ceiling and the ceiling, so that many clients that lost the same
/// server do not come back at once.
#[derive(Clone, Debug)]
pub struct Backoff {
    first: Duration,
    longest: Duration,
    ceiling: Duration,
    random: Pcg64Mcg,
}

impl Backoff {
    /// Waits from about `first` up to `longest`, drawn with the given seed.
    #[must_use]
    pub fn new(first: Duration, longest: Duration, seed: u64) -> Self {
        Backoff {
            first,
            longest,
            ceiling: first,
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// The wait before the next attempt.
    pub fn next_delay(&mut self) -> Duration {
        let ceiling = self.ceiling.min(self.longest);
        self.ceiling = (ceiling * 2).min(self.longest);
        ceiling.mul_f64(self.random.random_range(0.5..=1.0))
    }

    /// Starts again from the first wait; to be called after a success.
    pub fn reset(&mut self) {
        self.ceiling = self.first;
    }
}
