//! The interface between a group member and its state machine.

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{format::Format, ids::LogIndex};
use linnethitch_storage::SnapshotReader;

/// A deterministic state machine. Members that applied the same entries must have the
/// same state, so an implementation must not read a clock or a random source.
pub trait StateMachine: Sized {
    /// The result of applying a command, returned to the member that proposed it.
    type Answer;
    /// The state at one index, written to a snapshot while further commands are applied.
    type Snapshot: SnapshotSource;

    /// Applies a committed command.
    ///
    /// # Errors
    /// `Corrupted` if the command cannot be decoded; the member then stops.
    fn apply(&mut self, index: LogIndex, command: &[u8])
    -> Result<Self::Answer, Report<ErrorKind>>;

    /// A snapshot of the complete current state; later commands do not change it.
    ///
    /// # Errors
    /// `Internal` if the state cannot be encoded.
    fn begin_snapshot(&self) -> Result<Self::Snapshot, Report<ErrorKind>>;

    /// Called when a snapshot is stored. The state may read the snapshot's content
    /// from now on, and must no longer read the content of the previous snapshot.
    fn snapshot_stored(&mut self, snapshot: Self::Snapshot, content: SnapshotReader) {
        drop((snapshot, content));
    }

    /// The newest format of any entry or snapshot of this state. Every member of the group
    /// can read this format, and a machine that cannot must not join.
    fn format(&self) -> Format {
        Format::NEWEST
    }

    /// Restores the state from a stored snapshot.
    ///
    /// # Errors
    /// `Corrupted` if the content is not a snapshot of this state machine, `Io`.
    fn from_snapshot(content: SnapshotReader) -> Result<Self, Report<ErrorKind>>;
}

/// The content of a snapshot, read in pieces.
pub trait SnapshotSource {
    /// The next piece; `None` at the end. Each piece must fit into memory.
    ///
    /// # Errors
    /// `Corrupted` or `Io` if a piece cannot be read.
    fn next_piece(&mut self) -> Result<Option<Vec<u8>>, Report<ErrorKind>>;
}

/// A snapshot that consists of a single piece in memory.
#[derive(Clone, Debug)]
pub struct InMemorySnapshot(Option<Vec<u8>>);

impl InMemorySnapshot {
    /// A snapshot with this content.
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

/// Reads the complete content of a snapshot into memory.
///
/// # Errors
/// `Corrupted` if the file is truncated, `Io`.
pub fn read_full_snapshot(content: &SnapshotReader) -> Result<Vec<u8>, Report<ErrorKind>> {
    content.read(0, content.content_bytes() as usize)
}
