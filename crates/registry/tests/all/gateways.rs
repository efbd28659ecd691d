//! The registry stores the known gateways, and updates to nodes don't contain them.

use linnethitch_group::StateMachine;
use linnethitch_protocol::ids::{LogIndex, MachineId};
use linnethitch_registry::{Registry, RegistryCommand};
use rstest::rstest;

use crate::support::{Applied, store_snapshot};

/// The gateways that join, and those that leave.
type Change = (Vec<u32>, Vec<u32>);

fn machines(numbers: &[u32]) -> Vec<MachineId> {
    numbers.iter().copied().map(MachineId).collect()
}

fn changed(joined: &[u32], left: &[u32]) -> RegistryCommand {
    RegistryCommand::GatewaysChanged {
        joined: machines(joined),
        left: machines(left),
    }
}

/// Changes in order, and the gateways that are known after them.
#[rstest]
#[case::they_join(vec![(vec![2, 1], vec![])], &[1, 2])]
#[case::one_leaves(vec![(vec![1, 2, 3], vec![]), (vec![], vec![2])], &[1, 3])]
#[case::an_unknown_one_leaves(vec![(vec![1], vec![]), (vec![], vec![7])], &[1])]
#[case::one_comes_back(vec![(vec![1], vec![]), (vec![], vec![1]), (vec![1], vec![])], &[1])]
#[case::one_in_place_of_another(vec![(vec![1], vec![]), (vec![2], vec![1])], &[2])]
fn gateways_that_join_and_leave_change_the_set(
    #[case] changes: Vec<Change>,
    #[case] known: &[u32],
) {
    let mut applied = Applied::default();
    for (joined, left) in changes {
        applied.apply(&changed(&joined, &left));
    }
    let held: Vec<MachineId> = applied.registry.gateways().machines().collect();
    assert_eq!(held, machines(known));
}

#[test]
fn a_known_gateway_keeps_the_entry_that_recorded_it() {
    let mut applied = Applied::default();
    applied.apply(&changed(&[1], &[]));
    applied.apply(&changed(&[1, 2], &[]));
    let records = applied.registry.gateways().records();
    let since: Vec<LogIndex> = records.map(|record| record.since).collect();
    assert_eq!(since, [LogIndex(1), LogIndex(2)]);
}

#[test]
fn a_snapshot_contains_the_gateways() {
    let mut applied = Applied::default();
    applied.apply(&changed(&[5, 6], &[]));
    let snapshot = applied.registry.begin_snapshot().expect("it begins");
    let restored = Registry::from_snapshot(store_snapshot(snapshot)).expect("it is read");
    assert_eq!(restored.gateways(), applied.registry.gateways());
}

#[test]
fn updates_do_not_contain_the_gateways() {
    let mut applied = Applied::default();
    applied.put(7, "routes");
    let before = applied.registry.changed_at();
    applied.apply(&changed(&[1, 2], &[]));
    assert_eq!(applied.registry.changed_at(), before);
}
