//! What unfinished items have made is kept, and the next run goes on after it.

use linnethitch_group::StateMachine;
use linnethitch_job_store::{
    Dispatcher, GeneratedEvents, ItemOutcome, ItemProgress, ItemRef, JobStore, RunId, RunProgress,
    StoreAnswer, StoreCommand, StoredProgress,
};
use rstest::rstest;

use crate::support::{apply, item, job, pass, report, snapshots, store_snapshot, submit};

fn made(events: &[&str], last_event: u64) -> GeneratedEvents {
    GeneratedEvents {
        events: events.iter().map(|event| (*event).to_owned()).collect(),
        last_event: Some(last_event),
    }
}

fn tell(
    store: &mut JobStore,
    item: ItemRef,
    told_before: u32,
    made: GeneratedEvents,
) -> StoreAnswer {
    let progress = ItemProgress {
        item,
        told_before,
        made,
    };
    apply(store, &StoreCommand::Progress(vec![progress]))
}

/// What a gateway that leases the first open item of a job goes on from.
fn next_run(store: &JobStore) -> GeneratedEvents {
    next_lease(store).made
}

/// The same with the run that told it.
fn next_lease(store: &JobStore) -> StoredProgress {
    let mut dispatcher = Dispatcher::default();
    let work = dispatcher.lease(store, "gateway", 1, 0, 0);
    work.into_iter().next().expect("an open item").made
}

/// Events that are told with the end of an item of which "a" and "b" were told, the
/// answer, and the text that is listed.
#[rstest]
#[case::the_last_ones(2, made(&["c"], 3), StoreAnswer::Done, Some("a\nb\nc"))]
#[case::none_is_left(2, made(&[], 2), StoreAnswer::Done, Some("a\nb"))]
#[case::all_of_them(0, made(&["a", "b", "c"], 3), StoreAnswer::Done, Some("a\nb\nc"))]
#[case::a_gap(3, made(&["d"], 4), StoreAnswer::TellAgain(vec![item("j", 0)]), None)]
#[case::less_told_than_held(1, made(&["b"], 2), StoreAnswer::TellAgain(vec![item("j", 0)]), None)]
fn an_item_ends_with_its_last_events(
    #[case] told_before: u32,
    #[case] made: GeneratedEvents,
    #[case] expected: StoreAnswer,
    #[case] listed: Option<&str>,
) {
    let mut store = store_with_progress();
    let last = ItemProgress {
        item: item("j", 0),
        told_before,
        made,
    };
    assert_eq!(apply(&mut store, &StoreCommand::Finish(last)), expected);
    let page = store.results("j", 0, 1_000).expect("it is read");
    let results = page.expect("a job").results;
    let texts: Vec<&str> = results.iter().map(|result| result.text.as_str()).collect();
    assert_eq!(texts, listed.into_iter().collect::<Vec<&str>>());
}

/// The end of an item may be told twice, and of a job that is gone.
#[test]
fn the_end_of_an_item_counts_once() {
    let mut store = store_with_progress();
    let last = ItemProgress {
        item: item("j", 0),
        told_before: 2,
        made: made(&["c"], 3),
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
    let answer = tell(&mut store, item("j", 0), 0, made(&["a", "b"], 2));
    assert_eq!(answer, StoreAnswer::Done);
    store
}

/// What is told next, the answer, and what the next run goes on from.
#[rstest]
#[case::further_events(2, made(&["c"], 3), StoreAnswer::Done, made(&["a", "b", "c"], 3))]
#[case::all_again(0, made(&["a", "b", "c"], 3), StoreAnswer::Done, made(&["a", "b", "c"], 3))]
#[case::a_gap(3, made(&["d"], 4), StoreAnswer::TellAgain(vec![item("j", 0)]), made(&["a", "b"], 2))]
#[case::an_overlap(1, made(&["b"], 2), StoreAnswer::TellAgain(vec![item("j", 0)]), made(&["a", "b"], 2))]
#[case::less_than_is_held(0, made(&["a"], 1), StoreAnswer::TellAgain(vec![item("j", 0)]), made(&["a", "b"], 2))]
fn events_are_kept_once_and_without_gaps(
    #[case] told_before: u32,
    #[case] told: GeneratedEvents,
    #[case] answer: StoreAnswer,
    #[case] kept: GeneratedEvents,
) {
    let mut store = store_with_progress();
    assert_eq!(tell(&mut store, item("j", 0), told_before, told), answer);
    assert_eq!(next_run(&store), kept);
}

/// The failure this is for: after a loss of power every item ran again from its start.
#[test]
fn progress_is_kept_over_a_restart() {
    let store = store_with_progress();
    let mut snapshot = store.begin_snapshot().expect("a snapshot");
    let content = store_snapshot(&mut snapshots(), 1, &mut snapshot);
    let mut restored = JobStore::from_snapshot(content).expect("it is read");
    assert_eq!(next_run(&restored), made(&["a", "b"], 2));
    let answer = tell(&mut restored, item("j", 0), 2, made(&["c"], 3));
    assert_eq!(answer, StoreAnswer::Done);
    assert_eq!(next_run(&restored), made(&["a", "b", "c"], 3));
}

/// What ends an item, after which nothing is kept of it.
#[rstest]
#[case::listed(|store: &mut JobStore| {
    report(store, item("j", 0), ItemOutcome::Succeeded("ab".to_owned()));
})]
#[case::job_ended(|store: &mut JobStore| {
    apply(store, &StoreCommand::End { job: "j".to_owned() });
})]
#[case::given_up(|store: &mut JobStore| { pass(store, 30_001); })]
fn progress_goes_with_its_item(#[case] end: fn(&mut JobStore)) {
    let mut store = store_with_progress();
    assert_eq!(store.progress_bytes(), 2);
    end(&mut store);
    assert_eq!(store.progress_bytes(), 0);
    let late = tell(&mut store, item("j", 0), 2, made(&["c"], 3));
    assert_eq!(late, StoreAnswer::Done);
    assert_eq!(store.progress_bytes(), 0);
}

