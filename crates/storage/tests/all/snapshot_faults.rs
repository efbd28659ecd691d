//! Snapshots and revision files: crashes while writing and receiving, damage, full disks.

use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    consensus::{Membership, SnapshotMeta},
    ids::{DiskId, LogIndex, MachineId, MemberId, Term},
};
use linnethitch_storage::{RevisionFile, SnapshotStore, StorageResult, VirtualDisk};
use rstest::rstest;

use crate::support::files;

fn meta(index: u64) -> SnapshotMeta {
    let member = |number| MemberId {
        machine: MachineId(number),
        disk: DiskId(u64::from(number)),
    };
    SnapshotMeta {
        index: LogIndex(index),
        term: Term(3),
        membership: Membership {
            voters: (1..=5).map(member).collect(),
            learners: Vec::new(),
        },
    }
}

fn content(index: u64) -> Vec<u8> {
    (0..3000u64).map(|at| (at * index) as u8).collect()
}

fn store(disk: &VirtualDisk) -> SnapshotStore {
    SnapshotStore::open(files(disk)).unwrap()
}

fn write(disk: &VirtualDisk, index: u64) -> StorageResult<()> {
    let mut store = SnapshotStore::open(files(disk))?;
    let mut writer = store.begin(meta(index))?;
    for chunk in content(index).chunks(700) {
        writer.write(chunk)?;
    }
    store.finish(writer).map(|_| ())
}

fn read(store: &SnapshotStore, index: u64) -> Vec<u8> {
    let mut content = Vec::new();
    loop {
        let offset = content.len() as u64;
        let chunk = store.read_content(LogIndex(index), offset, 999).unwrap();
        if chunk.is_empty() {
            return content;
        }
        content.extend(chunk);
    }
}

#[test]
fn the_last_two_snapshots_are_retained() {
    let disk = VirtualDisk::new(0);
    for index in [10, 20, 30, 40] {
        write(&disk, index).unwrap();
    }
    let store = store(&disk);
    assert_eq!(store.latest().unwrap().meta, meta(40));
    assert_eq!(store.oldest().unwrap().meta, meta(30));
    assert_eq!(read(&store, 40), content(40));
    assert_eq!(read(&store, 30), content(30));
}

#[test]
fn a_crash_at_any_sync_leaves_the_old_or_the_new_snapshot() {
    for seed in 0..100 {
        for successful_syncs in 0.. {
            let disk = VirtualDisk::new(seed);
            write(&disk, 10).unwrap();
            disk.fail_syncs(successful_syncs, 1);
            let written = write(&disk, 20);
            disk.clear_faults();
            disk.crash();
            let store = store(&disk);
            let latest = store.latest().unwrap().meta.index.0;
            assert_eq!(read(&store, latest), content(latest), "seed {seed}");
            match written {
                Ok(()) => {
                    assert_eq!(latest, 20);
                    break;
                }
                Err(error) => assert_eq!(*error.current_context(), ErrorKind::Io),
            }
        }
    }
}

#[test]
fn a_snapshot_with_any_flipped_bit_is_ignored() {
    let disk = VirtualDisk::new(1);
    write(&disk, 10).unwrap();
    write(&disk, 20).unwrap();
    let path = disk.files().pop().unwrap();
    for byte in 0..disk.content(&path).unwrap().len() {
        disk.flip_bit(&path, byte, byte as u8);
        assert_eq!(store(&disk).latest().unwrap().meta, meta(10), "byte {byte}");
        disk.flip_bit(&path, byte, byte as u8);
    }
    assert_eq!(store(&disk).latest().unwrap().meta, meta(20));
}

#[test]
fn a_snapshot_truncated_at_any_byte_is_ignored() {
    let disk = VirtualDisk::new(2);
    write(&disk, 10).unwrap();
    let path = disk.files().pop().unwrap();
    let content = disk.content(&path).unwrap();
    for length in 0..content.len() {
        disk.damage(&path, |bytes| bytes.truncate(length));
        assert!(store(&disk).latest().is_none(), "cut to {length}");
        disk.damage(&path, |bytes| bytes.clone_from(&content));
    }
}

/// Transfers a snapshot in chunks and calls `between` on the receiver's disk after each one.
fn transfer(from: &VirtualDisk, to: &VirtualDisk, mut between: impl FnMut(&VirtualDisk, usize)) {
    let source = store(from);
    let mut offset = 0;
    for chunk in 0..1000 {
        let mut target = store(to);
        let (data, last) = source.read_chunk(LogIndex(20), offset, 200).unwrap();
        let Ok(progress) = target.receive(&meta(20), offset, &data, last) else {
            to.clear_faults();
            continue;
        };
        if let Some(installed) = progress.installed {
            assert_eq!(installed.meta, meta(20));
            return;
        }
        offset = progress.next_offset;
        between(to, chunk);
    }
    panic!("the snapshot was not received completely");
}

