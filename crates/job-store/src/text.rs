//! Texts of results: in memory until a stored snapshot holds them.

use std::sync::Arc;

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_storage::SnapshotReader;
use rkyv::{Archive, Deserialize, Serialize};

/// Where a text lies in the content of the newest stored snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub(crate) struct StoredText {
    /// Its first byte.
    pub(crate) offset: u64,
    /// Its length in bytes.
    pub(crate) bytes: u32,
}

/// The text of a result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Text {
    /// In memory.
    Held(Arc<str>),
    /// In the newest stored snapshot.
    Stored(StoredText),
}

impl Text {
    /// Its length in bytes.
    pub(crate) fn bytes(&self) -> usize {
        match self {
            Text::Held(text) => text.len(),
            Text::Stored(stored) => stored.bytes as usize,
        }
    }

    /// What it takes of the memory, in bytes.
    pub(crate) fn held_bytes(&self) -> usize {
        match self {
            Text::Held(text) => text.len(),
            Text::Stored(_) => 0,
        }
    }

    /// The text itself.
    ///
    /// # Errors
    /// `Corrupted` when it is not where it should be, `Io`.
    pub(crate) fn read(
        &self,
        snapshot: Option<&SnapshotReader>,
    ) -> Result<String, Report<ErrorKind>> {
        let stored = match self {
            Text::Held(text) => return Ok(text.as_ref().to_owned()),
            Text::Stored(stored) if stored.bytes == 0 => return Ok(String::new()),
            Text::Stored(stored) => stored,
        };
        let missing = || Report::new(ErrorKind::Corrupted).attach("no snapshot holds the text");
        let snapshot = snapshot.ok_or_else(missing)?;
        let bytes = snapshot.read(stored.offset, stored.bytes as usize)?;
        String::from_utf8(bytes)
            .map_err(|_| Report::new(ErrorKind::Corrupted).attach("a stored text is not UTF-8"))
    }
}
