//! Estimate of the slot time that one item takes over all its runs.

/// Weight of earlier observations after each further report.
const DECAY_FACTOR: f64 = 0.99;
/// Weighted number of reports that an estimate needs.
const MIN_REPORTS: f64 = 8.0;

/// Lease times and the number of reported items, with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LeaseTimes {
    leased_ms: f64,
    reports: f64,
}

impl LeaseTimes {
    /// Adds the duration of a lease that ended, with or without a report.
    pub(crate) fn add_lease(&mut self, duration_ms: u64) {
        self.leased_ms += duration_ms as f64;
    }

    /// Counts a reported item.
    pub(crate) fn add_report(&mut self) {
        self.leased_ms *= DECAY_FACTOR;
        self.reports = self.reports * DECAY_FACTOR + 1.0;
    }

    /// Slot time per reported item, in milliseconds; `None` before there are enough reports.
    pub(crate) fn slot_ms_per_item(&self) -> Option<u64> {
        (self.reports >= MIN_REPORTS).then(|| (self.leased_ms / self.reports) as u64)
    }
}
