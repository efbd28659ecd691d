//! Retry delays between connection attempts.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Exponential backoff with jitter.
///
/// The ceiling doubles with each attempt. The delay is uniformly distributed
/// between half the ceiling and the ceiling, so that many clients that lost the
/// same server do not reconnect at the same time.
#[derive(Clone, Debug)]
pub struct Backoff {
    initial: Duration,
    max: Duration,
    ceiling: Duration,
    random: Pcg64Mcg,
}

impl Backoff {
    /// A backoff with delays from about `initial` up to `max` and a random sequence from the seed.
    #[must_use]
    pub fn new(initial: Duration, max: Duration, seed: u64) -> Self {
        Backoff {
            initial,
            max,
            ceiling: initial,
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// The delay before the next attempt.
    pub fn next_delay(&mut self) -> Duration {
        let ceiling = self.ceiling.min(self.max);
        self.ceiling = (ceiling * 2).min(self.max);
        ceiling.mul_f64(self.random.random_range(0.5..=1.0))
    }

    /// Restarts from the initial delay; must be called after a successful attempt.
    pub fn reset(&mut self) {
        self.ceiling = self.initial;
    }
}
