//! A set that one node sends to another as changes since the last message, so that the cost depends
//! on what changed and not on the size of the set.

use std::collections::{BTreeMap, BTreeSet};

use rkyv::{Archive, Deserialize, Serialize};

/// The change of a set since it was last sent on a connection.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub(crate) struct SetChange<T> {
    /// Whether this is the first change on a connection, which replaces the receiver's set.
    pub(crate) is_first: bool,
    pub(crate) added: Vec<T>,
    pub(crate) removed: Vec<T>,
}

impl<T: Ord> SetChange<T> {
    /// Applies the change to the receiver's set.
    pub(crate) fn apply_to(self, known: &mut BTreeSet<T>) {
        if self.is_first {
            known.clear();
        }
        for entry in &self.removed {
            known.remove(entry);
        }
        known.extend(self.added);
    }

    /// Applies the change to a map of the entries by key.
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

/// The change that turns `last_sent`, which the receiver has, into `now`; `None` if both are equal.
/// A receiver that was sent nothing yet gets the complete set.
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
