//! How much time of a slot an item costs, all its runs together.

/// What is known counts this much less with each further report.
const FADING: f64 = 0.99;
/// Reports before anything is said.
const FEWEST_REPORTS: f64 = 8.0;

/// Times of leases, and the reports that they led to; older ones count less.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LeaseTimes {
    leased_ms: f64,
    reports: f64,
}

impl LeaseTimes {
    /// Notes that a lease ended, however.
    pub(crate) fn note_lease(&mut self, took_ms: u64) {
        self.leased_ms += took_ms as f64;
    }

    /// Notes that an item was reported.
    pub(crate) fn note_report(&mut self) {
        self.leased_ms *= FADING;
        self.reports = self.reports * FADING + 1.0;
    }

    /// Time of a slot for each item that is reported, in milliseconds; `None`
    /// before enough was seen.
    pub(crate) fn slot_ms_per_item(&self) -> Option<u64> {
        (self.reports >= FEWEST_REPORTS).then(|| (self.leased_ms / self.reports) as u64)
    }
}
