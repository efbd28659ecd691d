//! The log and the snapshots on disk, as read by consensus.

use std::cell::{Cell, RefCell};

use error_stack::Report;
use linnethitch_consensus::{LogView, SnapshotPiece};
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    consensus::{Entry, SnapshotMeta},
    ids::{LogIndex, Term},
};
use linnethitch_storage::{SnapshotInfo, log::Log, snapshot::SnapshotStore};

/// Log and snapshots of one member.
pub(crate) struct LogStore {
    pub(crate) log: Log,
    pub(crate) snapshots: SnapshotStore,
    /// Index of the snapshot that contains the payloads and can therefore be sent to others.
    sendable: Option<LogIndex>,
    /// Whether consensus needed a snapshot to send and none contained the payloads.
    missed: Cell<bool>,
    /// The first failed read, for which consensus got an empty result.
    read_failure: RefCell<Option<Report<ErrorKind>>>,
}

impl LogStore {
    pub(crate) fn new(log: Log, snapshots: SnapshotStore) -> Self {
        LogStore {
            log,
            snapshots,
            sendable: None,
            missed: Cell::new(false),
            read_failure: RefCell::new(None),
        }
    }

    /// Returns the error of the first read that failed since the last call.
    ///
    /// # Errors
    /// `Corrupted` if the checksum of an entry did not match, `Io`.
    pub(crate) fn check_reads(&self) -> Result<(), Report<ErrorKind>> {
        self.read_failure.take().map_or(Ok(()), Err)
    }

    /// Records that the snapshot at an index contains the payloads.
    pub(crate) fn set_sendable(&mut self, index: LogIndex) {
        self.sendable = Some(index);
    }

    /// Whether consensus has lacked a snapshot to send since the last call.
    pub(crate) fn take_missed(&self) -> bool {
        self.missed.take()
    }

    fn sendable(&self) -> Option<&SnapshotInfo> {
        self.sendable.and_then(|index| self.snapshots.find(index))
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
        self.sendable()
            .or_else(|| self.snapshots.latest())
            .map(|info| info.meta.clone())
            .unwrap_or_default()
    }

    fn snapshot_chunk(
        &self,
        meta: &SnapshotMeta,
        offset: u64,
        max_bytes: usize,
    ) -> Option<SnapshotPiece> {
        let Some(info) = self.sendable() else {
            self.missed.set(true);
            return None;
        };
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
