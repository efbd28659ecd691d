//! Requests under which replicas ended: which are suspected, when they are refused, and how
//! they are cleared.

use linnethitch_group::StateMachine;
use linnethitch_protocol::ids::LogIndex;
use linnethitch_registry::{
    ConsecutiveEnds, EndedRun, FleetView, Registry, RegistryCommand, ReportedSuspicion,
    RequestContent, RequestFingerprint, Suspicion, is_almost_refused,
};
use rstest::rstest;

use crate::support::{Applied, store_snapshot};

/// Maximum number of recorded suspicions.
const MAX_SUSPICIONS: usize = 1_024;

fn request(body: &str) -> RequestFingerprint {
    RequestFingerprint::of(&RequestContent {
        method: "POST",
        host: b"desk.example",
        path: "/quotes/1",
        caller: b"",
        body: body.as_bytes(),
    })
}

/// A run that began when this number of ends was known, each after 100 ms, and no clearing.
fn run(body: &str, known_ends: usize) -> EndedRun {
    run_knowing(body, consecutive_ends(0, &vec![100; known_ends]), 100)
}

fn run_knowing(body: &str, known: ConsecutiveEnds, ran_ms: u32) -> EndedRun {
    EndedRun {
        fingerprint: request(body),
        known,
        ran_ms,
    }
}

fn consecutive_ends(clearings: u32, lengths_ms: &[u32]) -> ConsecutiveEnds {
    ConsecutiveEnds {
        clearings,
        lengths_ms: lengths_ms.to_vec(),
    }
}

fn ended(replica: &str, runs: &[EndedRun]) -> RegistryCommand {
    RegistryCommand::ReplicaEnded {
        replica: replica.to_owned(),
        runs: runs.to_vec(),
    }
}

fn ends(applied: &Applied, body: &str) -> u32 {
    let record = applied.registry.suspicions().get(&request(body));
    record.map_or(0, Suspicion::ends)
}

/// The consecutive ends that are recorded for a request.
fn known(applied: &Applied, body: &str) -> ConsecutiveEnds {
    let record = applied.registry.suspicions().get(&request(body));
    record
        .map(|record| record.consecutive_ends.clone())
        .unwrap_or_default()
}

/// Reported ends in order of arrival, as (replica, ends known to the run), and how many ends
/// are counted at last.
#[rstest]
#[case::consecutive(&[("i-1", 0), ("i-2", 1), ("i-3", 2)], 3)]
#[case::concurrent_copies(&[("i-1", 0), ("i-2", 0), ("i-3", 0), ("i-4", 0)], 1)]
#[case::one_replica_reported_by_two_gateways(&[("i-1", 0), ("i-1", 0)], 1)]
#[case::isolated_gateway(&[("i-1", 0), ("i-2", 1), ("i-3", 0)], 2)]
#[case::late_report_of_a_replica(&[("i-1", 0), ("i-2", 1), ("i-2", 1)], 2)]
#[case::reported_in_another_order(&[("i-3", 2), ("i-1", 0), ("i-2", 1)], 3)]
#[case::ends_between_never_reported(&[("i-1", 0), ("i-4", 3)], 4)]
#[case::same_replica_again_at_an_isolated_gateway(&[("i-1", 0), ("i-1", 1)], 2)]
fn an_end_counts_if_the_earlier_ends_were_known_when_the_run_began(
    #[case] reported: &[(&str, usize)],
    #[case] counted: u32,
) {
    let mut applied = Applied::default();
    for (replica, known) in reported {
        applied.apply(&ended(replica, &[run("a", *known)]));
    }
    assert_eq!(ends(&applied, "a"), counted);
}

