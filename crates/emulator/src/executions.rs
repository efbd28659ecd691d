//! Counts of executions, with which tests check at-most-once execution.

use std::{collections::HashMap, collections::VecDeque};

/// Maximum number of stored keys; the oldest key is removed when it is exceeded.
const MAX_KEYS: usize = 1_000_000;

/// Number of starts of each of the newest keys.
#[derive(Debug, Default)]
pub(crate) struct Executions {
    counts: HashMap<String, u64>,
    order: VecDeque<String>,
    total: u64,
    incomplete: bool,
}

impl Executions {
    /// Counts a start of the key.
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
            self.incomplete = true;
        }
        self.counts.insert(key.to_owned(), 1);
        self.order.push_back(key.to_owned());
    }

    /// Number of starts of the key; zero if the key was removed.
    pub(crate) fn count(&self, key: &str) -> u64 {
        self.counts.get(key).copied().unwrap_or(0)
    }

    /// Whether a key was removed, so that a count of zero proves nothing.
    pub(crate) fn is_incomplete(&self) -> bool {
        self.incomplete
    }

    /// Number of starts of all keys, including removed ones.
    pub(crate) fn total(&self) -> u64 {
        self.total
    }
}
