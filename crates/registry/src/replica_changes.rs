//! Records that change over time, and which of them changed since when.

use std::cmp::Ordering;

use linnethitch_protocol::ids::LogIndex;

use crate::{
    incarnation_key::parse_incarnation_key,
    replica::{ReplicaChange, ReplicaRecord, ReplicaState},
    replica_index::ReplicaIndex,
};

/// Applies what a replica said; false when it is late or says nothing new.
pub(crate) fn apply_change(
    replicas: &mut ReplicaIndex,
    index: LogIndex,
    change: &ReplicaChange,
) -> bool {
    if let Some(held) = replicas.records().get(&change.id) {
        match change.incarnation.cmp(&held.reported.incarnation) {
            Ordering::Less => return false,
            Ordering::Equal => {
                let mut settled = held.clone();
                if let Some(changed) = settle_in_place(&mut settled, index, change) {
                    replicas.put(settled);
                    return changed;
                }
            }
            // A new start, whatever became of the earlier one.
            Ordering::Greater => {}
        }
    }
    displace_predecessors(replicas, index, change);
    replicas.put(ReplicaRecord {
        reported: change.clone(),
        changed_at: index,
    });
    true
}

/// What a heartbeat of the start that is held does without taking its place; `None` where
/// it says something new.
fn settle_in_place(
    held: &mut ReplicaRecord,
    index: LogIndex,
    change: &ReplicaChange,
) -> Option<bool> {
    let is_late = change.sequence <= held.reported.sequence;
    if is_late || held.reported.state == ReplicaState::Ended {
        return Some(false);
    }
    if held.reported.state == ReplicaState::Displaced {
        return Some(leave(held, index, change));
    }
    // Gateways count a cold time from the entry that told it: each that was proposed is new.
    if change.is_cold() || change.differs_from(&held.reported) {
        return None;
    }
    held.reported.sequence = change.sequence;
    Some(false)
}

/// A displaced replica is given nothing while it is. One that says that it leaves is not
/// to come back.
fn leave(held: &mut ReplicaRecord, index: LogIndex, change: &ReplicaChange) -> bool {
    if change.state != ReplicaState::Draining {
        return false;
    }
    held.reported.state = ReplicaState::Ended;
    held.changed_at = index;
    true
}

/// The start of a replica turned out not to be at its address: it is gone, and the one
/// whose place it had taken last has it again. False when it did not count as there.
pub(crate) fn not_there(replicas: &mut ReplicaIndex, index: LogIndex, key: &str) -> bool {
    let (id, _) = parse_incarnation_key(key);
    let record = replicas.records().get(id);
    let record = record.filter(|record| record.reported.is_of_incarnation(key));
    let Some(record) = record.filter(|r| r.reported.state.is_live()) else {
        return false;
    };
    let address = record.reported.address.clone();
    remove(replicas, index, key);
    let others = replicas.at_address(&address);
    let others = others.iter().filter_map(|id| replicas.records().get(id));
    let displaced = others.filter(|held| held.reported.state == ReplicaState::Displaced);
    let last = displaced.max_by_key(|held| held.changed_at);
    if let Some(last) = last.map(|held| held.reported.id.clone()) {
        set_state(replicas, index, &last, ReplicaState::Ready);
    }
    true
}

fn set_state(replicas: &mut ReplicaIndex, index: LogIndex, id: &str, state: ReplicaState) {
    replicas.change(id, |held| {
        held.reported.state = state;
        held.changed_at = index;
    });
}

/// How the end of a start was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Removal {
    /// It is gone from now on.
    Removed,
    /// It was gone.
    WasGone,
    /// Another start of the replica is held; nothing was done.
    OtherIncarnation,
}

/// Marks the start of a replica as gone. One that was never heard of is noted too, so
/// that a heartbeat that comes late does not count.
pub(crate) fn remove(replicas: &mut ReplicaIndex, index: LogIndex, key: &str) -> Removal {
    let (id, incarnation) = parse_incarnation_key(key);
    match replicas.records().get(id) {
        None => replicas.put(never_heard_of(id, incarnation)),
        Some(held) if !held.reported.is_of_incarnation(key) => return Removal::OtherIncarnation,
        Some(held) if held.reported.state == ReplicaState::Ended => return Removal::WasGone,
        Some(_) => {}
    }
    set_state(replicas, index, id, ReplicaState::Ended);
    Removal::Removed
}

fn never_heard_of(id: &str, incarnation: u64) -> ReplicaRecord {
    ReplicaRecord {
        reported: ReplicaChange {
            id: id.to_owned(),
            service: String::new(),
            address: String::new(),
            zone: String::new(),
            slots: 0,
            state: ReplicaState::Draining,
            sequence: u64::MAX,
            incarnation,
            cold_ms: 0,
        },
        changed_at: LogIndex(0),
    }
}

/// Another incarnation at the same address means that the earlier one ended, unless
/// the heartbeat of the other one came late. Which of them is there shows by itself:
/// requests name the incarnation that they are for.
fn displace_predecessors(replicas: &mut ReplicaIndex, index: LogIndex, change: &ReplicaChange) {
    for id in replicas.at_address(&change.address) {
        let held = replicas.records().get(&id);
        let Some(held) = held.filter(|held| held.reported.id != change.id) else {
            continue;
        };
        match held.reported.state {
            ReplicaState::Ready => set_state(replicas, index, &id, ReplicaState::Displaced),
            ReplicaState::Draining => set_state(replicas, index, &id, ReplicaState::Ended),
            ReplicaState::Displaced | ReplicaState::Ended => {}
        }
    }
}
