//! The data folder, with a lock and an identity that is written when the folder is formatted.

use std::sync::Arc;

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    frame,
    ids::{DiskId, MachineId, MemberId},
};
use rkyv::{Archive, Deserialize, Serialize};

use crate::{
    file_system::{FileSystem, FolderLock, StorageResult},
    log::{Log, LogLimits, OpenedLog},
    real::LOCK_FILE,
    revision::RevisionFile,
};

/// Version of the folder's layout that this build writes and reads.
pub const FOLDER_FORMAT_VERSION: u32 = 1;
/// Name of the identity file.
pub const IDENTITY_FILE: &str = "identity";
/// Prefix of the directories to which damaged state is moved.
const DAMAGED_PREFIX: &str = "damaged-";

/// The kind of state in a data folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum FolderRole {
    /// A control member's log, snapshots and payloads.
    Control,
    /// A gateway's last configuration and journal.
    Gateway,
    /// A job store member's log and snapshots.
    Store,
}

/// The process that owns a data folder.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct FolderIdentity {
    /// Name of the cluster.
    pub cluster: String,
    /// The kind of state in the folder.
    pub role: FolderRole,
    /// Id of the machine; 0 for gateways.
    pub machine: MachineId,
}

/// Progress of formatting a folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
enum FolderState {
    /// The identity is stored but the log may not be; nothing has been acknowledged yet.
    Formatting,
    /// Formatting is complete; a file that is missing from now on is damage.
    Ready,
}

/// The content of the identity file. The first field must stay first.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
struct IdentityRecord {
    identity: FolderIdentity,
    disk: DiskId,
    state: FolderState,
}

/// An open, locked data folder.
pub struct DataFolder {
    file_system: Arc<dyn FileSystem>,
    _lock: Box<dyn FolderLock>,
    record: IdentityRecord,
}

impl DataFolder {
    /// Opens the folder of this identity, or formats an empty one with the given new disk id.
    ///
    /// # Errors
    /// `DataFolderRefused` when the folder is locked, foreign, damaged or of
    /// another cluster, role, machine or format version; its files are then
    /// unchanged. `StorageFull`, `Io`.
    pub fn open_or_format(
        file_system: Arc<dyn FileSystem>,
        identity: &FolderIdentity,
        new_disk: DiskId,
    ) -> StorageResult<Self> {
        let found = file_system.list("")?;
        if !found.iter().any(|name| name == IDENTITY_FILE) {
            check_no_foreign_files(&found)?;
        }
        let lock = file_system.lock()?;
        let record = match load_identity(&file_system)? {
            Some(record) => {
                check_identity(&record.identity, identity)?;
                record
            }
            None => {
                let record = IdentityRecord {
                    identity: identity.clone(),
                    disk: new_disk,
                    state: FolderState::Formatting,
                };
                store_identity(&file_system, &record)?;
                record
            }
        };
        Ok(DataFolder {
            file_system,
            _lock: lock,
            record,
        })
    }

    /// The disk id, chosen when the folder was formatted.
    #[must_use]
    pub fn disk(&self) -> DiskId {
        self.record.disk
    }

    /// The consensus member whose state is in this folder.
    #[must_use]
    pub fn member(&self) -> MemberId {
        MemberId {
            machine: self.record.identity.machine,
            disk: self.record.disk,
        }
    }

    /// Whether formatting is incomplete, so that no state has been stored yet.
    #[must_use]
    pub fn is_blank(&self) -> bool {
        self.record.state == FolderState::Formatting
    }

    /// The file system of the folder.
    #[must_use]
    pub fn file_system(&self) -> Arc<dyn FileSystem> {
        Arc::clone(&self.file_system)
    }

    /// Opens the log, creating it in a blank folder.
    ///
    /// # Errors
    /// `StorageFull`, `Io`.
    pub fn open_log(&mut self, limits: LogLimits) -> StorageResult<OpenedLog> {
        if !self.is_blank() {
            return Log::open(self.file_system(), limits);
        }
        let log = Log::create(self.file_system(), limits)?;
        self.finish_formatting()?;
        Ok(OpenedLog::Intact(log))
    }

