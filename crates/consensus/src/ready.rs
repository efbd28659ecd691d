//! What the driver has to store, send and apply.

use linnethitch_protocol::{
    consensus::{ConsensusMessage, Entry, HardState, SnapshotMeta},
    ids::{LogIndex, MemberId},
};

/// A read that may be answered once the state machine has reached an index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfirmedRead {
    /// What the caller passed to [`crate::Node::read_index`].
    pub context: u64,
    /// The state machine must have applied this index before it answers.
    pub index: LogIndex,
}

/// A piece of a snapshot that was received and must be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedChunk {
    /// The member that sends the snapshot.
    pub from: MemberId,
    /// What the snapshot stands for.
    pub meta: SnapshotMeta,
    /// Where the piece belongs; 0 starts a new file and drops an unfinished one.
    pub offset: u64,
    /// The piece.
    pub data: Vec<u8>,
    /// Whether the snapshot is whole with this piece. The driver then installs
    /// it and calls [`crate::Node::report_snapshot_installed`] or
    /// [`crate::Node::report_snapshot_refused`].
    pub last: bool,
}

/// What has to be done before and after the next sync; see the crate's documentation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ready {
    /// Counts from 1; passed to [`crate::Node::advance`].
    pub number: u64,
    /// To be written when present.
    pub hard_state: Option<HardState>,
    /// Entries above this index are dropped from the log before `entries` are appended.
    pub truncate_after: Option<LogIndex>,
    /// To be appended to the log before the next call into the node.
    pub entries: Vec<Entry>,
    /// To be written to the snapshot being received.
    pub snapshot_chunks: Vec<ReceivedChunk>,
    /// Whether something must be synced before `messages_after_sync` are sent
    /// and `number` is advanced. Without it they may follow at once, yet
    /// never overtake those of an earlier `Ready`.
    pub must_sync: bool,
    /// May be sent at once.
    pub messages_before_sync: Vec<ConsensusMessage>,
    /// May be sent once this and every earlier `Ready` is synced.
    pub messages_after_sync: Vec<ConsensusMessage>,
    /// Entries up to this index are committed and synced here: they may be applied.
    pub committed: LogIndex,
    /// Reads that may be answered.
    pub confirmed_reads: Vec<ConfirmedRead>,
    /// Contexts of reads that cannot be confirmed here, since leadership was lost.
    pub refused_reads: Vec<u64>,
}

impl Ready {
    pub(crate) fn has_log_writes(&self) -> bool {
        self.truncate_after.is_some()
            || !self.entries.is_empty()
            || !self.snapshot_chunks.is_empty()
    }
}
