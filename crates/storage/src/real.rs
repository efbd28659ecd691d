//! A data folder on a real disk, over `std::fs`. All calls block.

use std::{
    fs, io,
    os::unix::fs::FileExt,
    path::{Path, PathBuf},
};

use error_stack::Report;
use fs4::fs_std::FileExt as _;
use linnethitch_errors::ErrorKind;

use crate::file_system::{File, FileSystem, FolderLock, OpenMode, StorageResult};

/// Name of the lock file of a data folder.
pub const LOCK_FILE: &str = "LOCK";

/// A data folder on a real disk.
#[derive(Clone, Debug)]
pub struct RealFileSystem {
    root: PathBuf,
}

impl RealFileSystem {
    /// Uses this folder, creating it if needed.
    ///
    /// # Errors
    /// `StorageFull`, `Io`.
    pub fn new(root: impl Into<PathBuf>) -> StorageResult<Self> {
        let root = root.into();
        fs::create_dir_all(&root).map_err(|error| failure(&error, "create", &root))?;
        Ok(RealFileSystem { root })
    }

    /// Path of the folder.
    #[must_use]
    pub fn root(&self) -> &Path {
        &self.root
    }

    fn resolve(&self, path: &str) -> PathBuf {
        if path.is_empty() {
            return self.root.clone();
        }
        self.root.join(path)
    }
}

/// Turns an I/O error into a report of the right kind.
fn failure(error: &io::Error, operation: &str, path: &Path) -> Report<ErrorKind> {
    let kind = match error.kind() {
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => ErrorKind::StorageFull,
        io::ErrorKind::NotFound => ErrorKind::NotFound,
        _ => ErrorKind::Io,
    };
    Report::new(kind).attach(format!("{operation} {}: {error}", path.display()))
}

struct RealFile {
    file: fs::File,
    path: PathBuf,
}

impl File for RealFile {
    fn length(&self) -> StorageResult<u64> {
        let metadata = self.file.metadata();
        metadata
            .map(|metadata| metadata.len())
            .map_err(|error| failure(&error, "read the length of", &self.path))
    }

    fn read_at(&self, offset: u64, buffer: &mut [u8]) -> StorageResult<usize> {
        let mut filled = 0;
        while filled < buffer.len() {
            let position = offset + filled as u64;
            match self.file.read_at(&mut buffer[filled..], position) {
                Ok(0) => break,
                Ok(count) => filled += count,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(failure(&error, "read", &self.path)),
            }
        }
        Ok(filled)
    }

    fn write_at(&mut self, offset: u64, data: &[u8]) -> StorageResult<()> {
        self.file
            .write_all_at(data, offset)
            .map_err(|error| failure(&error, "write", &self.path))
    }

    fn truncate(&mut self, length: u64) -> StorageResult<()> {
        self.file
            .set_len(length)
            .map_err(|error| failure(&error, "truncate", &self.path))
    }

    fn sync(&mut self) -> StorageResult<()> {
        self.file
            .sync_data()
            .map_err(|error| failure(&error, "sync", &self.path))
    }
}

struct RealLock {
    _file: fs::File,
}

impl FolderLock for RealLock {}

impl FileSystem for RealFileSystem {
    fn create_directory(&self, path: &str) -> StorageResult<()> {
        let path = self.resolve(path);
        fs::create_dir_all(&path).map_err(|error| failure(&error, "create", &path))
    }

    fn list(&self, directory: &str) -> StorageResult<Vec<String>> {
        let path = self.resolve(directory);
        let entries = fs::read_dir(&path).map_err(|error| failure(&error, "list", &path))?;
        let mut names = Vec::new();
        for entry in entries {
            let entry = entry.map_err(|error| failure(&error, "list", &path))?;
            names.push(entry.file_name().to_string_lossy().into_owned());
        }
        names.sort();
        Ok(names)
    }

    fn open(&self, path: &str, mode: OpenMode) -> StorageResult<Box<dyn File>> {
        let path = self.resolve(path);
        let mut options = fs::OpenOptions::new();
        options.read(true);
        match mode {
            OpenMode::Read => {}
            OpenMode::Write => {
                options.write(true);
            }
            OpenMode::CreateNew => {
                options.write(true).create_new(true);
            }
            OpenMode::CreateOrTruncate => {
                options.write(true).create(true).truncate(true);
            }
        }
        let file = options
            .open(&path)
            .map_err(|error| failure(&error, "open", &path))?;
        Ok(Box::new(RealFile { file, path }))
    }

    fn exists(&self, path: &str) -> StorageResult<bool> {
        let path = self.resolve(path);
        path.try_exists()
            .map_err(|error| failure(&error, "check the existence of", &path))
    }

    fn rename(&self, from: &str, to: &str) -> StorageResult<()> {
        let (from, to) = (self.resolve(from), self.resolve(to));
        fs::rename(&from, &to).map_err(|error| failure(&error, "rename", &from))
    }

    fn remove(&self, path: &str) -> StorageResult<()> {
        let path = self.resolve(path);
        fs::remove_file(&path).map_err(|error| failure(&error, "remove", &path))
    }

    fn sync_directory(&self, directory: &str) -> StorageResult<()> {
        let path = self.resolve(directory);
        fs::File::open(&path)
            .and_then(|handle| handle.sync_all())
            .map_err(|error| failure(&error, "sync the directory", &path))
    }

    fn free_bytes(&self) -> StorageResult<u64> {
        fs4::available_space(&self.root)
            .map_err(|error| failure(&error, "read the free space of", &self.root))
    }

    fn lock(&self) -> StorageResult<Box<dyn FolderLock>> {
        let path = self.resolve(LOCK_FILE);
        let file = fs::OpenOptions::new()
            .write(true)
            .create(true)
            .truncate(false)
            .open(&path)
            .map_err(|error| failure(&error, "open", &path))?;
        match file.try_lock_exclusive() {
            Ok(true) => Ok(Box::new(RealLock { _file: file })),
            Ok(false) => Err(Report::new(ErrorKind::DataFolderRefused).attach(format!(
                "{} is in use by another process",
                self.root.display()
            ))),
            Err(error) => Err(failure(&error, "lock", &path)),
        }
    }
}
