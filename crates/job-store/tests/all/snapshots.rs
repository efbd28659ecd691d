//! Texts leave the memory once a snapshot holds them, and are read from there.

use std::sync::Arc;

use linnethitch_errors::ErrorKind;
use linnethitch_group::{
    GroupMember, GroupOutput, GroupSettings, StateMachine, WholeSnapshot, bootstrap_disk,
};
use linnethitch_job_store::{Dispatcher, ItemOutcome, JobStore, RunId, StoreCommand};
use linnethitch_protocol::ids::{MachineId, MemberId};
use linnethitch_storage::{FolderRole, VirtualDisk};
use rstest::rstest;

use crate::support::{item, job, report, snapshots, store_snapshot, submit, unhex};

const PAGE: u32 = 1_000_000;

fn succeed(store: &mut JobStore, id: &str, number: u32, text: &str) {
    let outcome = ItemOutcome::Succeeded(text.to_owned());
    report(store, item(id, number), outcome);
}

fn texts(store: &JobStore, job: &str) -> Vec<String> {
    let page = store.results(job, 0, PAGE).expect("texts are read");
    let results = page.expect("the job is held").results;
    results.into_iter().map(|result| result.text).collect()
}

#[test]
fn texts_are_read_from_the_newest_snapshot_that_holds_them() {
    let mut snapshots = snapshots();
    let mut store = JobStore::default();
    submit(&mut store, job("j", 4));
    succeed(&mut store, "j", 0, "zero");
    succeed(&mut store, "j", 1, "");
    let mut first = store.begin_snapshot().expect("a snapshot");
    // This one comes while the snapshot is written.
    succeed(&mut store, "j", 2, "two");
    let content = store_snapshot(&mut snapshots, 1, &mut first);
    store.snapshot_stored(first, content);
    assert_eq!(store.in_memory_text_bytes(), "two".len());
    assert_eq!(texts(&store, "j"), ["zero", "", "two"]);
    // The next snapshot takes the older texts from the one before it.
    let mut second = store.begin_snapshot().expect("a snapshot");
    let content = store_snapshot(&mut snapshots, 2, &mut second);
    store.snapshot_stored(second, content.clone());
    succeed(&mut store, "j", 3, "three");
    assert_eq!(store.in_memory_text_bytes(), "three".len());
    assert_eq!(texts(&store, "j"), ["zero", "", "two", "three"]);
    let restored = JobStore::from_snapshot(content).expect("it is read");
    assert_eq!(restored.in_memory_text_bytes(), 0);
    assert_eq!(texts(&restored, "j"), ["zero", "", "two"]);
}

/// Content that is no snapshot of a store, and what is said of it.
#[rstest]
#[case::empty(&[], ErrorKind::Corrupted)]
#[case::noise(&[7; 40], ErrorKind::Corrupted)]
#[case::damaged_tenants(&[3, 9, 9, 9, 4, 0, 0, 0, 0, 0, 0, 0], ErrorKind::Corrupted)]
#[case::damaged_runs(&[4, 9, 9, 9, 4, 0, 0, 0, 0, 0, 0, 0], ErrorKind::Corrupted)]
#[case::other_layout(&[5, 0, 0, 0, 4, 0, 0, 0, 0, 0, 0, 0], ErrorKind::DataFolderRefused)]
fn damage_and_other_layouts_are_told_apart(#[case] content: &[u8], #[case] kind: ErrorKind) {
    let mut source = WholeSnapshot::new(content.to_vec());
    let content = store_snapshot(&mut snapshots(), 1, &mut source);
    let refused = JobStore::from_snapshot(content).map(|_| ());
    assert_eq!(*refused.expect_err("refused").current_context(), kind);
}

const SNAPSHOT_LOG_BYTES: u64 = 256 * 1024;
const TEXT_BYTES: usize = 8 * 1024;
const ITEMS: u32 = 400;
/// Texts of the log since the snapshot before the newest one, and some that came
/// while a snapshot was written.
const MOST_HELD_BYTES: usize = 4 * SNAPSHOT_LOG_BYTES as usize;

