//! A node's view applies updates from any member in any order and never returns to an older
//! state.

use linnethitch_protocol::ids::LogIndex;
use linnethitch_registry::{FleetUpdate, FleetView, RegistryCommand, ReplicaState};
use rstest::rstest;

use crate::support::{Applied, replica};

/// Updates from members at different progress.
fn updates() -> Vec<FleetUpdate> {
    let mut applied = Applied::default();
    let mut updates = Vec::new();
    applied.put(1, "one");
    updates.push(applied.registry.update_since(LogIndex(0)));
    let ready = replica("i-1", "10.0.0.1:80", ReplicaState::Ready, 1);
    applied.apply(&RegistryCommand::Replica(Box::new(ready)));
    updates.push(applied.registry.update_since(LogIndex(1)));
    applied.put(5, "five");
    let draining = replica("i-1", "10.0.0.1:80", ReplicaState::Draining, 2);
    applied.apply(&RegistryCommand::Replica(Box::new(draining)));
    updates.push(applied.registry.update_since(LogIndex(0)));
    updates
}

#[rstest]
fn the_final_state_does_not_depend_on_the_order(
    #[values([0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0])] order: [usize; 3],
) {
    let updates = updates();
    let mut view = FleetView::default();
    let mut versions = Vec::new();
    for index in order {
        view.apply(updates[index].clone());
        versions.push(view.table().map(|table| table.version));
    }
    assert!(versions.is_sorted(), "a version went back: {versions:?}");
    assert_eq!(view.table().map(|table| table.version), Some(5));
    let states: Vec<_> = view.live_replicas().map(|r| r.reported.state).collect();
    assert_eq!(states, [ReplicaState::Draining]);
    assert_eq!(view.up_to_index(), LogIndex(4));
}

#[test]
fn an_update_without_changes_is_reported_as_such() {
    let updates = updates();
    let mut view = FleetView::default();
    assert!(view.apply(updates[2].clone()));
    assert!(!view.apply(updates[2].clone()));
    assert!(!view.apply(updates[0].clone()));
}
