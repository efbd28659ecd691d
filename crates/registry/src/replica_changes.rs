//! Applies heartbeats and ends of replicas to their records.

use std::cmp::Ordering;

use linnethitch_protocol::ids::LogIndex;

use crate::{
    incarnation_key::parse_incarnation_key,
    replica::{ReplicaChange, ReplicaRecord, ReplicaState},
    replica_index::ReplicaIndex,
};

/// Applies the report of a replica; false if it is out of order or changes nothing.
pub(crate) fn apply_change(
    replicas: &mut ReplicaIndex,
    index: LogIndex,
    change: &ReplicaChange,
) -> bool {
    if let Some(current) = replicas.records().get(&change.id) {
        match change.incarnation.cmp(&current.reported.incarnation) {
            Ordering::Less => return false,
            Ordering::Equal => {
                let mut updated = current.clone();
                if let Some(changed) = apply_in_place(&mut updated, index, change) {
                    replicas.put(updated);
                    return changed;
                }
            }
            // A new incarnation replaces the earlier one in any state.
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

/// Applies a heartbeat of the current incarnation that needs no new record; true if it
/// changed the state. `None` if the heartbeat has a change that needs one.
fn apply_in_place(
    current: &mut ReplicaRecord,
    index: LogIndex,
    change: &ReplicaChange,
) -> Option<bool> {
    let is_out_of_order = change.sequence <= current.reported.sequence;
    if is_out_of_order || current.reported.state == ReplicaState::Ended {
        return Some(false);
    }
    if current.reported.state == ReplicaState::Displaced {
        return Some(drain_displaced(current, index, change));
    }
    // Gateways count a cold time from the entry that reported it, so each proposed cold time
    // is a change.
    if change.is_cold() || change.differs_from(&current.reported) {
        return None;
    }
    current.reported.sequence = change.sequence;
    Some(false)
}

/// A displaced replica gets no work. If it reports that it drains, it has ended and cannot
/// become ready again.
fn drain_displaced(current: &mut ReplicaRecord, index: LogIndex, change: &ReplicaChange) -> bool {
    if change.state != ReplicaState::Draining {
        return false;
    }
    current.reported.state = ReplicaState::Ended;
    current.changed_at = index;
    true
}

/// Ends an incarnation that is not at its address, and makes the replica ready again that was
/// displaced last at that address. False if the incarnation does not count as live.
pub(crate) fn not_at_address(replicas: &mut ReplicaIndex, index: LogIndex, key: &str) -> bool {
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
    let displaced = others.filter(|record| record.reported.state == ReplicaState::Displaced);
    let last = displaced.max_by_key(|record| record.changed_at);
    if let Some(last) = last.map(|record| record.reported.id.clone()) {
        set_state(replicas, index, &last, ReplicaState::Ready);
    }
    true
}

fn set_state(replicas: &mut ReplicaIndex, index: LogIndex, id: &str, state: ReplicaState) {
    replicas.change(id, |record| {
        record.reported.state = state;
        record.changed_at = index;
    });
}

/// The effect of the reported end of an incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Removal {
    /// It is marked as ended.
    Removed,
    /// It had ended before.
    AlreadyEnded,
    /// The record is of another incarnation; nothing changed.
    OtherIncarnation,
}

/// Marks an incarnation as ended. An unknown replica is recorded too, so that a delayed
/// heartbeat has no effect.
pub(crate) fn remove(replicas: &mut ReplicaIndex, index: LogIndex, key: &str) -> Removal {
    let (id, incarnation) = parse_incarnation_key(key);
    match replicas.records().get(id) {
        None => replicas.put(unknown_replica(id, incarnation)),
        Some(current) if !current.reported.is_of_incarnation(key) => {
            return Removal::OtherIncarnation;
        }
        Some(current) if current.reported.state == ReplicaState::Ended => {
            return Removal::AlreadyEnded;
        }
        Some(_) => {}
    }
    set_state(replicas, index, id, ReplicaState::Ended);
    Removal::Removed
}

fn unknown_replica(id: &str, incarnation: u64) -> ReplicaRecord {
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
            software: None,
        },
        changed_at: LogIndex(0),
    }
}

/// Another incarnation at the same address means that the earlier one ended, unless the
/// heartbeat of the other one was delayed. Requests show which of the two is at the address,
/// because they name the incarnation that they are for.
fn displace_predecessors(replicas: &mut ReplicaIndex, index: LogIndex, change: &ReplicaChange) {
    for id in replicas.at_address(&change.address) {
        let current = replicas.records().get(&id);
        let Some(current) = current.filter(|current| current.reported.id != change.id) else {
            continue;
        };
        match current.reported.state {
            ReplicaState::Ready => set_state(replicas, index, &id, ReplicaState::Displaced),
            ReplicaState::Draining => set_state(replicas, index, &id, ReplicaState::Ended),
            ReplicaState::Displaced | ReplicaState::Ended => {}
        }
    }
}
