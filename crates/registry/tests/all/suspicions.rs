//! Requests under which replicas ended: who is suspected, how much, and what ends it.

use linnethitch_group::StateMachine;
use linnethitch_protocol::ids::LogIndex;
use linnethitch_registry::{
    EndedRun, EndsInRow, FleetView, Registry, RegistryCommand, RequestContent, RequestFingerprint,
    Suspicion, ToldSuspicion, is_almost_refused,
};
use rstest::rstest;

use crate::support::{Applied, store_snapshot};

/// The bound of what is remembered.
const MOST: usize = 1_024;

fn request(body: &str) -> RequestFingerprint {
    RequestFingerprint::of(&RequestContent {
        method: "POST",
        host: b"desk.example",
        path: "/quotes/1",
        caller: b"",
        body: body.as_bytes(),
    })
}

/// A run that began knowing of so many ends of the first row, each after 100 ms.
fn run(body: &str, known_ends: usize) -> EndedRun {
    run_knowing(body, row(0, &vec![100; known_ends]), 100)
}

fn run_knowing(body: &str, known: EndsInRow, ran_ms: u32) -> EndedRun {
    EndedRun {
        fingerprint: request(body),
        known,
        ran_ms,
    }
}

fn row(clearings: u32, lengths_ms: &[u32]) -> EndsInRow {
    EndsInRow {
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
    let held = applied.registry.suspicions().get(&request(body));
    held.map_or(0, Suspicion::ends)
}

/// What is known of a request here.
fn known(applied: &Applied, body: &str) -> EndsInRow {
    let held = applied.registry.suspicions().get(&request(body));
    held.map(|held| held.row.clone()).unwrap_or_default()
}

/// What is told, one after the other, and how many ends count in the end.
#[rstest]
#[case::one_after_the_other(&[("i-1", 0), ("i-2", 1), ("i-3", 2)], 3)]
#[case::copies_beside_each_other(&[("i-1", 0), ("i-2", 0), ("i-3", 0), ("i-4", 0)], 1)]
#[case::one_replica_told_by_two_gateways(&[("i-1", 0), ("i-1", 0)], 1)]
#[case::a_gateway_that_was_cut_off(&[("i-1", 0), ("i-2", 1), ("i-3", 0)], 2)]
#[case::told_late_of_a_replica(&[("i-1", 0), ("i-2", 1), ("i-2", 1)], 2)]
#[case::told_in_another_order(&[("i-3", 2), ("i-1", 0), ("i-2", 1)], 3)]
#[case::the_ends_between_were_never_told(&[("i-1", 0), ("i-4", 3)], 4)]
#[case::the_same_one_again_at_a_gateway_that_hears_of_no_others(&[("i-1", 0), ("i-1", 1)], 2)]
fn an_end_counts_if_the_run_began_knowing_of_the_ends_before(
    #[case] told: &[(&str, usize)],
    #[case] counted: u32,
) {
    let mut applied = Applied::default();
    for (replica, known) in told {
        applied.apply(&ended(replica, &[run("a", *known)]));
    }
    assert_eq!(ends(&applied, "a"), counted);
}

/// How long runs lasted before their replicas ended, and how many of these ends count.
#[rstest]
#[case::at_once(&[20, 60, 140], 3)]
#[case::at_once_at_slow_replicas(&[100, 480, 90], 3)]
#[case::late_in_a_long_run(&[4_000, 4_300, 3_700], 3)]
#[case::at_different_times(&[300, 2_900, 1_400], 1)]
#[case::the_last_two_alike(&[300, 2_900, 2_700], 2)]
#[case::a_stall_stretches_one_of_them(&[31, 5_000, 30, 32], 3)]
#[case::stalls_stretch_two_of_them(&[31, 5_000, 30, 2_000, 32], 2)]
#[case::stalls_of_less_than_a_second(&[934, 31, 400], 3)]
#[case::one_came_sooner_than_the_others(&[2_900, 2_700, 300], 1)]
#[case::long_ones_are_not_taken_for_stretched(&[1_900, 4_000, 1_900, 4_000, 1_900, 4_000], 2)]
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

/// After how many ends in a row a request is refused, by how long it ran each time.
#[rstest]
#[case::at_once(100, 3)]
#[case::within_a_second(999, 3)]
#[case::after_seconds(3_700, 6)]
fn a_longer_run_needs_more_ends(#[case] ran_ms: u32, #[case] needed: u32) {
    let mut applied = Applied::default();
    for number in 0..needed {
        let held = applied.registry.suspicions().get(&request("a"));
        assert!(!held.is_some_and(Suspicion::is_refused), "{held:?}");
        let run = run_knowing("a", known(&applied, "a"), ran_ms);
        applied.apply(&ended(&format!("i-{number}"), &[run]));
    }
    let held = applied.registry.suspicions().get(&request("a"));
    assert!(held.is_some_and(Suspicion::is_refused), "{held:?}");
}

/// A gateway that is cut off does not try what one more end would refuse.
#[rstest]
#[case::first_end(&[30], false)]
#[case::two_short_runs(&[30, 31], true)]
#[case::two_of_different_lengths(&[300, 2_900], false)]
#[case::long_runs_that_need_more(&[4_200; 5], false)]
#[case::the_last_one_of_those(&[4_200; 6], true)]
fn one_more_end_may_be_enough(#[case] lengths_ms: &[u32], #[case] is_enough: bool) {
    assert_eq!(is_almost_refused(&row(0, lengths_ms)), is_enough);
}

/// Own news of a gateway (clearings, ends) beside what control told.
#[rstest]
#[case::control_has_not_told_yet((0, 2), (0, 1), true)]
#[case::control_knows_as_much((0, 2), (0, 2), false)]
#[case::control_knows_more((0, 1), (0, 3), false)]
#[case::cleared_meanwhile((0, 2), (1, 0), false)]
#[case::cleared_here((1, 0), (0, 3), true)]
#[case::suspected_again((1, 0), (1, 1), false)]
#[case::cleared_and_suspected_again((0, 3), (1, 1), false)]
fn news_count_until_control_knows_as_much(
    #[case] own: (u32, usize),
    #[case] told: (u32, usize),
    #[case] counts: bool,
) {
    let row = |(clearings, ends): (u32, usize)| row(clearings, &vec![100; ends]);
    assert_eq!(row(own).outweighs(&row(told)), counts);
}

/// Seen in a run of faults: innocent requests were refused where ends counted that a
/// gateway knew of which had not heard of a clearing.
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

/// A command is applied again where its answer was lost.
#[rstest]
#[case::while_it_is_suspected(false, 2)]
#[case::after_a_whole_answer(true, 0)]
fn an_end_that_is_told_again_changes_nothing(#[case] cleared: bool, #[case] counted: u32) {
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

/// Control heard of nothing while it had no leader: what a gateway knew where a run began
/// holds there too, also that the request was cleared.
#[test]
fn a_run_tells_what_was_known_where_it_began() {
    let mut applied = Applied::default();
    applied.apply(&ended("i-1", &[run("a", 0)]));
    let known = row(2, &[31, 30]);
    applied.apply(&ended("i-9", &[run_knowing("a", known, 33)]));
    let held = applied.registry.suspicions().get(&request("a"));
    let held = held.expect("it is suspected");
    assert_eq!(held.row, row(2, &[31, 30, 33]));
    assert!(held.is_refused());
}

/// What gateways tell each other comes in any order, and is put together alike.
#[test]
fn what_is_told_in_any_order_comes_to_the_same() {
    let rows = [row(0, &[30]), row(0, &[30, 31]), row(1, &[]), row(1, &[29])];
    let told = |row: &EndsInRow| ToldSuspicion {
        fingerprint: request("a"),
        replica: "i-1".to_owned(),
        row: row.clone(),
    };
    for first in &rows {
        for second in &rows {
            for third in &rows {
                let mut held = EndsInRow::default();
                for row in [first, second, third, &rows[3], first] {
                    let news = Suspicion::from_report(told(row), LogIndex(0));
                    assert_eq!(news.to_report(), told(row));
                    if news.row.outweighs(&held) {
                        held = news.row;
                    }
                }
                assert_eq!(held, rows[3]);
            }
        }
    }
}

#[test]
fn a_copy_that_comes_to_a_whole_answer_ends_the_suspicion() {
    let mut applied = Applied::default();
    applied.apply(&ended("i-1", &[run("guilty", 0), run("beside", 0)]));
    applied.apply(&RegistryCommand::ClearSuspicions(vec![request("beside")]));
    applied.apply(&ended("i-2", &[run("guilty", 1), run("beside", 0)]));
    assert_eq!((ends(&applied, "guilty"), ends(&applied, "beside")), (2, 1));
    // It was cleared while this run was under way, which knew of an end.
    applied.apply(&RegistryCommand::ClearSuspicions(vec![request("beside")]));
    applied.apply(&ended("i-3", &[run("beside", 1)]));
    assert_eq!(ends(&applied, "beside"), 1);
}

/// How many ends count before nothing was heard for long, and after it.
#[rstest]
#[case::suspected(1, 0)]
#[case::almost_refused(2, 0)]
#[case::refused(3, 2)]
fn time_eases_a_suspicion(#[case] before: usize, #[case] after: u32) {
    let mut applied = Applied::default();
    for number in 0..before {
        applied.apply(&ended(&format!("i-{number}"), &[run("a", number)]));
    }
    applied.apply(&RegistryCommand::DecaySuspicions(vec![request("a")]));
    assert_eq!(ends(&applied, "a"), after);
}

#[test]
fn endless_different_requests_displace_their_own_kind_only() {
    let mut applied = Applied::default();
    applied.apply(&ended("i-1", &[run("a", 0)]));
    applied.apply(&ended("i-2", &[run("a", 1)]));
    for number in 0..2 * MOST {
        applied.apply(&ended("i-3", &[run(&format!("other {number}"), 0)]));
    }
    assert_eq!(ends(&applied, "a"), 2);
    let suspicions = applied.registry.suspicions();
    assert_eq!(
        (suspicions.len(), suspicions.records().count()),
        (MOST, MOST)
    );
}

#[test]
fn a_restart_forgets_nothing() {
    let mut applied = Applied::default();
    applied.apply(&ended("i-1", &[run("a", 0)]));
    let snapshot = applied.registry.begin_snapshot().expect("it is encoded");
    let restored = Registry::from_snapshot(store_snapshot(snapshot)).expect("it is read");
    let held = restored.suspicions().get(&request("a"));
    assert_eq!(held, applied.registry.suspicions().get(&request("a")));
    assert_eq!(restored.suspicions().len(), 1);
}

#[test]
fn a_gateway_learns_only_what_changed_and_never_steps_back() {
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
    let held = view.suspicions().get(&request("b"));
    assert_eq!(held.map(Suspicion::ends), Some(1));
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

/// The ends under one request as control heard of them in a fleet whose machines stood
/// still now and then: replica, ends that were known at the start of the run, and how long
/// it had run. Each run ends its replica 30 ms after its start; a stall makes some of them
/// look longer, and an end after a longer run begins the count anew.
#[test]
fn ends_of_a_fatal_request_count_though_stalls_stretch_its_runs() {
    let told = [
        ("m-3-0", 0, 31),
        ("m-1-0", 0, 30),
        ("m-0-0", 1, 1_066),
        ("m-1-1", 1, 1_034),
        ("m-0-1", 2, 509),
        ("m-3-1", 3, 70),
        ("m-1-2", 1, 32),
    ];
    let mut applied = Applied::default();
    for (replica, known_ends, ran_ms) in told {
        // Runs knew of the first ones that control was told.
        let mut known = known(&applied, "a");
        known.lengths_ms.truncate(known_ends);
        assert_eq!(known.lengths_ms.len(), known_ends);
        applied.apply(&ended(replica, &[run_knowing("a", known, ran_ms)]));
    }
    let held = applied.registry.suspicions().get(&request("a"));
    assert!(held.is_some_and(Suspicion::is_refused), "{held:?}");
}
