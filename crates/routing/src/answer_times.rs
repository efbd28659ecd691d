//! How long requests take, for a gateway with a planned stop: which of them may still begin.

use std::collections::HashMap;

/// Length of a window, in milliseconds; an answer counts in its own and in the next window.
const WINDOW_MS: u64 = 30_000;
/// Factor on the expected time of a request that may run again elsewhere.
const REPEATABLE_FACTOR: f64 = 1.25;
/// Factor on the expected time of a request that may run once only: its answer must not be cut
/// even if its replica becomes slower than any was.
const UNREPEATABLE_FACTOR: f64 = 2.0;

/// A request that may begin while its gateway stops.
#[derive(Clone, Debug)]
pub struct StopRequest<'a> {
    /// Name of its route.
    pub route: &'a str,
    /// The services that may serve it.
    pub services: Vec<&'a str>,
    /// Time until it ends by itself, at the caller's deadline or the route's time-out, in
    /// milliseconds.
    pub limit_ms: u64,
    /// Maximum number of tokens that it generates; 0 if it does not say.
    pub max_output_tokens: u32,
    /// Target time until its answer begins, in milliseconds.
    pub target_ms: u64,
    /// Whether it may run again elsewhere after its answer was cut.
    pub is_repeatable: bool,
}

/// Recent answer times.
#[derive(Clone, Debug, Default)]
pub struct AnswerTimes {
    /// The longest answer of each route, in milliseconds.
    longest_ms: RecentMaxima,
    /// The longest time of each service for a token that a request asked for, in microseconds.
    token_us: RecentMaxima,
}

impl AnswerTimes {
    /// Records the duration of an answer of a service, from the arrival of the request to the end
    /// of the answer, to a request for this number of tokens; 0 if it did not say.
    pub fn record(
        &mut self,
        route: &str,
        service: &str,
        max_output_tokens: u32,
        took_ms: u64,
        now_ms: u64,
    ) {
        let window = now_ms / WINDOW_MS;
        self.longest_ms.record(route, took_ms, window);
        if max_output_tokens > 0 {
            let token_us = took_ms * 1_000 / u64::from(max_output_tokens);
            self.token_us.record(service, token_us, window);
        }
    }

    /// Whether a request may begin when its answer must be complete within this time.
    ///
    /// It may if it ends by itself until then, which is certain. Otherwise what it asks for is
    /// compared with recent answers. A request that may run once only must say how many tokens it
    /// generates: the answers of others do not bound its own.
    #[must_use]
    pub fn may_begin(&self, request: &StopRequest<'_>, remaining_ms: u64, now_ms: u64) -> bool {
        if request.limit_ms <= remaining_ms {
            return true;
        }
        let expected_ms = self.expected_ms(request, now_ms);
        let factor = if request.is_repeatable {
            REPEATABLE_FACTOR
        } else {
            UNREPEATABLE_FACTOR
        };
        expected_ms.is_some_and(|expected_ms| expected_ms as f64 * factor <= remaining_ms as f64)
    }

    /// The expected duration of a request; `None` if nothing is known of it.
    fn expected_ms(&self, request: &StopRequest<'_>, now_ms: u64) -> Option<u64> {
        let window = now_ms / WINDOW_MS;
        if request.max_output_tokens == 0 {
            let longest_ms = self.longest_ms.at(request.route, window);
            return longest_ms.filter(|_| request.is_repeatable);
        }
        let services = request.services.iter();
        let token_us: Option<Vec<u64>> = services
            .map(|service| self.token_us.at(service, window))
            .collect();
        let slowest_us = token_us?.into_iter().max()?;
        let generation_ms = slowest_us * u64::from(request.max_output_tokens) / 1_000;
        Some(generation_ms.max(request.target_ms))
    }
}

/// The largest recent value of each name.
#[derive(Clone, Debug, Default)]
struct RecentMaxima {
    by_name: HashMap<String, WindowedMaximum>,
}

impl RecentMaxima {
    fn record(&mut self, name: &str, value: u64, window: u64) {
        if let Some(maximum) = self.by_name.get_mut(name) {
            return maximum.record(value, window);
        }
        // Drops names without a recent value, such as removed routes.
        self.by_name
            .retain(|_, maximum| maximum.at(window).is_some());
        let mut maximum = WindowedMaximum::default();
        maximum.record(value, window);
        self.by_name.insert(name.to_owned(), maximum);
    }

    fn at(&self, name: &str, window: u64) -> Option<u64> {
        self.by_name.get(name)?.at(window)
    }
}

/// The largest value of the newest window with one, and of the window before.
#[derive(Clone, Copy, Debug, Default)]
struct WindowedMaximum {
    /// Number of the newest window with a value.
    window: u64,
    current: Option<u64>,
    previous: Option<u64>,
}

impl WindowedMaximum {
    fn record(&mut self, value: u64, window: u64) {
        self.advance_to(window);
        self.current = self.current.max(Some(value));
    }

    /// The largest value in this window and the one before.
    fn at(mut self, window: u64) -> Option<u64> {
        self.advance_to(window);
        self.current.max(self.previous)
    }

    fn advance_to(&mut self, window: u64) {
        if window <= self.window {
            return;
        }
        let is_next = self.window + 1 == window;
        self.previous = self.current.take().filter(|_| is_next);
        self.window = window;
    }
}