/// Lengths of the runs under which replicas ended, and how many of these ends count.
#[rstest]
#[case::at_once(&[20, 60, 140], 3)]
#[case::at_once_at_slow_replicas(&[100, 480, 90], 3)]
#[case::late_in_a_long_run(&[4_000, 4_300, 3_700], 3)]
#[case::at_different_times(&[300, 2_900, 1_400], 1)]
#[case::the_last_two_alike(&[300, 2_900, 2_700], 2)]
#[case::a_stall_stretches_one_of_them(&[31, 5_000, 30, 32], 3)]
#[case::stalls_stretch_two_of_them(&[31, 5_000, 30, 2_000, 32], 2)]
#[case::stalls_of_less_than_a_second(&[934, 31, 400], 3)]
#[case::one_shorter_than_the_others(&[2_900, 2_700, 300], 1)]
#[case::long_runs_do_not_count_as_stretched(&[1_900, 4_000, 1_900, 4_000, 1_900, 4_000], 2)]
fn ends_after_runs_of_different_lengths_had_other_causes(
    #[case] lasted_ms: &[u32],
    #[case] counted: u32,
) {
    let mut applied = Applied::default();
    for (number, ran_ms) in lasted_ms.iter().enumerate() {
        let run = run_knowing("a", known(&applied, "a"), *ran_ms);
        applied.apply(&ended(&format!("i-{number}"), &[run]));
    }
    assert_eq!(ends(&applied, "a"), counted);
}

/// The number of consecutive ends after which a request is refused, by its run time.
#[rstest]
#[case::at_once(100, 3)]
#[case::within_a_second(999, 3)]
#[case::after_seconds(3_700, 6)]
fn a_longer_run_needs_more_ends(#[case] ran_ms: u32, #[case] needed: u32) {
    let mut applied = Applied::default();
    for number in 0..needed {
        let record = applied.registry.suspicions().get(&request("a"));
        assert!(!record.is_some_and(Suspicion::is_refused), "{record:?}");
        let run = run_knowing("a", known(&applied, "a"), ran_ms);
        applied.apply(&ended(&format!("i-{number}"), &[run]));
    }
    let record = applied.registry.suspicions().get(&request("a"));
    assert!(record.is_some_and(Suspicion::is_refused), "{record:?}");
}

/// An isolated gateway does not retry a request that would be refused after one more end.
#[rstest]
#[case::first_end(&[30], false)]
#[case::two_short_runs(&[30, 31], true)]
#[case::two_of_different_lengths(&[300, 2_900], false)]
#[case::long_runs_that_need_more(&[4_200; 5], false)]
#[case::one_before_refusal_of_long_runs(&[4_200; 6], true)]
fn one_more_end_may_be_enough(#[case] lengths_ms: &[u32], #[case] is_enough: bool) {
    assert_eq!(
        is_almost_refused(&consecutive_ends(0, lengths_ms)),
        is_enough
    );
}

/// Records of a gateway and records from control, as (clearings, ends).
#[rstest]
#[case::control_has_not_reported_yet((0, 2), (0, 1), true)]
#[case::control_knows_as_much((0, 2), (0, 2), false)]
#[case::control_knows_more((0, 1), (0, 3), false)]
#[case::cleared_meanwhile((0, 2), (1, 0), false)]
#[case::cleared_here((1, 0), (0, 3), true)]
#[case::suspected_again((1, 0), (1, 1), false)]
#[case::cleared_and_suspected_again((0, 3), (1, 1), false)]
fn own_records_count_until_control_knows_as_much(
    #[case] own: (u32, usize),
    #[case] from_control: (u32, usize),
    #[case] counts: bool,
) {
    let consecutive_ends =
        |(clearings, ends): (u32, usize)| consecutive_ends(clearings, &vec![100; ends]);
    assert_eq!(
        consecutive_ends(own).supersedes(&consecutive_ends(from_control)),
        counts
    );
}

/// Guards against refusal of harmless requests: a gateway that had not received a clearing
/// reported runs with earlier ends as known, and these ends were counted again.
#[test]
fn ends_before_a_clearing_do_not_add_up_with_those_after_it() {
    let mut applied = Applied::default();
    applied.apply(&ended("i-1", &[run("a", 0)]));
    applied.apply(&RegistryCommand::ClearSuspicions(vec![request("a")]));
    for (replica, known_ends) in [("i-2", 1), ("i-3", 2), ("i-4", 3)] {
        applied.apply(&ended(replica, &[run("a", known_ends)]));
    }
    assert_eq!(ends(&applied, "a"), 1);
    assert_eq!(known(&applied, "a").clearings, 1);
}

