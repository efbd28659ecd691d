//! A registry is stored as every member of its group reads it.

use linnethitch_errors::ErrorKind;
use linnethitch_group::{SnapshotSource, StateMachine, WholeSnapshot};
use linnethitch_protocol::{
    format::Format,
    ids::{LogIndex, MachineId},
};
use linnethitch_registry::{
    EndedRun, EndsInRow, EvacuationOrder, Registry, RegistryCommand, RequestFingerprint, Route,
    Suspicion,
};
use rstest::rstest;

use crate::support::{hex_bytes, route, store_snapshot, table};

/// Snapshots and commands that the build of commit 4f0dab2 wrote, by name.
const RECORDED: &str = include_str!("../../../cluster/tests/recorded/format-1.txt");

fn recorded(name: &str) -> Vec<u8> {
    let mut lines = RECORDED.lines().filter_map(|line| line.split_once(' '));
    let found = lines.find(|(found, _)| *found == name);
    hex_bytes(found.expect("it is recorded").1)
}

fn restored(bytes: Vec<u8>) -> Registry {
    Registry::from_snapshot(store_snapshot(WholeSnapshot::new(bytes))).expect("it is read")
}

fn snapshot_of(registry: &Registry) -> Vec<u8> {
    let mut snapshot = registry.begin_snapshot().expect("a snapshot");
    let piece = snapshot.next_piece().expect("a piece");
    piece.expect("it is whole")
}

#[test]
fn a_snapshot_is_written_for_members_of_the_build_before_as_they_wrote_it() {
    let bytes = recorded("stored-registry-snapshot");
    let registry = restored(bytes.clone());
    assert_eq!(registry.format(), Format::First);
    assert_eq!(snapshot_of(&registry), bytes);
}

#[test]
fn one_entry_of_the_newest_format_raises_it_for_good() {
    let mut registry = restored(recorded("stored-registry-snapshot"));
    let before = registry.changed_at();
    let raise = RegistryCommand::raise_format().expect("it is encoded");
    registry.apply(LogIndex(50), &raise).expect("it is applied");
    assert_eq!(registry.format(), Format::Second);
    assert_eq!(registry.changed_at(), before);
    let late = recorded("stored-replica");
    registry.apply(LogIndex(51), &late).expect("it is applied");
    assert_eq!(registry.format(), Format::Second);
    assert_eq!(restored(snapshot_of(&registry)).format(), Format::Second);
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

/// What the build before cannot keep is refused as a whole.
#[rstest]
#[case::homes(with_homes())]
#[case::evacuation(evacuation())]
#[case::gateways(RegistryCommand::GatewaysChanged { joined: vec![MachineId(1)], left: Vec::new() })]
#[case::forgotten(RegistryCommand::ForgetEnded { up_to_index: LogIndex(1) })]
fn what_the_build_before_cannot_keep_is_not_stored(#[case] command: RegistryCommand) {
    let refused = command.to_stored_in(Format::First).expect_err("refused");
    assert_eq!(*refused.current_context(), ErrorKind::InvalidState);
    assert!(command.to_stored_in(Format::Second).is_ok());
}

/// Guards against members that hold different ends of a request: lengths of runs and clearings
/// stayed with a member that ran on, and were lost to one that started again.
#[test]
fn a_member_that_starts_again_holds_the_same_ends() {
    let end = |replica: &str, known: EndsInRow, ran_ms| RegistryCommand::ReplicaEnded {
        replica: replica.to_owned(),
        runs: vec![EndedRun {
            fingerprint: RequestFingerprint([7; 16]),
            known,
            ran_ms,
        }],
    };
    let cleared = || RegistryCommand::ClearSuspicions(vec![RequestFingerprint([7; 16])]);
    let in_first_format = [
        end("i-1", EndsInRow::default(), 300),
        end("i-2", EndsInRow::alike(300, 1), 2_900),
        end("i-3", EndsInRow::alike(300, 2), 90),
        cleared(),
        end("i-4", EndsInRow::alike(90, 1), 40),
    ];
    let stored = in_first_format.map(|command| command.to_stored_in(Format::First));
    let raise = RegistryCommand::raise_format();
    let after = end("i-5", EndsInRow::alike(40, 1), 60).to_stored();
    let commands = stored.into_iter().chain([raise, after]);
    let mut running = Registry::default();
    let mut started_again = Registry::default();
    for (index, command) in (1..).zip(commands) {
        let command = command.expect("it is encoded");
        for registry in [&mut running, &mut started_again] {
            let applied = registry.apply(LogIndex(index), &command);
            applied.expect("it is applied");
        }
        started_again = restored(snapshot_of(&started_again));
        let held = |registry: &Registry| -> Vec<Suspicion> {
            registry.suspicions().records().cloned().collect()
        };
        assert_eq!(held(&running), held(&started_again), "after entry {index}");
    }
}
