//! Events of unfinished items are stored, and the next run continues after them.

use linnethitch_group::StateMachine;
use linnethitch_job_store::{
    Dispatcher, GeneratedEvents, ItemOutcome, ItemProgress, ItemRef, JobStore, RunId, RunProgress,
    StoreAnswer, StoreCommand, StoredProgress,
};
use rstest::rstest;

use crate::support::{advance_time, apply, item, job, report, snapshots, store_snapshot, submit};

fn generated(events: &[&str], last_event: u64) -> GeneratedEvents {
    GeneratedEvents {
        events: events.iter().map(|event| (*event).to_owned()).collect(),
        last_event: Some(last_event),
    }
}

fn report_progress(
    store: &mut JobStore,
    item: ItemRef,
    reported_before: u32,
    generated: GeneratedEvents,
) -> StoreAnswer {
    let progress = ItemProgress {
        item,
        reported_before,
        generated,
    };
    apply(store, &StoreCommand::Progress(vec![progress]))
}

/// The events from which a gateway continues that leases the first open item.
fn events_for_next_run(store: &JobStore) -> GeneratedEvents {
    progress_for_next_run(store).generated
}

/// The same events with the run that reported them last.
fn progress_for_next_run(store: &JobStore) -> StoredProgress {
    let mut dispatcher = Dispatcher::default();
    let work = dispatcher.lease(store, "gateway", 1, 0, 0);
    work.into_iter().next().expect("an open item").generated
}

/// Events reported with the end of an item whose events "a" and "b" were reported before, the
/// answer, and the listed text.
#[rstest]
#[case::the_last_ones(2, generated(&["c"], 3), StoreAnswer::Done, Some("a\nb\nc"))]
#[case::no_further_ones(2, generated(&[], 2), StoreAnswer::Done, Some("a\nb"))]
#[case::all_of_them(0, generated(&["a", "b", "c"], 3), StoreAnswer::Done, Some("a\nb\nc"))]
#[case::a_gap(3, generated(&["d"], 4), StoreAnswer::ReportAgain(vec![item("j", 0)]), None)]
#[case::less_than_reported_before(1, generated(&["b"], 2), StoreAnswer::ReportAgain(vec![item("j", 0)]), None)]
fn an_item_ends_with_its_last_events(
    #[case] reported_before: u32,
    #[case] generated: GeneratedEvents,
    #[case] expected: StoreAnswer,
    #[case] listed: Option<&str>,
) {
    let mut store = store_with_progress();
    let last = ItemProgress {
        item: item("j", 0),
        reported_before,
        generated,
    };
    assert_eq!(apply(&mut store, &StoreCommand::Finish(last)), expected);
    let page = store.results("j", 0, 1_000).expect("it is read");
    let results = page.expect("a job").results;
    let texts: Vec<&str> = results.iter().map(|result| result.text.as_str()).collect();
    assert_eq!(texts, listed.into_iter().collect::<Vec<&str>>());
}

/// The end of an item may be reported twice, and for a job that no longer exists.
#[test]
fn the_end_of_an_item_counts_once() {
    let mut store = store_with_progress();
    let last = ItemProgress {
        item: item("j", 0),
        reported_before: 2,
        generated: generated(&["c"], 3),
    };
    let finish = StoreCommand::Finish(last.clone());
    assert_eq!(apply(&mut store, &finish), StoreAnswer::Done);
    assert_eq!(apply(&mut store, &finish), StoreAnswer::Done);
    let page = store.results("j", 0, 1_000).expect("it is read");
    assert_eq!(page.expect("a job").results.len(), 1);
    let unknown = ItemProgress {
        item: item("gone", 0),
        ..last
    };
    let answer = apply(&mut store, &StoreCommand::Finish(unknown));
    assert_eq!(answer, StoreAnswer::UnknownJob);
}

