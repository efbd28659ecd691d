//! The items that an executor holds.

use std::{collections::BTreeMap, sync::Arc};

use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    command::LeasedItem,
    ids::{ModelId, ReplicaId, Timestamp},
    query::ItemOutcome,
};
use linnethitch_routing::ReasonCode;

use crate::batch::messages::{GeneratedTokens, RunId};

/// An item's place in the table, in the order of leasing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct Slot(u64);

/// Whether an at-most-once item may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StartMark {
    /// The item is repeatable; no mark is needed.
    NotNeeded,
    /// The ledger was not asked.
    Missing,
    /// The ledger was asked and its answer was lost; the item cannot be given back.
    Uncertain,
    /// The ledger holds the mark.
    Recorded,
}

/// What becomes of an item once its run has stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AfterStop {
    /// It goes on elsewhere.
    RunElsewhere,
    /// It ends with this error.
    End(ErrorKind),
}

/// What an item is doing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ItemState {
    /// It waits for room.
    Waiting {
        /// Since when.
        since: Timestamp,
        /// It does not run before.
        not_before: Timestamp,
    },
    /// The ledger is being told that it starts; its room on the replica is generated.
    Marking {
        /// Where it will run.
        replica: ReplicaId,
    },
    /// It runs.
    Running {
        /// Where.
        replica: ReplicaId,
        /// Its run.
        run: RunId,
        /// Set once the run was told to stop.
        stopping: Option<AfterStop>,
    },
}

/// An item under lease.
#[derive(Clone, Debug)]
pub(super) struct Item {
    pub(super) leased: Arc<LeasedItem>,
    /// The model that its line names, with the adapter.
    pub(super) model: ModelId,
    pub(super) state: ItemState,
    pub(super) mark: StartMark,
    pub(super) generated: GeneratedTokens,
    /// Runs that may have started at a back end and failed.
    pub(super) failures: u32,
    /// Failures of any kind, for the wait before the next run.
    pub(super) setbacks: u32,
    /// The replica that it left last.
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
            model,
            state: ItemState::Waiting {
                since: now,
                not_before: now,
            },
            mark,
            generated: GeneratedTokens::default(),
            failures: 0,
            setbacks: 0,
            avoid: None,
        }
    }

    /// The replica on which it takes room.
    pub(super) fn replica(&self) -> Option<&ReplicaId> {
        match &self.state {
            ItemState::Waiting { .. } => None,
            ItemState::Marking { replica } | ItemState::Running { replica, .. } => Some(replica),
        }
    }

    /// Whether it waits and may run now.
    pub(super) fn is_ready(&self, now: Timestamp) -> bool {
        matches!(self.state, ItemState::Waiting { not_before, .. } if not_before <= now)
    }

    /// Since when it waits.
    pub(super) fn waiting_since(&self) -> Option<Timestamp> {
        match self.state {
            ItemState::Waiting { since, .. } => Some(since),
            _ => None,
        }
    }

    /// Whether the ledger takes it back unrun.
    pub(super) fn may_be_released(&self) -> bool {
        matches!(self.mark, StartMark::NotNeeded | StartMark::Missing)
    }

    /// Whether it may leave a replica once it runs there.
    ///
    /// An at-most-once run is never repeated, so it stays; the engine's own
    /// priority keeps it out of the way of online work.
    pub(super) fn may_yield(&self) -> bool {
        self.mark == StartMark::NotNeeded
    }

    /// Makes it wait.
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

    /// The run and the reason that the journal gives for an end from outside.
    pub(super) fn end_reason(kind: ErrorKind) -> ReasonCode {
        match kind {
            ErrorKind::Cancelled => ReasonCode::JobCancelled,
            _ => ReasonCode::DeadlinePassed,
        }
    }
}

/// All items that an executor holds.
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

    /// Records that an item runs.
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

    /// The item of a run that has ended; its state is still that of the run.
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

    /// Takes every item out.
    pub(super) fn take_all(&mut self) -> Vec<Item> {
        self.runs.clear();
        std::mem::take(&mut self.items).into_values().collect()
    }
}
