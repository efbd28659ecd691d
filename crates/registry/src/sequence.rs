//! Records that change over time, and which of them changed since when.

use std::{cmp::Ordering, collections::BTreeMap};

use linnethitch_protocol::ids::LogIndex;

use crate::{
    replica::{ReplicaChange, ReplicaRecord, ReplicaState},
    start::parse_start_key,
};

/// Replicas that are gone and kept, so that a late heartbeat is known as such.
const KEPT_GONE: usize = 2_048;

/// Applies what a replica said; false when it is late or says nothing new.
pub(crate) fn apply_change(
    replicas: &mut BTreeMap<String, ReplicaRecord>,
    index: LogIndex,
    change: &ReplicaChange,
) -> bool {
    if let Some(held) = replicas.get_mut(&change.id) {
        match change.born.cmp(&held.told.born) {
            Ordering::Less => return false,
            Ordering::Equal => {
                if let Some(changed) = settle_in_place(held, index, change) {
                    return changed;
                }
            }
            // A new start, whatever became of the earlier one.
            Ordering::Greater => {}
        }
    }
    displace_predecessors(replicas, index, change);
    let record = ReplicaRecord {
        told: change.clone(),
        changed_at: index,
    };
    replicas.insert(change.id.clone(), record);
    true
}

/// What a heartbeat of the start that is held does without taking its place; `None` where
/// it says something new.
fn settle_in_place(
    held: &mut ReplicaRecord,
    index: LogIndex,
    change: &ReplicaChange,
) -> Option<bool> {
    let is_late = change.sequence <= held.told.sequence;
    if is_late || held.told.state == ReplicaState::Gone {
        return Some(false);
    }
    if held.told.state == ReplicaState::Displaced {
        return Some(leave(held, index, change));
    }
    // Gateways count a cold time from the entry that told it: each that was proposed is new.
    if change.is_cold() || change.differs_from(&held.told) {
        return None;
    }
    held.told.sequence = change.sequence;
    Some(false)
}

/// A displaced replica is given nothing while it is. One that says that it leaves is not
/// to come back.
fn leave(held: &mut ReplicaRecord, index: LogIndex, change: &ReplicaChange) -> bool {
    if change.state != ReplicaState::Draining {
        return false;
    }
    held.told.state = ReplicaState::Gone;
    held.changed_at = index;
    true
}

/// The start of a replica turned out not to be at its address: it is gone, and the one
/// whose place it had taken last has it again. False when it did not count as there.
pub(crate) fn not_there(
    replicas: &mut BTreeMap<String, ReplicaRecord>,
    index: LogIndex,
    key: &str,
) -> bool {
    let (id, _) = parse_start_key(key);
    let record = replicas.get(id).filter(|r| r.told.is_of_start(key));
    let Some(record) = record.filter(|r| r.told.state.is_live()) else {
        return false;
    };
    let address = record.told.address.clone();
    remove(replicas, index, key);
    let displaced = replicas
        .values_mut()
        .filter(|held| held.told.state == ReplicaState::Displaced && held.told.address == address);
    if let Some(last) = displaced.max_by_key(|held| held.changed_at) {
        last.told.state = ReplicaState::Ready;
        last.changed_at = index;
    }
    true
}

/// How the end of a start was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Removal {
    /// It is gone from now on.
    Removed,
    /// It was gone.
    WasGone,
    /// Another start of the replica is held; nothing was done.
    OtherStart,
}

/// Marks the start of a replica as gone. One that was never heard of is noted too, so
/// that a heartbeat that comes late does not count.
pub(crate) fn remove(
    replicas: &mut BTreeMap<String, ReplicaRecord>,
    index: LogIndex,
    key: &str,
) -> Removal {
    let (id, born) = parse_start_key(key);
    let record = replicas
        .entry(id.to_owned())
        .or_insert_with(|| never_heard_of(id, born));
    if !record.told.is_of_start(key) {
        return Removal::OtherStart;
    }
    if record.told.state == ReplicaState::Gone {
        return Removal::WasGone;
    }
    record.told.state = ReplicaState::Gone;
    record.changed_at = index;
    drop_oldest_gone(replicas);
    Removal::Removed
}

fn never_heard_of(id: &str, born: u64) -> ReplicaRecord {
    ReplicaRecord {
        told: ReplicaChange {
            id: id.to_owned(),
            service: String::new(),
            address: String::new(),
            zone: String::new(),
            slots: 0,
            state: ReplicaState::Draining,
            sequence: u64::MAX,
            born,
            cold_ms: 0,
        },
        changed_at: LogIndex(0),
    }
}

/// Another incarnation at the same address means that the earlier one ended, unless
/// the heartbeat of the other one came late. Which of them is there shows by itself:
/// requests name the incarnation that they are for.
fn displace_predecessors(
    replicas: &mut BTreeMap<String, ReplicaRecord>,
    index: LogIndex,
    change: &ReplicaChange,
) {
    let others = replicas.values_mut();
    let same_address = others.filter(|held| {
        held.told.address == change.address
            && held.told.id != change.id
            && held.told.state.is_live()
    });
    for held in same_address {
        held.told.state = match held.told.state {
            ReplicaState::Ready => ReplicaState::Displaced,
            _ => ReplicaState::Gone,
        };
        held.changed_at = index;
    }
}

fn drop_oldest_gone(replicas: &mut BTreeMap<String, ReplicaRecord>) {
    let gone = |record: &&ReplicaRecord| !record.told.state.is_live();
    if replicas.values().filter(gone).count() <= KEPT_GONE {
        return;
    }
    let oldest = replicas.values().filter(gone).min_by_key(|r| r.changed_at);
    if let Some(id) = oldest.map(|record| record.told.id.clone()) {
        replicas.remove(&id);
    }
}
