//! The shares of the limits that a coordinator gave out over the last window.

use std::collections::VecDeque;

/// Shares, each with the time from which it was given out.
#[derive(Clone, Debug, Default)]
pub(super) struct ShareHistory {
    since: VecDeque<(u64, f64)>,
}

impl ShareHistory {
    /// Records the share that is given out from now on.
    pub(super) fn record(&mut self, share: f64, window_ms: u64, now_ms: u64) {
        let newest = self.since.back().map(|(_, share)| *share);
        if newest != Some(share) {
            self.since.push_back((now_ms, share));
        }
        let has_elapsed = |next: &(u64, f64)| next.0 + window_ms <= now_ms;
        while self.since.get(1).is_some_and(has_elapsed) {
            self.since.pop_front();
        }
    }

    /// The mean over a window that ends now. Before the first recorded share, that share is
    /// assumed.
    pub(super) fn mean(&self, window_ms: u64, now_ms: u64) -> f64 {
        let mut until_ms = now_ms;
        let mut remaining_ms = window_ms;
        let mut sum = 0.0;
        let mut earliest = 1.0;
        for (since_ms, share) in self.since.iter().rev() {
            let lasted_ms = until_ms.saturating_sub(*since_ms).min(remaining_ms);
            sum += lasted_ms as f64 * share;
            remaining_ms -= lasted_ms;
            until_ms = *since_ms;
            earliest = *share;
        }
        (sum + remaining_ms as f64 * earliest) / window_ms as f64
    }
}
