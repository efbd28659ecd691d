//! Once a stored snapshot contains a text, the text is released from memory and read from the
//! snapshot.

use std::sync::Arc;

use linnethitch_errors::ErrorKind;
use linnethitch_group::{
    GroupMember, GroupOutput, GroupSettings, InMemorySnapshot, StateMachine, bootstrap_disk,
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
    let results = page.expect("the job is stored").results;
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
    // Reported while the snapshot is being written.
    succeed(&mut store, "j", 2, "two");
    let content = store_snapshot(&mut snapshots, 1, &mut first);
    store.snapshot_stored(first, content);
    assert_eq!(store.in_memory_text_bytes(), "two".len());
    assert_eq!(texts(&store, "j"), ["zero", "", "two"]);
    // The next snapshot reads the older texts from the previous snapshot.
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

/// Content that is not a readable snapshot, and the kind of the error.
#[rstest]
#[case::empty(&[], ErrorKind::Corrupted)]
#[case::noise(&[7; 40], ErrorKind::Corrupted)]
#[case::damaged_tenants(&[3, 9, 9, 9, 4, 0, 0, 0, 0, 0, 0, 0], ErrorKind::Corrupted)]
#[case::damaged_runs(&[4, 9, 9, 9, 4, 0, 0, 0, 0, 0, 0, 0], ErrorKind::Corrupted)]
#[case::unknown_layout(&[7, 0, 0, 0, 4, 0, 0, 0, 0, 0, 0, 0], ErrorKind::DataFolderRefused)]
fn corruption_and_unknown_layouts_are_distinguished(
    #[case] content: &[u8],
    #[case] kind: ErrorKind,
) {
    let mut source = InMemorySnapshot::new(content.to_vec());
    let content = store_snapshot(&mut snapshots(), 1, &mut source);
    let refused = JobStore::from_snapshot(content).map(|_| ());
    assert_eq!(*refused.expect_err("refused").current_context(), kind);
}

const SNAPSHOT_LOG_BYTES: u64 = 256 * 1024;
const TEXT_BYTES: usize = 8 * 1024;
const ITEMS: u32 = 400;
/// Texts of the log since the second newest snapshot, plus texts added while a snapshot was
/// written.
const MAX_IN_MEMORY_BYTES: usize = 4 * SNAPSHOT_LOG_BYTES as usize;

fn open(disk: &VirtualDisk, first: bool) -> GroupMember<JobStore> {
    let own = MachineId(1);
    let disk_id = bootstrap_disk(own);
    let mut settings = GroupSettings::new("test", FolderRole::Store, own, disk_id);
    settings.snapshot_log_bytes = SNAPSHOT_LOG_BYTES;
    settings.log_limits.segment_bytes = SNAPSHOT_LOG_BYTES / 2;
    settings.retained_snapshots = 1;
    settings.first_members = first.then(|| {
        vec![MemberId {
            machine: own,
            disk: disk_id,
        }]
    });
    GroupMember::open(settings, Arc::new(disk.clone()), 0).expect("the folder opens")
}

/// Runs the only member of a group; returns the maximum bytes of text in memory.
fn run(member: &mut GroupMember<JobStore>, now_ms: &mut u64, commands: &[StoreCommand]) -> usize {
    let mut max_in_memory = 0;
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
        max_in_memory = max_in_memory.max(member.state().in_memory_text_bytes());
    }
    assert_eq!(commands.len(), 0, "every command was proposed");
    max_in_memory
}

/// Guards against a store that holds all texts in memory, and a second copy while it writes a
/// snapshot: such a process was killed for its memory use, and again after each restart.
#[test]
fn a_member_holds_few_texts_in_memory_also_after_a_restart() {
    let disk = VirtualDisk::new(7);
    let mut member = open(&disk, true);
    let mut commands = vec![StoreCommand::Submit(job("j", ITEMS))];
    commands.extend((0..ITEMS).map(|number| StoreCommand::Report {
        item: item("j", number),
        outcome: ItemOutcome::Succeeded(format!("{number:0>TEXT_BYTES$}")),
    }));
    let mut now_ms = 0;
    let max_in_memory = run(&mut member, &mut now_ms, &commands);
    assert!(
        max_in_memory <= MAX_IN_MEMORY_BYTES,
        "{max_in_memory} bytes in memory"
    );
    drop(member);
    disk.crash();
    let mut member = open(&disk, false);
    let max_in_memory = run(&mut member, &mut now_ms, &[]);
    assert!(
        max_in_memory <= MAX_IN_MEMORY_BYTES,
        "{max_in_memory} bytes in memory"
    );
    let page = member.state().results("j", 0, u32::MAX);
    let results = page
        .expect("texts are read")
        .expect("the job is stored")
        .results;
    assert_eq!(results.len(), ITEMS as usize);
    for (number, result) in results.iter().enumerate() {
        assert_eq!(result.text, format!("{number:0>TEXT_BYTES$}"));
    }
}

/// A snapshot written by a build without run ids: tenant "t" has the job "j", whose item has
/// generated the events "a" and "b".
const SNAPSHOT_WITHOUT_RUN_IDS: &str = "036465736b2e6578616d706c650000000000000000000000006a2d6974656d2d302f6c616e65732f30e8ffff\
     ff00000000e0ffffff04000000640000000000000000000000000000006affffffffffffff8c000000b0ffff\
     ff2f6c616e65732fff0300000000000000204e000000000000307500000000000098ffffff00000000000000\
     0000000000010000000000000088ffffff01000000b0ffffff00000000000000000000000061ffffffffffff\
     ff62ffffffffffffff6affffffffffffff0000000000000000e0ffffff020000000100000000000000020000\
     00000000006affffffffffffff74ffffffffffffff58ffffff010000000100000000000000b8ffffff010000\
     00d8ffffff010000001101000000000000";

#[test]
fn a_snapshot_without_run_ids_is_read() {
    let bytes = unhex(SNAPSHOT_WITHOUT_RUN_IDS);
    let mut source = InMemorySnapshot::new(bytes);
    let content = store_snapshot(&mut snapshots(), 1, &mut source);
    let store = JobStore::from_snapshot(content).expect("it is read");
    assert!(store.is_visible("j", Some("t")) && !store.is_visible("j", Some("u")));
    let work = Dispatcher::default().lease(&store, "gateway", 1, 0, 0);
    let generated = &work.first().expect("an open item").generated;
    assert_eq!(generated.generated.events, ["a", "b"]);
    assert_eq!(generated.reported_by, RunId::UNKNOWN);
}
