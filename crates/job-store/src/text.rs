//! Texts of results: in memory until a stored snapshot contains them.

use std::sync::Arc;

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_storage::SnapshotReader;
use rkyv::{Archive, Deserialize, Serialize};

/// Position of a text in the content of the newest stored snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub(crate) struct StoredText {
    /// Offset of the first byte.
    pub(crate) offset: u64,
    /// Length in bytes.
    pub(crate) bytes: u32,
}

/// The text of a result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Text {
    /// In memory.
    InMemory(Arc<str>),
    /// In the newest stored snapshot.
    Stored(StoredText),
}

impl Text {
    /// Length in bytes.
    pub(crate) fn bytes(&self) -> usize {
        match self {
            Text::InMemory(text) => text.len(),
            Text::Stored(stored) => stored.bytes as usize,
        }
    }

    /// Bytes of the text in memory.
    pub(crate) fn in_memory_bytes(&self) -> usize {
        match self {
            Text::InMemory(text) => text.len(),
            Text::Stored(_) => 0,
        }
    }

    /// Returns the text, read from `snapshot` if it is not in memory.
    ///
    /// # Errors
    /// `Corrupted` when the text is not at its position or is not UTF-8, `Io`.
    pub(crate) fn read(
        &self,
        snapshot: Option<&SnapshotReader>,
    ) -> Result<String, Report<ErrorKind>> {
        let stored = match self {
            Text::InMemory(text) => return Ok(text.as_ref().to_owned()),
            Text::Stored(stored) if stored.bytes == 0 => return Ok(String::new()),
            Text::Stored(stored) => stored,
        };
        let missing = || {
            Report::new(ErrorKind::Corrupted).attach("no snapshot for the stored text of a result")
        };
        let snapshot = snapshot.ok_or_else(missing)?;
        let bytes = snapshot.read(stored.offset, stored.bytes as usize)?;
        String::from_utf8(bytes).map_err(|_| {
            Report::new(ErrorKind::Corrupted).attach("the stored text of a result is not UTF-8")
        })
    }
}
