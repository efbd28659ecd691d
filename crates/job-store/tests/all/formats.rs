//! A job store writes snapshots in a format that every member of its group reads.

use linnethitch_group::{InMemorySnapshot, SnapshotSource, StateMachine};
use linnethitch_job_store::{JobStore, StoreCommand, TenantJob};
use linnethitch_protocol::{format::Format, ids::LogIndex};
use rstest::rstest;

use crate::support::{accepted_job, job, snapshots, store_snapshot, unhex};

/// Snapshots and commands recorded with the build of commit 4f0dab2, by name.
const RECORDED: &str = include_str!("../../../cluster/tests/recorded/format-1.txt");

fn recorded(name: &str) -> Vec<u8> {
    let mut lines = RECORDED.lines().filter_map(|line| line.split_once(' '));
    let found = lines.find(|(found, _)| *found == name);
    unhex(found.expect("it is recorded").1)
}

fn restored(bytes: Vec<u8>) -> JobStore {
    let mut source = InMemorySnapshot::new(bytes);
    let content = store_snapshot(&mut snapshots(), 1, &mut source);
    JobStore::from_snapshot(content).expect("it is read")
}

fn snapshot_of(store: &JobStore) -> Vec<u8> {
    let mut snapshot = store.begin_snapshot().expect("a snapshot");
    let mut bytes = Vec::new();
    while let Some(piece) = snapshot.next_piece().expect("a piece") {
        bytes.extend(piece);
    }
    bytes
}

#[test]
fn a_first_format_snapshot_is_written_back_unchanged() {
    let bytes = recorded("stored-store-snapshot");
    let store = restored(bytes.clone());
    assert_eq!(store.format(), Format::First);
    assert_eq!(snapshot_of(&store), bytes);
}

#[test]
fn one_entry_in_the_newest_format_raises_the_format_permanently() {
    let mut store = restored(recorded("stored-store-snapshot"));
    let raise = StoreCommand::raise_format(Format::NEWEST).expect("it is encoded");
    store.apply(LogIndex(50), &raise).expect("it is applied");
    assert_eq!(store.format(), Format::NEWEST);
    let late = recorded("stored-store-progress");
    store.apply(LogIndex(51), &late).expect("it is applied");
    assert_eq!(store.format(), Format::NEWEST);
    assert_eq!(restored(snapshot_of(&store)).format(), Format::NEWEST);
}

/// Guards against a job whose route is unknown after a restart or at another member: its items
/// could be given up under a table that is older than the route.
#[rstest]
#[case::third(Format::Third, false)]
#[case::fourth(Format::Fourth, true)]
fn routes_of_jobs_are_stored_in_the_fourth_format(
    #[case] format: Format,
    #[case] is_stored: bool,
    #[values(false, true)] of_a_tenant: bool,
) {
    let submitted = accepted_job("j", 8, 1);
    let command = if of_a_tenant {
        let tenant = "desk".to_owned();
        let job = submitted.clone();
        StoreCommand::SubmitFor(Box::new(TenantJob { tenant, job }))
    } else {
        StoreCommand::Submit(submitted.clone())
    };
    let mut store = JobStore::default();
    let raise = StoreCommand::raise_format(format).expect("it is encoded");
    store.apply(LogIndex(1), &raise).expect("it is applied");
    let stored = command.to_stored_in(format).expect("it is encoded");
    store.apply(LogIndex(2), &stored).expect("it is applied");
    let expected = if is_stored { submitted } else { job("j", 1) };
    let expected = expected.route;
    for store in [restored(snapshot_of(&store)), store] {
        assert_eq!(store.format(), format);
        let job = store.job("j").expect("it is stored");
        assert_eq!(job.route().cloned(), expected);
    }
}
