//! The bound on requests to a cold replica.

/// How far the fleet may exceed the capacity of a cold replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdSettings {
    /// Factor by which the declared rate may be exceeded in one second.
    pub overshoot: f64,
    /// Additional requests in one second.
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
    /// Maximum number of requests that a cold replica may get from the complete fleet in any
    /// second. The rate is in thousandths of a request per second.
    #[must_use]
    pub fn max_per_second(&self, rate_milli: u64) -> u32 {
        let rate = rate_milli as f64 / 1_000.0;
        (rate * self.overshoot + self.slack).max(0.0) as u32
    }
}
