//! In-memory cache of the newest entries, with a byte limit.

use std::collections::VecDeque;

use linnethitch_protocol::{
    consensus::{Entry, EntryPayload},
    ids::LogIndex,
};

/// Bytes of memory counted for an entry in addition to its payload.
const ENTRY_OVERHEAD_BYTES: usize = 64;

/// Cache of the newest entries of the log.
pub(crate) struct EntryCache {
    entries: VecDeque<Entry>,
    bytes: usize,
    max_bytes: usize,
}

/// Bytes of memory counted for an entry.
pub(crate) fn entry_bytes(entry: &Entry) -> usize {
    let payload = match &entry.payload {
        EntryPayload::Command(command) => command.len(),
        EntryPayload::Empty | EntryPayload::Membership(..) => 0,
    };
    payload + ENTRY_OVERHEAD_BYTES
}

impl EntryCache {
    pub(crate) fn new(max_bytes: usize) -> Self {
        EntryCache {
            entries: VecDeque::new(),
            bytes: 0,
            max_bytes,
        }
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        self.bytes += entry_bytes(&entry);
        self.entries.push_back(entry);
    }

    pub(crate) fn get(&self, index: LogIndex) -> Option<&Entry> {
        let first = self.entries.front()?.index;
        let position = index.0.checked_sub(first.0)?;
        self.entries.get(usize::try_from(position).ok()?)
    }

    /// Drops the oldest synced entries until the byte limit is met.
    pub(crate) fn evict(&mut self, synced: LogIndex) {
        while self.bytes > self.max_bytes {
            match self.entries.front() {
                Some(entry) if entry.index <= synced => self.pop_front(),
                _ => return,
            }
        }
    }

    pub(crate) fn truncate_after(&mut self, index: LogIndex) {
        while self.entries.back().is_some_and(|entry| entry.index > index) {
            if let Some(entry) = self.entries.pop_back() {
                self.bytes -= entry_bytes(&entry);
            }
        }
    }

    pub(crate) fn drop_through(&mut self, index: LogIndex) {
        while self
            .entries
            .front()
            .is_some_and(|entry| entry.index <= index)
        {
            self.pop_front();
        }
    }

    pub(crate) fn clear(&mut self) {
        self.entries.clear();
        self.bytes = 0;
    }

    fn pop_front(&mut self) {
        if let Some(entry) = self.entries.pop_front() {
            self.bytes -= entry_bytes(&entry);
        }
    }
}
