//! The log as the node sees it: the entries stored by the driver, followed by
//! those that the next `Ready` will contain.

use linnethitch_protocol::{
    consensus::{Entry, EntryPayload},
    ids::{LogIndex, Term},
};

use crate::log_view::LogView;

/// Counted size of an entry besides its command, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// The size of an entry as counted against limits.
pub(crate) fn entry_bytes(entry: &Entry) -> usize {
    let payload = match &entry.payload {
        EntryPayload::Command(command) => command.len(),
        EntryPayload::Empty | EntryPayload::Membership(..) => 0,
    };
    payload + ENTRY_OVERHEAD_BYTES
}

/// Entries not yet passed to the driver, following the valid part of the driver's log.
pub(crate) struct PendingLog {
    stored_last: LogIndex,
    truncated: bool,
    entries: Vec<Entry>,
    last_term: Term,
}

/// Changes that the driver must make to its log.
pub(crate) struct LogChange {
    pub(crate) truncate_after: Option<LogIndex>,
    pub(crate) entries: Vec<Entry>,
}

impl PendingLog {
    /// Starts without pending entries.
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

    /// The term of an index; 0 for index 0, `None` when the log does not have the entry.
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

    /// Entries from an index on, of about `max_bytes` but at least one; empty
    /// when the index is below the first or above the last of the log.
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

    /// Removes all entries above an index.
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

    /// Returns the pending changes for the driver; the entries then count as stored.
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
        let mut remaining = max_bytes;
        let mut taken = Vec::new();
        for entry in self.entries.iter().skip(self.offset(from)) {
            let Some(after) = remaining.checked_sub(entry_bytes(entry)) else {
                break;
            };
            remaining = after;
            taken.push(entry.clone());
        }
        taken
    }
}
