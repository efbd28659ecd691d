//! The payload store on a virtual disk: replay, release, compaction and damage.

use std::sync::Arc;

use linnethitch_errors::ErrorKind;
use linnethitch_storage::{
    FileSystem, PayloadLimits, PayloadMark, PayloadRef, PayloadStore, Payloads, StorageResult,
    VirtualDisk,
};
use rstest::rstest;

const LIMITS: PayloadLimits = PayloadLimits {
    segment_bytes: 4096,
    compact_below_percent: 50,
};

fn restore(
    disk: &VirtualDisk,
    mark: PayloadMark,
    live: &[PayloadRef],
) -> StorageResult<PayloadStore> {
    let files: Arc<dyn FileSystem> = Arc::new(disk.clone());
    let mut store = PayloadStore::open(files, LIMITS, mark)?;
    for payload in live {
        store.mark_live(payload)?;
    }
    Ok(store)
}

fn payload(number: u8) -> Vec<u8> {
    (0..500).map(|byte| (byte as u8) ^ number).collect()
}

#[rstest]
#[case::empty(0)]
#[case::one_byte(1)]
#[case::just_a_block(16 * 1024)]
#[case::a_block_and_a_byte(16 * 1024 + 1)]
#[case::several_blocks(100_000)]
fn ranges_of_a_payload_can_be_read(#[case] length: usize) {
    let disk = VirtualDisk::new(1);
    let mut store = restore(&disk, PayloadMark::default(), &[]).unwrap();
    let data: Vec<u8> = (0..length).map(|at| (at * 7) as u8).collect();
    let stored = store.append(&data).unwrap();
    for written in [false, true] {
        if written {
            store.sync().unwrap();
        }
        assert_eq!(store.read(&stored).unwrap(), data);
        for start in [0, 1, 16_383, 16_384, 50_000] {
            let end = (start + 20_000).min(length);
            let expected = data.get(start..end).unwrap_or_default();
            let part = store.read_range(&stored, start as u32, 20_000).unwrap();
            assert_eq!(part, expected, "from {start}");
        }
    }
}

#[test]
fn a_replay_after_a_crash_appends_payloads_after_the_checkpoint_again() {
    let disk = VirtualDisk::new(2);
    let mut store = restore(&disk, PayloadMark::default(), &[]).unwrap();
    let before: Vec<PayloadRef> = (0..20)
        .map(|number| store.append(&payload(number)).unwrap())
        .collect();
    let mark = store.checkpoint().unwrap();
    for number in 20..40 {
        store.append(&payload(number)).unwrap();
    }
    disk.crash();
    let mut store = restore(&disk, mark, &before).unwrap();
    let replayed: Vec<PayloadRef> = (20..40)
        .map(|number| store.append(&payload(number)).unwrap())
        .collect();
    for (number, stored) in before.iter().chain(&replayed).enumerate() {
        assert_eq!(store.read(stored).unwrap(), payload(number as u8));
    }
    assert_eq!(store.live_bytes(), 40 * 500);
}

#[test]
fn space_is_reclaimed_only_once_a_later_checkpoint_is_durable() {
    let disk = VirtualDisk::new(3);
    let mut store = restore(&disk, PayloadMark::default(), &[]).unwrap();
    let stored: Vec<PayloadRef> = (0..40)
        .map(|number| store.append(&payload(number)).unwrap())
        .collect();
    let first = store.checkpoint().unwrap();
    for released in &stored {
        store.release(released);
    }
    store.reclaim_before(first).unwrap();
    assert_eq!(store.read(&stored[0]).unwrap(), payload(0));
    let full = disk.used_bytes();
    let second = store.checkpoint().unwrap();
    store.reclaim_before(second).unwrap();
    assert!(disk.used_bytes() < full / 4);
    assert_eq!(store.live_bytes(), 0);
}

