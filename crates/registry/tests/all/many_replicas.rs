//! The cost of a change, and the deletion of ended replicas, with many replicas.

use linnethitch_group::{SnapshotSource, StateMachine};
use linnethitch_protocol::ids::LogIndex;
use linnethitch_registry::{FleetUpdate, FleetView, Registry, RegistryCommand, ReplicaState};
use proptest::prelude::*;
use rstest::rstest;

use crate::support::{Applied, replica, store_snapshot};

/// Replicas of a large release: more than any fixed limit on records of ended replicas.
const RELEASED: usize = 5_000;

fn id(number: usize) -> String {
    format!("i-{number}")
}

fn heartbeat(number: usize, sequence: u64) -> RegistryCommand {
    let address = format!("10.{}.{}.1:80", number / 250, number % 250);
    let change = replica(&id(number), &address, ReplicaState::Ready, sequence);
    RegistryCommand::Replica(Box::new(change))
}

fn with_replicas(count: usize) -> Applied {
    let mut applied = Applied::default();
    applied.put(1, "document");
    (0..count).for_each(|number| {
        applied.apply(&heartbeat(number, 1));
    });
    applied
}

fn remove(applied: &mut Applied, numbers: std::ops::Range<usize>) {
    for number in numbers {
        applied.apply(&RegistryCommand::RemoveReplica(id(number)));
    }
}

fn live(view: &FleetView) -> usize {
    view.live_replicas().count()
}

/// A delayed heartbeat of any replica of a release has no effect.
#[test]
fn no_replica_of_a_large_release_returns() {
    let mut applied = with_replicas(RELEASED);
    remove(&mut applied, 0..RELEASED);
    for number in 0..RELEASED {
        applied.apply(&heartbeat(number, 9));
    }
    assert_eq!(applied.registry.live_replicas().count(), 0);
}

/// A node that was isolated in the meantime learns of each end, whether its record is deleted
/// or not.
#[rstest]
#[case::none_deleted(0)]
#[case::some_deleted(RELEASED as u64 + 2_000)]
#[case::all_deleted(u64::MAX)]
fn a_node_that_missed_a_large_release_learns_of_each_end(#[case] forget: u64) {
    let mut applied = with_replicas(RELEASED + 1);
    let mut view = FleetView::default();
    view.apply(applied.registry.update_since(LogIndex(0)));
    remove(&mut applied, 0..RELEASED);
    applied.apply(&RegistryCommand::ForgetEnded {
        up_to_index: LogIndex(forget),
    });
    view.apply(applied.registry.update_since(view.up_to_index()));
    assert_eq!(live(&view), 1);
    assert_eq!(view.up_to_index(), applied.registry.changed_at());
}

/// An update of a lagging control member does not add replicas whose records are deleted
/// here.
#[test]
fn an_older_update_does_not_add_a_replica_with_a_deleted_record() {
    let mut applied = with_replicas(10);
    let older = applied.registry.update_since(LogIndex(0));
    remove(&mut applied, 0..9);
    let mut view = FleetView::default();
    view.apply(applied.registry.update_since(LogIndex(0)));
    let up_to_index = applied.registry.changed_at();
    applied.apply(&RegistryCommand::ForgetEnded { up_to_index });
    applied.apply(&heartbeat(50, 1));
    view.apply(applied.registry.update_since(view.up_to_index()));
    view.apply(older);
    assert_eq!(live(&view), 2);
}

/// Only nodes that missed ends with deleted records get all replicas.
#[rstest]
#[case::connected(false, 1)]
#[case::isolated(true, 2)]
fn only_nodes_that_missed_ends_get_all_replicas(#[case] was_isolated: bool, #[case] sent: usize) {
    let mut applied = with_replicas(3);
    let before = applied.registry.changed_at();
    remove(&mut applied, 0..2);
    let removed = applied.registry.changed_at();
    applied.apply(&RegistryCommand::ForgetEnded {
        up_to_index: removed,
    });
    applied.apply(&heartbeat(50, 1));
    let since = if was_isolated { before } else { removed };
    let update = applied.registry.update_since(since);
    assert_eq!(
        (update.replicas_complete, update.replicas.len()),
        (was_isolated, sent)
    );
}