fn open(disk: &VirtualDisk, first: bool) -> GroupMember<JobStore> {
    let own = MachineId(1);
    let disk_id = bootstrap_disk(own);
    let mut settings = GroupSettings::new("test", FolderRole::Store, own, disk_id);
    settings.snapshot_log_bytes = SNAPSHOT_LOG_BYTES;
    settings.log_limits.segment_bytes = SNAPSHOT_LOG_BYTES / 2;
    settings.kept_snapshots = 1;
    settings.first_members = first.then(|| {
        vec![MemberId {
            machine: own,
            disk: disk_id,
        }]
    });
    GroupMember::open(settings, Arc::new(disk.clone()), 0).expect("the folder opens")
}

/// Lets a member alone in its group work; returns the most text that it held.
fn run(member: &mut GroupMember<JobStore>, now_ms: &mut u64, commands: &[StoreCommand]) -> usize {
    let mut most_held = 0;
    let mut commands = commands.iter();
    let mut open = 0;
    for _ in 0..4 * ITEMS {
        *now_ms += 50;
        member.tick(*now_ms);
        if member.is_leader()
            && let Some(command) = commands.next()
        {
            open += 1;
            member.propose(open, command.to_stored().expect("it is encoded"));
        }
        member.flush().expect("a virtual disk works");
        for output in member.take_outputs() {
            assert!(!matches!(output, GroupOutput::Failed { .. }));
        }
        most_held = most_held.max(member.state().in_memory_text_bytes());
    }
    assert_eq!(commands.len(), 0, "every command was proposed");
    most_held
}

/// The failure this is for: a store held every text in memory, and once more for a
/// snapshot, until it was ended for its memory and ended again at each start.
#[test]
fn a_member_holds_few_texts_whatever_it_keeps_and_after_a_restart() {
    let disk = VirtualDisk::new(7);
    let mut member = open(&disk, true);
    let mut commands = vec![StoreCommand::Submit(job("j", ITEMS))];
    commands.extend((0..ITEMS).map(|number| StoreCommand::Report {
        item: item("j", number),
        outcome: ItemOutcome::Succeeded(format!("{number:0>TEXT_BYTES$}")),
    }));
    let mut now_ms = 0;
    let most_held = run(&mut member, &mut now_ms, &commands);
    assert!(most_held <= MOST_HELD_BYTES, "{most_held} bytes held");
    drop(member);
    disk.crash();
    let mut member = open(&disk, false);
    let most_held = run(&mut member, &mut now_ms, &[]);
    assert!(most_held <= MOST_HELD_BYTES, "{most_held} bytes held");
    let page = member.state().results("j", 0, u32::MAX);
    let results = page.expect("texts are read").expect("it is held").results;
    assert_eq!(results.len(), ITEMS as usize);
    for (number, result) in results.iter().enumerate() {
        assert_eq!(result.text, format!("{number:0>TEXT_BYTES$}"));
    }
}

/// A snapshot as a build without marks of runs wrote it: of tenant "t" the job "j", whose
/// item made "a" and "b".
const UNMARKED_SNAPSHOT: &str = "036465736b2e6578616d706c650000000000000000000000006a2d6974656d2d302f6c616e65732f30e8ffff\
     ff00000000e0ffffff04000000640000000000000000000000000000006affffffffffffff8c000000b0ffff\
     ff2f6c616e65732fff0300000000000000204e000000000000307500000000000098ffffff00000000000000\
     0000000000010000000000000088ffffff01000000b0ffffff00000000000000000000000061ffffffffffff\
     ff62ffffffffffffff6affffffffffffff0000000000000000e0ffffff020000000100000000000000020000\
     00000000006affffffffffffff74ffffffffffffff58ffffff010000000100000000000000b8ffffff010000\
     00d8ffffff010000001101000000000000";

#[test]
fn a_snapshot_without_marks_of_runs_is_read() {
    let bytes = unhex(UNMARKED_SNAPSHOT);
    let mut source = WholeSnapshot::new(bytes);
    let content = store_snapshot(&mut snapshots(), 1, &mut source);
    let store = JobStore::from_snapshot(content).expect("it is read");
    assert!(store.is_visible("j", Some("t")) && !store.is_visible("j", Some("u")));
    let work = Dispatcher::default().lease(&store, "gateway", 1, 0, 0);
    let made = &work.first().expect("an open item").made;
    assert_eq!(made.made.events, ["a", "b"]);
    assert_eq!(made.told_by, RunId::UNKNOWN);
}
