//! The node's read access to the log and snapshots that the driver stores.

use linnethitch_protocol::{
    consensus::{Entry, SnapshotMeta},
    ids::{LogIndex, Term},
};

/// A part of a stored snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotPiece {
    /// The bytes.
    pub data: Vec<u8>,
    /// Whether these are the last bytes of the snapshot.
    pub last: bool,
}

/// The log as the driver stores it: everything appended, whether synced or not.
pub trait LogView {
    /// The first index whose entry is stored; `last_index + 1` when the log is empty.
    fn first_index(&self) -> LogIndex;

    /// The last index stored; `first_index - 1` when the log is empty, 0 when it never
    /// had an entry.
    fn last_index(&self) -> LogIndex;

    /// The term of a stored entry, or of the entry just before `first_index`
    /// when a snapshot ends there. `None` for other indexes.
    fn term(&self, index: LogIndex) -> Option<Term>;

    /// Entries from `from` to `to_exclusive`, excluding the latter, of about
    /// `max_bytes` in total, but at least one entry when `from` is stored and below
    /// `to_exclusive`. Empty when `from` is not stored.
    fn entries(&self, from: LogIndex, to_exclusive: LogIndex, max_bytes: usize) -> Vec<Entry>;

    /// Index, term and membership of the newest stored snapshot; index 0 if there is none.
    fn snapshot_meta(&self) -> SnapshotMeta;

    /// At most `max_bytes` of the snapshot from `offset`. `None` when the snapshot
    /// is no longer stored or `offset` is past its end; an empty last piece when
    /// `offset` is exactly its end.
    fn snapshot_chunk(
        &self,
        meta: &SnapshotMeta,
        offset: u64,
        max_bytes: usize,
    ) -> Option<SnapshotPiece>;
}