fn store_with_progress() -> JobStore {
    let mut store = JobStore::default();
    submit(&mut store, job("j", 1));
    let answer = report_progress(&mut store, item("j", 0), 0, generated(&["a", "b"], 2));
    assert_eq!(answer, StoreAnswer::Done);
    store
}

/// The next report, the answer, and the events from which the next run continues.
#[rstest]
#[case::further_events(2, generated(&["c"], 3), StoreAnswer::Done, generated(&["a", "b", "c"], 3))]
#[case::all_again(0, generated(&["a", "b", "c"], 3), StoreAnswer::Done, generated(&["a", "b", "c"], 3))]
#[case::a_gap(3, generated(&["d"], 4), StoreAnswer::ReportAgain(vec![item("j", 0)]), generated(&["a", "b"], 2))]
#[case::an_overlap(1, generated(&["b"], 2), StoreAnswer::ReportAgain(vec![item("j", 0)]), generated(&["a", "b"], 2))]
#[case::less_than_is_stored(0, generated(&["a"], 1), StoreAnswer::ReportAgain(vec![item("j", 0)]), generated(&["a", "b"], 2))]
fn events_are_stored_once_and_without_gaps(
    #[case] reported_before: u32,
    #[case] reported: GeneratedEvents,
    #[case] answer: StoreAnswer,
    #[case] expected: GeneratedEvents,
) {
    let mut store = store_with_progress();
    assert_eq!(
        report_progress(&mut store, item("j", 0), reported_before, reported),
        answer
    );
    assert_eq!(events_for_next_run(&store), expected);
}

/// Guards against loss of progress in a restart: after a power loss every item ran again from
/// its start.
#[test]
fn progress_survives_a_restart() {
    let store = store_with_progress();
    let mut snapshot = store.begin_snapshot().expect("a snapshot");
    let content = store_snapshot(&mut snapshots(), 1, &mut snapshot);
    let mut restored = JobStore::from_snapshot(content).expect("it is read");
    assert_eq!(events_for_next_run(&restored), generated(&["a", "b"], 2));
    let answer = report_progress(&mut restored, item("j", 0), 2, generated(&["c"], 3));
    assert_eq!(answer, StoreAnswer::Done);
    assert_eq!(
        events_for_next_run(&restored),
        generated(&["a", "b", "c"], 3)
    );
}

/// What ends an item. Its progress is removed afterwards.
#[rstest]
#[case::listed(|store: &mut JobStore| {
    report(store, item("j", 0), ItemOutcome::Succeeded("ab".to_owned()));
})]
#[case::job_ended(|store: &mut JobStore| {
    apply(store, &StoreCommand::End { job: "j".to_owned() });
})]
#[case::given_up(|store: &mut JobStore| { advance_time(store, 30_001); })]
fn progress_is_removed_when_its_item_ends(#[case] end: fn(&mut JobStore)) {
    let mut store = store_with_progress();
    assert_eq!(store.progress_bytes(), 2);
    end(&mut store);
    assert_eq!(store.progress_bytes(), 0);
    let late = report_progress(&mut store, item("j", 0), 2, generated(&["c"], 3));
    assert_eq!(late, StoreAnswer::Done);
    assert_eq!(store.progress_bytes(), 0);
}

#[test]
fn progress_over_the_limit_is_not_stored() {
    let mut store = JobStore::default();
    submit(&mut store, job("j", 40));
    let megabyte = "x".repeat(1024 * 1024);
    for number in 0..40 {
        report_progress(&mut store, item("j", number), 0, generated(&[&megabyte], 1));
    }
    assert_eq!(store.progress_bytes(), 8 * 1024 * 1024);
}

/// Runs of one item: the second and the third started with the progress reported by the first.
const FIRST: RunId = RunId(11);
const SECOND: RunId = RunId(22);
const THIRD: RunId = RunId(33);

