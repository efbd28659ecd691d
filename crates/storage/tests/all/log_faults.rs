//! The log on a disk with torn or lost writes, bit flips, failed syncs or no free space.

use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    consensus::{Entry, EntryPayload},
    ids::{LogIndex, Term},
};
use linnethitch_storage::{FileSystem, Log, OpenedLog, VirtualDisk, log::LogLimits};
use rstest::rstest;

use crate::support::{
    LIMITS, all_entries, damage, entry, files, hard_state, intact, log_with, open,
};

fn last_file(disk: &VirtualDisk) -> String {
    disk.files().pop().unwrap()
}

/// A disk with six synced entries in one file, and the file's length before the sixth entry.
fn six_entries() -> (VirtualDisk, usize) {
    let disk = VirtualDisk::new(0);
    let mut log = log_with(&disk, 5);
    let length = disk.content(&last_file(&disk)).unwrap().len();
    log.append(&[entry(6, 1)]).unwrap();
    log.set_hard_state(&hard_state(1, 5)).unwrap();
    log.sync().unwrap();
    (disk, length)
}

#[test]
fn a_tail_truncated_at_any_byte_loses_only_the_last_batch() {
    let (disk, length) = six_entries();
    let path = last_file(&disk);
    let content = disk.content(&path).unwrap();
    for cut in length..content.len() {
        disk.damage(&path, |bytes| bytes.truncate(cut));
        let mut log = intact(open(&disk));
        assert_eq!(log.last_index(), LogIndex(5), "cut at byte {cut}");
        assert_eq!(*log.hard_state(), hard_state(1, 4));
        log.append(&[entry(6, 2)]).unwrap();
        log.sync().unwrap();
        assert_eq!(all_entries(&intact(open(&disk)))[5], entry(6, 2));
        disk.damage(&path, |bytes| bytes.clone_from(&content));
    }
}

/// The parts of a file range that a disk writes completely or not at all.
fn sectors(from: usize, to: usize) -> Vec<std::ops::Range<usize>> {
    let mut sectors = Vec::new();
    let mut start = from;
    while start < to {
        let end = ((start / 512 + 1) * 512).min(to);
        sectors.push(start..end);
        start = end;
    }
    sectors
}

#[test]
fn a_tail_with_any_unwritten_sectors_loses_only_the_last_batch() {
    let disk = VirtualDisk::new(0);
    let mut log = log_with(&disk, 5);
    let path = last_file(&disk);
    let length = disk.content(&path).unwrap().len();
    let batch: Vec<_> = (6..=30).map(|index| entry(index, 1)).collect();
    log.append(&batch).unwrap();
    log.sync().unwrap();
    drop(log);
    let content = disk.content(&path).unwrap();
    let sectors = sectors(length, content.len());
    assert!(sectors.len() > 3);
    for unwritten in 1..(1u32 << sectors.len()) {
        disk.damage(&path, |bytes| {
            let chosen = |number: &usize| unwritten >> number & 1 == 1;
            for number in (0..sectors.len()).filter(chosen) {
                bytes[sectors[number].clone()].fill(0);
            }
        });
        let log = intact(open(&disk));
        assert_eq!(log.last_index(), LogIndex(5), "unwritten {unwritten:b}");
        disk.damage(&path, |bytes| bytes.clone_from(&content));
    }
}

#[test]
fn any_flipped_bit_is_reported_and_no_file_is_changed() {
    let disk = VirtualDisk::new(1);
    drop(log_with(&disk, 20));
    let files = disk.files();
    assert!(files.len() > 2, "the test needs several segments");
    for path in &files {
        let content = disk.content(path).unwrap();
        for byte in 0..content.len() {
            for bit in 0..8 {
                disk.flip_bit(path, byte, bit);
                let damaged = disk.content(path).unwrap();
                let found = damage(open(&disk));
                assert!(found.first_lost <= LogIndex(20), "{path} {byte}.{bit}");
                assert_eq!(&found.file, path, "byte {byte}.{bit}");
                assert!(found.offset <= byte as u64);
                assert_eq!(disk.content(path).unwrap(), damaged);
                disk.flip_bit(path, byte, bit);
            }
        }
    }
    assert_eq!(intact(open(&disk)).last_index(), LogIndex(20));
}

#[test]
fn damage_reports_the_first_lost_entry() {
    let disk = VirtualDisk::new(2);
    drop(log_with(&disk, 20));
    let first = disk.files()[0].clone();
    let length = disk.content(&first).unwrap().len();
    disk.flip_bit(&first, length - 1, 0);
    let entries_in_first_segment = {
        let other = VirtualDisk::new(2);
        let mut entries_in_first_segment = 0;
        while other.files().len() < 2 {
            entries_in_first_segment += 1;
            other.wipe();
            drop(log_with(&other, entries_in_first_segment));
        }
        entries_in_first_segment - 1
    };
    assert_eq!(
        damage(open(&disk)).first_lost,
        LogIndex(entries_in_first_segment)
    );
}

