//! Records that change over time, and which of them changed since when.

use std::collections::BTreeMap;

use linnethitch_protocol::ids::LogIndex;

use crate::replica::{ReplicaChange, ReplicaRecord, ReplicaState};

/// Replicas that are gone and kept, so that a late heartbeat is known as such.
const KEPT_GONE: usize = 2_048;

/// Applies what a replica said; false when it is late or says nothing new.
pub(crate) fn apply_change(
    replicas: &mut BTreeMap<String, ReplicaRecord>,
    index: LogIndex,
    change: &ReplicaChange,
) -> bool {
    if let Some(held) = replicas.get_mut(&change.id) {
        let is_late = change.sequence <= held.told.sequence;
        if is_late || held.told.state == ReplicaState::Gone {
            return false;
        }
        if held.told.state == ReplicaState::Displaced {
            return leave(held, index, change);
        }
        if !change.differs_from(&held.told) {
            held.told.sequence = change.sequence;
            return false;
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

/// A replica turned out not to be at its address: it is gone, and the one whose place it
/// had taken last has it again. False when it did not count as there.
pub(crate) fn not_there(
    replicas: &mut BTreeMap<String, ReplicaRecord>,
    index: LogIndex,
    id: &str,
) -> bool {
    let Some(record) = replicas.get(id).filter(|r| r.told.state.is_live()) else {
        return false;
    };
    let address = record.told.address.clone();
    remove(replicas, index, id);
    let displaced = replicas
        .values_mut()
        .filter(|held| held.told.state == ReplicaState::Displaced && held.told.address == address);
    if let Some(last) = displaced.max_by_key(|held| held.changed_at) {
        last.told.state = ReplicaState::Ready;
        last.changed_at = index;
    }
    true
}

/// Marks a replica as gone; false when it is gone already. One that was never
/// heard of is noted too, so that a heartbeat that comes late does not count.
pub(crate) fn remove(
    replicas: &mut BTreeMap<String, ReplicaRecord>,
    index: LogIndex,
    id: &str,
) -> bool {
    let record = replicas
        .entry(id.to_owned())
        .or_insert_with(|| never_heard_of(id));
    if record.told.state == ReplicaState::Gone {
        return false;
    }
    record.told.state = ReplicaState::Gone;
    record.changed_at = index;
    drop_oldest_gone(replicas);
    true
}

fn never_heard_of(id: &str) -> ReplicaRecord {
    ReplicaRecord {
        told: ReplicaChange {
            id: id.to_owned(),
            service: String::new(),
            address: String::new(),
            zone: String::new(),
            slots: 0,
            state: ReplicaState::Draining,
            sequence: u64::MAX,
            born: 0,
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
