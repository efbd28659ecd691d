//! Work for the driver: what to store, send and apply.

use linnethitch_protocol::{
    consensus::{ConsensusMessage, Entry, HardState, SnapshotMeta},
    ids::{LogIndex, MemberId},
};

/// A linearizable read that may be answered once the state machine has applied an index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfirmedRead {
    /// The value that the caller passed to [`crate::Node::read_index`].
    pub context: u64,
    /// The state machine must have applied this index before the read is answered.
    pub index: LogIndex,
}

/// A received snapshot chunk that must be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedChunk {
    /// The member that sends the snapshot.
    pub from: MemberId,
    /// Index, term and membership of the snapshot.
    pub meta: SnapshotMeta,
    /// Offset of the chunk, in bytes; 0 starts a new file and discards an incomplete one.
    pub offset: u64,
    /// The bytes of the chunk.
    pub data: Vec<u8>,
    /// Whether this chunk completes the snapshot. The driver then installs the
    /// snapshot and calls [`crate::Node::report_snapshot_installed`] or
    /// [`crate::Node::report_snapshot_refused`].
    pub last: bool,
}

/// Work to be done before and after the next sync; see the crate's documentation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ready {
    /// Sequence number from 1, to be passed to [`crate::Node::advance`].
    pub number: u64,
    /// The hard state to be written, if it changed.
    pub hard_state: Option<HardState>,
    /// Entries above this index must be removed from the log before `entries` are appended.
    pub truncate_after: Option<LogIndex>,
    /// Entries to be appended to the log before the next call into the node.
    pub entries: Vec<Entry>,
    /// Chunks to be written to the snapshot being received.
    pub snapshot_chunks: Vec<ReceivedChunk>,
    /// Whether a sync is required before `messages_after_sync` are sent and
    /// `number` is passed to `advance`. If not, both may happen at once, but never
    /// before those of an earlier `Ready`.
    pub must_sync: bool,
    /// Messages that may be sent at once.
    pub messages_before_sync: Vec<ConsensusMessage>,
    /// Messages that may be sent once this and every earlier `Ready` is synced.
    pub messages_after_sync: Vec<ConsensusMessage>,
    /// Entries up to this index are committed and synced on this member, and may be applied.
    pub committed: LogIndex,
    /// Confirmed reads, which may be answered.
    pub confirmed_reads: Vec<ConfirmedRead>,
    /// Contexts of reads that cannot be confirmed because leadership was lost.
    pub refused_reads: Vec<u64>,
}

impl Ready {
    pub(crate) fn has_log_writes(&self) -> bool {
        self.truncate_after.is_some()
            || !self.entries.is_empty()
            || !self.snapshot_chunks.is_empty()
    }
}