#[rstest]
#[case::oldest_stays_unknown(0, None)]
#[case::in_between(1, Some("the preceding segment is missing"))]
fn a_missing_segment(#[case] number: usize, #[case] reason: Option<&str>) {
    let disk = VirtualDisk::new(3);
    drop(log_with(&disk, 30));
    let path = disk.files()[number].clone();
    disk.remove(&path).unwrap();
    match (open(&disk), reason) {
        // The same as after compaction: the caller compares the first index with its snapshot.
        (OpenedLog::Intact(log), None) => assert!(log.first_index() > LogIndex(1)),
        (OpenedLog::Damaged(found), Some(reason)) => assert_eq!(found.reason, reason),
        (OpenedLog::Intact(_), Some(_)) => panic!("the missing segment was not detected"),
        (OpenedLog::Damaged(found), None) => panic!("{found}"),
    }
}

#[test]
fn a_missing_log_is_damage() {
    let disk = VirtualDisk::new(4);
    assert_eq!(damage(open(&disk)).first_lost, LogIndex(1));
}

#[test]
fn a_truncated_sealed_segment_is_damage() {
    let disk = VirtualDisk::new(5);
    drop(log_with(&disk, 30));
    let path = disk.files()[1].clone();
    let content = disk.content(&path).unwrap();
    for cut in 0..content.len() {
        disk.damage(&path, |bytes| bytes.truncate(cut));
        damage(open(&disk));
        disk.damage(&path, |bytes| bytes.clone_from(&content));
    }
}

#[test]
fn a_crash_preserves_synced_entries_and_loses_or_keeps_unsynced_ones_together() {
    for seed in 0..500 {
        let disk = VirtualDisk::new(seed);
        let mut log = log_with(&disk, 12);
        for index in 13..=16 {
            log.append(&[entry(index, 2)]).unwrap();
        }
        // The write reaches the disk only partly, because its sync fails.
        disk.fail_syncs(0, 1);
        assert!(log.sync().is_err());
        disk.crash();
        let log = intact(open(&disk));
        let last = log.last_index().0;
        assert!(last == 12 || last == 16, "seed {seed}: {last}");
        let entries = all_entries(&log);
        assert_eq!(entries[11], entry(12, 1));
        assert_eq!(entries.len() as u64, last);
    }
}

#[test]
fn the_log_refuses_changes_after_a_failed_sync() {
    let disk = VirtualDisk::new(6);
    let mut log = log_with(&disk, 3);
    log.append(&[entry(4, 1)]).unwrap();
    disk.fail_syncs(0, 1);
    let errors = [
        log.sync().unwrap_err(),
        log.sync().unwrap_err(),
        log.append(&[entry(5, 1)]).unwrap_err(),
        log.set_hard_state(&hard_state(9, 0)).unwrap_err(),
        log.truncate_after(LogIndex(1)).unwrap_err(),
        log.compact_to(LogIndex(2), Term(1)).unwrap_err(),
        log.reset_to(LogIndex(9), Term(1)).unwrap_err(),
    ];
    for error in errors {
        assert_eq!(*error.current_context(), ErrorKind::Io);
    }
    assert!(log.has_failed());
}

#[test]
fn reopening_makes_the_writes_of_a_failed_sync_durable() {
    for seed in 0..50 {
        let disk = VirtualDisk::new(seed);
        let mut log = log_with(&disk, 3);
        log.append(&[entry(4, 1)]).unwrap();
        disk.fail_syncs(0, 1);
        assert!(log.sync().is_err());
        disk.stop_process();
        let reopened = intact(open(&disk)).last_index();
        assert_eq!(reopened, LogIndex(4));
        disk.crash();
        assert_eq!(intact(open(&disk)).last_index(), reopened, "seed {seed}");
    }
}

#[test]
fn a_sync_on_a_full_disk_fails_and_can_be_retried() {
    let disk = VirtualDisk::new(7);
    let mut log = log_with(&disk, 10);
    for free_bytes in 0..400 {
        disk.set_capacity(disk.used_bytes() + free_bytes);
        let next = log.last_index().0 + 1;
        log.append(&[entry(next, 1), entry(next + 1, 1)]).unwrap();
        if let Err(error) = log.sync() {
            assert_eq!(*error.current_context(), ErrorKind::StorageFull);
            let readable = log.entries(LogIndex(next), LogIndex(next + 1), 1).unwrap();
            assert_eq!(readable, [entry(next, 1)]);
            disk.set_capacity(u64::MAX);
            log.sync().unwrap();
        }
    }
    let last = log.last_index().0;
    drop(log);
    disk.crash();
    let entries = all_entries(&intact(open(&disk)));
    let expected: Vec<_> = (1..=last).map(|index| entry(index, 1)).collect();
    assert_eq!(entries, expected);
}

