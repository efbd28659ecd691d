//! Which part of limits a coordinator gave out over the last window.

use std::collections::VecDeque;

/// Parts, and since when each was given out.
#[derive(Clone, Debug, Default)]
pub(super) struct Shares {
    since: VecDeque<(u64, f64)>,
}

impl Shares {
    /// Notes the part that is given out from now on.
    pub(super) fn note(&mut self, share: f64, window_ms: u64, now_ms: u64) {
        let newest = self.since.back().map(|(_, share)| *share);
        if newest != Some(share) {
            self.since.push_back((now_ms, share));
        }
        let is_over = |next: &(u64, f64)| next.0 + window_ms <= now_ms;
        while self.since.get(1).is_some_and(is_over) {
            self.since.pop_front();
        }
    }

    /// The mean over a window that ends now. Before the first it was as the first.
    pub(super) fn mean(&self, window_ms: u64, now_ms: u64) -> f64 {
        let mut until_ms = now_ms;
        let mut left_ms = window_ms;
        let mut sum = 0.0;
        let mut earliest = 1.0;
        for (since_ms, share) in self.since.iter().rev() {
            let lasted_ms = until_ms.saturating_sub(*since_ms).min(left_ms);
            sum += lasted_ms as f64 * share;
            left_ms -= lasted_ms;
            until_ms = *since_ms;
            earliest = *share;
        }
        (sum + left_ms as f64 * earliest) / window_ms as f64
    }
}