/// A command is applied again if its answer was lost.
#[rstest]
#[case::while_it_is_suspected(false, 2)]
#[case::after_a_complete_answer(true, 0)]
fn a_repeated_report_of_an_end_changes_nothing(#[case] cleared: bool, #[case] counted: u32) {
    let mut applied = Applied::default();
    applied.apply(&ended("i-1", &[run("a", 0)]));
    applied.apply(&ended("i-2", &[run("a", 1)]));
    if cleared {
        applied.apply(&RegistryCommand::ClearSuspicions(vec![request("a")]));
    }
    applied.apply(&ended("i-2", &[run("a", 1)]));
    applied.apply(&ended("i-2", &[run("a", 1)]));
    assert_eq!(ends(&applied, "a"), counted);
}

/// Control receives no reports while it has no leader. The ends and clearings that a gateway
/// knew when a run began are taken from the report of that run.
#[test]
fn a_run_reports_the_ends_known_when_it_began() {
    let mut applied = Applied::default();
    applied.apply(&ended("i-1", &[run("a", 0)]));
    let known = consecutive_ends(2, &[31, 30]);
    applied.apply(&ended("i-9", &[run_knowing("a", known, 33)]));
    let record = applied.registry.suspicions().get(&request("a"));
    let record = record.expect("it is suspected");
    assert_eq!(record.consecutive_ends, consecutive_ends(2, &[31, 30, 33]));
    assert!(record.is_refused());
}

/// Gateways exchange reports in any order, and the merged record does not depend on it.
#[test]
fn merged_reports_are_equal_in_any_order() {
    let rows = [
        consecutive_ends(0, &[30]),
        consecutive_ends(0, &[30, 31]),
        consecutive_ends(1, &[]),
        consecutive_ends(1, &[29]),
    ];
    let report = |consecutive_ends: &ConsecutiveEnds| ReportedSuspicion {
        fingerprint: request("a"),
        replica: "i-1".to_owned(),
        consecutive_ends: consecutive_ends.clone(),
    };
    for first in &rows {
        for second in &rows {
            for third in &rows {
                let mut merged = ConsecutiveEnds::default();
                for consecutive_ends in [first, second, third, &rows[3], first] {
                    let received = Suspicion::from_report(report(consecutive_ends), LogIndex(0));
                    assert_eq!(received.to_report(), report(consecutive_ends));
                    if received.consecutive_ends.supersedes(&merged) {
                        merged = received.consecutive_ends;
                    }
                }
                assert_eq!(merged, rows[3]);
            }
        }
    }
}

#[test]
fn a_complete_answer_to_a_copy_clears_the_request() {
    let mut applied = Applied::default();
    applied.apply(&ended("i-1", &[run("guilty", 0), run("beside", 0)]));
    applied.apply(&RegistryCommand::ClearSuspicions(vec![request("beside")]));
    applied.apply(&ended("i-2", &[run("guilty", 1), run("beside", 0)]));
    assert_eq!((ends(&applied, "guilty"), ends(&applied, "beside")), (2, 1));
    // The request was cleared during this run, which began when one end was known.
    applied.apply(&RegistryCommand::ClearSuspicions(vec![request("beside")]));
    applied.apply(&ended("i-3", &[run("beside", 1)]));
    assert_eq!(ends(&applied, "beside"), 1);
}

/// Counted ends before and after a long time without reports.
#[rstest]
#[case::suspected(1, 0)]
#[case::almost_refused(2, 0)]
#[case::refused(3, 2)]
fn a_suspicion_decays_without_reports(#[case] before: usize, #[case] after: u32) {
    let mut applied = Applied::default();
    for number in 0..before {
        applied.apply(&ended(&format!("i-{number}"), &[run("a", number)]));
    }
    applied.apply(&RegistryCommand::DecaySuspicions(vec![request("a")]));
    assert_eq!(ends(&applied, "a"), after);
}

