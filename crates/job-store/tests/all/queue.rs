//! A job is admitted only if it fits into the queue of its route.

use linnethitch_group::StateMachine;
use linnethitch_job_store::{ItemOutcome, JobStore, QueueBound, QueueGate, StoreCommand};
use rstest::rstest;

use crate::support::{apply, item, job, report, snapshots, store_snapshot, submit};

/// Each item of the test jobs has 100 tokens.
fn bound(tokens: u64) -> QueueBound {
    QueueBound {
        host: "desk.example".to_owned(),
        path_prefix: "/lanes/".to_owned(),
        tenant: None,
        tokens,
    }
}

/// A store with two waiting items of 200 tokens in total.
fn store() -> JobStore {
    let mut store = JobStore::default();
    submit(&mut store, job("waiting", 2));
    store
}

/// Number of items of a further job, the bound in tokens, and whether the job is admitted.
#[rstest]
#[case::fits_exactly(3, 500, true)]
#[case::one_token_too_many(3, 499, false)]
#[case::larger_than_the_bound(6, 500, false)]
fn a_job_fits_or_not(#[case] items: u32, #[case] tokens: u64, #[case] admitted: bool) {
    let mut gate = QueueGate::default();
    let further = job("further", items);
    assert_eq!(
        gate.admits(&store(), &further, Some(&bound(tokens)), 0),
        admitted
    );
    assert!(gate.admits(&store(), &further, None, 0), "no bound");
}

/// What frees capacity for a job that does not fit.
#[rstest]
#[case::finished(|store: &mut JobStore| {
    report(store, item("waiting", 0), ItemOutcome::Succeeded(String::new()));
})]
#[case::given_up(|store: &mut JobStore| {
    report(store, item("waiting", 1), ItemOutcome::Unprocessable);
})]
#[case::ended(|store: &mut JobStore| {
    apply(store, &StoreCommand::End { job: "waiting".to_owned() });
})]
fn items_that_no_longer_wait_free_capacity(#[case] end: fn(&mut JobStore)) {
    let mut store = store();
    let mut gate = QueueGate::default();
    let further = job("further", 2);
    assert!(!gate.admits(&store, &further, Some(&bound(300)), 0));
    end(&mut store);
    assert!(gate.admits(&store, &further, Some(&bound(300)), 0));
}

#[test]
fn a_job_that_was_accepted_is_accepted_again() {
    let mut gate = QueueGate::default();
    assert!(gate.admits(&store(), &job("waiting", 2), Some(&bound(1)), 0));
}

#[test]
fn other_routes_do_not_count() {
    let mut gate = QueueGate::default();
    let mut other = bound(300);
    other.path_prefix = "/other/".to_owned();
    assert!(gate.admits(&store(), &job("further", 3), Some(&other), 0));
}

/// Two gateways submit jobs at the same time: the first job counts for the second although
/// the first is not in the store yet.
#[test]
fn admitted_jobs_count_before_they_are_committed() {
    let store = store();
    let mut gate = QueueGate::default();
    assert!(gate.admits(&store, &job("first", 2), Some(&bound(500)), 0));
    assert!(!gate.admits(&store, &job("second", 2), Some(&bound(500)), 5));
    assert!(gate.admits(&store, &job("first", 2), Some(&bound(500)), 10));
    // The command of the first job was lost, so the job stops counting.
    assert!(gate.admits(&store, &job("second", 2), Some(&bound(500)), 5_000));
}

/// A member that restarts from a snapshot restores totals and open jobs.
#[test]
fn totals_and_open_jobs_are_the_same_after_a_restart() {
    let mut store = store();
    submit(&mut store, job("ended", 1));
    submit(&mut store, job("done", 1));
    report(&mut store, item("waiting", 0), ItemOutcome::Unprocessable);
    report(&mut store, item("done", 0), ItemOutcome::Unprocessable);
    let end = StoreCommand::End {
        job: "ended".to_owned(),
    };
    apply(&mut store, &end);
    let mut snapshots = snapshots();
    let mut snapshot = store.begin_snapshot().expect("a snapshot");
    let content = store_snapshot(&mut snapshots, 1, &mut snapshot);
    let restored = JobStore::from_snapshot(content).expect("it is read");
    for store in [&store, &restored] {
        assert_eq!(store.waiting_tokens(&bound(0)), 100);
        assert_eq!(store.open_jobs().count(), 1);
    }
}

/// Further items, the memory of a store with two waiting items in further items of its size, and
/// whether the job is admitted: what remains free is as large as the job.
#[rstest]
#[case::as_much_remains_free(2, 6, true)]
#[case::less_remains_free(3, 6, false)]
#[case::a_smaller_job(1, 4, true)]
#[case::the_memory_is_full(1, 2, false)]
fn a_job_fits_into_memory_or_not(
    #[case] items: u32,
    #[case] memory_items: u64,
    #[case] admitted: bool,
) {
    let store = store();
    let item_bytes = store.item_bytes() / 2;
    let mut gate = QueueGate::new(memory_items * item_bytes);
    assert_eq!(
        gate.admits(&store, &job("further", items), None, 0),
        admitted
    );
    assert!(
        gate.admits(&store, &job("waiting", 2), None, 0),
        "accepted before"
    );
}

#[test]
fn a_job_that_is_alone_may_take_all_memory() {
    let empty = JobStore::default();
    let bytes = store().item_bytes();
    let waiting = job("waiting", 2);
    assert!(QueueGate::new(bytes).admits(&empty, &waiting, None, 0));
    assert!(!QueueGate::new(bytes - 1).admits(&empty, &waiting, None, 0));
}

#[test]
fn jobs_count_for_memory_before_they_are_committed() {
    let empty = JobStore::default();
    let mut gate = QueueGate::new(3 * store().item_bytes());
    assert!(gate.admits(&empty, &job("first", 2), None, 0));
    assert!(gate.admits(&empty, &job("second", 2), None, 0));
    assert!(!gate.admits(&empty, &job("third", 2), None, 0));
}

/// Memory of a store's items is the same after a restart, whatever happened to them.
#[rstest]
#[case::waiting(|_: &mut JobStore| {})]
#[case::listed(|store: &mut JobStore| {
    report(store, item("waiting", 0), ItemOutcome::Succeeded("text".to_owned()));
})]
#[case::ended(|store: &mut JobStore| {
    apply(store, &StoreCommand::End { job: "waiting".to_owned() });
})]
fn memory_of_items_is_the_same_after_a_restart(#[case] change: fn(&mut JobStore)) {
    let mut store = store();
    change(&mut store);
    let mut snapshots = snapshots();
    let mut snapshot = store.begin_snapshot().expect("a snapshot");
    let content = store_snapshot(&mut snapshots, 1, &mut snapshot);
    let restored = JobStore::from_snapshot(content).expect("it is read");
    assert_eq!(restored.item_bytes(), store.item_bytes());
}
