//! Counting what ran, so that tests can prove at-most-once.

use std::{collections::HashMap, collections::VecDeque};

/// Keys remembered; the oldest is forgotten beyond that.
const MAX_KEYS: usize = 1_000_000;

/// How often each key was started, for the newest keys.
#[derive(Debug, Default)]
pub(crate) struct Executions {
    counts: HashMap<String, u64>,
    order: VecDeque<String>,
    total: u64,
}

impl Executions {
    /// Counts one start.
    pub(crate) fn record(&mut self, key: &str) {
        self.total += 1;
        if let Some(count) = self.counts.get_mut(key) {
            *count += 1;
            return;
        }
        if self.order.len() >= MAX_KEYS
            && let Some(oldest) = self.order.pop_front()
        {
            self.counts.remove(&oldest);
        }
        self.counts.insert(key.to_owned(), 1);
        self.order.push_back(key.to_owned());
    }

    /// How often the key was started.
    pub(crate) fn of(&self, key: &str) -> u64 {
        self.counts.get(key).copied().unwrap_or(0)
    }

    /// All starts.
    pub(crate) fn total(&self) -> u64 {
        self.total
    }
}