#[test]
fn progress_beyond_the_bound_is_not_kept() {
    let mut store = JobStore::default();
    submit(&mut store, job("j", 40));
    let megabyte = "x".repeat(1024 * 1024);
    for number in 0..40 {
        tell(&mut store, item("j", number), 0, made(&[&megabyte], 1));
    }
    assert_eq!(store.progress_bytes(), 8 * 1024 * 1024);
}

/// Runs of one item: the second and the third began with what the first had told.
const FIRST: RunId = RunId(11);
const SECOND: RunId = RunId(22);
const THIRD: RunId = RunId(33);

/// What a run tells: events that were told before, the run whose text they continue,
/// and the further ones.
fn part(run: RunId, told_before: u32, continues: RunId, events: &[&str]) -> RunProgress {
    let last_event = u64::from(told_before) + events.len() as u64;
    RunProgress {
        run,
        continues,
        progress: ItemProgress {
            item: item("j", 0),
            told_before,
            made: made(events, last_event),
        },
    }
}

fn whole(run: RunId, events: &[&str]) -> RunProgress {
    part(run, 0, RunId::UNKNOWN, events)
}

fn keep(store: &mut JobStore, told: RunProgress) -> StoreAnswer {
    apply(store, &StoreCommand::KeepProgress(vec![told]))
}

fn tell_again() -> StoreAnswer {
    StoreAnswer::TellAgain(vec![item("j", 0)])
}

/// What was told before, each taken, then a part, and what is held after it. "a1" is an
/// event of the first run, "b2" the second event of the second run.
#[rstest]
#[case::its_own_text(
    &[whole(FIRST, &["a1", "a2"])],
    part(FIRST, 2, FIRST, &["a3"]),
    StoreAnswer::Done,
    &["a1", "a2", "a3"], FIRST
)]
#[case::what_its_lease_began_with(
    &[whole(FIRST, &["a1", "a2"])],
    part(SECOND, 2, FIRST, &["b3"]),
    StoreAnswer::Done,
    &["a1", "a2", "b3"], SECOND
)]
#[case::an_older_run_told_all_again_and_lengths_agree(
    &[whole(FIRST, &["a1", "a2"]), part(SECOND, 2, FIRST, &["b3"]), whole(FIRST, &["a1", "a2", "a3"])],
    part(SECOND, 3, SECOND, &["b4"]),
    tell_again(),
    &["a1", "a2", "a3"], FIRST
)]
#[case::an_older_run_goes_on_after_a_newer_one(
    &[whole(FIRST, &["a1", "a2"]), part(SECOND, 2, FIRST, &["b3"])],
    part(FIRST, 3, FIRST, &["a4"]),
    tell_again(),
    &["a1", "a2", "b3"], SECOND
)]
#[case::a_third_run_began_with_the_same_text(
    &[whole(FIRST, &["a1", "a2"]), part(SECOND, 2, FIRST, &["b3"])],
    part(THIRD, 2, FIRST, &["c3"]),
    tell_again(),
    &["a1", "a2", "b3"], SECOND
)]
#[case::a_first_part_that_comes_twice(
    &[whole(FIRST, &["a1", "a2"]), part(SECOND, 2, FIRST, &["b3"])],
    part(SECOND, 2, FIRST, &["b3"]),
    tell_again(),
    &["a1", "a2", "b3"], SECOND
)]
#[case::a_later_part_that_comes_twice(
    &[whole(SECOND, &["b1", "b2"]), part(SECOND, 2, SECOND, &["b3"])],
    part(SECOND, 2, SECOND, &["b3"]),
    tell_again(),
    &["b1", "b2", "b3"], SECOND
)]
#[case::a_whole_text_replaces_another_run_s(
    &[whole(FIRST, &["a1", "a2", "a3"])],
    whole(SECOND, &["a1", "a2", "b3"]),
    StoreAnswer::Done,
    &["a1", "a2", "b3"], SECOND
)]
#[case::a_whole_text_that_is_shorter(
    &[whole(FIRST, &["a1", "a2", "a3"])],
    whole(SECOND, &["b1", "b2"]),
    tell_again(),
    &["a1", "a2", "a3"], FIRST
)]
#[case::without_marks_after_one_with(
    &[whole(FIRST, &["a1", "a2"])],
    part(RunId::UNKNOWN, 2, RunId::UNKNOWN, &["x3"]),
    tell_again(),
    &["a1", "a2"], FIRST
)]
fn a_text_is_of_one_run_and_what_that_began_with(
    #[case] before: &[RunProgress],
    #[case] told: RunProgress,
    #[case] answer: StoreAnswer,
    #[case] events: &[&str],
    #[case] told_by: RunId,
) {
    let mut store = JobStore::default();
    submit(&mut store, job("j", 1));
    for earlier in before {
        assert_eq!(keep(&mut store, earlier.clone()), StoreAnswer::Done);
    }
    assert_eq!(keep(&mut store, told), answer);
    let held = next_lease(&store);
    assert_eq!(
        (held.made.events.as_slice(), held.told_by),
        (strings(events).as_slice(), told_by)
    );
}

