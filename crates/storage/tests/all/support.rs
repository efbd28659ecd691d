//! Helpers that several test modules share.

use std::sync::Arc;

use linnethitch_protocol::{
    consensus::{Entry, EntryPayload, HardState},
    ids::{DiskId, LogIndex, MachineId, Term},
};
use linnethitch_storage::{
    DataFolder, FileSystem, FolderIdentity, FolderRole, Log, LogDamage, LogLimits, OpenedLog,
    StorageResult, VirtualDisk,
};

/// Small limits, so that a few entries fill several segments and exceed the cache.
pub(crate) const LIMITS: LogLimits = LogLimits {
    segment_bytes: 700,
    cache_bytes: 200,
};

pub(crate) fn files(disk: &VirtualDisk) -> Arc<dyn FileSystem> {
    Arc::new(disk.clone())
}

pub(crate) fn identity() -> FolderIdentity {
    FolderIdentity {
        cluster: "test".to_owned(),
        role: FolderRole::Control,
        machine: MachineId(1),
    }
}

pub(crate) fn open_folder(disk: &VirtualDisk, new_disk: u64) -> StorageResult<DataFolder> {
    DataFolder::open_or_format(files(disk), &identity(), DiskId(new_disk))
}

pub(crate) fn entry(index: u64, term: u64) -> Entry {
    Entry {
        term: Term(term),
        index: LogIndex(index),
        payload: EntryPayload::Command(vec![index as u8 | 1; 30]),
    }
}

pub(crate) fn hard_state(term: u64, commit: u64) -> HardState {
    HardState {
        term: Term(term),
        vote: None,
        commit: LogIndex(commit),
    }
}

pub(crate) fn open(disk: &VirtualDisk) -> OpenedLog {
    Log::open(files(disk), LIMITS).unwrap()
}

pub(crate) fn intact(opened: OpenedLog) -> Log {
    match opened {
        OpenedLog::Intact(log) => log,
        OpenedLog::Damaged(damage) => panic!("{damage}"),
    }
}

pub(crate) fn damage(opened: OpenedLog) -> LogDamage {
    match opened {
        OpenedLog::Intact(log) => panic!("intact up to {}", log.last_index()),
        OpenedLog::Damaged(damage) => damage,
    }
}

/// A log with synced entries of term 1, each in a batch of its own.
pub(crate) fn log_with(disk: &VirtualDisk, entries: u64) -> Log {
    let mut log = Log::create(files(disk), LIMITS).unwrap();
    for index in 1..=entries {
        log.append(&[entry(index, 1)]).unwrap();
        log.set_hard_state(&hard_state(1, index - 1)).unwrap();
        log.sync().unwrap();
    }
    log
}

/// All entries of the log.
pub(crate) fn all_entries(log: &Log) -> Vec<Entry> {
    let end = LogIndex(log.last_index().0 + 1);
    let mut next = log.first_index();
    let mut entries = Vec::new();
    while next < end {
        let chunk = log.entries(next, end, 500).unwrap();
        next.0 += chunk.len() as u64;
        entries.extend(chunk);
    }
    entries
}
