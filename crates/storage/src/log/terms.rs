//! Terms of the log's entries, run-length encoded: one element per term instead of per entry.

use linnethitch_protocol::ids::{LogIndex, Term};

/// Run-length encoded terms, oldest first.
#[derive(Clone, Debug)]
pub(crate) struct TermRuns {
    /// First index of each run and its term; the first run starts at the base index.
    runs: Vec<(LogIndex, Term)>,
    last: LogIndex,
}

impl TermRuns {
    /// Terms of an empty log after the base entry.
    pub(crate) fn new(base: LogIndex, term: Term) -> Self {
        TermRuns {
            runs: vec![(base, term)],
            last: base,
        }
    }

    pub(crate) fn base(&self) -> LogIndex {
        self.runs[0].0
    }

    pub(crate) fn last(&self) -> LogIndex {
        self.last
    }

    pub(crate) fn push(&mut self, index: LogIndex, term: Term) {
        if self.runs.last().is_none_or(|run| run.1 != term) {
            self.runs.push((index, term));
        }
        self.last = index;
    }

    /// The term of the base entry or a later one.
    pub(crate) fn term(&self, index: LogIndex) -> Option<Term> {
        if index < self.base() || index > self.last {
            return None;
        }
        let run = self.runs.partition_point(|run| run.0 <= index);
        Some(self.runs[run - 1].1)
    }

    pub(crate) fn truncate_after(&mut self, index: LogIndex) {
        let retained = self.runs.partition_point(|run| run.0 <= index).max(1);
        self.runs.truncate(retained);
        self.last = self.last.min(index);
    }

    /// Moves the base up to this index.
    pub(crate) fn compact_to(&mut self, index: LogIndex) {
        let run = self.runs.partition_point(|run| run.0 <= index).max(1) - 1;
        self.runs.drain(..run);
        self.runs[0].0 = index;
    }
}