#[test]
fn a_flood_of_different_requests_does_not_displace_one_with_more_ends() {
    let mut applied = Applied::default();
    applied.apply(&ended("i-1", &[run("a", 0)]));
    applied.apply(&ended("i-2", &[run("a", 1)]));
    for number in 0..2 * MAX_SUSPICIONS {
        applied.apply(&ended("i-3", &[run(&format!("other {number}"), 0)]));
    }
    assert_eq!(ends(&applied, "a"), 2);
    let suspicions = applied.registry.suspicions();
    assert_eq!(
        (suspicions.len(), suspicions.records().count()),
        (MAX_SUSPICIONS, MAX_SUSPICIONS)
    );
}

#[test]
fn a_snapshot_contains_the_suspicions() {
    let mut applied = Applied::default();
    applied.apply(&ended("i-1", &[run("a", 0)]));
    let snapshot = applied.registry.begin_snapshot().expect("it is encoded");
    let restored = Registry::from_snapshot(store_snapshot(snapshot)).expect("it is read");
    let record = restored.suspicions().get(&request("a"));
    assert_eq!(record, applied.registry.suspicions().get(&request("a")));
    assert_eq!(restored.suspicions().len(), 1);
}

#[test]
fn a_gateway_gets_only_changes_and_never_returns_to_an_older_state() {
    let mut applied = Applied::default();
    applied.apply(&ended("i-1", &[run("a", 0), run("b", 0)]));
    let early = applied.registry.update_since(LogIndex(0));
    applied.apply(&RegistryCommand::ClearSuspicions(vec![request("a")]));
    let late = applied.registry.update_since(early.up_to_index);
    assert_eq!(late.suspicions.len(), 1);
    let mut view = FleetView::default();
    assert!(view.apply(early.clone()));
    assert_eq!(view.suspicions().len(), 2);
    assert!(view.apply(late));
    assert!(!view.apply(early));
    assert_eq!(view.suspicions().len(), 1);
    let record = view.suspicions().get(&request("b"));
    assert_eq!(record.map(Suspicion::ends), Some(1));
}

#[rstest]
#[case::body("POST", "/quotes/1", "", "other")]
#[case::path("POST", "/quotes/2", "", "body")]
#[case::method("PUT", "/quotes/1", "", "body")]
#[case::caller("POST", "/quotes/1", "key", "body")]
#[case::where_parts_meet("POST", "/quotes/1", "bo", "dy")]
fn other_content_is_another_request(
    #[case] method: &str,
    #[case] path: &str,
    #[case] caller: &str,
    #[case] body: &str,
) {
    let other = RequestFingerprint::of(&RequestContent {
        method,
        host: b"desk.example",
        path,
        caller: caller.as_bytes(),
        body: body.as_bytes(),
    });
    assert_ne!(other, request("body"));
}

/// Guards against a request that ends replicas and is never refused. The ends are in the
/// order in which control received them from a fleet with process pauses, as (replica, ends
/// known at the start of the run, run time in milliseconds). Each run ends its replica 30 ms
/// after its start, pauses make some runs appear longer, and an end after a longer run
/// restarted the count.
#[test]
fn ends_under_a_fatal_request_count_although_pauses_stretch_its_runs() {
    let reported = [
        ("m-3-0", 0, 31),
        ("m-1-0", 0, 30),
        ("m-0-0", 1, 1_066),
        ("m-1-1", 1, 1_034),
        ("m-0-1", 2, 509),
        ("m-3-1", 3, 70),
        ("m-1-2", 1, 32),
    ];
    let mut applied = Applied::default();
    for (replica, known_ends, ran_ms) in reported {
        // A run knows the first ends that control received.
        let mut known = known(&applied, "a");
        known.lengths_ms.truncate(known_ends);
        assert_eq!(known.lengths_ms.len(), known_ends);
        applied.apply(&ended(replica, &[run_knowing("a", known, ran_ms)]));
    }
    let record = applied.registry.suspicions().get(&request("a"));
    assert!(record.is_some_and(Suspicion::is_refused), "{record:?}");
}
