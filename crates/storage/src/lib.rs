//! State that survives: files under one data folder, lasting only once synced.
//!
//! Everything here works over [`FileSystem`], a small abstraction of one data
//! folder, so that the same code runs on a real disk and on the simulator's
//! virtual one, which loses and tears what was not synced.

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