/// The end of a run after what was told before: the answer, and the text that is listed.
#[rstest]
#[case::its_own_text(
    &[whole(SECOND, &["b1", "b2"])],
    part(SECOND, 2, SECOND, &["b3"]),
    StoreAnswer::Done,
    Some("b1\nb2\nb3")
)]
#[case::at_once_after_what_its_lease_began_with(
    &[whole(FIRST, &["a1", "a2"])],
    part(SECOND, 2, FIRST, &["b3"]),
    StoreAnswer::Done,
    Some("a1\na2\nb3")
)]
#[case::another_run_told_as_much(
    &[whole(FIRST, &["a1", "a2"]), part(SECOND, 2, FIRST, &["b3"]), whole(FIRST, &["a1", "a2", "a3"])],
    part(SECOND, 3, SECOND, &["b4"]),
    tell_again(),
    None
)]
#[case::nothing_is_left_and_another_run_told_as_much(
    &[whole(SECOND, &["b1", "b2"]), whole(FIRST, &["a1", "a2"])],
    part(SECOND, 2, SECOND, &[]),
    tell_again(),
    None
)]
#[case::all_of_it_whoever_told_before(
    &[whole(FIRST, &["a1", "a2", "a3"])],
    whole(SECOND, &["b1", "b2"]),
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
        assert_eq!(keep(&mut store, earlier.clone()), StoreAnswer::Done);
    }
    let finish = StoreCommand::FinishRun(Box::new(last));
    assert_eq!(apply(&mut store, &finish), answer);
    let page = store.results("j", 0, 1_000).expect("it is read");
    let results = page.expect("a job").results;
    let texts: Vec<&str> = results.iter().map(|result| result.text.as_str()).collect();
    assert_eq!(texts, listed.into_iter().collect::<Vec<&str>>());
}

#[test]
fn a_snapshot_says_whose_text_is_held() {
    let mut store = JobStore::default();
    submit(&mut store, job("j", 2));
    let mut second = whole(SECOND, &["b1"]);
    second.progress.item = item("j", 1);
    assert_eq!(keep(&mut store, second), StoreAnswer::Done);
    assert_eq!(
        keep(&mut store, whole(FIRST, &["a1", "a2"])),
        StoreAnswer::Done
    );
    let mut snapshot = store.begin_snapshot().expect("a snapshot");
    let content = store_snapshot(&mut snapshots(), 1, &mut snapshot);
    let mut restored = JobStore::from_snapshot(content).expect("it is read");
    assert_eq!(next_lease(&restored).told_by, FIRST);
    assert_eq!(
        keep(&mut restored, part(SECOND, 2, SECOND, &["b3"])),
        tell_again()
    );
    assert_eq!(
        keep(&mut restored, part(FIRST, 2, FIRST, &["a3"])),
        StoreAnswer::Done
    );
}

fn strings(events: &[&str]) -> Vec<String> {
    events.iter().map(|event| (*event).to_owned()).collect()
}
