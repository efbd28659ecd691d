//! Accepted jobs are retained, each item is listed once, positions of results are fixed.

use linnethitch_group::StateMachine;
use linnethitch_job_store::{ItemOutcome, JobStore, ListedState, StoreAnswer, StoreCommand};
use rstest::rstest;

use crate::support::{advance_time, apply, item, job, report, snapshots, store_snapshot, submit};

const PAGE: u32 = 1_000_000;

fn texts(store: &JobStore, job: &str, since: u32) -> Vec<(String, ListedState, String)> {
    let page = store.results(job, since, PAGE).expect("texts are read");
    let page = page.expect("the job is stored");
    let results = page.results.into_iter();
    results.map(|r| (r.id, r.state, r.text)).collect()
}

#[test]
fn a_resubmitted_job_is_accepted_once() {
    let mut store = JobStore::default();
    submit(&mut store, job("j", 2));
    report(
        &mut store,
        item("j", 1),
        ItemOutcome::Succeeded("one".to_owned()),
    );
    assert_eq!(submit(&mut store, job("j", 2)), StoreAnswer::Done);
    assert_eq!(texts(&store, "j", 0).len(), 1);
    assert_eq!(store.len(), 1);
}

/// Two reports of one item; the first report that lists the item counts.
#[rstest]
#[case::second_text(ItemOutcome::Succeeded("b".to_owned()))]
#[case::given_up_later(ItemOutcome::Unprocessable)]
#[case::route_removed_later(ItemOutcome::RouteRemoved)]
#[case::failed_later(ItemOutcome::Failed { failures_before: 0 })]
fn the_first_result_of_an_item_counts(#[case] second: ItemOutcome) {
    let mut store = JobStore::default();
    submit(&mut store, job("j", 2));
    report(
        &mut store,
        item("j", 0),
        ItemOutcome::Succeeded("a".to_owned()),
    );
    report(&mut store, item("j", 0), second);
    let listed = texts(&store, "j", 0);
    assert_eq!(
        listed,
        [(
            "j-item-0".to_owned(),
            ListedState::Succeeded,
            "a".to_owned()
        )]
    );
}

#[test]
fn positions_follow_the_order_of_reports_and_are_fixed() {
    let mut store = JobStore::default();
    submit(&mut store, job("j", 3));
    for number in [2, 0, 1] {
        report(
            &mut store,
            item("j", number),
            ItemOutcome::Succeeded(number.to_string()),
        );
    }
    let all: Vec<String> = texts(&store, "j", 0).into_iter().map(|r| r.2).collect();
    assert_eq!(all, ["2", "0", "1"]);
    assert_eq!(texts(&store, "j", 2)[0].2, "1");
    assert!(texts(&store, "j", 3).is_empty());
}

/// Failures before each report, and whether the item is given up after them.
#[rstest]
#[case::three_failures(&[0, 1, 2], true)]
#[case::two_failures(&[0, 1], false)]
#[case::duplicate_reports(&[0, 0, 1, 1], false)]
fn an_item_is_given_up_after_the_maximum_of_attempts(
    #[case] reports: &[u32],
    #[case] given_up: bool,
) {
    let mut store = JobStore::default();
    submit(&mut store, job("j", 1));
    for failures_before in reports {
        let failures_before = *failures_before;
        report(
            &mut store,
            item("j", 0),
            ItemOutcome::Failed { failures_before },
        );
    }
    assert_eq!(!store.is_item_open(&item("j", 0)), given_up);
    let listed = texts(&store, "j", 0);
    assert_eq!(listed.iter().any(|r| r.1 == ListedState::GivenUp), given_up);
}

#[test]
fn the_body_of_an_item_is_stored_until_the_item_is_listed() {
    let mut store = JobStore::default();
    submit(&mut store, job("j", 2));
    assert_eq!(store.body("j", "j-item-1"), Some([1; 4].as_slice()));
    report(&mut store, item("j", 1), ItemOutcome::Unprocessable);
    assert_eq!(store.body("j", "j-item-1"), None);
    assert_eq!(store.body("j", "nobody"), None);
    assert_eq!(store.body("other", "j-item-0"), None);
}

