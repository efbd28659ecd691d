//! A replica that restarts under its id: its recorded state belongs to one incarnation.

use linnethitch_group::StateMachine;
use linnethitch_protocol::ids::LogIndex;
use linnethitch_registry::{
    ConsecutiveEnds, EndedRun, FleetUpdate, FleetView, Registry, RegistryAnswer, RegistryCommand,
    ReplicaChange, ReplicaState, RequestContent, RequestFingerprint, incarnation_key,
    parse_incarnation_key,
};
use rstest::rstest;

use crate::support::{replica, store_snapshot};

const READY: ReplicaState = ReplicaState::Ready;
const DRAINING: ReplicaState = ReplicaState::Draining;
const ENDED: ReplicaState = ReplicaState::Ended;
const DISPLACED: ReplicaState = ReplicaState::Displaced;

/// Reports to control, in the order of its log.
#[derive(Clone, Debug)]
enum Report {
    /// A heartbeat of i-1: incarnation, sequence number, state.
    Heartbeat(u64, u64, ReplicaState),
    /// The end of an incarnation, by its key.
    End(&'static str),
    /// Another incarnation answered at the address of this one.
    NotAtAddress(&'static str),
    /// i-2 has registered at the address of i-1.
    OtherAtAddress,
}
use Report::{End, Heartbeat, NotAtAddress, OtherAtAddress};

impl Report {
    fn command(&self) -> RegistryCommand {
        match self {
            Heartbeat(incarnation, sequence, state) => {
                heartbeat("i-1", *incarnation, *sequence, *state)
            }
            End(key) => RegistryCommand::RemoveReplica((*key).to_owned()),
            NotAtAddress(key) => RegistryCommand::NotAtAddress((*key).to_owned()),
            OtherAtAddress => heartbeat("i-2", 0, 1, READY),
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

/// The record of i-1 after the reports, also in a member that is restored from a snapshot
/// after each entry, and in a gateway that receives the updates in reverse order.
#[rstest]
#[case::counts_from_one_again(&[Heartbeat(1, 9, READY), Heartbeat(2, 1, READY)], 2, READY)]
#[case::after_its_end(&[Heartbeat(1, 9, READY), End("i-1#1"), Heartbeat(2, 1, READY)], 2, READY)]
#[case::after_it_drained(&[Heartbeat(1, 8, READY), Heartbeat(1, 9, DRAINING), Heartbeat(2, 1, READY)], 2, READY)]
#[case::after_it_was_displaced(&[Heartbeat(1, 9, READY), OtherAtAddress, Heartbeat(2, 1, READY)], 2, READY)]
#[case::after_it_was_not_at_the_address(&[Heartbeat(1, 9, READY), NotAtAddress("i-1#1"), Heartbeat(2, 1, READY)], 2, READY)]
#[case::after_a_report_without_incarnation(&[Heartbeat(0, 9, READY), End("i-1"), Heartbeat(2, 1, READY)], 2, READY)]
#[case::after_an_end_before_any_heartbeat(&[End("i-1"), Heartbeat(2, 1, READY)], 2, READY)]
#[case::within_one_incarnation_the_sequence_decides(&[Heartbeat(2, 3, DRAINING), Heartbeat(2, 2, READY)], 2, DRAINING)]
#[case::an_ended_incarnation_does_not_return(&[Heartbeat(2, 3, READY), End("i-1#2"), Heartbeat(2, 9, READY)], 2, ENDED)]
#[case::a_displaced_incarnation_stays_displaced(&[Heartbeat(2, 3, READY), OtherAtAddress, Heartbeat(2, 9, READY)], 2, DISPLACED)]
#[case::late_heartbeat_of_an_earlier_incarnation(&[Heartbeat(1, 1, READY), Heartbeat(2, 1, READY), Heartbeat(1, 99, DRAINING)], 2, READY)]
#[case::late_heartbeat_of_an_unknown_incarnation(&[Heartbeat(2, 1, READY), Heartbeat(1, 99, DRAINING)], 2, READY)]
#[case::late_heartbeat_without_incarnation(&[Heartbeat(2, 1, READY), Heartbeat(0, 99, DRAINING)], 2, READY)]
#[case::late_heartbeat_after_the_newer_one_ended(&[Heartbeat(1, 1, READY), Heartbeat(2, 1, READY), End("i-1#2"), Heartbeat(1, 99, READY)], 2, ENDED)]
#[case::late_end_of_an_earlier_incarnation(&[Heartbeat(1, 1, READY), Heartbeat(2, 1, READY), End("i-1#1")], 2, READY)]
#[case::late_end_without_incarnation(&[Heartbeat(2, 1, READY), End("i-1")], 2, READY)]
#[case::an_earlier_incarnation_was_not_at_the_address(&[Heartbeat(1, 1, READY), Heartbeat(2, 1, READY), NotAtAddress("i-1#1")], 2, READY)]
#[case::a_newer_incarnation_was_not_at_the_address(&[Heartbeat(1, 1, READY), Heartbeat(2, 1, READY), NotAtAddress("i-1#2")], 2, ENDED)]
fn the_record_belongs_to_the_newest_incarnation(
    #[case] reports: &[Report],
    #[case] incarnation: u64,
    #[case] state: ReplicaState,
) {
    let mut registry = Registry::default();
    let mut restarted = Registry::default();
    let mut updates: Vec<FleetUpdate> = Vec::new();
    for (index, report) in (1..).zip(reports) {
        apply(&mut registry, index, &report.command());
        apply(&mut restarted, index, &report.command());
        restarted = restored(&restarted);
        updates.push(registry.update_since(LogIndex(index - 1)));
    }
    for registry in [&registry, &restarted] {
        let record = &registry.replica("i-1").expect("it is recorded").reported;
        assert_eq!((record.incarnation, record.state), (incarnation, state));
    }
    let mut view = FleetView::default();
    for update in updates.into_iter().rev() {
        view.apply(update);
    }
    let record = &view.replica("i-1").expect("it is known").reported;
    assert_eq!((record.incarnation, record.state), (incarnation, state));
}

/// An end of another incarnation than the recorded one has its own answer and changes
/// nothing.
#[test]
fn an_end_of_another_incarnation_has_its_own_answer() {
    let mut registry = Registry::default();
    apply(&mut registry, 1, &Heartbeat(1, 1, READY).command());
    apply(&mut registry, 2, &Heartbeat(2, 1, READY).command());
    let answer = apply(&mut registry, 3, &End("i-1#1").command());
    assert_eq!(answer, RegistryAnswer::OtherIncarnation);
    assert_eq!(registry.changed_at(), LogIndex(2));
    let answer = apply(&mut registry, 4, &End("i-1#2").command());
    assert_eq!(answer, RegistryAnswer::Done);
    let answer = apply(&mut registry, 5, &End("i-1#2").command());
    assert_eq!(answer, RegistryAnswer::Done);
    assert_eq!(registry.changed_at(), LogIndex(4));
}

/// The state of each incarnation for a gateway that knows incarnation 2.
#[rstest]
#[case::earlier("i-1#1", Some(ENDED))]
#[case::without_incarnation("i-1", Some(ENDED))]
#[case::known("i-1#2", Some(READY))]
#[case::later("i-1#3", None)]
#[case::another_replica("i-9#2", None)]
fn a_gateway_distinguishes_incarnations(#[case] key: &str, #[case] state: Option<ReplicaState>) {
    let mut registry = Registry::default();
    apply(&mut registry, 1, &Heartbeat(2, 1, READY).command());
    let mut view = FleetView::default();
    view.apply(registry.update_since(LogIndex(0)));
    assert_eq!(view.state_of_incarnation(key), state);
}

/// Two incarnations of one replica that end under a request are two ends, and repeated
/// reports of an end do not count.
#[test]
fn each_incarnation_that_ends_under_a_request_counts() {
    let fingerprint = RequestFingerprint::of(&RequestContent {
        method: "POST",
        host: b"desk.example",
        path: "/a/x",
        caller: b"",
        body: b"body",
    });
    let mut registry = Registry::default();
    for (index, (key, known_ends)) in (1..).zip([("i-1#1", 0), ("i-1#1", 0), ("i-1#2", 1)]) {
        let known = ConsecutiveEnds {
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
    let record = registry.suspicions().get(&fingerprint);
    assert_eq!(record.expect("it is suspected").ends(), 2);
}

#[rstest]
#[case::not_reported("i-1", 0, "i-1")]
#[case::reported("i-1", 7, "i-1#7")]
#[case::longest("i-1", u64::MAX, "i-1#18446744073709551615")]
fn a_key_names_an_id_and_an_incarnation(
    #[case] id: &str,
    #[case] incarnation: u64,
    #[case] key: &str,
) {
    assert_eq!(incarnation_key(id, incarnation), key);
    assert_eq!(parse_incarnation_key(key), (id, incarnation));
}

/// The earlier and the current cold time of a replica, and whether they differ.
#[rstest]
#[case::warm(0, 0, false)]
#[case::less_remains(4_900, 3_700, false)]
#[case::the_same_remains(4_900, 4_900, false)]
#[case::warm_now(4_900, 0, true)]
#[case::cold_now(0, 4_900, true)]
#[case::cold_again(1_300, 4_900, true)]
fn only_a_change_between_cold_and_warm_is_a_difference(
    #[case] before: u64,
    #[case] reported: u64,
    #[case] differs: bool,
) {
    let change = |cold_ms| ReplicaChange {
        cold_ms,
        ..replica("i-1", "10.0.0.1:80", READY, 1)
    };
    assert_eq!(change(reported).differs_from(&change(before)), differs);
}

/// A gateway counts the cold time of a replica from the log entry that reported it, so each
/// proposed cold time is recorded, unless it is out of order.
#[rstest]
#[case::as_much_again(2, 4_900, 2)]
#[case::less(2, 1_200, 2)]
#[case::late(1, 4_900, 1)]
fn a_proposed_cold_time_is_recorded(
    #[case] sequence: u64,
    #[case] cold_ms: u64,
    #[case] changed_at: u64,
) {
    let mut registry = Registry::default();
    let heartbeat = |sequence, cold_ms| {
        RegistryCommand::Replica(Box::new(ReplicaChange {
            cold_ms,
            ..replica("i-1", "10.0.0.1:80", READY, sequence)
        }))
    };
    apply(&mut registry, 1, &heartbeat(1, 4_900));
    apply(&mut registry, 2, &heartbeat(sequence, cold_ms));
    let record = registry.replica("i-1").expect("it is recorded");
    assert_eq!(record.changed_at, LogIndex(changed_at));
}

/// The zone of a replica is the same for all its incarnations.
#[rstest]
#[case::not_reported("i-1", Some("worcester"))]
#[case::recorded("i-1#2", Some("worcester"))]
#[case::earlier("i-1#1", Some("worcester"))]
#[case::unknown("i-9#1", None)]
fn the_zone_of_an_incarnation_is_its_replicas(#[case] key: &str, #[case] zone: Option<&str>) {
    let mut registry = Registry::default();
    apply(&mut registry, 1, &heartbeat("i-1", 2, 1, READY));
    let mut view = FleetView::default();
    view.apply(registry.update_since(LogIndex(0)));
    assert_eq!(view.zone_of_incarnation(key), zone);
}
