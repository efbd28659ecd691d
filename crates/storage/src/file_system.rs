//! The abstraction of one data folder that all storage code uses.

use error_stack::Report;
use linnethitch_errors::ErrorKind;

/// The result of a storage operation.
///
/// Kinds used: `StorageFull` (nothing was stored), `Corrupted` (a checksum
/// failed), `NotFound`, `DataFolderRefused` and `Io`.
pub type StorageResult<T> = Result<T, Report<ErrorKind>>;

/// How a file is opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenMode {
    /// An existing file, for reading only.
    Read,
    /// An existing file, for reading and writing.
    Write,
    /// A file that must not exist yet, for reading and writing.
    CreateNew,
    /// A new file, or an existing one emptied, for reading and writing.
    CreateOrTruncate,
}

/// One open file.
///
/// Written bytes are durable only after [`File::sync`], and a created or renamed
/// file only after [`FileSystem::sync_directory`] of its directory.
pub trait File: Send + Sync {
    /// The length in bytes.
    ///
    /// # Errors
    /// `Io`.
    fn length(&self) -> StorageResult<u64>;

    /// Fills the buffer with the bytes at the offset; reads fewer bytes only at the file's end.
    ///
    /// # Errors
    /// `Io`.
    fn read_at(&self, offset: u64, buffer: &mut [u8]) -> StorageResult<usize>;

    /// Writes all bytes at the offset, extending the file where needed.
    ///
    /// # Errors
    /// `StorageFull` (some of the bytes may have been written), `Io`.
    fn write_at(&mut self, offset: u64, data: &[u8]) -> StorageResult<()>;

    /// Truncates the file to this length.
    ///
    /// # Errors
    /// `Io`.
    fn truncate(&mut self, length: u64) -> StorageResult<()>;

    /// Makes all earlier writes durable.
    ///
    /// # Errors
    /// `Io`. A failed sync may have lost writes, so callers must stop using the file.
    fn sync(&mut self) -> StorageResult<()>;
}

/// Holds the lock on a data folder until dropped.
pub trait FolderLock: Send + Sync {}

/// Files under one data folder. Paths are relative to it, with `/` between names.
pub trait FileSystem: Send + Sync {
    /// Creates a directory and its parents, if they do not exist.
    ///
    /// # Errors
    /// `StorageFull`, `Io`.
    fn create_directory(&self, path: &str) -> StorageResult<()>;

    /// The names of the entries of a directory, sorted; `""` is the data folder itself.
    ///
    /// # Errors
    /// `NotFound`, `Io`.
    fn list(&self, directory: &str) -> StorageResult<Vec<String>>;

    /// Opens a file.
    ///
    /// # Errors
    /// `NotFound`, `StorageFull`, `Io` (also when a file to create exists).
    fn open(&self, path: &str, mode: OpenMode) -> StorageResult<Box<dyn File>>;

    /// Whether a file or directory exists.
    ///
    /// # Errors
    /// `Io`.
    fn exists(&self, path: &str) -> StorageResult<bool>;

    /// Renames a file or directory, replacing an existing file.
    ///
    /// # Errors
    /// `NotFound`, `Io`.
    fn rename(&self, from: &str, to: &str) -> StorageResult<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// `NotFound`, `Io`.
    fn remove(&self, path: &str) -> StorageResult<()>;

    /// Makes creations, renames and removals in a directory durable.
    ///
    /// # Errors
    /// `Io`. Changes may be lost, as after a failed [`File::sync`].
    fn sync_directory(&self, directory: &str) -> StorageResult<()>;

    /// Free disk space, in bytes.
    ///
    /// # Errors
    /// `Io`.
    fn free_bytes(&self) -> StorageResult<u64>;

    /// Acquires the exclusive lock on the data folder.
    ///
    /// # Errors
    /// `DataFolderRefused` when another process holds it, `Io`.
    fn lock(&self) -> StorageResult<Box<dyn FolderLock>>;
}

/// Reads a complete file of at most `max_bytes`.
///
/// # Errors
/// `NotFound`, `Corrupted` when the file exceeds `max_bytes`, `Io`.
pub fn read_file_bounded(
    file_system: &dyn FileSystem,
    path: &str,
    max_bytes: u64,
) -> StorageResult<Vec<u8>> {
    let file = file_system.open(path, OpenMode::Read)?;
    let length = file.length()?;
    if length > max_bytes {
        return Err(Report::new(ErrorKind::Corrupted).attach(format!(
            "{path} has {length} bytes, more than the maximum of {max_bytes}"
        )));
    }
    let mut content = vec![0; length as usize];
    let read = file.read_at(0, &mut content)?;
    content.truncate(read);
    Ok(content)
}