#[test]
fn a_snapshot_contains_the_index_of_deleted_records() {
    let mut applied = with_replicas(3);
    let before = applied.registry.changed_at();
    remove(&mut applied, 0..2);
    let up_to_index = applied.registry.changed_at();
    applied.apply(&RegistryCommand::ForgetEnded { up_to_index });
    let snapshot = applied.registry.begin_snapshot().expect("a snapshot");
    let restored = Registry::from_snapshot(store_snapshot(snapshot)).expect("it is read");
    assert_eq!(
        restored.update_since(before),
        applied.registry.update_since(before)
    );
}

/// Size of a snapshot in bytes, measured on its pieces.
fn snapshot_bytes(registry: &Registry) -> usize {
    let mut snapshot = registry.begin_snapshot().expect("a snapshot");
    let mut bytes = 0;
    while let Some(piece) = snapshot.next_piece().expect("a piece") {
        bytes += piece.len();
    }
    bytes
}

/// The cost to send and to apply one change does not depend on the number of replicas. The
/// size of a snapshot is proportional to it.
#[test]
fn a_change_costs_the_same_among_twice_as_many_replicas() {
    let [once, twice] = [1_000, 2_000].map(|count| {
        let mut applied = with_replicas(count);
        let mut view = FleetView::default();
        view.apply(applied.registry.update_since(LogIndex(0)));
        let before = view.clone();
        let earlier = applied.registry.clone();
        applied.apply(&heartbeat(7, 2));
        applied.apply(&RegistryCommand::RemoveReplica(id(8)));
        let update = applied.registry.update_since(view.up_to_index());
        view.apply(update.clone());
        let differences = view.differences(&before).count();
        let changes = applied.registry.differences(&earlier).count();
        let bytes = snapshot_bytes(&applied.registry);
        ((update.replicas.len(), differences, changes), bytes)
    });
    assert_eq!(once.0, twice.0);
    assert!(twice.1 < 2 * once.1 + 1_000, "{} {}", once.1, twice.1);
}

#[derive(Clone, Debug)]
enum Step {
    Heartbeat(usize),
    Remove(usize),
    Forget,
    /// A view applies an update from a member that is this number of steps behind.
    Update {
        view: usize,
        behind: usize,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..12_usize).prop_map(Step::Heartbeat),
        3 => (0..12_usize).prop_map(Step::Remove),
        1 => Just(Step::Forget),
        4 => (0..3_usize, 0..8_usize).prop_map(|(view, behind)| Step::Update { view, behind }),
    ]
}

proptest! {
    /// Members at any progress send updates to views in any order: no view has a live replica
    /// whose end is covered by the view's index, and a view that was updated last by the newest
    /// member has exactly the live replicas.
    #[test]
    fn no_ended_replica_returns(steps in proptest::collection::vec(step(), 1..120)) {
        let mut applied = Applied::default();
        applied.put(1, "document");
        let mut members = vec![applied.registry.clone()];
        let mut views = vec![FleetView::default(); 3];
        for (at, step) in steps.into_iter().enumerate() {
            match step {
                Step::Heartbeat(number) => { applied.apply(&heartbeat(number, at as u64 + 1)); }
                Step::Remove(number) => {
                    applied.apply(&RegistryCommand::RemoveReplica(id(number)));
                }
                Step::Forget => {
                    let up_to_index = applied.registry.changed_at();
                    applied.apply(&RegistryCommand::ForgetEnded { up_to_index });
                }
                Step::Update { view, behind } => {
                    let member = &members[members.len().saturating_sub(1 + behind)];
                    update(&mut views[view], member);
                    check(&views[view], &applied.registry, behind == 0);
                }
            }
            members.push(applied.registry.clone());
        }
    }
}

fn update(view: &mut FleetView, member: &Registry) {
    let update: FleetUpdate = member.update_since(view.up_to_index().min(member.changed_at()));
    view.apply(update);
}

fn check(view: &FleetView, newest: &Registry, knows_newest: bool) {
    for record in view.live_replicas() {
        let now = newest.replica(&record.reported.id);
        let is_ended = now.is_none_or(|now| !now.reported.state.is_live());
        let ended_later =
            now.map_or(newest.changed_at(), |now| now.changed_at) > view.up_to_index();
        assert!(!is_ended || ended_later, "{} has ended", record.reported.id);
    }
    if knows_newest {
        assert_eq!(live(view), newest.live_replicas().count());
    }
}
