//! A replica that starts again under its id: what is held belongs to one start.

use linnethitch_group::StateMachine;
use linnethitch_protocol::ids::LogIndex;
use linnethitch_registry::{
    EndedRun, EndsInRow, FleetUpdate, FleetView, Registry, RegistryAnswer, RegistryCommand,
    ReplicaChange, ReplicaState, RequestContent, RequestFingerprint, incarnation_key,
    parse_incarnation_key,
};
use rstest::rstest;

use crate::support::{replica, store_snapshot};

const READY: ReplicaState = ReplicaState::Ready;
const DRAINING: ReplicaState = ReplicaState::Draining;
const GONE: ReplicaState = ReplicaState::Ended;
const DISPLACED: ReplicaState = ReplicaState::Displaced;

/// What control is told, in the order of its log.
#[derive(Clone, Debug)]
enum Told {
    /// A heartbeat of i-1: start, sequence number, state.
    Beat(u64, u64, ReplicaState),
    /// The end of a start, by its key.
    End(&'static str),
    /// Another incarnation answered in the place of this start.
    NotAtAddress(&'static str),
    /// i-2 has registered at the address of i-1.
    OtherAtItsAddress,
}
use Told::{Beat, End, NotAtAddress, OtherAtItsAddress};

impl Told {
    fn command(&self) -> RegistryCommand {
        match self {
            Beat(incarnation, sequence, state) => heartbeat("i-1", *incarnation, *sequence, *state),
            End(key) => RegistryCommand::RemoveReplica((*key).to_owned()),
            NotAtAddress(key) => RegistryCommand::NotAtAddress((*key).to_owned()),
            OtherAtItsAddress => heartbeat("i-2", 0, 1, READY),
        }
    }
}

fn heartbeat(id: &str, incarnation: u64, sequence: u64, state: ReplicaState) -> RegistryCommand {
    RegistryCommand::Replica(Box::new(ReplicaChange {
        incarnation,
        ..replica(id, "10.0.0.1:80", state, sequence)
    }))
}

fn apply(registry: &mut Registry, index: u64, command: &RegistryCommand) -> RegistryAnswer {
    let bytes = command.to_stored().expect("a command encodes");
    registry
        .apply(LogIndex(index), &bytes)
        .expect("a command applies")
}

fn restored(registry: &Registry) -> Registry {
    let snapshot = registry.begin_snapshot().expect("a snapshot");
    Registry::from_snapshot(store_snapshot(snapshot)).expect("it is read")
}

/// What is held of i-1 after what was told, also by a member that was restored from a
/// snapshot after each entry, and by a gateway that hears of the entries in reverse.
#[rstest]
#[case::counts_from_one_again(&[Beat(1, 9, READY), Beat(2, 1, READY)], 2, READY)]
#[case::after_its_end(&[Beat(1, 9, READY), End("i-1#1"), Beat(2, 1, READY)], 2, READY)]
#[case::after_it_left(&[Beat(1, 8, READY), Beat(1, 9, DRAINING), Beat(2, 1, READY)], 2, READY)]
#[case::after_it_was_displaced(&[Beat(1, 9, READY), OtherAtItsAddress, Beat(2, 1, READY)], 2, READY)]
#[case::after_it_was_not_there(&[Beat(1, 9, READY), NotAtAddress("i-1#1"), Beat(2, 1, READY)], 2, READY)]
#[case::after_a_start_that_was_not_told(&[Beat(0, 9, READY), End("i-1"), Beat(2, 1, READY)], 2, READY)]
#[case::after_an_end_before_any_heartbeat(&[End("i-1"), Beat(2, 1, READY)], 2, READY)]
#[case::of_one_start_the_number_decides(&[Beat(2, 3, DRAINING), Beat(2, 2, READY)], 2, DRAINING)]
#[case::a_start_that_ended_does_not_come_back(&[Beat(2, 3, READY), End("i-1#2"), Beat(2, 9, READY)], 2, GONE)]
#[case::a_displaced_start_stays_so(&[Beat(2, 3, READY), OtherAtItsAddress, Beat(2, 9, READY)], 2, DISPLACED)]
#[case::late_of_an_earlier_start(&[Beat(1, 1, READY), Beat(2, 1, READY), Beat(1, 99, DRAINING)], 2, READY)]
#[case::late_and_never_heard_before(&[Beat(2, 1, READY), Beat(1, 99, DRAINING)], 2, READY)]
#[case::late_without_a_start(&[Beat(2, 1, READY), Beat(0, 99, DRAINING)], 2, READY)]
#[case::late_after_the_later_one_ended(&[Beat(1, 1, READY), Beat(2, 1, READY), End("i-1#2"), Beat(1, 99, READY)], 2, GONE)]
#[case::late_end_of_an_earlier_start(&[Beat(1, 1, READY), Beat(2, 1, READY), End("i-1#1")], 2, READY)]
#[case::late_end_without_a_start(&[Beat(2, 1, READY), End("i-1")], 2, READY)]
#[case::an_earlier_start_was_not_there(&[Beat(1, 1, READY), Beat(2, 1, READY), NotAtAddress("i-1#1")], 2, READY)]
#[case::a_later_start_was_not_there(&[Beat(1, 1, READY), Beat(2, 1, READY), NotAtAddress("i-1#2")], 2, GONE)]
fn what_is_held_belongs_to_the_newest_start(
    #[case] told: &[Told],
    #[case] incarnation: u64,
    #[case] state: ReplicaState,
) {
    let mut registry = Registry::default();
    let mut restarted = Registry::default();
    let mut updates: Vec<FleetUpdate> = Vec::new();
    for (index, told) in (1..).zip(told) {
        apply(&mut registry, index, &told.command());
        apply(&mut restarted, index, &told.command());
        restarted = restored(&restarted);
        updates.push(registry.update_since(LogIndex(index - 1)));
    }
    for registry in [&registry, &restarted] {
        let held = &registry.replica("i-1").expect("it is held").reported;
        assert_eq!((held.incarnation, held.state), (incarnation, state));
    }
    let mut view = FleetView::default();
    for update in updates.into_iter().rev() {
        view.apply(update);
    }
    let held = &view.replica("i-1").expect("it is known").reported;
    assert_eq!((held.incarnation, held.state), (incarnation, state));
}

/// An end of another start than the one held is answered so, and changes nothing.
#[test]
fn an_end_of_another_start_is_answered_so() {
    let mut registry = Registry::default();
    apply(&mut registry, 1, &Beat(1, 1, READY).command());
    apply(&mut registry, 2, &Beat(2, 1, READY).command());
    let answer = apply(&mut registry, 3, &End("i-1#1").command());
    assert_eq!(answer, RegistryAnswer::OtherIncarnation);
    assert_eq!(registry.changed_at(), LogIndex(2));
    let answer = apply(&mut registry, 4, &End("i-1#2").command());
    assert_eq!(answer, RegistryAnswer::Done);
    let answer = apply(&mut registry, 5, &End("i-1#2").command());
    assert_eq!(answer, RegistryAnswer::Done);
    assert_eq!(registry.changed_at(), LogIndex(4));
}

/// What a gateway that knows the start 2 takes of each start.
#[rstest]
#[case::earlier("i-1#1", Some(GONE))]
#[case::without_a_start("i-1", Some(GONE))]
#[case::known("i-1#2", Some(READY))]
#[case::later("i-1#3", None)]
#[case::another_replica("i-9#2", None)]
fn a_gateway_tells_starts_apart(#[case] key: &str, #[case] state: Option<ReplicaState>) {
    let mut registry = Registry::default();
    apply(&mut registry, 1, &Beat(2, 1, READY).command());
    let mut view = FleetView::default();
    view.apply(registry.update_since(LogIndex(0)));
    assert_eq!(view.state_of_incarnation(key), state);
}

/// Two starts of one replica that end under a request are two ends, whoever tells them
/// again.
#[test]
fn each_start_that_ends_under_a_request_counts() {
    let fingerprint = RequestFingerprint::of(&RequestContent {
        method: "POST",
        host: b"desk.example",
        path: "/a/x",
        caller: b"",
        body: b"body",
    });
    let mut registry = Registry::default();
    for (index, (key, known_ends)) in (1..).zip([("i-1#1", 0), ("i-1#1", 0), ("i-1#2", 1)]) {
        let known = EndsInRow {
            clearings: 0,
            lengths_ms: vec![80; known_ends],
        };
        let ended = RegistryCommand::ReplicaEnded {
            replica: key.to_owned(),
            runs: vec![EndedRun {
                fingerprint,
                known,
                ran_ms: 80,
            }],
        };
        apply(&mut registry, index, &ended);
    }
    let held = registry.suspicions().get(&fingerprint);
    assert_eq!(held.expect("it is suspected").ends(), 2);
}

#[rstest]
#[case::not_told("i-1", 0, "i-1")]
#[case::told("i-1", 7, "i-1#7")]
#[case::longest("i-1", u64::MAX, "i-1#18446744073709551615")]
fn a_key_names_an_id_and_a_start(#[case] id: &str, #[case] incarnation: u64, #[case] key: &str) {
    assert_eq!(incarnation_key(id, incarnation), key);
    assert_eq!(parse_incarnation_key(key), (id, incarnation));
}

/// Cold time that was told before and is told now, and whether that is news.
#[rstest]
#[case::warm(0, 0, false)]
#[case::less_is_left(4_900, 3_700, false)]
#[case::the_same_is_left(4_900, 4_900, false)]
#[case::warm_now(4_900, 0, true)]
#[case::cold_now(0, 4_900, true)]
#[case::cold_again(1_300, 4_900, true)]
fn only_a_change_between_cold_and_warm_is_news(
    #[case] held: u64,
    #[case] told: u64,
    #[case] is_news: bool,
) {
    let change = |cold_ms| ReplicaChange {
        cold_ms,
        ..replica("i-1", "10.0.0.1:80", READY, 1)
    };
    assert_eq!(change(told).differs_from(&change(held)), is_news);
}

/// How long a gateway counts a replica as cold goes by the entry of the log that said so:
/// each cold time that was proposed is one, unless it comes late.
#[rstest]
#[case::as_much_again(2, 4_900, 2)]
#[case::less(2, 1_200, 2)]
#[case::late(1, 4_900, 1)]
fn a_cold_time_that_was_proposed_is_taken(
    #[case] sequence: u64,
    #[case] cold_ms: u64,
    #[case] changed_at: u64,
) {
    let mut registry = Registry::default();
    let beat = |sequence, cold_ms| {
        RegistryCommand::Replica(Box::new(ReplicaChange {
            cold_ms,
            ..replica("i-1", "10.0.0.1:80", READY, sequence)
        }))
    };
    apply(&mut registry, 1, &beat(1, 4_900));
    apply(&mut registry, 2, &beat(sequence, cold_ms));
    let held = registry.replica("i-1").expect("it is held");
    assert_eq!(held.changed_at, LogIndex(changed_at));
}

/// Where a replica is does not depend on which start of it is asked for.
#[rstest]
#[case::not_told("i-1", Some("worcester"))]
#[case::held("i-1#2", Some("worcester"))]
#[case::earlier("i-1#1", Some("worcester"))]
#[case::unknown("i-9#1", None)]
fn the_zone_of_a_start_is_its_replicas(#[case] key: &str, #[case] zone: Option<&str>) {
    let mut registry = Registry::default();
    apply(&mut registry, 1, &heartbeat("i-1", 2, 1, READY));
    let mut view = FleetView::default();
    view.apply(registry.update_since(LogIndex(0)));
    assert_eq!(view.zone_of_incarnation(key), zone);
}