    /// Marks the folder as formatted; a missing log is damage from then on.
    ///
    /// # Errors
    /// `StorageFull`, `Io`.
    pub fn finish_formatting(&mut self) -> StorageResult<()> {
        self.record.state = FolderState::Ready;
        store_identity(&self.file_system, &self.record)
    }

    /// Discards damaged state: the folder becomes blank under a new disk id.
    ///
    /// The old directories are moved to `damaged-…`, where an operator can inspect them.
    /// The new identity is durable before anything is moved, so a crash in
    /// between cannot restore the old identity without its state.
    ///
    /// # Errors
    /// `StorageFull`, `Io`.
    pub fn reformat(&mut self, new_disk: DiskId) -> StorageResult<()> {
        let old_disk = self.record.disk;
        self.record.disk = new_disk;
        self.record.state = FolderState::Formatting;
        store_identity(&self.file_system, &self.record)?;
        let damaged_directory = format!("{DAMAGED_PREFIX}{:016x}", old_disk.0);
        self.file_system.create_directory(&damaged_directory)?;
        for name in self.file_system.list("")? {
            if is_own_file(&name) || name.starts_with(DAMAGED_PREFIX) {
                continue;
            }
            self.file_system
                .rename(&name, &format!("{damaged_directory}/{name}"))?;
        }
        self.file_system.sync_directory(&damaged_directory)?;
        self.file_system.sync_directory("")
    }
}

fn refused(reason: String) -> Report<ErrorKind> {
    Report::new(ErrorKind::DataFolderRefused).attach(reason)
}

/// Whether a file belongs to the data folder itself.
fn is_own_file(name: &str) -> bool {
    name == LOCK_FILE || name == IDENTITY_FILE || name == format!("{IDENTITY_FILE}.tmp")
}

/// A folder without an identity must be empty or hold only files of an interrupted formatting.
fn check_no_foreign_files(names: &[String]) -> StorageResult<()> {
    match names.iter().find(|name| !is_own_file(name)) {
        Some(name) => Err(refused(format!(
            "the folder contains {name:?} but no identity file; it is foreign or damaged"
        ))),
        None => Ok(()),
    }
}

fn check_identity(found: &FolderIdentity, expected: &FolderIdentity) -> StorageResult<()> {
    if found == expected {
        return Ok(());
    }
    Err(refused(format!(
        "the folder belongs to cluster {:?}, {:?} on machine {}; this process is cluster {:?}, {:?} on machine {}",
        found.cluster, found.role, found.machine, expected.cluster, expected.role, expected.machine
    )))
}

/// Stores the identity: format version, then the encoded record.
fn store_identity(file_system: &Arc<dyn FileSystem>, record: &IdentityRecord) -> StorageResult<()> {
    let mut content = FOLDER_FORMAT_VERSION.to_le_bytes().to_vec();
    content.extend_from_slice(&frame::encode(record)?);
    RevisionFile::new(Arc::clone(file_system), IDENTITY_FILE).store(&content)
}

fn load_identity(file_system: &Arc<dyn FileSystem>) -> StorageResult<Option<IdentityRecord>> {
    let file = RevisionFile::new(Arc::clone(file_system), IDENTITY_FILE);
    let content = match file.load() {
        Ok(Some(content)) => content,
        Ok(None) => return Ok(None),
        Err(error) if *error.current_context() == ErrorKind::Corrupted => {
            return Err(refused("the identity file fails its checksum".to_owned()));
        }
        Err(error) => return Err(error),
    };
    let (version, encoded) = content
        .split_first_chunk::<4>()
        .ok_or_else(|| refused("the identity file is too short".to_owned()))?;
    let version = u32::from_le_bytes(*version);
    if version != FOLDER_FORMAT_VERSION {
        return Err(refused(format!(
            "the folder has format version {version}; this build reads version {FOLDER_FORMAT_VERSION}"
        )));
    }
    frame::decode(encoded)
        .map(Some)
        .map_err(|_| refused("the identity file cannot be decoded".to_owned()))
}
