//! Data folders that are refused without a change to their files, and interrupted formatting.

use std::{collections::BTreeMap, sync::Arc};

use linnethitch_errors::ErrorKind;
use linnethitch_protocol::ids::{DiskId, MachineId};
use linnethitch_storage::{
    DataFolder, FileSystem, FolderIdentity, FolderRole, OpenMode, OpenedLog, VirtualDisk,
};
use rstest::rstest;

use crate::support::{LIMITS, files, identity, intact, open_folder};

fn formatted() -> VirtualDisk {
    let disk = VirtualDisk::new(0);
    let mut folder = open_folder(&disk, 7).unwrap();
    drop(folder.open_log(LIMITS).unwrap());
    disk
}

fn contents(disk: &VirtualDisk) -> BTreeMap<String, Vec<u8>> {
    let files = disk.files().into_iter();
    files
        .map(|path| (path.clone(), disk.content(&path).unwrap()))
        .collect()
}

fn write(disk: &VirtualDisk, path: &str, content: &[u8]) {
    let mut file = disk.open(path, OpenMode::CreateOrTruncate).unwrap();
    file.write_at(0, content).unwrap();
    file.sync().unwrap();
}

fn other_cluster() -> FolderIdentity {
    FolderIdentity {
        cluster: "other".to_owned(),
        ..identity()
    }
}

fn other_machine() -> FolderIdentity {
    FolderIdentity {
        machine: MachineId(2),
        ..identity()
    }
}

fn other_role() -> FolderIdentity {
    FolderIdentity {
        role: FolderRole::Gateway,
        ..identity()
    }
}

/// Sets a newer format version, with a valid checksum.
fn newer_format(disk: &VirtualDisk) {
    disk.damage("identity", |bytes| {
        bytes[12] = 2;
        let checksum = crc32fast::hash(&bytes[12..]).to_le_bytes();
        bytes[8..12].copy_from_slice(&checksum);
    });
}

fn flipped_identity(disk: &VirtualDisk) {
    disk.flip_bit("identity", 20, 1);
}

fn short_identity(disk: &VirtualDisk) {
    disk.damage("identity", |bytes| bytes.truncate(5));
}

fn lost_identity(disk: &VirtualDisk) {
    disk.remove("identity").unwrap();
}

fn foreign_file(disk: &VirtualDisk) {
    disk.wipe();
    write(disk, "photo.jpeg", b"not ours");
}

fn unchanged(_disk: &VirtualDisk) {}

#[rstest]
#[case::other_cluster(unchanged, other_cluster(), "belongs to cluster")]
#[case::other_machine(unchanged, other_machine(), "machine 1")]
#[case::other_role(unchanged, other_role(), "Gateway")]
#[case::newer_format(newer_format, identity(), "format version 2")]
#[case::flipped_bit(flipped_identity, identity(), "fails its checksum")]
#[case::short(short_identity, identity(), "fails its checksum")]
#[case::identity_lost(lost_identity, identity(), "no identity file")]
#[case::foreign(foreign_file, identity(), "photo.jpeg")]
fn a_foreign_or_damaged_folder_is_refused_and_unchanged(
    #[case] change: fn(&VirtualDisk),
    #[case] requested: FolderIdentity,
    #[case] message: &str,
) {
    let disk = formatted();
    change(&disk);
    let before = contents(&disk);
    let refusal = DataFolder::open_or_format(files(&disk), &requested, DiskId(9))
        .err()
        .expect("the folder must be refused");
    assert_eq!(*refusal.current_context(), ErrorKind::DataFolderRefused);
    assert!(format!("{refusal:?}").contains(message), "{refusal:?}");
    assert_eq!(contents(&disk), before);
}

#[test]
fn a_second_process_cannot_open_a_folder_in_use() {
    let disk = formatted();
    let first = open_folder(&disk, 8).unwrap();
    let before = contents(&disk);
    let refusal = open_folder(&disk, 9).err().unwrap();
    assert_eq!(*refusal.current_context(), ErrorKind::DataFolderRefused);
    assert_eq!(contents(&disk), before);
    drop(first);
    assert_eq!(open_folder(&disk, 9).unwrap().disk(), DiskId(7));
}

#[test]
fn formatting_interrupted_at_any_sync_can_be_repeated() {
    for seed in 0..50 {
        for successful_syncs in 0.. {
            let disk = VirtualDisk::new(seed);
            disk.fail_syncs(successful_syncs, 1);
            let opened = open_folder(&disk, 7).and_then(|mut folder| {
                folder.open_log(LIMITS)?;
                Ok(folder.disk())
            });
            disk.clear_faults();
            disk.crash();
            let mut folder = open_folder(&disk, 8).unwrap();
            if opened.is_ok() {
                assert_eq!(folder.disk(), DiskId(7));
                assert!(!folder.is_blank());
            }
            let log = folder.open_log(LIMITS).unwrap();
            assert!(matches!(log, OpenedLog::Intact(_)), "seed {seed}");
            if opened.is_ok() {
                break;
            }
        }
    }
}

#[test]
fn formatting_a_full_disk_fails_and_can_be_repeated_with_free_space() {
    for capacity in (0..600).step_by(20) {
        let disk = VirtualDisk::new(capacity);
        disk.set_capacity(capacity);
        let opened = open_folder(&disk, 7).and_then(|mut folder| folder.open_log(LIMITS));
        if let Err(error) = &opened {
            assert_eq!(*error.current_context(), ErrorKind::StorageFull);
        }
        drop(opened);
        disk.clear_faults();
        let mut folder = open_folder(&disk, 8).unwrap();
        drop(intact(folder.open_log(LIMITS).unwrap()));
    }
}

#[test]
fn reformatting_a_damaged_folder_makes_it_blank_under_a_new_disk_id() {
    for seed in 0..100 {
        let disk = VirtualDisk::new(seed);
        let mut folder = open_folder(&disk, 7).unwrap();
        drop(folder.open_log(LIMITS).unwrap());
        disk.flip_bit("log/0000000000000001.log", 30, 2);
        assert!(matches!(
            folder.open_log(LIMITS).unwrap(),
            OpenedLog::Damaged(_)
        ));
        if seed % 2 == 0 {
            folder.reformat(DiskId(8)).unwrap();
        } else {
            disk.fail_syncs((seed / 2 % 4) as u32, 1);
            assert!(folder.reformat(DiskId(8)).is_err());
        }
        drop(folder);
        disk.clear_faults();
        disk.crash();
        let mut folder = open_folder(&disk, 9).unwrap();
        match folder.disk() {
            DiskId(8) => {
                assert!(folder.is_blank());
                let log = intact(folder.open_log(LIMITS).unwrap());
                assert_eq!(log.last_index().0, 0);
            }
            // The new identity was not durable yet, so the damage is still reported.
            other => {
                assert_eq!(other, DiskId(7));
                let opened = folder.open_log(LIMITS).unwrap();
                assert!(matches!(opened, OpenedLog::Damaged(_)));
            }
        }
    }
}

#[test]
fn reformatting_moves_the_damaged_log_to_its_own_directory() {
    let disk = formatted();
    let mut folder = open_folder(&disk, 8).unwrap();
    folder.reformat(DiskId(8)).unwrap();
    let damaged_log = "damaged-0000000000000007/log/0000000000000001.log";
    assert!(disk.files().iter().any(|path| path == damaged_log));
    let files: Arc<dyn FileSystem> = files(&disk);
    assert!(!files.exists("log").unwrap());
}