#[test]
fn an_ended_job_runs_no_items_and_keeps_its_results() {
    let mut store = JobStore::default();
    submit(&mut store, job("j", 2));
    report(
        &mut store,
        item("j", 0),
        ItemOutcome::Succeeded("a".to_owned()),
    );
    let end = StoreCommand::End {
        job: "j".to_owned(),
    };
    assert_eq!(apply(&mut store, &end), StoreAnswer::Done);
    assert_eq!(apply(&mut store, &end), StoreAnswer::Done);
    assert!(!store.is_item_open(&item("j", 1)));
    report(
        &mut store,
        item("j", 1),
        ItemOutcome::Succeeded("late".to_owned()),
    );
    assert_eq!(texts(&store, "j", 0).len(), 1);
    let unknown = StoreCommand::End {
        job: "none".to_owned(),
    };
    assert_eq!(apply(&mut store, &unknown), StoreAnswer::UnknownJob);
}

/// The leader counts time by its steady clock, in intervals; the wall clock does not matter.
#[rstest]
#[case::before_its_time(&[15_000, 15_000], 0)]
#[case::after_its_time(&[15_000, 15_000, 1], 2)]
fn items_are_given_up_only_after_their_time_limit(#[case] parts: &[u64], #[case] listed: usize) {
    let mut store = JobStore::default();
    submit(&mut store, job("j", 2));
    for elapsed_ms in parts {
        advance_time(&mut store, *elapsed_ms);
    }
    assert_eq!(texts(&store, "j", 0).len(), listed);
}

#[rstest]
#[case::open_jobs_are_retained(false, 20_000, true)]
#[case::finished_jobs_are_retained_for_the_retention_time(true, 120_000, true)]
#[case::finished_jobs_are_dropped_after_it(true, 120_001, false)]
fn only_jobs_without_open_items_are_dropped(
    #[case] finished: bool,
    #[case] elapsed_ms: u64,
    #[case] stored: bool,
) {
    let mut store = JobStore::default();
    submit(&mut store, job("j", 1));
    if finished {
        report(
            &mut store,
            item("j", 0),
            ItemOutcome::Succeeded("a".to_owned()),
        );
    }
    advance_time(&mut store, elapsed_ms);
    assert_eq!(store.job("j").is_some(), stored);
}

#[test]
fn a_page_ends_at_its_byte_limit_but_has_at_least_one_result() {
    let mut store = JobStore::default();
    submit(&mut store, job("j", 3));
    for number in 0..3 {
        report(
            &mut store,
            item("j", number),
            ItemOutcome::Succeeded("x".repeat(100)),
        );
    }
    let lengths = [(1, 1), (150, 1), (250, 2), (300, 3)];
    for (max_bytes, expected) in lengths {
        let page = store.results("j", 0, max_bytes).expect("texts are read");
        let page = page.expect("the job is stored");
        assert_eq!(page.results.len(), expected, "{max_bytes} bytes");
        assert_eq!(page.total, 3);
    }
}

#[test]
fn a_snapshot_contains_the_complete_state() {
    let mut store = JobStore::default();
    submit(&mut store, job("j", 2));
    report(
        &mut store,
        item("j", 1),
        ItemOutcome::Succeeded("a".to_owned()),
    );
    report(
        &mut store,
        item("j", 0),
        ItemOutcome::Failed { failures_before: 0 },
    );
    let mut snapshot = store.begin_snapshot().expect("a snapshot");
    let content = store_snapshot(&mut snapshots(), 1, &mut snapshot);
    store.snapshot_stored(snapshot, content.clone());
    let restored = JobStore::from_snapshot(content).expect("it is read");
    assert_eq!(restored.job("j"), store.job("j"));
    assert_eq!(texts(&restored, "j", 0), texts(&store, "j", 0));
    assert_eq!(texts(&restored, "j", 0)[0].2, "a");
}
