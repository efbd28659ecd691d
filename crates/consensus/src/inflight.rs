//! Append messages under way to one member.

use std::collections::VecDeque;

use linnethitch_protocol::ids::LogIndex;

/// The last index of each append message that is not yet acknowledged.
#[derive(Default)]
pub(crate) struct InflightAppends {
    last_indexes: VecDeque<LogIndex>,
}

impl InflightAppends {
    pub(crate) fn len(&self) -> usize {
        self.last_indexes.len()
    }

    pub(crate) fn add(&mut self, last_index: LogIndex) {
        self.last_indexes.push_back(last_index);
    }

    /// Frees the messages whose entries are all acknowledged.
    pub(crate) fn acknowledge(&mut self, matched: LogIndex) {
        while self
            .last_indexes
            .front()
            .is_some_and(|last| *last <= matched)
        {
            self.last_indexes.pop_front();
        }
    }

    pub(crate) fn clear(&mut self) {
        self.last_indexes.clear();
    }
}