/// A report of a run: the number of events reported before, the run whose text the report
/// continues, and the events after them.
fn part(run: RunId, reported_before: u32, continues: RunId, events: &[&str]) -> RunProgress {
    let last_event = u64::from(reported_before) + events.len() as u64;
    RunProgress {
        run,
        continues,
        progress: ItemProgress {
            item: item("j", 0),
            reported_before,
            generated: generated(events, last_event),
        },
    }
}

fn complete(run: RunId, events: &[&str]) -> RunProgress {
    part(run, 0, RunId::UNKNOWN, events)
}

fn record(store: &mut JobStore, reported: RunProgress) -> StoreAnswer {
    apply(store, &StoreCommand::KeepProgress(vec![reported]))
}

fn incomplete() -> StoreAnswer {
    StoreAnswer::ReportAgain(vec![item("j", 0)])
}

/// Earlier reports that are all recorded, then a report, its answer, the events stored after
/// it and the run that reported them. "a1" is the first event of the first run, "b2" the
/// second event of the second run.
#[rstest]
#[case::its_own_text(
    &[complete(FIRST, &["a1", "a2"])],
    part(FIRST, 2, FIRST, &["a3"]),
    StoreAnswer::Done,
    &["a1", "a2", "a3"], FIRST
)]
#[case::the_text_its_lease_started_with(
    &[complete(FIRST, &["a1", "a2"])],
    part(SECOND, 2, FIRST, &["b3"]),
    StoreAnswer::Done,
    &["a1", "a2", "b3"], SECOND
)]
#[case::an_older_run_reported_all_again_with_the_same_length(
    &[complete(FIRST, &["a1", "a2"]), part(SECOND, 2, FIRST, &["b3"]), complete(FIRST, &["a1", "a2", "a3"])],
    part(SECOND, 3, SECOND, &["b4"]),
    incomplete(),
    &["a1", "a2", "a3"], FIRST
)]
#[case::an_older_run_continues_after_a_newer_one(
    &[complete(FIRST, &["a1", "a2"]), part(SECOND, 2, FIRST, &["b3"])],
    part(FIRST, 3, FIRST, &["a4"]),
    incomplete(),
    &["a1", "a2", "b3"], SECOND
)]
#[case::a_third_run_started_with_the_same_text(
    &[complete(FIRST, &["a1", "a2"]), part(SECOND, 2, FIRST, &["b3"])],
    part(THIRD, 2, FIRST, &["c3"]),
    incomplete(),
    &["a1", "a2", "b3"], SECOND
)]
#[case::a_duplicate_first_part(
    &[complete(FIRST, &["a1", "a2"]), part(SECOND, 2, FIRST, &["b3"])],
    part(SECOND, 2, FIRST, &["b3"]),
    incomplete(),
    &["a1", "a2", "b3"], SECOND
)]
#[case::a_duplicate_later_part(
    &[complete(SECOND, &["b1", "b2"]), part(SECOND, 2, SECOND, &["b3"])],
    part(SECOND, 2, SECOND, &["b3"]),
    incomplete(),
    &["b1", "b2", "b3"], SECOND
)]
#[case::a_complete_text_replaces_the_text_of_another_run(
    &[complete(FIRST, &["a1", "a2", "a3"])],
    complete(SECOND, &["a1", "a2", "b3"]),
    StoreAnswer::Done,
    &["a1", "a2", "b3"], SECOND
)]
#[case::a_shorter_complete_text(
    &[complete(FIRST, &["a1", "a2", "a3"])],
    complete(SECOND, &["b1", "b2"]),
    incomplete(),
    &["a1", "a2", "a3"], FIRST
)]
#[case::without_a_run_id_after_a_report_with_one(
    &[complete(FIRST, &["a1", "a2"])],
    part(RunId::UNKNOWN, 2, RunId::UNKNOWN, &["x3"]),
    incomplete(),
    &["a1", "a2"], FIRST
)]
fn a_text_is_of_one_run_and_the_text_it_started_with(
    #[case] before: &[RunProgress],
    #[case] reported: RunProgress,
    #[case] answer: StoreAnswer,
    #[case] events: &[&str],
    #[case] reported_by: RunId,
) {
    let mut store = JobStore::default();
    submit(&mut store, job("j", 1));
    for earlier in before {
        assert_eq!(record(&mut store, earlier.clone()), StoreAnswer::Done);
    }
    assert_eq!(record(&mut store, reported), answer);
    let stored = progress_for_next_run(&store);
    assert_eq!(
        (stored.generated.events.as_slice(), stored.reported_by),
        (strings(events).as_slice(), reported_by)
    );
}

