//! The slots of one replica.

use std::collections::BTreeMap;

use linnethitch_protocol::{
    ids::MachineId,
    slots::{RunOutcome, SlotLoad, Verdict},
};

use super::{
    health::{ReplicaHealth, Trial},
    types::{CoordinatedReplica, Due, LeaseKey, RunNumber, SlotAction},
};

/// Who has and who wants the slots of one replica.
#[derive(Clone, Debug)]
pub(super) struct ReplicaSlots {
    pub(super) traits: CoordinatedReplica,
    /// When items may begin.
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
    /// When it was given.
    pub(super) began_ms: u64,
    /// When it was last heard of.
    pub(super) heard_ms: u64,
    /// No other such request may have a slot beside it.
    pub(super) alone: bool,
}

/// An online request that waits for a slot.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiter {
    pub(super) due: Due,
    pub(super) rank: u8,
    /// It waits for those that run alone, too.
    pub(super) alone: bool,
}

impl Waiter {
    /// Its place among others that wait: those that can still be on time before late
    /// ones, then by rank, then by due time.
    pub(super) fn turn(&self, now_ms: u64) -> (bool, u8, u64) {
        let (is_late, due_ms) = self.due.turn(now_ms);
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
    fn taken(&self) -> u32 {
        (self.online.len() + self.items.len()) as u32
    }

    pub(super) fn free(&self) -> u32 {
        self.traits.slots.saturating_sub(self.taken())
    }

    pub(super) fn may_begin_items(&self, now_ms: u64) -> bool {
        self.traits.open && self.settled_ms <= now_ms && self.health.admits(now_ms)
    }

    /// Whether an online request may be given a slot, if there is one.
    pub(super) fn admits_online(&self, now_ms: u64) -> bool {
        !self.traits.evacuated && self.health.admits(now_ms)
    }

    /// Whether nothing is to be sent there, but for trials.
    pub(super) fn is_closed(&self) -> bool {
        self.traits.evacuated || self.health.is_closed()
    }

    pub(super) fn has_online_slot(&self) -> bool {
        (self.online.len() as u32) < self.traits.slots
    }

    /// Whether a request that runs alone has a slot.
    pub(super) fn runs_one_alone(&self) -> bool {
        self.online.values().any(|lease| lease.alone)
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

    pub(super) fn lease(
        &mut self,
        key: LeaseKey,
        alone: bool,
        now_ms: u64,
        actions: &mut Vec<SlotAction>,
    ) {
        let held = self.online.get(&key);
        let lease = OnlineLease {
            began_ms: held.map_or(now_ms, |held| held.began_ms),
            heard_ms: now_ms,
            alone,
        };
        if self.online.insert(key, lease).is_none() {
            self.health.begins(Trial::Online(key), now_ms);
        }
        self.stop_items(actions);
    }

    /// Gives free slots to the online requests that wait.
    pub(super) fn serve_queue(&mut self, now_ms: u64, actions: &mut Vec<SlotAction>) {
        while self.has_online_slot() && self.admits_online(now_ms) {
            let runs_one_alone = self.runs_one_alone();
            let waiting = self.queue.iter();
            let next = waiting
                .filter(|(_, waiter)| !(waiter.alone && runs_one_alone))
                .min_by_key(|(_, waiter)| waiter.turn(now_ms));
            let Some((key, waiter)) = next.map(|(key, waiter)| (*key, *waiter)) else {
                return;
            };
            self.queue.remove(&key);
            self.lease(key, waiter.alone, now_ms, actions);
            actions.push(answer(&self.traits.id, key, Verdict::Granted));
        }
    }

    /// A run came out so; where that closes the replica, those that wait go elsewhere.
    pub(super) fn ended(
        &mut self,
        run: Trial,
        seen_by: MachineId,
        outcome: RunOutcome,
        now_ms: u64,
        actions: &mut Vec<SlotAction>,
    ) {
        let began_ms = match run {
            Trial::Online(key) => self.online.get(&key).map(|lease| lease.began_ms),
            Trial::Item(run) => self.items.get(&run).map(|item| item.started_ms),
        };
        let began_ms = began_ms.unwrap_or(now_ms);
        let was_closed = self.health.is_closed();
        let has_closed = self.health.ended(run, began_ms, seen_by, outcome, now_ms);
        if was_closed != self.health.is_closed() {
            actions.push(SlotAction::ReportHealth {
                replica: self.traits.id.clone(),
                closed: !was_closed,
            });
        }
        if !has_closed {
            return;
        }
        self.turn_queue_away(actions);
    }

    /// Those that wait go elsewhere.
    pub(super) fn turn_queue_away(&mut self, actions: &mut Vec<SlotAction>) {
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
