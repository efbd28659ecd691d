//! The replicated state: versions, incarnations, snapshots.

use linnethitch_errors::ErrorKind;
use linnethitch_group::{InMemorySnapshot, StateMachine};
use linnethitch_protocol::ids::{LogIndex, MachineId};
use linnethitch_registry::{Registry, RegistryAnswer, RegistryCommand, ReplicaState};
use rstest::rstest;

use crate::support::{Applied, hex_bytes, replica, store_snapshot};

#[rstest]
#[case::higher(8, 8, "new")]
#[case::equal_with_other_content(7, 7, "old")]
#[case::lower(3, 7, "old")]
fn the_highest_version_is_in_force(#[case] sent: u64, #[case] held: u64, #[case] document: &str) {
    let mut applied = Applied::default();
    applied.put(7, "old");
    assert_eq!(
        applied.put(sent, "new"),
        RegistryAnswer::ConfigurationVersion(held)
    );
    assert_eq!(applied.registry.document().as_slice(), document.as_bytes());
}

/// Reports of a replica in order of arrival, and its state after them.
#[rstest]
#[case::drains(&[(ReplicaState::Ready, 1), (ReplicaState::Draining, 2)], ReplicaState::Draining)]
#[case::late_heartbeat(&[(ReplicaState::Ready, 1), (ReplicaState::Draining, 3), (ReplicaState::Ready, 2)], ReplicaState::Draining)]
#[case::resent(&[(ReplicaState::Ready, 1), (ReplicaState::Ready, 1)], ReplicaState::Ready)]
fn a_late_heartbeat_changes_nothing(
    #[case] reported: &[(ReplicaState, u64)],
    #[case] held: ReplicaState,
) {
    let mut applied = Applied::default();
    for (state, sequence) in reported {
        let change = replica("i-1", "10.0.0.1:80", *state, *sequence);
        applied.apply(&RegistryCommand::Replica(Box::new(change)));
    }
    assert_eq!(applied.state_of("i-1"), Some(held));
}

#[test]
fn an_ended_replica_does_not_return() {
    let mut applied = Applied::default();
    let change = replica("i-1", "10.0.0.1:80", ReplicaState::Ready, 1);
    applied.apply(&RegistryCommand::Replica(Box::new(change)));
    applied.apply(&RegistryCommand::RemoveReplica("i-1".to_owned()));
    let late = replica("i-1", "10.0.0.1:80", ReplicaState::Ready, 9);
    applied.apply(&RegistryCommand::Replica(Box::new(late)));
    assert_eq!(applied.state_of("i-1"), Some(ReplicaState::Ended));
}

#[test]
fn an_end_before_the_first_heartbeat_counts() {
    let mut applied = Applied::default();
    applied.apply(&RegistryCommand::RemoveReplica("i-1".to_owned()));
    let late = replica("i-1", "10.0.0.1:80", ReplicaState::Ready, 1);
    applied.apply(&RegistryCommand::Replica(Box::new(late)));
    assert_eq!(applied.registry.live_replicas().count(), 0);
}

#[test]
fn another_incarnation_at_the_address_displaces_the_earlier_one() {
    let mut applied = displaced(ReplicaState::Ready);
    assert_eq!(applied.state_of("i-1"), Some(ReplicaState::Displaced));
    assert_eq!(applied.state_of("i-2"), Some(ReplicaState::Ready));
    assert_eq!(applied.registry.live_replicas().count(), 1);
    // A delayed heartbeat of the earlier incarnation changes nothing.
    let late = replica("i-1", "10.0.0.1:80", ReplicaState::Ready, 9);
    applied.apply(&RegistryCommand::Replica(Box::new(late)));
    assert_eq!(applied.state_of("i-1"), Some(ReplicaState::Displaced));
}

/// i-1 in a state, and i-2, which registers at the address of i-1 after it.
fn displaced(first: ReplicaState) -> Applied {
    let mut applied = Applied::default();
    for (id, state) in [("i-1", first), ("i-2", ReplicaState::Ready)] {
        let change = replica(id, "10.0.0.1:80", state, 1);
        applied.apply(&RegistryCommand::Replica(Box::new(change)));
    }
    applied
}

