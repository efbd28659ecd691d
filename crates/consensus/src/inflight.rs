//! Append messages under way to one member.

use std::collections::VecDeque;

use linnethitch_protocol::ids::LogIndex;

/// One append message.
struct InflightAppend {
    last_index: LogIndex,
    bytes: usize,
}

/// The append messages that are not yet acknowledged.
#[derive(Default)]
pub(crate) struct InflightAppends {
    appends: VecDeque<InflightAppend>,
    bytes: usize,
}

impl InflightAppends {
    /// Whether another message may be sent; one always may when none is under way.
    pub(crate) fn has_room(&self, max_appends: usize, max_bytes: usize) -> bool {
        self.appends.is_empty() || (self.appends.len() < max_appends && self.bytes < max_bytes)
    }

    pub(crate) fn add(&mut self, last_index: LogIndex, bytes: usize) {
        self.bytes += bytes;
        self.appends.push_back(InflightAppend { last_index, bytes });
    }

    /// Frees the messages whose entries are all acknowledged.
    pub(crate) fn acknowledge(&mut self, matched: LogIndex) {
        while let Some(append) = self.appends.front()
            && append.last_index <= matched
        {
            self.bytes -= append.bytes;
            self.appends.pop_front();
        }
    }

    pub(crate) fn clear(&mut self) {
        self.appends.clear();
        self.bytes = 0;
    }
}