/// Earlier reports, then the last report of a run, its answer and the listed text.
#[rstest]
#[case::its_own_text(
    &[complete(SECOND, &["b1", "b2"])],
    part(SECOND, 2, SECOND, &["b3"]),
    StoreAnswer::Done,
    Some("b1\nb2\nb3")
)]
#[case::directly_after_the_text_its_lease_started_with(
    &[complete(FIRST, &["a1", "a2"])],
    part(SECOND, 2, FIRST, &["b3"]),
    StoreAnswer::Done,
    Some("a1\na2\nb3")
)]
#[case::another_run_reported_as_many_events(
    &[complete(FIRST, &["a1", "a2"]), part(SECOND, 2, FIRST, &["b3"]), complete(FIRST, &["a1", "a2", "a3"])],
    part(SECOND, 3, SECOND, &["b4"]),
    incomplete(),
    None
)]
#[case::no_further_events_and_another_run_reported_as_many(
    &[complete(SECOND, &["b1", "b2"]), complete(FIRST, &["a1", "a2"])],
    part(SECOND, 2, SECOND, &[]),
    incomplete(),
    None
)]
#[case::all_events_whichever_run_reported_before(
    &[complete(FIRST, &["a1", "a2", "a3"])],
    complete(SECOND, &["b1", "b2"]),
    StoreAnswer::Done,
    Some("b1\nb2")
)]
fn an_item_ends_with_the_text_of_one_run(
    #[case] before: &[RunProgress],
    #[case] last: RunProgress,
    #[case] answer: StoreAnswer,
    #[case] listed: Option<&str>,
) {
    let mut store = JobStore::default();
    submit(&mut store, job("j", 1));
    for earlier in before {
        assert_eq!(record(&mut store, earlier.clone()), StoreAnswer::Done);
    }
    let finish = StoreCommand::FinishRun(Box::new(last));
    assert_eq!(apply(&mut store, &finish), answer);
    let page = store.results("j", 0, 1_000).expect("it is read");
    let results = page.expect("a job").results;
    let texts: Vec<&str> = results.iter().map(|result| result.text.as_str()).collect();
    assert_eq!(texts, listed.into_iter().collect::<Vec<&str>>());
}

#[test]
fn a_snapshot_records_which_run_reported_the_text() {
    let mut store = JobStore::default();
    submit(&mut store, job("j", 2));
    let mut second = complete(SECOND, &["b1"]);
    second.progress.item = item("j", 1);
    assert_eq!(record(&mut store, second), StoreAnswer::Done);
    assert_eq!(
        record(&mut store, complete(FIRST, &["a1", "a2"])),
        StoreAnswer::Done
    );
    let mut snapshot = store.begin_snapshot().expect("a snapshot");
    let content = store_snapshot(&mut snapshots(), 1, &mut snapshot);
    let mut restored = JobStore::from_snapshot(content).expect("it is read");
    assert_eq!(progress_for_next_run(&restored).reported_by, FIRST);
    assert_eq!(
        record(&mut restored, part(SECOND, 2, SECOND, &["b3"])),
        incomplete()
    );
    assert_eq!(
        record(&mut restored, part(FIRST, 2, FIRST, &["a3"])),
        StoreAnswer::Done
    );
}

fn strings(events: &[&str]) -> Vec<String> {
    events.iter().map(|event| (*event).to_owned()).collect()
}
