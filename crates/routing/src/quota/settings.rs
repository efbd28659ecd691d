//! How far a fleet may exceed a limit, and over which time requests are counted.

use linnethitch_tenants::QuotaLimit;

/// Settings for the limits of tenants.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaSettings {
    /// Length of the sliding window over which requests are counted, in milliseconds.
    pub window_ms: u64,
    /// Fraction of the limit by which the fleet may exceed it.
    pub overshoot: f64,
    /// Additional requests in a window by which the fleet may exceed the limit.
    pub slack: f64,
}

impl QuotaSettings {
    /// Requests that a limit allows in any window.
    pub(super) fn allowed(&self, quota: QuotaLimit) -> f64 {
        quota.rate() * self.window_ms as f64 / 1_000.0 + quota.burst()
    }

    /// Requests over a limit that are allowed in a window.
    pub(super) fn max_overshoot(&self, quota: QuotaLimit) -> f64 {
        self.allowed(quota) * self.overshoot + self.slack
    }
}

impl Default for QuotaSettings {
    fn default() -> Self {
        QuotaSettings {
            window_ms: 5_000,
            overshoot: 0.1,
            slack: 20.0,
        }
    }
}
