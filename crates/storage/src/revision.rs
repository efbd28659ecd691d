//! A small record that is replaced atomically.

use std::sync::Arc;

use error_stack::Report;
use linnethitch_errors::ErrorKind;

use crate::file_system::{FileSystem, OpenMode, StorageResult, read_file_bounded};

/// First bytes of the file.
const MAGIC: [u8; 4] = *b"LHR1";
/// Bytes before the content: magic, `u32` length, `u32` CRC-32 of the content.
const HEADER_BYTES: usize = 12;
/// Maximum content, in bytes.
pub const MAX_REVISION_BYTES: usize = 16 * 1024 * 1024;

/// A checksummed file that is replaced atomically by write, sync, rename and directory sync.
pub struct RevisionFile {
    file_system: Arc<dyn FileSystem>,
    path: String,
}

impl RevisionFile {
    /// Uses the file at this path, without reading or writing it.
    pub fn new(file_system: Arc<dyn FileSystem>, path: impl Into<String>) -> Self {
        RevisionFile {
            file_system,
            path: path.into(),
        }
    }

    /// The content stored last; `None` when the file does not exist.
    ///
    /// # Errors
    /// `Corrupted` when the file fails its check, `Io`.
    pub fn load(&self) -> StorageResult<Option<Vec<u8>>> {
        if !self.file_system.exists(&self.path)? {
            return Ok(None);
        }
        let max_bytes = (HEADER_BYTES + MAX_REVISION_BYTES) as u64;
        let bytes = read_file_bounded(self.file_system.as_ref(), &self.path, max_bytes)?;
        parse(&bytes).map(Some).ok_or_else(|| {
            Report::new(ErrorKind::Corrupted).attach(format!("{} fails its checksum", self.path))
        })
    }

    /// Replaces the content; durable on return.
    ///
    /// # Errors
    /// `StorageFull` (the old content remains), `BodyTooLarge`, `Io`.
    pub fn store(&self, content: &[u8]) -> StorageResult<()> {
        if content.len() > MAX_REVISION_BYTES {
            return Err(Report::new(ErrorKind::BodyTooLarge).attach(self.path.clone()));
        }
        let temporary = format!("{}.tmp", self.path);
        let mut file = self
            .file_system
            .open(&temporary, OpenMode::CreateOrTruncate)?;
        file.write_at(0, &encode(content))?;
        file.sync()?;
        self.file_system.rename(&temporary, &self.path)?;
        self.file_system
            .sync_directory(parent_directory(&self.path))
    }
}

/// The directory of a path; `""` is the data folder itself.
pub(crate) fn parent_directory(path: &str) -> &str {
    path.rsplit_once('/').map_or("", |(directory, _)| directory)
}

fn encode(content: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES + content.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&(content.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(content).to_le_bytes());
    bytes.extend_from_slice(content);
    bytes
}

fn parse(bytes: &[u8]) -> Option<Vec<u8>> {
    let (header, content) = bytes.split_at_checked(HEADER_BYTES)?;
    let length = u32::from_le_bytes(header[4..8].try_into().ok()?);
    let checksum = u32::from_le_bytes(header[8..12].try_into().ok()?);
    let intact = header[..4] == MAGIC
        && content.len() == length as usize
        && crc32fast::hash(content) == checksum;
    intact.then(|| content.to_vec())
}
