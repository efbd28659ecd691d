//! Event counts over the last seconds.

use std::collections::VecDeque;

/// Width of a slice of a window, in milliseconds.
const SLICE_MS: u64 = 250;

/// Events of the last window, counted in slices.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentCount {
    /// Number of each slice and its events, oldest first.
    slices: VecDeque<(u64, u32)>,
}

impl RecentCount {
    pub(super) fn add(&mut self, events: u32, now_ms: u64) {
        let slice = now_ms / SLICE_MS;
        match self.slices.back_mut() {
            Some((newest, count)) if *newest >= slice => *count += events,
            _ => self.slices.push_back((slice, events)),
        }
    }

    /// Removes slices that are older than a window.
    pub(super) fn prune(&mut self, window_ms: u64, now_ms: u64) {
        let oldest = now_ms.saturating_sub(window_ms) / SLICE_MS;
        while self
            .slices
            .front()
            .is_some_and(|(slice, _)| *slice < oldest)
        {
            self.slices.pop_front();
        }
    }

    /// Events of the last `window_ms`, plus those of up to one slice more.
    pub(super) fn sum(&self, window_ms: u64, now_ms: u64) -> u64 {
        let oldest = now_ms.saturating_sub(window_ms) / SLICE_MS;
        let recent = self.slices.iter().filter(|(slice, _)| *slice >= oldest);
        recent.map(|(_, count)| u64::from(*count)).sum()
    }

    /// Moves the oldest events to the current time.
    pub(super) fn move_oldest_to_now(&mut self, mut events: u32, now_ms: u64) {
        let moved = events;
        for (_, count) in &mut self.slices {
            let count_moved = events.min(*count);
            *count -= count_moved;
            events -= count_moved;
        }
        self.add(moved, now_ms);
    }

    /// Removes the oldest events.
    pub(super) fn drop_oldest(&mut self, mut events: u32) {
        for (_, count) in &mut self.slices {
            let dropped = events.min(*count);
            *count -= dropped;
            events -= dropped;
        }
        self.slices.retain(|(_, count)| *count > 0);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.slices.is_empty()
    }
}
