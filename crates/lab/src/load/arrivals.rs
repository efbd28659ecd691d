//! Due times of requests.

use std::{fmt, str::FromStr, time::Duration};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Time between two bursts.
const BURST_INTERVAL: Duration = Duration::from_secs(3);
/// Share of the requests that arrive in bursts.
const BURST_SHARE: f64 = 0.5;
/// Duration of a burst.
const BURST_LENGTH: Duration = Duration::from_millis(300);

/// How requests arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Pattern {
    /// Independently of each other.
    Poisson,
    /// Half of them independently, half in bursts of 0.3 s every 3 s.
    Bursts,
    /// At equal intervals.
    Even,
}

impl fmt::Display for Pattern {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Pattern::Poisson => "poisson",
            Pattern::Bursts => "bursts",
            Pattern::Even => "even",
        })
    }
}

impl FromStr for Pattern {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "poisson" => Ok(Pattern::Poisson),
            "bursts" => Ok(Pattern::Bursts),
            "even" => Ok(Pattern::Even),
            _ => Err(format!(
                "unknown pattern `{text}`, expected poisson, bursts or even"
            )),
        }
    }
}

/// An endless sequence of due times relative to the start, determined by the seed.
pub(super) struct Arrivals {
    pattern: Pattern,
    rate: f64,
    generator: Pcg64Mcg,
    now: Duration,
}

impl Arrivals {
    pub(super) fn new(pattern: Pattern, rate: f64, seed: u64) -> Arrivals {
        Arrivals {
            pattern,
            rate,
            generator: Pcg64Mcg::seed_from_u64(seed),
            now: Duration::ZERO,
        }
    }

    /// Requests per second at a given time.
    fn rate_at(&self, time: Duration) -> f64 {
        if self.pattern != Pattern::Bursts {
            return self.rate;
        }
        let base_rate = self.rate * (1.0 - BURST_SHARE);
        let into_interval = time.as_secs_f64() % BURST_INTERVAL.as_secs_f64();
        if into_interval < BURST_LENGTH.as_secs_f64() {
            let burst_rate = self.rate * BURST_SHARE;
            base_rate + burst_rate * BURST_INTERVAL.as_secs_f64() / BURST_LENGTH.as_secs_f64()
        } else {
            base_rate
        }
    }

    /// The highest rate at any time.
    fn peak_rate(&self) -> f64 {
        self.rate_at(Duration::ZERO)
    }
}

impl Iterator for Arrivals {
    type Item = Duration;

    /// `None` when the rate is not above zero.
    fn next(&mut self) -> Option<Duration> {
        if self.rate <= 0.0 {
            return None;
        }
        if self.pattern == Pattern::Even {
            self.now += Duration::from_secs_f64(1.0 / self.rate);
            return Some(self.now);
        }
        // Thinning: candidates at the peak rate, kept in proportion to the rate at their time.
        let peak = self.peak_rate();
        loop {
            let uniform: f64 = self.generator.random();
            self.now += Duration::from_secs_f64(-(1.0 - uniform).ln() / peak);
            let keep: f64 = self.generator.random();
            if keep * peak <= self.rate_at(self.now) {
                return Some(self.now);
            }
        }
    }
}
