//! The durable log and snapshots, with the read access that consensus needs.

use std::cell::RefCell;

use error_stack::Report;
use linnethitch_consensus::{LogView, SnapshotPiece};
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    consensus::{Entry, SnapshotMeta},
    ids::{LogIndex, Term},
};
use linnethitch_storage::{log::Log, snapshot::SnapshotStore};

/// The log and snapshots of one member.
pub(crate) struct LogStore {
    pub(crate) log: Log,
    pub(crate) snapshots: SnapshotStore,
    /// The first read error since the last check; consensus receives an empty result
    /// instead.
    read_failure: RefCell<Option<Report<ErrorKind>>>,
}

impl LogStore {
    pub(crate) fn new(log: Log, snapshots: SnapshotStore) -> Self {
        LogStore {
            log,
            snapshots,
            read_failure: RefCell::new(None),
        }
    }

    /// Returns the first read error since the last call, if any.
    pub(crate) fn check_reads(&self) -> Result<(), Report<ErrorKind>> {
        self.read_failure.take().map_or(Ok(()), Err)
    }

    /// Index of the newest snapshot; 0 if there is none.
    pub(crate) fn newest_snapshot(&self) -> LogIndex {
        let latest = self.snapshots.latest();
        latest.map_or(LogIndex(0), |info| info.meta.index)
    }

    fn record_failure(&self, report: Report<ErrorKind>) {
        self.read_failure.borrow_mut().get_or_insert(report);
    }
}

impl LogView for LogStore {
    fn first_index(&self) -> LogIndex {
        self.log.first_index()
    }

    fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    fn term(&self, index: LogIndex) -> Option<Term> {
        self.log.term(index)
    }

    fn entries(&self, from: LogIndex, to_exclusive: LogIndex, max_bytes: usize) -> Vec<Entry> {
        let is_stored = self.first_index() <= from && from <= self.last_index();
        if !is_stored || from >= to_exclusive {
            return Vec::new();
        }
        match self.log.entries(from, to_exclusive, max_bytes) {
            Ok(entries) => entries,
            Err(report) => {
                self.record_failure(report);
                Vec::new()
            }
        }
    }

    fn snapshot_meta(&self) -> SnapshotMeta {
        let latest = self.snapshots.latest();
        latest.map(|info| info.meta.clone()).unwrap_or_default()
    }

    fn snapshot_chunk(
        &self,
        meta: &SnapshotMeta,
        offset: u64,
        max_bytes: usize,
    ) -> Option<SnapshotPiece> {
        let info = self.snapshots.find(meta.index)?;
        if info.meta != *meta || offset >= info.file_bytes {
            return None;
        }
        match self.snapshots.read_chunk(meta.index, offset, max_bytes) {
            Ok((data, last)) => Some(SnapshotPiece { data, last }),
            Err(report) => {
                self.record_failure(report);
                None
            }
        }
    }
}
