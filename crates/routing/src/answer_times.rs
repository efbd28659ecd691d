//! Recent answer times per route, for a gateway with a planned stop.

use std::collections::HashMap;

/// Length of a window, in milliseconds; an answer counts in its own and in the next window.
const WINDOW_MS: u64 = 30_000;
/// Safety factor on the longest recent answer time.
const SAFETY_FACTOR: f64 = 1.25;

/// The longest recent answer time of each route.
#[derive(Clone, Debug, Default)]
pub struct AnswerTimes {
    by_route: HashMap<String, LongestAnswers>,
}

/// The longest answer times of one route, in the newest window with an answer and the window
/// before.
#[derive(Clone, Copy, Debug)]
struct LongestAnswers {
    /// Number of the newest window with an answer.
    window: u64,
    current_window_ms: u64,
    previous_window_ms: u64,
}

impl AnswerTimes {
    /// Records the duration of an answer, from the arrival of the request to the end of the answer.
    pub fn record(&mut self, route: &str, took_ms: u64, now_ms: u64) {
        let window = now_ms / WINDOW_MS;
        if let Some(longest) = self.by_route.get_mut(route) {
            longest.advance_to(window);
            longest.current_window_ms = longest.current_window_ms.max(took_ms);
            return;
        }
        // Drops routes without a recent answer, such as removed ones.
        self.by_route
            .retain(|_, longest| longest.is_recent_in(window));
        let longest = LongestAnswers {
            window,
            current_window_ms: took_ms,
            previous_window_ms: 0,
        };
        self.by_route.insert(route.to_owned(), longest);
    }

    /// The maximum expected duration of an answer, in milliseconds. It is at most `limit_ms`, the
    /// request's limit, which is also returned for a route without recent answers.
    #[must_use]
    pub fn max_expected_ms(&self, route: &str, limit_ms: u64, now_ms: u64) -> u64 {
        let longest = self.by_route.get(route);
        let longest = longest.and_then(|longest| longest.longest_at(now_ms / WINDOW_MS));
        longest.map_or(limit_ms, |longest_ms| {
            let with_margin = (longest_ms as f64 * SAFETY_FACTOR).ceil() as u64;
            with_margin.min(limit_ms)
        })
    }
}

impl LongestAnswers {
    fn is_recent_in(&self, window: u64) -> bool {
        self.window + 1 >= window
    }

    fn advance_to(&mut self, window: u64) {
        if window <= self.window {
            return;
        }
        let is_next = self.is_recent_in(window);
        self.previous_window_ms = if is_next { self.current_window_ms } else { 0 };
        self.current_window_ms = 0;
        self.window = window;
    }

    fn longest_at(mut self, window: u64) -> Option<u64> {
        if !self.is_recent_in(window) {
            return None;
        }
        self.advance_to(window);
        Some(self.current_window_ms.max(self.previous_window_ms))
    }
}
