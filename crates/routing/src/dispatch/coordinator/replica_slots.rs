//! The slots of one replica.

use std::collections::BTreeMap;

use linnethitch_protocol::slots::{SlotLoad, Verdict};

use super::types::{CoordinatedReplica, Due, LeaseKey, RunNumber, SlotAction};

/// Who has and who wants the slots of one replica.
#[derive(Clone, Debug)]
pub(super) struct ReplicaSlots {
    pub(super) traits: CoordinatedReplica,
    /// When items may begin.
    pub(super) settled_ms: u64,
    /// Leases of online requests, and when they were last heard of.
    pub(super) online: BTreeMap<LeaseKey, u64>,
    pub(super) items: BTreeMap<RunNumber, RunningItem>,
    pub(super) queue: BTreeMap<LeaseKey, Due>,
}

/// An item that has a slot.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunningItem {
    pub(super) due: Due,
    pub(super) started_ms: u64,
}

impl ReplicaSlots {
    fn taken(&self) -> u32 {
        (self.online.len() + self.items.len()) as u32
    }

    pub(super) fn free(&self) -> u32 {
        self.traits.slots.saturating_sub(self.taken())
    }

    pub(super) fn may_begin_items(&self, now_ms: u64) -> bool {
        self.traits.open && self.settled_ms <= now_ms
    }

    pub(super) fn has_online_slot(&self) -> bool {
        (self.online.len() as u32) < self.traits.slots
    }

    /// Stops items until all fit into the slots: first those that were too late
    /// when they began, then those due last.
    fn stop_items(&mut self, actions: &mut Vec<SlotAction>) {
        while self.taken() > self.traits.slots {
            let items = self.items.iter();
            let last = items.max_by_key(|(_, item)| item.due.turn(item.started_ms));
            let Some(run) = last.map(|(run, _)| *run) else {
                return;
            };
            self.items.remove(&run);
            actions.push(SlotAction::Stop(run));
        }
    }

    pub(super) fn lease(&mut self, key: LeaseKey, now_ms: u64, actions: &mut Vec<SlotAction>) {
        self.online.insert(key, now_ms);
        self.stop_items(actions);
    }

    /// Gives free slots to the online requests that wait.
    pub(super) fn serve_queue(&mut self, now_ms: u64, actions: &mut Vec<SlotAction>) {
        while self.has_online_slot() {
            let next = self.queue.iter().min_by_key(|(_, due)| due.turn(now_ms));
            let Some(key) = next.map(|(key, _)| *key) else {
                return;
            };
            self.queue.remove(&key);
            self.lease(key, now_ms, actions);
            actions.push(answer(&self.traits.id, key, Verdict::Granted));
        }
    }

    pub(super) fn load(&self) -> SlotLoad {
        let count = |number: usize| number.min(usize::from(u16::MAX)) as u16;
        SlotLoad {
            replica: self.traits.id.clone(),
            slots: count(self.traits.slots as usize),
            online: count(self.online.len()),
            items: count(self.items.len()),
            waiting: count(self.queue.len()),
        }
    }
}

/// The answer to the holder of a lease.
pub(super) fn answer(replica: &str, key: LeaseKey, verdict: Verdict) -> SlotAction {
    SlotAction::Answer {
        key,
        replica: replica.to_owned(),
        verdict,
    }
}
