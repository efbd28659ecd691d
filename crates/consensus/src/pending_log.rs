//! The log as the node sees it: what the driver holds and what the next
//! `Ready` will hand over.

use linnethitch_protocol::{
    consensus::{Entry, EntryPayload},
    ids::{LogIndex, Term},
};

use crate::log_view::LogView;

/// What an entry weighs besides its command, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// The size of an entry as limits count it.
pub(crate) fn entry_bytes(entry: &Entry) -> usize {
    let payload = match &entry.payload {
        EntryPayload::Command(command) => command.len(),
        EntryPayload::Empty | EntryPayload::Membership(..) => 0,
    };
    payload + ENTRY_OVERHEAD_BYTES
}

/// Entries to hand over, on top of the valid part of the driver's log.
pub(crate) struct PendingLog {
    stored_last: LogIndex,
    truncated: bool,
    entries: Vec<Entry>,
    last_term: Term,
}

/// What the driver has to do to its log.
pub(crate) struct LogChange {
    pub(crate) truncate_after: Option<LogIndex>,
    pub(crate) entries: Vec<Entry>,
}

impl PendingLog {
    /// Starts with the driver's log as it is.
    pub(crate) fn new(log: &dyn LogView) -> Self {
        let last = log.last_index();
        PendingLog {
            stored_last: last,
            truncated: false,
            entries: Vec::new(),
            last_term: log.term(last).unwrap_or_default(),
        }
    }

    pub(crate) fn last_index(&self) -> LogIndex {
        LogIndex(self.stored_last.0 + self.entries.len() as u64)
    }

    pub(crate) fn last_term(&self) -> Term {
        self.last_term
    }

    /// The term of an index; 0 for index 0, `None` when it is not held.
    pub(crate) fn term(&self, index: LogIndex, log: &dyn LogView) -> Option<Term> {
        if index.0 == 0 {
            return Some(Term(0));
        }
        if index == self.last_index() {
            return Some(self.last_term);
        }
        if index <= self.stored_last {
            return log.term(index);
        }
        self.entries.get(self.offset(index)).map(|entry| entry.term)
    }

    /// Entries from an index, of about `max_bytes` but at least one; empty
    /// when the index is below the log's start or above its end.
    pub(crate) fn entries(
        &self,
        from: LogIndex,
        max_bytes: usize,
        log: &dyn LogView,
    ) -> Vec<Entry> {
        if from > self.stored_last {
            return self.pending_from(from, max_bytes);
        }
        if from < log.first_index() {
            return Vec::new();
        }
        let end = LogIndex(self.stored_last.0 + 1);
        let mut entries = log.entries(from, end, max_bytes);
        let bytes: usize = entries.iter().map(entry_bytes).sum();
        let reached_end = entries.last().is_some_and(|last| last.index.0 + 1 == end.0);
        if reached_end && bytes < max_bytes {
            entries.extend(self.pending_within(end, max_bytes - bytes));
        }
        entries
    }

    pub(crate) fn append(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index.0, self.last_index().0 + 1);
        self.last_term = entry.term;
        self.entries.push(entry);
    }

    /// Drops everything above an index.
    pub(crate) fn truncate_after(&mut self, index: LogIndex, log: &dyn LogView) {
        let term = self.term(index, log).unwrap_or_default();
        if index >= self.stored_last {
            self.entries
                .truncate((index.0 - self.stored_last.0) as usize);
        } else {
            self.entries.clear();
            self.stored_last = index;
            self.truncated = true;
        }
        self.last_term = term;
    }

    /// Takes what the driver has to do; from here on it counts as stored.
    pub(crate) fn take(&mut self) -> LogChange {
        let truncate_after = self.truncated.then_some(self.stored_last);
        self.stored_last = self.last_index();
        self.truncated = false;
        LogChange {
            truncate_after,
            entries: std::mem::take(&mut self.entries),
        }
    }

    fn offset(&self, index: LogIndex) -> usize {
        (index.0 - self.stored_last.0 - 1) as usize
    }

    fn pending_from(&self, from: LogIndex, max_bytes: usize) -> Vec<Entry> {
        let offset = self.offset(from);
        match self.entries.get(offset) {
            Some(first) if entry_bytes(first) > max_bytes => vec![first.clone()],
            Some(_) => self.pending_within(from, max_bytes),
            None => Vec::new(),
        }
    }

    fn pending_within(&self, from: LogIndex, max_bytes: usize) -> Vec<Entry> {
        let mut left = max_bytes;
        let mut taken = Vec::new();
        for entry in self.entries.iter().skip(self.offset(from)) {
            let Some(rest) = left.checked_sub(entry_bytes(entry)) else {
                break;
            };
            left = rest;
            taken.push(entry.clone());
        }
        taken
    }
}
