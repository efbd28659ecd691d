//! A set that one node tells another as changes since it told last, so that
//! telling costs what changed and not what there is.

use std::collections::{BTreeMap, BTreeSet};

use rkyv::{Archive, Deserialize, Serialize};

/// What changed in a set since it was told last on a connection.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub(crate) struct SetChange<T> {
    /// The first one on a connection: it replaces what the receiver held.
    pub(crate) is_first: bool,
    pub(crate) added: Vec<T>,
    pub(crate) removed: Vec<T>,
}

impl<T: Ord> SetChange<T> {
    /// Puts the change into the receiver's set.
    pub(crate) fn apply_to(self, known: &mut BTreeSet<T>) {
        if self.is_first {
            known.clear();
        }
        for entry in &self.removed {
            known.remove(entry);
        }
        known.extend(self.added);
    }

    /// The same where the receiver holds them by a key.
    pub(crate) fn apply_to_map<K: Ord>(self, known: &mut BTreeMap<K, T>, key: impl Fn(&T) -> K) {
        if self.is_first {
            known.clear();
        }
        for entry in &self.removed {
            known.remove(&key(entry));
        }
        known.extend(self.added.into_iter().map(|entry| (key(&entry), entry)));
    }
}

/// What is to be told so that a receiver who was told `last_sent` holds `now`; `None` when it does.
/// One that was told nothing yet is told all.
pub(crate) fn set_change<T: Ord + Clone>(
    last_sent: Option<&BTreeSet<T>>,
    now: &BTreeSet<T>,
) -> Option<SetChange<T>> {
    match last_sent {
        Some(last_sent) if last_sent == now => None,
        Some(last_sent) => Some(SetChange {
            is_first: false,
            added: now.difference(last_sent).cloned().collect(),
            removed: last_sent.difference(now).cloned().collect(),
        }),
        None => Some(SetChange {
            is_first: true,
            added: now.iter().cloned().collect(),
            removed: Vec::new(),
        }),
    }
}
