//! Ids of requests that were withdrawn before they arrived.

use std::collections::HashSet;

/// Withdrawn ids, up to a maximum. Requests with these ids are refused, as promised to whoever
/// withdrew them, so that none is forgotten.
#[derive(Debug)]
pub(super) struct WithdrawnIds {
    ids: HashSet<String>,
    max_ids: usize,
}

impl WithdrawnIds {
    /// No ids yet.
    pub(super) fn new(max_ids: usize) -> Self {
        WithdrawnIds {
            ids: HashSet::new(),
            max_ids,
        }
    }

    /// Adds an id; false if there is no room for it, so that its request is not refused.
    pub(super) fn insert(&mut self, id: &str) -> bool {
        if self.ids.len() >= self.max_ids && !self.ids.contains(id) {
            return false;
        }
        self.ids.insert(id.to_owned());
        true
    }

    /// Whether the id was withdrawn.
    pub(super) fn contains(&self, id: &str) -> bool {
        self.ids.contains(id)
    }

    /// Forgets all ids: a restarted process does not know them.
    pub(super) fn clear(&mut self) {
        self.ids.clear();
    }
}
