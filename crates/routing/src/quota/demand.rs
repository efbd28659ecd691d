//! Counts over the last seconds.

use std::collections::VecDeque;

/// Width of a part of a window, in milliseconds.
const PART_MS: u64 = 250;

/// Events of the last window, in parts.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentCount {
    /// Number of the part and events in it, oldest first.
    parts: VecDeque<(u64, u32)>,
}

impl RecentCount {
    pub(super) fn add(&mut self, events: u32, now_ms: u64) {
        let part = now_ms / PART_MS;
        match self.parts.back_mut() {
            Some((newest, count)) if *newest >= part => *count += events,
            _ => self.parts.push_back((part, events)),
        }
    }

    /// Drops what is older than a window.
    pub(super) fn keep(&mut self, window_ms: u64, now_ms: u64) {
        let oldest = now_ms.saturating_sub(window_ms) / PART_MS;
        while self.parts.front().is_some_and(|(part, _)| *part < oldest) {
            self.parts.pop_front();
        }
    }

    /// Events of the last `window_ms`, and up to a part more.
    pub(super) fn sum(&self, window_ms: u64, now_ms: u64) -> u64 {
        let oldest = now_ms.saturating_sub(window_ms) / PART_MS;
        let recent = self.parts.iter().filter(|(part, _)| *part >= oldest);
        recent.map(|(_, count)| u64::from(*count)).sum()
    }

    /// Counts the oldest events as of now.
    pub(super) fn renew_oldest(&mut self, mut events: u32, now_ms: u64) {
        let renewed = events;
        for (_, count) in &mut self.parts {
            let moved = events.min(*count);
            *count -= moved;
            events -= moved;
        }
        self.add(renewed, now_ms);
    }

    /// Takes the oldest events out.
    pub(super) fn drop_oldest(&mut self, mut events: u32) {
        for (_, count) in &mut self.parts {
            let dropped = events.min(*count);
            *count -= dropped;
            events -= dropped;
        }
        self.parts.retain(|(_, count)| *count > 0);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }
}