#[test]
fn references_remain_valid_after_compaction_and_a_restart() {
    let disk = VirtualDisk::new(4);
    let mut store = restore(&disk, PayloadMark::default(), &[]).unwrap();
    let stored: Vec<PayloadRef> = (0..40)
        .map(|number| store.append(&payload(number)).unwrap())
        .collect();
    let (live_payloads, released): (Vec<_>, Vec<_>) = stored
        .iter()
        .enumerate()
        .partition(|(number, _)| number % 5 == 0);
    for (_, released) in &released {
        store.release(released);
    }
    let mark = store.checkpoint().unwrap();
    store.reclaim_before(mark).unwrap();
    let before = disk.used_bytes();
    let live: Vec<PayloadRef> = live_payloads.iter().map(|(_, stored)| **stored).collect();
    while let Some(segment) = store.compaction_candidate() {
        store.compact(segment, &live).unwrap();
    }
    assert!(disk.used_bytes() < before / 2);
    disk.crash();
    let store = restore(&disk, mark, &live).unwrap();
    for (number, stored) in live_payloads {
        assert_eq!(store.read(stored).unwrap(), payload(number as u8));
    }
}

#[test]
fn any_flipped_bit_is_reported() {
    let disk = VirtualDisk::new(5);
    let mut store = restore(&disk, PayloadMark::default(), &[]).unwrap();
    let stored = store.append(&payload(1)).unwrap();
    store.sync().unwrap();
    let path = disk.files().pop().unwrap();
    for byte in 0..disk.content(&path).unwrap().len() {
        disk.flip_bit(&path, byte, byte as u8);
        let error = store.read(&stored).unwrap_err();
        assert_eq!(*error.current_context(), ErrorKind::Corrupted);
        disk.flip_bit(&path, byte, byte as u8);
    }
    assert_eq!(store.read(&stored).unwrap(), payload(1));
}

#[test]
fn a_sync_on_a_full_disk_fails_and_can_be_retried() {
    let disk = VirtualDisk::new(6);
    disk.set_capacity(3000);
    let mut store = restore(&disk, PayloadMark::default(), &[]).unwrap();
    let stored: Vec<PayloadRef> = (0..6)
        .map(|number| store.append(&payload(number)).unwrap())
        .collect();
    let error = store.sync().unwrap_err();
    assert_eq!(*error.current_context(), ErrorKind::StorageFull);
    disk.set_capacity(1_000_000);
    store.sync().unwrap();
    for (number, stored) in stored.iter().enumerate() {
        assert_eq!(store.read(stored).unwrap(), payload(number as u8));
    }
}

#[rstest]
#[case::within_a_segment(PayloadLimits::default())]
#[case::at_the_end_of_each_segment(LIMITS)]
fn payloads_appended_to_a_full_disk_stay_buffered(#[case] limits: PayloadLimits) {
    let disk = VirtualDisk::new(1);
    let files: Arc<dyn FileSystem> = Arc::new(disk.clone());
    let mut store = PayloadStore::open(files, limits, PayloadMark::default()).unwrap();
    let large = vec![7; 300_000];
    let first = store.append(&large).unwrap();
    store.sync().unwrap();
    disk.set_capacity(disk.used_bytes());
    let buffered: Vec<PayloadRef> = (0..8).map(|_| store.append(&large).unwrap()).collect();
    let refused = store.checkpoint().unwrap_err();
    assert_eq!(*refused.current_context(), ErrorKind::StorageFull);
    for payload in buffered.iter().chain([&first]) {
        assert_eq!(store.read(payload).unwrap(), large);
    }
    disk.set_capacity(u64::MAX);
    let mark = store.checkpoint().unwrap();
    drop(store);
    disk.crash();
    let store = restore(&disk, mark, &buffered).unwrap();
    for payload in &buffered {
        assert_eq!(store.read(payload).unwrap(), large);
    }
}

#[test]
fn the_store_refuses_changes_after_a_failed_sync() {
    let disk = VirtualDisk::new(7);
    let mut store = restore(&disk, PayloadMark::default(), &[]).unwrap();
    store.append(&payload(1)).unwrap();
    disk.fail_syncs(0, 1);
    for error in [
        store.sync().unwrap_err(),
        store.append(&payload(2)).unwrap_err(),
        store.sync().unwrap_err(),
    ] {
        assert_eq!(*error.current_context(), ErrorKind::Io);
    }
}

#[test]
fn a_missing_segment_is_reported() {
    let disk = VirtualDisk::new(8);
    let mut store = restore(&disk, PayloadMark::default(), &[]).unwrap();
    let stored = store.append(&payload(1)).unwrap();
    let mark = store.checkpoint().unwrap();
    drop(store);
    disk.remove(&disk.files()[0]).unwrap();
    let error = restore(&disk, mark, &[stored]).err().unwrap();
    assert_eq!(*error.current_context(), ErrorKind::Corrupted);
}
