//! Values in the first layout and in the third to fifth layouts stay readable.

use linnethitch_group::{InMemorySnapshot, StateMachine};
use linnethitch_registry::{Registry, RegistryCommand, ReplicaState};
use linnethitch_tenants::KeyDigest;
use rstest::rstest;

use crate::support::{hex_bytes, store_snapshot};

/// A configuration without home regions and cold times.
const CONFIGURATION: &str = "046465736b2e6578616d706c657261746573ffffff0100000061ffffffffffffff8c000000e0ffffff2f612f\
    ffffffffff0000000000000000a00f0000000000002c0100000000000000010000c0ffffff01000000010000\
    0000000000000000000000000000000000000000000000000000000000000000000900000000000000726174\
    6573ffffff2f6865616c7468ff64000000000000000000000000000000000000000000000000000000000000\
    002c70e12b7a0646f92279f427c7b38e7361ffffffffffffffe8ffffff010000000101000000000000010000\
    000000000010270000000000008813000000000000646f630001000000c8ffffff01000000f0ffffff030000\
    000000000000000000070000000000000000ffffff0100000060ffffff010000000040000000004000b80b00\
    0000000000983a000000000000b4ffffff00000000";
/// A replica that reports neither an incarnation nor a cold time.
const REPLICA: &str = "0131302e302e302e313a3830776f72636573746572000000000100000000000000692d37ffffffffff726174\
    6573ffffff8b000000d0ffffff89000000d3ffffff0600000001000000040000000000000000000000000000\
    00";
/// A registry with both.
const SNAPSHOT: &str = "046465736b2e6578616d706c657261746573ffffff0100000061ffffffffffffff8c000000e0ffffff2f612f\
    ffffffffff0000000000000000a00f0000000000002c0100000000000000010000c0ffffff01000000010000\
    0000000000000000000000000000000000000000000000000000000000000000000900000000000000726174\
    6573ffffff2f6865616c7468ff64000000000000000000000000000000000000000000000000000000000000\
    00646f6331302e302e302e313a3830776f7263657374657200692d37ffffffffff7261746573ffffff8b0000\
    00dbffffff89000000deffffff0600000001000000040000000000000002000000000000002c70e12b7a0646\
    f92279f427c7b38e7361ffffffffffffff010000000000000061ffffffffffffffd8ffffff01000000010100\
    0000000000010000000000000010270000000000008813000000000000010000000000000001000000000000\
    000700000000000000b0feffff0100000010ffffff010000000040000000004000b80b000000000000983a00\
    000000000020ffffff03000000010000000000000028ffffff0100000058ffffff0000000050ffffff000000\
    000000000000000000020000000000000038ffffff0000000001000000000000000100000000000000010000\
    002cffffff0100000000000000";
/// A registry that suspects two requests: one under which three replicas ended after
/// 100 ms, another under which one ended after 4,200 ms.
const SUSPICIONS: &str = "0404eff384cb64b2af99ebd5d54eddacc703000000692d32ffffffffff64000000030000000000000099f25a\
    3acaddd695562a567d75a8df5f01000000692d33ffffffffff68100000040000000000000000000000000000\
    0000000000000000000000000000000000000000000000000000000000000000000000000000000000000000\
    000000000078ffffff00000000000000000000000068ffffff0000000060ffffff0000000058ffffff000000\
    000000000000000000040000000000000040ffffff0200000000000000000000000000000000000000010000\
    0074ffffff0000000000000000";
/// A replica ended under a run of 100 ms that began when one end was known.
const REPLICA_ENDED: &str = "0304eff384cb64b2af99ebd5d54eddacc7010000006400000005000000692d32ffffffffffdcffffff01000\
    0000000000000000000000000000000000000000000000000000000000000000000000000000000000000000\
    000";
/// The same request is cleared.
const CLEARED: &str = "0304eff384cb64b2af99ebd5d54eddacc706000000ecffffff0100000000000000000000000000000000000\
    000000000000000000000000000000000000000000000000000000000000000000000000000";
