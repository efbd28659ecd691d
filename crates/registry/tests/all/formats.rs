//! A registry is stored in a format that every member of its group reads.

use linnethitch_errors::ErrorKind;
use linnethitch_group::{InMemorySnapshot, SnapshotSource, StateMachine};
use linnethitch_protocol::{
    format::Format,
    ids::{LogIndex, MachineId},
};
use linnethitch_registry::{
    ConsecutiveEnds, EndedRun, EvacuationOrder, Registry, RegistryCommand, ReplicaChange,
    ReplicaState, RequestFingerprint, Route, Suspicion,
};
use rstest::rstest;

use crate::support::{hex_bytes, replica, route, store_snapshot, table};

/// Snapshots and commands written by the build of commit 4f0dab2, by name.
const RECORDED: &str = include_str!("../../../cluster/tests/recorded/format-1.txt");

fn recorded(name: &str) -> Vec<u8> {
    let mut lines = RECORDED.lines().filter_map(|line| line.split_once(' '));
    let found = lines.find(|(found, _)| *found == name);
    hex_bytes(found.expect("it is recorded").1)
}

fn restored(bytes: Vec<u8>) -> Registry {
    Registry::from_snapshot(store_snapshot(InMemorySnapshot::new(bytes))).expect("it is read")
}

fn snapshot_of(registry: &Registry) -> Vec<u8> {
    let mut snapshot = registry.begin_snapshot().expect("a snapshot");
    let piece = snapshot.next_piece().expect("a piece");
    piece.expect("a complete snapshot")
}

#[test]
fn a_snapshot_for_members_of_the_previous_build_has_their_bytes() {
    let bytes = recorded("stored-registry-snapshot");
    let registry = restored(bytes.clone());
    assert_eq!(registry.format(), Format::First);
    assert_eq!(snapshot_of(&registry), bytes);
}

#[test]
fn one_entry_of_the_newest_format_raises_it_permanently() {
    let mut registry = restored(recorded("stored-registry-snapshot"));
    let before = registry.changed_at();
    let raise = RegistryCommand::raise_format(Format::NEWEST).expect("it is encoded");
    registry.apply(LogIndex(50), &raise).expect("it is applied");
    assert_eq!(registry.format(), Format::NEWEST);
    assert_eq!(registry.changed_at(), before);
    let late = recorded("stored-replica");
    registry.apply(LogIndex(51), &late).expect("it is applied");
    assert_eq!(registry.format(), Format::NEWEST);
    assert_eq!(restored(snapshot_of(&registry)).format(), Format::NEWEST);
}

/// A group whose members read the second format and some the third stores in the second.
#[test]
fn the_format_is_raised_step_by_step() {
    let mut registry = restored(recorded("stored-registry-snapshot"));
    for (index, format) in [
        (50, Format::Second),
        (51, Format::Third),
        (52, Format::Fourth),
    ] {
        let raise = RegistryCommand::raise_format(format).expect("it is encoded");
        registry
            .apply(LogIndex(index), &raise)
            .expect("it is applied");
        assert_eq!(registry.format(), format);
        assert_eq!(restored(snapshot_of(&registry)).format(), format);
    }
}

/// Guards against versions that a restarted member, or one of an older build, does not have.
#[rstest]
#[case::second(Format::Second, None)]
#[case::third(Format::Third, Some("v1.2"))]
#[case::fourth(Format::Fourth, Some("v1.2"))]
fn software_versions_are_stored_in_the_third_format(
    #[case] format: Format,
    #[case] expected: Option<&str>,
) {
    let report = ReplicaChange {
        software: Some("v1.2".to_owned()),
        ..replica("i-1", "10.0.0.1:80", ReplicaState::Ready, 1)
    };
    let mut registry = restored(recorded("stored-registry-snapshot"));
    let raise = RegistryCommand::raise_format(format).expect("it is encoded");
    registry.apply(LogIndex(50), &raise).expect("it is applied");
    let command = RegistryCommand::Replica(Box::new(report));
    let command = command.to_stored_in(format).expect("it is encoded");
    registry
        .apply(LogIndex(51), &command)
        .expect("it is applied");
    for registry in [restored(snapshot_of(&registry)), registry] {
        let record = registry.replica("i-1").expect("it is recorded");
        assert_eq!(record.reported.software.as_deref(), expected);
    }
}

fn with_homes() -> RegistryCommand {
    let route = Route {
        homes: vec!["region".to_owned()],
        ..route("a", "/a/", "rates")
    };
    RegistryCommand::PutConfiguration {
        table: table(1, vec![route]),
        declared: Box::new(linnethitch_registry::Declared {
            tenants: None,
            document: Vec::new(),
        }),
    }
}

fn evacuation() -> RegistryCommand {
    RegistryCommand::EvacuateZone(EvacuationOrder {
        zone: "zone".to_owned(),
        seen: LogIndex(0),
    })
}

/// A command that the previous build cannot store is rejected completely.
#[rstest]
#[case::homes(with_homes())]
#[case::evacuation(evacuation())]
#[case::gateways(RegistryCommand::GatewaysChanged { joined: vec![MachineId(1)], left: Vec::new() })]
#[case::forgotten(RegistryCommand::ForgetEnded { up_to_index: LogIndex(1) })]
fn what_the_previous_build_cannot_store_is_rejected(#[case] command: RegistryCommand) {
    let refused = command.to_stored_in(Format::First).expect_err("refused");
    assert_eq!(*refused.current_context(), ErrorKind::InvalidState);
    assert!(command.to_stored_in(Format::Second).is_ok());
}

/// Guards against members with different suspicions: run lengths and clearings remained in a
/// running member, and were lost by a member that restarted from a first-format snapshot.
#[test]
fn a_restarted_member_has_the_same_suspicions() {
    let end = |replica: &str, known: ConsecutiveEnds, ran_ms| RegistryCommand::ReplicaEnded {
        replica: replica.to_owned(),
        runs: vec![EndedRun {
            fingerprint: RequestFingerprint([7; 16]),
            known,
            ran_ms,
        }],
    };
    let cleared = || RegistryCommand::ClearSuspicions(vec![RequestFingerprint([7; 16])]);
    let in_first_format = [
        end("i-1", ConsecutiveEnds::default(), 300),
        end("i-2", ConsecutiveEnds::with_equal_lengths(300, 1), 2_900),
        end("i-3", ConsecutiveEnds::with_equal_lengths(300, 2), 90),
        cleared(),
        end("i-4", ConsecutiveEnds::with_equal_lengths(90, 1), 40),
    ];
    let stored = in_first_format.map(|command| command.to_stored_in(Format::First));
    let raise = RegistryCommand::raise_format(Format::NEWEST);
    let after = end("i-5", ConsecutiveEnds::with_equal_lengths(40, 1), 60).to_stored();
    let commands = stored.into_iter().chain([raise, after]);
    let mut running = Registry::default();
    let mut restarted = Registry::default();
    for (index, command) in (1..).zip(commands) {
        let command = command.expect("it is encoded");
        for registry in [&mut running, &mut restarted] {
            let applied = registry.apply(LogIndex(index), &command);
            applied.expect("it is applied");
        }
        restarted = restored(snapshot_of(&restarted));
        let records = |registry: &Registry| -> Vec<Suspicion> {
            registry.suspicions().records().cloned().collect()
        };
        assert_eq!(
            records(&running),
            records(&restarted),
            "after entry {index}"
        );
    }
}
