//! Durable state: files under one data folder, durable only once synced.
//!
//! All storage code uses [`FileSystem`], an abstraction of one data folder, so
//! that the same code runs on a real disk and on the simulator's virtual disk,
//! which loses or tears unsynced writes.

#![allow(
    missing_docs,
    reason = "rkyv's derive generates undocumented fields for enum variants"
)]

pub mod file_system;
pub mod folder;
pub mod log;
pub mod payload;
pub mod real;
pub mod revision;
pub mod snapshot;
pub mod virtual_disk;

pub use file_system::{File, FileSystem, FolderLock, OpenMode, StorageResult};
pub use folder::{DataFolder, FolderIdentity, FolderRole};
pub use log::{Log, LogDamage, LogLimits, OpenedLog};
pub use payload::{MemoryPayloads, PayloadLimits, PayloadMark, PayloadRef, PayloadStore, Payloads};
pub use real::RealFileSystem;
pub use revision::RevisionFile;
pub use snapshot::{ReceiveProgress, SnapshotInfo, SnapshotReader, SnapshotStore, SnapshotWriter};
pub use virtual_disk::VirtualDisk;
