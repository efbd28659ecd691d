//! The slots of one replica.

use std::collections::BTreeMap;

use linnethitch_protocol::{
    ids::MachineId,
    slots::{RunOutcome, SlotLoad, Verdict},
};

use super::{
    health::{ReplicaHealth, RunId},
    types::{CoordinatedReplica, Due, LeaseKey, RunNumber, SlotAction},
};

/// Holders of the slots of one replica, and those that wait for a slot.
#[derive(Clone, Debug)]
pub(super) struct ReplicaSlots {
    pub(super) traits: CoordinatedReplica,
    /// Time from which items may start.
    pub(super) settled_ms: u64,
    /// Leases of online requests.
    pub(super) online: BTreeMap<LeaseKey, OnlineLease>,
    pub(super) items: BTreeMap<RunNumber, RunningItem>,
    pub(super) queue: BTreeMap<LeaseKey, Waiter>,
    pub(super) health: ReplicaHealth,
}

/// An online request that has a slot.
#[derive(Clone, Copy, Debug)]
pub(super) struct OnlineLease {
    /// When the lease was granted.
    pub(super) began_ms: u64,
    /// When the lease was last confirmed.
    pub(super) confirmed_ms: u64,
    /// No other exclusive request may have a slot at the same time.
    pub(super) exclusive: bool,
}

/// An online request that waits for a slot.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiter {
    pub(super) due: Due,
    pub(super) rank: u8,
    /// The request also waits for other exclusive requests.
    pub(super) exclusive: bool,
}

impl Waiter {
    /// Order among waiting requests: those that can still be on time before late ones, then by
    /// rank, then by due time.
    pub(super) fn sort_key(&self, now_ms: u64) -> (bool, u8, u64) {
        let (is_late, due_ms) = self.due.sort_key(now_ms);
        (is_late, self.rank, due_ms)
    }
}

/// An item that has a slot.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunningItem {
    pub(super) due: Due,
    pub(super) started_ms: u64,
}

impl ReplicaSlots {
    fn used_slots(&self) -> u32 {
        (self.online.len() + self.items.len()) as u32
    }

    pub(super) fn free_slots(&self) -> u32 {
        self.traits.slots.saturating_sub(self.used_slots())
    }

    pub(super) fn may_start_items(&self, now_ms: u64) -> bool {
        self.traits.open && self.settled_ms <= now_ms && self.health.admits(now_ms)
    }

    /// Whether an online request may get a slot, if there is one.
    pub(super) fn admits_online(&self, now_ms: u64) -> bool {
        !self.traits.evacuated && self.health.admits(now_ms)
    }

    /// Whether nothing should be sent there, except trials.
    pub(super) fn is_closed(&self) -> bool {
        self.traits.evacuated || self.health.is_ejected()
    }

    pub(super) fn has_online_slot(&self) -> bool {
        (self.online.len() as u32) < self.traits.slots
    }

    /// Whether an exclusive request has a slot.
    pub(super) fn runs_exclusive(&self) -> bool {
        self.online.values().any(|lease| lease.exclusive)
    }

    /// Stops items until all work fits into the slots: first items that were already late when they
    /// started, then those due last.
    fn preempt_items(&mut self, actions: &mut Vec<SlotAction>) {
        while self.used_slots() > self.traits.slots {
            let items = self.items.iter();
            let last = items.max_by_key(|(_, item)| item.due.sort_key(item.started_ms));
            let Some(run) = last.map(|(run, _)| *run) else {
                return;
            };
            self.items.remove(&run);
            actions.push(SlotAction::Stop(run));
        }
    }

    pub(super) fn lease(
        &mut self,
        key: LeaseKey,
        exclusive: bool,
        now_ms: u64,
        actions: &mut Vec<SlotAction>,
    ) {
        let existing = self.online.get(&key);
        let lease = OnlineLease {
            began_ms: existing.map_or(now_ms, |existing| existing.began_ms),
            confirmed_ms: now_ms,
            exclusive,
        };
        if self.online.insert(key, lease).is_none() {
            self.health.run_started(RunId::Online(key), now_ms);
        }
        self.preempt_items(actions);
    }

    /// Grants free slots to waiting online requests.
    pub(super) fn serve_queue(&mut self, now_ms: u64, actions: &mut Vec<SlotAction>) {
        while self.has_online_slot() && self.admits_online(now_ms) {
            let runs_exclusive = self.runs_exclusive();
            let waiting = self.queue.iter();
            let next = waiting
                .filter(|(_, waiter)| !(waiter.exclusive && runs_exclusive))
                .min_by_key(|(_, waiter)| waiter.sort_key(now_ms));
            let Some((key, waiter)) = next.map(|(key, waiter)| (*key, *waiter)) else {
                return;
            };
            self.queue.remove(&key);
            self.lease(key, waiter.exclusive, now_ms, actions);
            actions.push(answer(&self.traits.id, key, Verdict::Granted));
        }
    }

    /// Records the outcome of a run. If it ejects the replica, waiting requests are rejected so
    /// that they go elsewhere.
    pub(super) fn run_ended(
        &mut self,
        run: RunId,
        reporter: MachineId,
        outcome: RunOutcome,
        now_ms: u64,
        actions: &mut Vec<SlotAction>,
    ) {
        let began_ms = match run {
            RunId::Online(key) => self.online.get(&key).map(|lease| lease.began_ms),
            RunId::Item(run) => self.items.get(&run).map(|item| item.started_ms),
        };
        let began_ms = began_ms.unwrap_or(now_ms);
        let was_ejected = self.health.is_ejected();
        let now_ejected = self
            .health
            .run_ended(run, began_ms, reporter, outcome, now_ms);
        if was_ejected != self.health.is_ejected() {
            actions.push(SlotAction::ReportHealth {
                replica: self.traits.id.clone(),
                closed: !was_ejected,
            });
        }
        if !now_ejected {
            return;
        }
        self.reject_queue(actions);
    }

    /// Rejects waiting requests so that they go elsewhere.
    pub(super) fn reject_queue(&mut self, actions: &mut Vec<SlotAction>) {
        let waiting = std::mem::take(&mut self.queue).into_keys();
        actions.extend(waiting.map(|key| answer(&self.traits.id, key, Verdict::Full)));
    }

    pub(super) fn load(&self) -> SlotLoad {
        let count = |number: usize| number.min(usize::from(u16::MAX)) as u16;
        SlotLoad {
            replica: self.traits.id.clone(),
            slots: count(self.traits.slots as usize),
            online: count(self.online.len()),
            items: count(self.items.len()),
            waiting: count(self.queue.len()),
            closed: self.is_closed(),
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