#[test]
fn a_crash_between_a_segments_creation_and_its_directory_sync_loses_no_acknowledged_entry() {
    for seed in 0..200 {
        let disk = VirtualDisk::new(seed);
        let mut log = log_with(&disk, 1);
        let mut synced = 1;
        while disk.files().len() < 2 {
            log.append(&[entry(synced + 1, 1)]).unwrap();
            let files_before = disk.files().len();
            // The file's sync succeeds, the directory's fails.
            if next_append_starts_a_segment(&disk) {
                disk.fail_syncs(1, 1);
            }
            match log.sync() {
                Ok(()) => synced += 1,
                Err(_) => assert_eq!(disk.files().len(), files_before + 1),
            }
        }
        disk.clear_faults();
        disk.crash();
        let log = intact(open(&disk));
        assert!(log.last_index().0 >= synced, "seed {seed}");
    }
}

fn next_append_starts_a_segment(disk: &VirtualDisk) -> bool {
    disk.content(&last_file(disk)).unwrap().len() as u64 >= LIMITS.segment_bytes
}

#[test]
fn a_reset_discards_earlier_entries_and_can_be_repeated_after_a_crash() {
    for seed in 0..200 {
        let disk = VirtualDisk::new(seed);
        let mut log = log_with(&disk, 25);
        log.set_hard_state(&hard_state(7, 25)).unwrap();
        // The failing sync is that of the new segment, its directory or the removal, or there is none.
        disk.fail_syncs(seed as u32 % 4, 1);
        let succeeded = log.reset_to(LogIndex(100), Term(6)).is_ok();
        assert_eq!(succeeded, seed % 4 == 3);
        disk.clear_faults();
        disk.crash();
        let mut log = intact(open(&disk));
        if succeeded {
            assert_eq!(log.last_index(), LogIndex(100));
            assert_eq!(*log.hard_state(), hard_state(7, 25));
        }
        assert!(log.last_index() == LogIndex(100) || log.last_index() == LogIndex(25));
        log.reset_to(LogIndex(200), Term(8)).unwrap();
        log.append(&[entry(201, 8)]).unwrap();
        log.sync().unwrap();
        drop(log);
        let log = intact(open(&disk));
        assert_eq!(log.first_index(), LogIndex(201));
        assert_eq!(log.term(LogIndex(200)), Some(Term(8)));
        assert_eq!(all_entries(&log), [entry(201, 8)]);
    }
}

#[test]
fn an_entry_damaged_while_the_log_is_open_is_reported_when_read() {
    let disk = VirtualDisk::new(8);
    let log = log_with(&disk, 20);
    let first = disk.files()[0].clone();
    let length = disk.content(&first).unwrap().len();
    disk.flip_bit(&first, length / 2, 3);
    let end = LogIndex(21);
    let error = log.entries(LogIndex(1), end, usize::MAX).unwrap_err();
    assert_eq!(*error.current_context(), ErrorKind::Corrupted);
}

/// The first entry has `first_bytes`, each of the forty others 200 KiB.
#[rstest]
#[case::short(1_000)]
#[case::as_long_as_the_limit(1 << 20)]
#[case::longer_than_a_read(6 << 20)]
fn a_read_respects_its_limit_for_any_size_of_the_first_entry(#[case] first_bytes: usize) {
    const LIMIT: usize = 1 << 20;
    const OTHER: usize = 200 << 10;
    let disk = VirtualDisk::new(9);
    let mut log = Log::create(files(&disk), LogLimits::default()).unwrap();
    for index in 1..=41 {
        let length = if index == 1 { first_bytes } else { OTHER };
        let payload = EntryPayload::Command(vec![7; length]);
        let entry = Entry {
            payload,
            ..entry(index, 1)
        };
        log.append(&[entry]).unwrap();
    }
    log.sync().unwrap();
    drop(log);
    let log = intact(Log::open(files(&disk), LogLimits::default()).unwrap());
    let entries = log.entries(LogIndex(1), LogIndex(42), LIMIT).unwrap();
    let max_entries = if first_bytes < LIMIT {
        1 + LIMIT.div_ceil(OTHER)
    } else {
        1
    };
    assert!(
        (1..=max_entries).contains(&entries.len()),
        "{}",
        entries.len()
    );
}

#[test]
fn the_index_takes_four_bytes_an_entry() {
    let disk = VirtualDisk::new(9);
    let limits = linnethitch_storage::LogLimits::default();
    let mut log = Log::create(files(&disk), limits).unwrap();
    let entries: Vec<_> = (1..=20_000).map(|index| entry(index, 1)).collect();
    log.append(&entries).unwrap();
    log.sync().unwrap();
    drop(log);
    let OpenedLog::Intact(log) = Log::open(files(&disk), limits).unwrap() else {
        panic!("the log is damaged");
    };
    assert_eq!(log.index_bytes(), 4 * 20_000);
}
