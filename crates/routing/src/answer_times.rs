//! How long the answers of a route take, for a gateway that is to end soon.

use std::collections::HashMap;

/// Answers count for one to two of these, in milliseconds.
const WINDOW_MS: u64 = 30_000;
/// An answer may take this many times as long as the longest one that counts.
const RESERVE: f64 = 1.25;

/// The longest answers of each route of late.
#[derive(Clone, Debug, Default)]
pub struct AnswerTimes {
    by_route: HashMap<String, Longest>,
}

/// The longest answers of one route.
#[derive(Clone, Copy, Debug)]
struct Longest {
    /// Number of the newest window with an answer.
    window: u64,
    in_window_ms: u64,
    in_window_before_ms: u64,
}

impl AnswerTimes {
    /// Notes how long an answer took, from its request's arrival to its end.
    pub fn record(&mut self, route: &str, took_ms: u64, now_ms: u64) {
        let window = now_ms / WINDOW_MS;
        if let Some(longest) = self.by_route.get_mut(route) {
            longest.turn_to(window);
            longest.in_window_ms = longest.in_window_ms.max(took_ms);
            return;
        }
        // Routes that are gone, or rest, are forgotten.
        self.by_route.retain(|_, longest| longest.counts_in(window));
        let longest = Longest {
            window,
            in_window_ms: took_ms,
            in_window_before_ms: 0,
        };
        self.by_route.insert(route.to_owned(), longest);
    }

    /// How long an answer may take, in milliseconds; up to the request's limit where nothing
    /// is known of its route.
    #[must_use]
    pub fn max_expected_ms(&self, route: &str, limit_ms: u64, now_ms: u64) -> u64 {
        let longest = self.by_route.get(route);
        let longest = longest.and_then(|longest| longest.at(now_ms / WINDOW_MS));
        longest.map_or(limit_ms, |longest_ms| {
            let with_reserve = (longest_ms as f64 * RESERVE).ceil() as u64;
            with_reserve.min(limit_ms)
        })
    }
}

impl Longest {
    fn counts_in(&self, window: u64) -> bool {
        self.window + 1 >= window
    }

    fn turn_to(&mut self, window: u64) {
        if window <= self.window {
            return;
        }
        let is_next = self.counts_in(window);
        self.in_window_before_ms = if is_next { self.in_window_ms } else { 0 };
        self.in_window_ms = 0;
        self.window = window;
    }

    fn at(mut self, window: u64) -> Option<u64> {
        if !self.counts_in(window) {
            return None;
        }
        self.turn_to(window);
        Some(self.in_window_ms.max(self.in_window_before_ms))
    }
}
