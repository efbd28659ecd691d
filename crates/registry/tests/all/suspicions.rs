//! Requests under which replicas ended: who is suspected, how much, and what ends it.

use linnethitch_group::StateMachine;
use linnethitch_protocol::ids::LogIndex;
use linnethitch_registry::{
    EndedRun, FleetView, Registry, RegistryCommand, RequestContent, RequestFingerprint, Suspicion,
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

fn run(body: &str, known_ends: u32) -> EndedRun {
    long_run(body, known_ends, 100)
}

fn long_run(body: &str, known_ends: u32, ran_ms: u32) -> EndedRun {
    EndedRun {
        fingerprint: request(body),
        known_ends,
        ran_ms,
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
    held.map_or(0, |held| held.ends)
}

/// What is told, one after the other, and how many ends count in the end.
#[rstest]
#[case::one_after_the_other(&[("i-1", 0), ("i-2", 1), ("i-3", 2)], 3)]
#[case::copies_beside_each_other(&[("i-1", 0), ("i-2", 0), ("i-3", 0), ("i-4", 0)], 1)]
#[case::one_replica_told_by_two_gateways(&[("i-1", 0), ("i-1", 0)], 1)]
#[case::a_gateway_that_was_cut_off(&[("i-1", 0), ("i-2", 1), ("i-3", 0)], 2)]
#[case::told_late_of_a_replica(&[("i-1", 0), ("i-2", 1), ("i-2", 1)], 2)]
fn an_end_counts_if_the_run_began_knowing_of_the_ends_before(
    #[case] told: &[(&str, u32)],
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
fn ends_after_runs_of_different_lengths_had_other_causes(
    #[case] lasted_ms: &[u32],
    #[case] counted: u32,
) {
    let mut applied = Applied::default();
    for (number, ran_ms) in lasted_ms.iter().enumerate() {
        let known = ends(&applied, "a");
        applied.apply(&ended(
            &format!("i-{number}"),
            &[long_run("a", known, *ran_ms)],
        ));
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
        applied.apply(&ended(
            &format!("i-{number}"),
            &[long_run("a", number, ran_ms)],
        ));
    }
    let held = applied.registry.suspicions().get(&request("a"));
    assert!(held.is_some_and(Suspicion::is_refused), "{held:?}");
}

/// Own news of a gateway (ends, as of an entry) beside what control told.
#[rstest]
#[case::control_has_not_told_yet((2, 7), (1, 7), true)]
#[case::control_commits_late_what_was_before((2, 7), (1, 9), true)]
#[case::control_knows_more((1, 7), (3, 9), false)]
#[case::cleared_meanwhile((2, 7), (0, 9), false)]
#[case::suspected_again((0, 7), (1, 9), false)]
fn news_count_until_control_knows_as_much(
    #[case] own: (u32, u64),
    #[case] told: (u32, u64),
    #[case] counts: bool,
) {
    let record = |(ends, at): (u32, u64)| Suspicion {
        ends,
        ..Suspicion::cleared(request("a"), LogIndex(at))
    };
    assert_eq!(record(own).outweighs(&record(told)), counts);
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
fn time_eases_a_suspicion(#[case] before: u32, #[case] after: u32) {
    let mut applied = Applied::default();
    for number in 0..before {
        applied.apply(&ended(&format!("i-{number}"), &[run("a", number)]));
    }
    applied.apply(&RegistryCommand::EaseSuspicions(vec![request("a")]));
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
    let late = applied.registry.update_since(early.upto);
    assert_eq!(late.suspicions.len(), 1);
    let mut view = FleetView::default();
    assert!(view.take(early.clone()));
    assert_eq!(view.suspicions().len(), 2);
    assert!(view.take(late));
    assert!(!view.take(early));
    assert_eq!(view.suspicions().len(), 1);
    let held = view.suspicions().get(&request("b"));
    assert_eq!(held.map(|held| held.ends), Some(1));
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
    for (replica, known, ran_ms) in told {
        applied.apply(&ended(replica, &[long_run("a", known, ran_ms)]));
    }
    let held = applied.registry.suspicions().get(&request("a"));
    assert!(held.is_some_and(Suspicion::is_refused), "{held:?}");
}
