//! Flow control of append messages to one member.

use std::collections::VecDeque;

use linnethitch_protocol::ids::LogIndex;

/// An unacknowledged append message.
struct InflightAppend {
    last_index: LogIndex,
    bytes: usize,
}

/// The unacknowledged append messages to one member.
#[derive(Default)]
pub(crate) struct InflightAppends {
    appends: VecDeque<InflightAppend>,
    bytes: usize,
}

impl InflightAppends {
    /// Whether another message may be sent. With nothing in flight a message of any size may.
    pub(crate) fn has_capacity(&self, max_appends: usize, max_bytes: usize) -> bool {
        self.appends.is_empty() || (self.appends.len() < max_appends && self.bytes < max_bytes)
    }

    pub(crate) fn add(&mut self, last_index: LogIndex, bytes: usize) {
        self.bytes += bytes;
        self.appends.push_back(InflightAppend { last_index, bytes });
    }

    /// Removes the messages whose entries are all acknowledged.
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
