//! The bound that holds for a cold replica.

/// How far the fleet may go beyond what a cold replica bears.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdSettings {
    /// Factor by which the declared rate may be exceeded in one second.
    pub overshoot: f64,
    /// Requests in one second besides.
    pub slack: f64,
}

impl Default for ColdSettings {
    fn default() -> Self {
        ColdSettings {
            overshoot: 1.5,
            slack: 5.0,
        }
    }
}

impl ColdSettings {
    /// Most requests that a cold replica may get in any second, of the whole fleet. The
    /// rate is in thousandths of a request a second.
    #[must_use]
    pub fn max_per_second(&self, rate_milli: u64) -> u32 {
        let rate = rate_milli as f64 / 1_000.0;
        (rate * self.overshoot + self.slack).max(0.0) as u32
    }
}