fn no_fault(_disk: &VirtualDisk, _chunk: usize) {}

fn stop_process(disk: &VirtualDisk, _chunk: usize) {
    disk.stop_process();
}

fn crash_machine_sometimes(disk: &VirtualDisk, chunk: usize) {
    if chunk % 7 == 6 {
        disk.crash();
    }
}

fn fill_disk_once(disk: &VirtualDisk, chunk: usize) {
    if chunk == 4 {
        disk.set_capacity(disk.used_bytes() + 50);
    }
}

fn fail_last_sync_once(disk: &VirtualDisk, chunk: usize) {
    if chunk == 4 {
        // Opening the store syncs once for each chunk, so the failing sync is one while the last
        // chunk is installed.
        disk.fail_syncs(12, 1);
    }
}

fn damage_partial_file(disk: &VirtualDisk, chunk: usize) {
    if chunk == 3 {
        disk.flip_bit("snapshots/00000000000000000020.snapshot.receiving", 300, 4);
    }
}

#[rstest]
#[case::undisturbed(no_fault)]
#[case::process_stops_after_each_chunk(stop_process)]
#[case::machine_crashes(crash_machine_sometimes)]
#[case::disk_full(fill_disk_once)]
#[case::sync_fails(fail_last_sync_once)]
#[case::damaged(damage_partial_file)]
fn a_snapshot_is_received_completely(#[case] between: fn(&VirtualDisk, usize)) {
    let (from, to) = (VirtualDisk::new(3), VirtualDisk::new(4));
    write(&from, 20).unwrap();
    transfer(&from, &to, between);
    to.clear_faults();
    to.crash();
    assert_eq!(read(&store(&to), 20), content(20));
}

#[test]
fn chunks_out_of_order_are_requested_again() {
    let (from, to) = (VirtualDisk::new(5), VirtualDisk::new(6));
    write(&from, 20).unwrap();
    let source = store(&from);
    let mut target = store(&to);
    let chunk = |offset| source.read_chunk(LogIndex(20), offset, 100).unwrap().0;
    let next = |target: &mut SnapshotStore, offset| {
        let data = chunk(offset);
        let progress = target.receive(&meta(20), offset, &data, false).unwrap();
        progress.next_offset
    };
    assert_eq!(next(&mut target, 100), 0, "the start is missing");
    assert_eq!(next(&mut target, 0), 100);
    assert_eq!(next(&mut target, 300), 100, "a chunk is missing");
    assert_eq!(next(&mut target, 100), 200);
    assert_eq!(next(&mut target, 100), 200, "a chunk is repeated");
}

#[test]
fn a_snapshot_with_other_metadata_is_refused() {
    let (from, to) = (VirtualDisk::new(7), VirtualDisk::new(8));
    write(&from, 20).unwrap();
    let (data, last) = store(&from)
        .read_chunk(LogIndex(20), 0, usize::MAX)
        .unwrap();
    let mut target = store(&to);
    let progress = target.receive(&meta(21), 0, &data, last).unwrap();
    assert_eq!(progress.installed, None);
    assert_eq!(progress.next_offset, 0);
    assert!(target.latest().is_none());
}

#[test]
fn a_failed_write_on_a_full_disk_preserves_the_older_snapshot() {
    let disk = VirtualDisk::new(9);
    write(&disk, 10).unwrap();
    disk.set_capacity(disk.used_bytes() + 1000);
    let error = write(&disk, 20).unwrap_err();
    assert_eq!(*error.current_context(), ErrorKind::StorageFull);
    assert_eq!(store(&disk).latest().unwrap().meta, meta(10));
    assert_eq!(
        disk.files().len(),
        1,
        "the partly written snapshot is removed"
    );
}

#[test]
fn after_a_crash_a_revision_file_has_the_old_or_the_new_content() {
    for seed in 0..200 {
        let disk = VirtualDisk::new(seed);
        let file = RevisionFile::new(files(&disk), "configuration");
        file.store(&[1; 2000]).unwrap();
        disk.fail_syncs(seed as u32 % 3, 1);
        let stored = file.store(&[2; 3000]).is_ok();
        disk.clear_faults();
        disk.crash();
        let content = file.load().unwrap().unwrap();
        let old = content == [1; 2000] && !stored;
        assert!(old || content == [2; 3000], "seed {seed}");
    }
}

#[test]
fn a_revision_file_with_any_flipped_bit_is_reported() {
    let disk = VirtualDisk::new(10);
    let file = RevisionFile::new(files(&disk), "configuration");
    file.store(&[5; 100]).unwrap();
    for byte in 0..112 {
        disk.flip_bit("configuration", byte, byte as u8);
        let error = file.load().unwrap_err();
        assert_eq!(*error.current_context(), ErrorKind::Corrupted);
        disk.flip_bit("configuration", byte, byte as u8);
    }
}
