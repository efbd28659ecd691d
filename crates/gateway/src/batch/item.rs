//! The items that an executor has under lease.

use std::{collections::BTreeMap, sync::Arc};

use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    command::LeasedItem,
    ids::{ModelId, ReplicaId, Timestamp},
    query::ItemOutcome,
};
use linnethitch_routing::ReasonCode;

use crate::batch::messages::{GeneratedTokens, RunId};

/// The key of an item in the table, in the order of leasing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct Slot(u64);

/// Whether an at-most-once item may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StartMark {
    /// The item is repeatable and needs no mark.
    NotNeeded,
    /// The ledger has not been asked.
    Missing,
    /// The ledger may hold the start of an earlier attempt, which was not sent. It has to record
    /// the next attempt, and the item cannot be released.
    Outdated,
    /// The ledger has recorded the mark.
    Recorded,
}

/// What to do with an item once its run has stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AfterStop {
    /// Resume it on another replica.
    RunElsewhere,
    /// End it with this error.
    End(ErrorKind),
}

/// The state of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ItemState {
    /// Waits for free capacity.
    Waiting {
        /// Start of the wait.
        since: Timestamp,
        /// Earliest time of the next run.
        not_before: Timestamp,
    },
    /// The ledger is recording its start; capacity on the replica is reserved.
    Marking {
        /// The replica on which it will run.
        replica: ReplicaId,
        /// The run.
        run: RunId,
    },
    /// Runs on a replica.
    Running {
        /// The replica.
        replica: ReplicaId,
        /// The current run.
        run: RunId,
        /// Set once the run was requested to stop.
        stopping: Option<AfterStop>,
    },
}

/// An item under lease.
#[derive(Clone, Debug)]
pub(super) struct Item {
    pub(super) leased: Arc<LeasedItem>,
    pub(super) leased_at: Timestamp,
    /// The model named in the item's line, with the adapter.
    pub(super) model: ModelId,
    pub(super) state: ItemState,
    pub(super) mark: StartMark,
    pub(super) generated: GeneratedTokens,
    /// Runs that a back end answered with a failure.
    pub(super) answered_failures: u32,
    /// Failed runs of any kind; sets the wait before the next run.
    pub(super) failures: u32,
    /// The replica of the last run.
    pub(super) avoid: Option<ReplicaId>,
}

impl Item {
    pub(super) fn new(leased: LeasedItem, model: ModelId, now: Timestamp) -> Self {
        let mark = if leased.at_most_once {
            StartMark::Missing
        } else {
            StartMark::NotNeeded
        };
        Item {
            leased: Arc::new(leased),
            leased_at: now,
            model,
            state: ItemState::Waiting {
                since: now,
                not_before: now,
            },
            mark,
            generated: GeneratedTokens::default(),
            answered_failures: 0,
            failures: 0,
            avoid: None,
        }
    }

    /// The replica on which the item uses capacity.
    pub(super) fn replica(&self) -> Option<&ReplicaId> {
        match &self.state {
            ItemState::Waiting { .. } => None,
            ItemState::Marking { replica, .. } | ItemState::Running { replica, .. } => {
                Some(replica)
            }
        }
    }

    /// Whether the item's run is being stopped.
    pub(super) fn is_stopping(&self) -> bool {
        matches!(
            self.state,
            ItemState::Running {
                stopping: Some(_),
                ..
            }
        )
    }

    /// Whether the item waits and may run now.
    pub(super) fn is_ready(&self, now: Timestamp) -> bool {
        matches!(self.state, ItemState::Waiting { not_before, .. } if not_before <= now)
    }

    /// Start of the wait, if the item waits.
    pub(super) fn waiting_since(&self) -> Option<Timestamp> {
        match self.state {
            ItemState::Waiting { since, .. } => Some(since),
            _ => None,
        }
    }

    /// Whether the item may be released without a result.
    pub(super) fn may_be_released(&self) -> bool {
        matches!(self.mark, StartMark::NotNeeded | StartMark::Missing)
    }

    /// Whether the item may be preempted while it runs.
    ///
    /// An at-most-once run is never repeated, so it is not preempted; the engine's own priority
    /// puts online work ahead of it.
    pub(super) fn is_preemptible(&self) -> bool {
        self.mark == StartMark::NotNeeded
    }

    /// Makes the item wait for its next run.
    pub(super) fn wait(&mut self, now: Timestamp, delay_ms: u64) {
        self.avoid = self.replica().cloned();
        self.state = ItemState::Waiting {
            since: now,
            not_before: Timestamp(now.0 + delay_ms),
        };
    }

    /// The result of an item that ends with an error.
    pub(super) fn failed(&self, kind: ErrorKind, message: &str) -> ItemOutcome {
        ItemOutcome {
            item: self.leased.key.item,
            status: 0,
            error_code: kind.answer().code.to_owned(),
            body: message.as_bytes().to_vec(),
        }
    }

    /// The journal's reason for an item that is cancelled or past its deadline.
    pub(super) fn end_reason(kind: ErrorKind) -> ReasonCode {
        match kind {
            ErrorKind::Cancelled => ReasonCode::JobCancelled,
            _ => ReasonCode::DeadlinePassed,
        }
    }
}

/// All items that an executor has under lease.
#[derive(Clone, Debug, Default)]
pub(super) struct ItemTable {
    items: BTreeMap<Slot, Item>,
    runs: BTreeMap<RunId, Slot>,
    next_slot: u64,
}

impl ItemTable {
    pub(super) fn insert(&mut self, item: Item) {
        self.items.insert(Slot(self.next_slot), item);
        self.next_slot += 1;
    }

    pub(super) fn remove(&mut self, slot: Slot) -> Option<Item> {
        let item = self.items.remove(&slot)?;
        if let ItemState::Running { run, .. } = item.state {
            self.runs.remove(&run);
        }
        Some(item)
    }

    pub(super) fn get(&self, slot: Slot) -> Option<&Item> {
        self.items.get(&slot)
    }

    pub(super) fn get_mut(&mut self, slot: Slot) -> Option<&mut Item> {
        self.items.get_mut(&slot)
    }

    /// Records the run of an item.
    pub(super) fn run(&mut self, slot: Slot, run: RunId, replica: ReplicaId) -> Option<&Item> {
        let item = self.items.get_mut(&slot)?;
        item.state = ItemState::Running {
            replica,
            run,
            stopping: None,
        };
        self.runs.insert(run, slot);
        Some(item)
    }

    /// Ends a run and returns its item, whose state is still that of the run.
    pub(super) fn end_run(&mut self, run: RunId) -> Option<(Slot, &mut Item)> {
        let slot = self.runs.remove(&run)?;
        Some((slot, self.items.get_mut(&slot)?))
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (Slot, &Item)> {
        self.items.iter().map(|(slot, item)| (*slot, item))
    }

    pub(super) fn len(&self) -> usize {
        self.items.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Removes and returns all items.
    pub(super) fn take_all(&mut self) -> Vec<Item> {
        self.runs.clear();
        std::mem::take(&mut self.items).into_values().collect()
    }
}