/// The heartbeat of the other replica was delayed, and it is not at the address. A replica
/// that drains, or drained in the meantime, gets no work again.
#[rstest]
#[case::ready(ReplicaState::Ready, None, ReplicaState::Ready)]
#[case::draining(ReplicaState::Draining, None, ReplicaState::Ended)]
#[case::drains_meanwhile(ReplicaState::Ready, Some(ReplicaState::Draining), ReplicaState::Ended)]
#[case::reports_ready(ReplicaState::Ready, Some(ReplicaState::Ready), ReplicaState::Ready)]
fn a_displaced_replica_returns_if_the_other_one_is_not_at_the_address(
    #[case] first: ReplicaState,
    #[case] reports: Option<ReplicaState>,
    #[case] after: ReplicaState,
) {
    let mut applied = displaced(first);
    if let Some(state) = reports {
        let change = replica("i-1", "10.0.0.1:80", state, 2);
        applied.apply(&RegistryCommand::Replica(Box::new(change)));
    }
    applied.apply(&RegistryCommand::NotAtAddress("i-2".to_owned()));
    assert_eq!(applied.state_of("i-1"), Some(after));
    assert_eq!(applied.state_of("i-2"), Some(ReplicaState::Ended));
    // The same report from another gateway changes nothing.
    let before = applied.registry.changed_at();
    applied.apply(&RegistryCommand::NotAtAddress("i-2".to_owned()));
    assert_eq!(applied.registry.changed_at(), before);
}

#[test]
fn a_displaced_replica_that_ends_does_not_return() {
    let mut applied = displaced(ReplicaState::Ready);
    applied.apply(&RegistryCommand::RemoveReplica("i-1".to_owned()));
    applied.apply(&RegistryCommand::NotAtAddress("i-2".to_owned()));
    assert_eq!(applied.registry.live_replicas().count(), 0);
}

#[test]
fn a_snapshot_contains_the_complete_state() {
    let mut applied = Applied::default();
    applied.put(7, "document");
    let change = replica("i-1", "10.0.0.1:80", ReplicaState::Draining, 4);
    applied.apply(&RegistryCommand::Replica(Box::new(change)));
    let snapshot = applied.registry.begin_snapshot().expect("a snapshot");
    let restored = Registry::from_snapshot(store_snapshot(snapshot)).expect("it is read");
    assert_eq!(restored.document(), applied.registry.document());
    assert_eq!(restored.table(), applied.registry.table());
    assert_eq!(restored.replica("i-1"), applied.registry.replica("i-1"));
    assert_eq!(restored.changed_at(), applied.registry.changed_at());
}

#[rstest]
#[case::empty(&[])]
#[case::noise(&[7; 40])]
fn damaged_bytes_are_refused(#[case] bytes: &[u8]) {
    let snapshot = InMemorySnapshot::new(bytes.to_vec());
    assert!(Registry::from_snapshot(store_snapshot(snapshot)).is_err());
    let mut registry = Registry::default();
    assert!(registry.apply(Default::default(), bytes).is_err());
}

/// Commands in the first layout. A change of these bytes requires a new layout.
#[rstest]
#[case::remove(RegistryCommand::RemoveReplica("i-7".to_owned()), "0102000000692d37ffffffffff00000000000000000000000000000000000000000000000000000000000000\
     000000000000000000000000000000000000000000")]
#[case::retire(
    RegistryCommand::RetireStore(MachineId(7)),
    "0104000000070000000000000000000000000000000000000000000000000000000000000000000000000000\
     000000000000000000000000000000000000000000"
)]
fn stored_commands_stay_readable(#[case] command: RegistryCommand, #[case] stored: &str) {
    let bytes = command.to_stored().expect("it is encoded");
    assert_eq!(hex(&bytes), stored);
    let read = RegistryCommand::from_stored(&hex_bytes(stored)).expect("it is read");
    assert_eq!(read, command);
}

