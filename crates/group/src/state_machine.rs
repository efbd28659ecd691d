//! What a replicated group replicates.

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{format::Format, ids::LogIndex};
use linnethitch_storage::SnapshotReader;

/// A deterministic state machine. Members that applied the same entries hold
/// the same state, so nothing here may read a clock or a random source.
pub trait StateMachine: Sized {
    /// What applying a command answers to the member that proposed it.
    type Answer;
    /// The state at one index, written to a snapshot while the state goes on.
    type Snapshot: SnapshotSource;

    /// Applies a committed command.
    ///
    /// # Errors
    /// `Corrupted` when the command cannot be decoded; the member stops then.
    fn apply(&mut self, index: LogIndex, command: &[u8])
    -> Result<Self::Answer, Report<ErrorKind>>;

    /// The whole state as of now; later commands do not change it.
    ///
    /// # Errors
    /// `Internal` when it cannot be encoded.
    fn begin_snapshot(&self) -> Result<Self::Snapshot, Report<ErrorKind>>;

    /// A snapshot is stored: what it holds may be read from there from now on,
    /// and must not be read from the one before it any more.
    fn snapshot_stored(&mut self, snapshot: Self::Snapshot, content: SnapshotReader) {
        drop((snapshot, content));
    }

    /// The newest format that any entry or snapshot of this state had: every member of the
    /// group reads it, and none that does not may join.
    fn format(&self) -> Format {
        Format::NEWEST
    }

    /// The state of a stored snapshot.
    ///
    /// # Errors
    /// `Corrupted` when the content is no snapshot of this state machine, `Io`.
    fn from_snapshot(content: SnapshotReader) -> Result<Self, Report<ErrorKind>>;
}

/// The content of a snapshot, piece by piece.
pub trait SnapshotSource {
    /// The next piece; `None` at the end. A piece is held in memory whole.
    ///
    /// # Errors
    /// `Corrupted` or `Io` when a piece cannot be read.
    fn next_piece(&mut self) -> Result<Option<Vec<u8>>, Report<ErrorKind>>;
}

/// A snapshot small enough to be one piece.
#[derive(Clone, Debug)]
pub struct InMemorySnapshot(Option<Vec<u8>>);

impl InMemorySnapshot {
    /// A snapshot of this content.
    #[must_use]
    pub fn new(content: Vec<u8>) -> Self {
        InMemorySnapshot(Some(content))
    }
}

impl SnapshotSource for InMemorySnapshot {
    fn next_piece(&mut self) -> Result<Option<Vec<u8>>, Report<ErrorKind>> {
        Ok(self.0.take())
    }
}

/// Reads a snapshot of one piece.
///
/// # Errors
/// `Corrupted` when the file ends early, `Io`.
pub fn read_full_snapshot(content: &SnapshotReader) -> Result<Vec<u8>, Report<ErrorKind>> {
    content.read(0, content.content_bytes() as usize)
}