/// The same requests and an evacuated zone in the fifth layout.
const LATER_SUSPICIONS: &str = "0504eff384cb64b2af99ebd5d54eddacc703000000692d32ffffffffff64000000030000000000000099f25a\
    3acaddd695562a567d75a8df5f01000000692d33ffffffffff6810000004000000000000007affffffffffff\
    ff01000000000000000500000000000000000000000000000000000000000000000000000000000000000000\
    000000000000000000000000000000000000000000000000000000000060ffffff0000000000000000000000\
    0050ffffff0000000048ffffff0000000040ffffff000000000000000000000000050000000000000028ffff\
    ff0200000000000000000000000000000000000000010000005cffffff000000000000000050ffffff010000\
    0060ffffff00000000";

#[test]
fn a_configuration_without_home_regions_is_read() {
    let read = RegistryCommand::from_stored(&hex_bytes(CONFIGURATION)).expect("it is read");
    let RegistryCommand::PutConfiguration { table, declared } = read else {
        panic!("it is a configuration: {read:?}");
    };
    let route = &table.routes[0];
    assert_eq!((route.public, route.max_queued_tokens), (true, 9));
    assert!(route.homes.is_empty());
    assert_eq!(table.services[0].cold, None);
    let tenants = declared.tenants.expect("they are listed");
    assert_eq!(tenants[0].keys, [KeyDigest::of("key")]);
    assert!(tenants[0].homes.is_empty());
}

#[test]
fn a_replica_without_an_incarnation_is_read() {
    let read = RegistryCommand::from_stored(&hex_bytes(REPLICA)).expect("it is read");
    let RegistryCommand::Replica(change) = read else {
        panic!("it is a replica: {read:?}");
    };
    assert_eq!((change.id.as_str(), change.sequence), ("i-7", 4));
    assert_eq!(change.state, ReplicaState::Draining);
    assert_eq!((change.incarnation, change.cold_ms), (0, 0));
}

#[test]
fn a_snapshot_without_evacuations_is_read() {
    let snapshot = InMemorySnapshot::new(hex_bytes(SNAPSHOT));
    let restored = Registry::from_snapshot(store_snapshot(snapshot)).expect("it is read");
    assert_eq!(restored.table().map(|table| table.version), Some(7));
    let replica = restored.replica("i-7").expect("it is recorded");
    assert_eq!(
        (replica.reported.slots, replica.reported.incarnation),
        (6, 0)
    );
    assert!(restored.tenants().holder(&KeyDigest::of("key")).is_some());
    assert_eq!(restored.evacuations().zones().count(), 0);
}

#[rstest]
#[case::fourth(SUSPICIONS, 0)]
#[case::fifth(LATER_SUSPICIONS, 1)]
fn suspicions_are_read(#[case] stored: &str, #[case] evacuated: usize) {
    let snapshot = InMemorySnapshot::new(hex_bytes(stored));
    let restored = Registry::from_snapshot(store_snapshot(snapshot)).expect("it is read");
    let suspicions = restored.suspicions();
    let mut open: Vec<_> = suspicions
        .open()
        .map(|record| (record.ends(), record.is_refused()))
        .collect();
    open.sort_unstable();
    assert_eq!(open, [(1, false), (3, true)]);
    assert_eq!(restored.evacuations().zones().count(), evacuated);
}

#[test]
fn reported_ends_of_replicas_are_read() {
    let read = RegistryCommand::from_stored(&hex_bytes(REPLICA_ENDED)).expect("it is read");
    let RegistryCommand::ReplicaEnded { replica, runs } = read else {
        panic!("a replica ended: {read:?}");
    };
    assert_eq!((replica.as_str(), runs.len()), ("i-2", 1));
    assert_eq!(runs[0].known.lengths_ms, [100]);
    assert_eq!((runs[0].known.clearings, runs[0].ran_ms), (0, 100));
    let read = RegistryCommand::from_stored(&hex_bytes(CLEARED)).expect("it is read");
    let cleared = RegistryCommand::ClearSuspicions(vec![runs[0].fingerprint]);
    assert_eq!(read, cleared);
    let bytes = cleared.to_stored().expect("it is encoded");
    assert_eq!(bytes, hex_bytes(CLEARED));
}