/// A route table in the first layout: its routes have no limit on queued tokens.
#[test]
fn the_first_route_tables_stay_readable() {
    let stored = "0173ffffffffffffff040000000000000072ffffffffffffff68ffffffffffffff2f612fffffffffff030000\
     00000000000100000000000000020000000000000003000000bcffffff010000000500000001000000000000\
     00060000000000000007000000000000000800000000000000646f6300000000000000000000000000030000\
     000000000088ffffff01000000e0ffffff00000000090000000a0000000b000000000000000c000000000000\
     00c0ffffff03000000";
    let read = RegistryCommand::from_stored(&hex_bytes(stored)).expect("it is read");
    let RegistryCommand::PutConfiguration { table, declared } = read else {
        panic!("it is a configuration: {read:?}");
    };
    assert_eq!(declared.document, b"doc");
    assert_eq!(declared.tenants, None);
    assert_eq!(table.version, 3);
    assert_eq!(table.limits.idle_ms, 12);
    let route = &table.routes[0];
    assert_eq!((route.path_prefix.as_str(), route.give_up_ms), ("/a/", 8));
    assert_eq!(route.max_queued_tokens, 0);
    let written = RegistryCommand::PutConfiguration { table, declared };
    let bytes = written.to_stored().expect("it is encoded");
    assert_eq!(bytes[0], 5);
    let read = RegistryCommand::from_stored(&bytes).expect("it is read");
    assert_eq!(read, written);
}

/// A route table in the second layout: no route is public, no tenants are listed.
#[test]
fn the_second_route_tables_stay_readable() {
    let stored = "026465736b2e6578616d706c657261746573ffffff0100000061ffffffffffffff8c000000e0ffffff2f612f\
     ffffffffff0000000000000000a00f0000000000002c0100000000000003000000c0ffffff01000000010000\
     0000000000000000000000000000000000000000000000000000000000000000000900000000000000726174\
     6573ffffff2f6865616c7468ff64000000000000000000000000000000000000000000000000000000000000\
     00646f6300000000000000000000000000070000000000000050ffffff01000000b0ffffff01000000004000\
     0000004000b80b000000000000983a000000000000c0ffffff03000000";
    let read = RegistryCommand::from_stored(&hex_bytes(stored)).expect("it is read");
    let RegistryCommand::PutConfiguration { table, declared } = read else {
        panic!("it is a configuration: {read:?}");
    };
    assert_eq!(
        (table.version, declared.document.as_slice()),
        (7, &b"doc"[..])
    );
    assert_eq!(declared.tenants, None);
    let route = &table.routes[0];
    assert_eq!((route.max_queued_tokens, route.priority), (9, 3));
    assert!(!route.public);
}

/// A snapshot in the third layout, without tenants.
#[test]
fn the_third_snapshots_stay_readable() {
    let stored = "036465736b2e6578616d706c657261746573ffffff0100000061ffffffffffffff8c000000e0ffffff2f612f\
     ffffffffff0000000000000000a00f0000000000002c0100000000000003000000c0ffffff01000000010000\
     0000000000000000000000000000000000000000000000000000000000000000000900000000000000726174\
     6573ffffff2f6865616c7468ff64000000000000000000000000000000000000000000000000000000000000\
     00646f6300000000000100000000000000070000000000000050ffffff01000000b0ffffff01000000004000\
     0000004000b80b000000000000983a000000000000c0ffffff030000000100000000000000b8ffffff000000\
     00b0ffffff00000000a8ffffff000000000000000000000000010000000000000090ffffff00000000";
    let snapshot = InMemorySnapshot::new(hex_bytes(stored));
    let restored = Registry::from_snapshot(store_snapshot(snapshot)).expect("it is read");
    assert_eq!(restored.table().map(|table| table.version), Some(7));
    assert_eq!(restored.document().as_slice(), b"doc");
    assert!(!restored.tenants().are_listed());
    assert_eq!(restored.changed_at(), LogIndex(1));
}

#[test]
fn a_command_of_another_layout_is_refused_and_not_reported_as_damaged() {
    let command = RegistryCommand::RemoveReplica("i-7".to_owned());
    let mut bytes = command.to_stored().expect("it is encoded");
    bytes[0] = 10;
    let refused = RegistryCommand::from_stored(&bytes).expect_err("it is refused");
    assert_eq!(*refused.current_context(), ErrorKind::DataFolderRefused);
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
