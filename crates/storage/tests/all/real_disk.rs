//! Log, lock, snapshots and revision file in a data folder on a real disk.

use std::sync::Arc;

use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    consensus::{Entry, EntryPayload, HardState, Membership, SnapshotMeta},
    ids::{DiskId, LogIndex, MachineId, Term},
};
use linnethitch_storage::{
    DataFolder, FileSystem, FolderIdentity, FolderRole, Log, LogLimits, OpenedLog, RealFileSystem,
    RevisionFile, SnapshotStore,
};

const LIMITS: LogLimits = LogLimits {
    segment_bytes: 4096,
    cache_bytes: 1024,
};

fn identity() -> FolderIdentity {
    FolderIdentity {
        cluster: "test".to_owned(),
        role: FolderRole::Control,
        machine: MachineId(1),
    }
}

fn entry(index: u64) -> Entry {
    Entry {
        term: Term(1 + index / 10),
        index: LogIndex(index),
        payload: EntryPayload::Command(vec![index as u8; 100]),
    }
}

fn intact(opened: OpenedLog) -> Log {
    match opened {
        OpenedLog::Intact(log) => log,
        OpenedLog::Damaged(damage) => panic!("{damage}"),
    }
}

fn folder(root: &std::path::Path) -> DataFolder {
    let files: Arc<dyn FileSystem> = Arc::new(RealFileSystem::new(root).unwrap());
    DataFolder::open_or_format(files, &identity(), DiskId(7)).unwrap()
}

#[test]
fn log_survives_reopening_over_several_segments() {
    let root = tempfile::tempdir().unwrap();
    let state = HardState {
        term: Term(3),
        vote: None,
        commit: LogIndex(40),
    };
    {
        let mut log = intact(folder(root.path()).open_log(LIMITS).unwrap());
        for index in 1..=200 {
            log.append(&[entry(index)]).unwrap();
            log.sync().unwrap();
        }
        log.truncate_after(LogIndex(50)).unwrap();
        log.append(&[entry(51)]).unwrap();
        log.set_hard_state(&state).unwrap();
        log.sync().unwrap();
        log.compact_to(LogIndex(40), Term(5)).unwrap();
    }
    let mut folder = folder(root.path());
    assert_eq!(folder.disk(), DiskId(7));
    let mut log = intact(folder.open_log(LIMITS).unwrap());
    log.compact_to(LogIndex(40), Term(5)).unwrap();
    assert_eq!(log.first_index(), LogIndex(41));
    assert_eq!(log.last_index(), LogIndex(51));
    assert_eq!(log.hard_state(), &state);
    let entries = log.entries(LogIndex(41), LogIndex(52), usize::MAX).unwrap();
    assert_eq!(entries, (41..=51).map(entry).collect::<Vec<_>>());
    let limited = log.entries(LogIndex(41), LogIndex(52), 300).unwrap();
    assert!((1..11).contains(&limited.len()));
}

#[test]
fn a_locked_folder_cannot_be_opened_again() {
    let root = tempfile::tempdir().unwrap();
    let first = folder(root.path());
    let files: Arc<dyn FileSystem> = Arc::new(RealFileSystem::new(root.path()).unwrap());
    let second = DataFolder::open_or_format(Arc::clone(&files), &identity(), DiskId(8));
    let error = second.err().unwrap();
    assert_eq!(*error.current_context(), ErrorKind::DataFolderRefused);
    drop(first);
    let reopened = DataFolder::open_or_format(files, &identity(), DiskId(9)).unwrap();
    assert_eq!(reopened.disk(), DiskId(7));
}

#[test]
fn a_snapshot_is_received_in_chunks_with_a_restart_after_each() {
    let (source_root, target_root) = (tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap());
    let source: Arc<dyn FileSystem> = Arc::new(RealFileSystem::new(source_root.path()).unwrap());
    let target: Arc<dyn FileSystem> = Arc::new(RealFileSystem::new(target_root.path()).unwrap());
    let mut source = SnapshotStore::open(source).unwrap();
    let meta = SnapshotMeta {
        index: LogIndex(9),
        term: Term(2),
        membership: Membership::default(),
    };
    let mut writer = source.begin(meta.clone()).unwrap();
    writer.write(&[1; 1000]).unwrap();
    writer.write(&[2; 1000]).unwrap();
    source.finish(writer).unwrap();

    let mut offset = 0;
    let mut receiver = SnapshotStore::open(Arc::clone(&target)).unwrap();
    loop {
        let (data, last) = source.read_chunk(LogIndex(9), offset, 300).unwrap();
        let progress = receiver.receive(&meta, offset, &data, last).unwrap();
        offset = progress.next_offset;
        if progress.installed.is_some() {
            break;
        }
        receiver = SnapshotStore::open(Arc::clone(&target)).unwrap();
    }
    let content = receiver.read_content(LogIndex(9), 0, usize::MAX).unwrap();
    assert_eq!(content, [vec![1; 1000], vec![2; 1000]].concat());
}

#[test]
fn a_revision_file_returns_the_content_stored_last() {
    let root = tempfile::tempdir().unwrap();
    let files: Arc<dyn FileSystem> = Arc::new(RealFileSystem::new(root.path()).unwrap());
    let file = RevisionFile::new(files, "configuration");
    assert_eq!(file.load().unwrap(), None);
    file.store(b"one").unwrap();
    file.store(b"two").unwrap();
    assert_eq!(file.load().unwrap().unwrap(), b"two");
}
