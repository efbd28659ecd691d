//! A set that one node tells another as changes since it told last, so that
//! telling costs what changed and not what there is.

use std::collections::BTreeSet;

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
    pub(crate) fn apply_to(self, held: &mut BTreeSet<T>) {
        if self.is_first {
            held.clear();
        }
        for entry in &self.removed {
            held.remove(entry);
        }
        held.extend(self.added);
    }
}

/// The sender's side: what was told on one connection.
#[derive(Clone, Debug)]
pub(crate) struct ToldSet<T> {
    told: Option<BTreeSet<T>>,
}

impl<T> Default for ToldSet<T> {
    fn default() -> Self {
        ToldSet { told: None }
    }
}

impl<T: Ord + Clone> ToldSet<T> {
    /// What is to be told so that the receiver holds `now`; `None` when it does.
    pub(crate) fn change_to(&mut self, now: &BTreeSet<T>) -> Option<SetChange<T>> {
        let change = match &self.told {
            Some(told) if told == now => return None,
            Some(told) => SetChange {
                is_first: false,
                added: now.difference(told).cloned().collect(),
                removed: told.difference(now).cloned().collect(),
            },
            None => SetChange {
                is_first: true,
                added: now.iter().cloned().collect(),
                removed: Vec::new(),
            },
        };
        self.told = Some(now.clone());
        Some(change)
    }
}
