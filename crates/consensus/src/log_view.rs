//! The node's view of the log that the driver stores.

use linnethitch_protocol::{
    consensus::{Entry, SnapshotMeta},
    ids::{LogIndex, Term},
};

/// A piece of a stored snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotPiece {
    /// The bytes.
    pub data: Vec<u8>,
    /// Whether the snapshot ends with them.
    pub last: bool,
}

/// The log as the driver holds it: everything appended, synced or about to be.
pub trait LogView {
    /// The first index whose entry is held; one above the last index when the log is empty.
    fn first_index(&self) -> LogIndex;

    /// The last index held; `first_index - 1` when the log is empty, 0 when it never held any.
    fn last_index(&self) -> LogIndex;

    /// The term of an entry, also of the one just before `first_index`
    /// when a snapshot ends there. `None` outside of that.
    fn term(&self, index: LogIndex) -> Option<Term>;

    /// Entries from `from` up to and without `to_exclusive`, of about
    /// `max_bytes` in all, but at least one when `from` is held and lies below
    /// `to_exclusive`. Empty when `from` is not held.
    fn entries(&self, from: LogIndex, to_exclusive: LogIndex, max_bytes: usize) -> Vec<Entry>;

    /// What the newest stored snapshot stands for; index 0 when there is none.
    fn snapshot_meta(&self) -> SnapshotMeta;

    /// Bytes of the snapshot from `offset`, at most `max_bytes`. `None` when
    /// the snapshot is not stored any more or `offset` lies beyond its end; at
    /// its very end an empty last piece.
    fn snapshot_chunk(
        &self,
        meta: &SnapshotMeta,
        offset: u64,
        max_bytes: usize,
    ) -> Option<SnapshotPiece>;
}
