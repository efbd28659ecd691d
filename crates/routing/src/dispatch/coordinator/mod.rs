//! The slots of the replicas that one gateway coordinates.
//!
//! Every replica has one coordinator, so that one gateway knows at any time how many of its slots
//! are taken by online requests and batch items. Online requests of all gateways ask for a slot;
//! batch items run only at their replica's coordinator, which stops one immediately when an online
//! request needs its slot. While online requests take every slot, further ones wait here in the
//! order of [`Waiter::sort_key`], not in the replica's queue.
//!
//! Nothing here reads a clock or a socket: callers pass the time, monotonic and in milliseconds,
//! and carry out the returned [`SlotAction`]s.

mod health;
mod replica_slots;
mod types;

use std::collections::{BTreeMap, BTreeSet};

use linnethitch_protocol::{
    ids::MachineId,
    slots::{AskMode, HeldLease, RunOutcome, SlotLoad, Verdict},
};

use super::item_ramp_up::ItemCapacity;

pub use self::types::{Ask, CoordinatedReplica, Due, LeaseKey, RunNumber, SlotAction, WaitingItem};
use self::{
    health::{ReplicaHealth, RunId},
    replica_slots::{ReplicaSlots, RunningItem, Waiter, answer},
};

/// A new coordinator starts no items until every gateway has had time to report the slots that it
/// holds, in milliseconds.
const SETTLE_MS: u64 = 250;
/// A lease ends if its holder has not reported it for this time, in milliseconds.
const LEASE_TIMEOUT_MS: u64 = 2_500;
/// A lease younger than this may be missing from a report that its holder sent in the meantime, in
/// milliseconds.
const YOUNG_LEASE_MS: u64 = 400;

/// Slots of the replicas that this gateway coordinates.
#[derive(Clone, Debug, Default)]
pub struct SlotCoordinator {
    replicas: BTreeMap<String, ReplicaSlots>,
    waiting: BTreeMap<RunNumber, WaitingItem>,
}

impl SlotCoordinator {
    /// Replaces the list of replicas. Items stop at replicas that are no longer coordinated here,
    /// and may continue at others; requests that wait there are answered with `NotCoordinator`.
    /// Requests that wait for a replica in an evacuated zone are rejected so that they go
    /// elsewhere; what already runs there continues.
    pub fn set_replicas(&mut self, list: Vec<CoordinatedReplica>, now_ms: u64) -> Vec<SlotAction> {
        let mut actions = Vec::new();
        let mut before = std::mem::take(&mut self.replicas);
        for traits in list {
            let id = traits.id.clone();
            let slots = match before.remove(&id) {
                Some(known) => ReplicaSlots { traits, ..known },
                None => ReplicaSlots {
                    traits,
                    settled_ms: now_ms + SETTLE_MS,
                    online: BTreeMap::new(),
                    items: BTreeMap::new(),
                    queue: BTreeMap::new(),
                    health: ReplicaHealth::default(),
                },
            };
            self.replicas.insert(id, slots);
        }
        for replica in self.replicas.values_mut() {
            if replica.traits.evacuated {
                replica.reject_queue(&mut actions);
            }
        }
        for (id, removed) in before {
            actions.extend(removed.items.into_keys().map(SlotAction::Stop));
            let waiting = removed.queue.into_keys();
            actions.extend(waiting.map(|key| answer(&id, key, Verdict::NotCoordinator)));
        }
        actions
    }

    /// Decides on an online request.
    pub fn ask(&mut self, ask: Ask, now_ms: u64) -> Vec<SlotAction> {
        let mut actions = Vec::new();
        let Some(replica) = self.replicas.get_mut(&ask.replica) else {
            return vec![answer(&ask.replica, ask.key, Verdict::NotCoordinator)];
        };
        replica.queue.remove(&ask.key);
        let is_leased = replica.online.contains_key(&ask.key);
        let admits = replica.admits_online(now_ms);
        let has_slot = match ask.mode {
            AskMode::FreeOnly => admits && replica.free_slots() > 0,
            AskMode::Probe | AskMode::Wait => admits && replica.has_online_slot(),
            AskMode::Exclusive => admits && replica.has_online_slot() && !replica.runs_exclusive(),
            AskMode::Force => true,
        };
        let exclusive = ask.mode == AskMode::Exclusive;
        let verdict = if is_leased || has_slot {
            replica.lease(ask.key, exclusive, now_ms, &mut actions);
            Verdict::Granted
        } else if replica.is_closed() {
            Verdict::Full
        } else if exclusive || ask.mode == AskMode::Wait {
            let waiter = Waiter {
                due: ask.due,
                rank: ask.rank,
                exclusive,
            };
            replica.queue.insert(ask.key, waiter);
            Verdict::Queued
        } else {
            Verdict::Full
        };
        actions.push(answer(&ask.replica, ask.key, verdict));
        actions
    }

    /// Records the outcome of a request that had a slot. If that ejects the replica, the requests
    /// that wait for it go elsewhere.
    pub fn record_run(
        &mut self,
        key: LeaseKey,
        outcome: RunOutcome,
        now_ms: u64,
    ) -> Vec<SlotAction> {
        let mut actions = Vec::new();
        for replica in self.replicas.values_mut() {
            if replica.online.contains_key(&key) {
                let run = RunId::Online(key);
                replica.run_ended(run, key.holder, outcome, now_ms, &mut actions);
            }
        }
        actions
    }

    /// Records the outcome of an item's run, as seen by this gateway.
    pub fn record_item_run(
        &mut self,
        run: RunNumber,
        own: MachineId,
        outcome: RunOutcome,
        now_ms: u64,
    ) -> Vec<SlotAction> {
        let mut actions = Vec::new();
        for replica in self.replicas.values_mut() {
            if replica.items.contains_key(&run) {
                replica.run_ended(RunId::Item(run), own, outcome, now_ms, &mut actions);
            }
        }
        actions
    }

    /// Releases a slot or withdraws a waiting request.
    pub fn end(&mut self, key: LeaseKey, now_ms: u64) -> Vec<SlotAction> {
        let mut actions = Vec::new();
        for replica in self.replicas.values_mut() {
            replica.queue.remove(&key);
            if replica.online.remove(&key).is_some() {
                replica.serve_queue(now_ms, &mut actions);
            }
        }
        actions.extend(self.start_items(now_ms));
        actions
    }

    /// Applies a gateway's report of its leases: leases that are missing have ended, unknown ones
    /// are added.
    pub fn reconcile_leases(
        &mut self,
        holder: MachineId,
        leases: &[HeldLease],
        now_ms: u64,
    ) -> Vec<SlotAction> {
        let reported: BTreeSet<(&str, u64)> = leases
            .iter()
            .map(|lease| (lease.replica.as_str(), lease.number))
            .collect();
        let mut actions = Vec::new();
        for (id, replica) in &mut self.replicas {
            replica.online.retain(|key, lease| {
                key.holder != holder
                    || now_ms < lease.confirmed_ms + YOUNG_LEASE_MS
                    || reported.contains(&(id.as_str(), key.number))
            });
        }
        for lease in leases {
            let key = LeaseKey {
                holder,
                number: lease.number,
            };
            let Some(replica) = self.replicas.get_mut(&lease.replica) else {
                continue;
            };
            // A request that still waits here is reported too; it has no slot yet.
            if !replica.queue.contains_key(&key) {
                replica.lease(key, lease.exclusive, now_ms, &mut actions);
            }
        }
        actions.extend(self.tick(now_ms));
        actions
    }

    /// Ends leases whose holder is silent and fills free slots.
    pub fn tick(&mut self, now_ms: u64) -> Vec<SlotAction> {
        let mut actions = Vec::new();
        for replica in self.replicas.values_mut() {
            replica
                .online
                .retain(|_, lease| now_ms < lease.confirmed_ms + LEASE_TIMEOUT_MS);
            replica.serve_queue(now_ms, &mut actions);
        }
        actions.extend(self.start_items(now_ms));
        actions
    }

    /// Adds an item that waits for a slot.
    pub fn enqueue_item(&mut self, item: WaitingItem, now_ms: u64) -> Vec<SlotAction> {
        self.waiting.insert(item.run, item);
        self.start_items(now_ms)
    }

    /// Records that an item's run has ended or that the item no longer waits.
    pub fn item_ended(&mut self, run: RunNumber, now_ms: u64) -> Vec<SlotAction> {
        self.waiting.remove(&run);
        let mut actions = Vec::new();
        for replica in self.replicas.values_mut() {
            if replica.items.remove(&run).is_some() {
                replica.serve_queue(now_ms, &mut actions);
            }
        }
        actions.extend(self.start_items(now_ms));
        actions
    }

    fn start_items(&mut self, now_ms: u64) -> Vec<SlotAction> {
        let mut actions = Vec::new();
        if self.waiting.is_empty() {
            return actions;
        }
        let mut order: Vec<_> = self.waiting.values().map(|w| (w.due, w.run)).collect();
        order.sort_by_key(|(due, run)| (due.sort_key(now_ms), *run));
        for (due, run) in order {
            let Some(replica) = self.replica_for_item(run, now_ms) else {
                continue;
            };
            let Some(slots) = self.replicas.get_mut(&replica) else {
                continue;
            };
            let item = RunningItem {
                due,
                started_ms: now_ms,
            };
            slots.items.insert(run, item);
            slots.health.run_started(RunId::Item(run), now_ms);
            self.waiting.remove(&run);
            actions.push(SlotAction::Start { run, replica });
        }
        actions
    }

    /// The replica with the most free slots among those that the item may use and that did not fail
    /// it; if all of these failed it, among all that it may use.
    fn replica_for_item(&self, run: RunNumber, now_ms: u64) -> Option<String> {
        let item = self.waiting.get(&run)?;
        let of_service = self.replicas.values().filter(|replica| {
            replica.traits.service == item.service && replica.may_start_items(now_ms)
        });
        let allowed = of_service.filter(|replica| !item.except.contains(&replica.traits.id));
        let candidates: Vec<&ReplicaSlots> = allowed.collect();
        let failed_there = |replica: &ReplicaSlots| item.avoid.contains(&replica.traits.id);
        let all_failed = candidates.iter().all(|replica| failed_there(replica));
        let usable = candidates
            .into_iter()
            .filter(|replica| replica.free_slots() > 0)
            .filter(|replica| all_failed || !failed_there(replica));
        let best = usable.max_by_key(|replica| replica.free_slots())?;
        Some(best.traits.id.clone())
    }

    /// Slots that further items of a service could use now.
    #[must_use]
    pub fn free_item_slots(&self, service: &str, now_ms: u64) -> u32 {
        self.item_capacity(service, now_ms).slots
    }

    /// Capacity for further items of a service.
    #[must_use]
    pub fn item_capacity(&self, service: &str, now_ms: u64) -> ItemCapacity {
        let of_service = self
            .replicas
            .values()
            .filter(|replica| replica.traits.service == service && replica.may_start_items(now_ms));
        let free_slots: Vec<u32> = of_service
            .map(ReplicaSlots::free_slots)
            .filter(|free_slots| *free_slots > 0)
            .collect();
        let waiting = self.waiting.values().filter(|w| w.service == service);
        let waiting = waiting.count() as u32;
        ItemCapacity {
            slots: free_slots.iter().sum::<u32>().saturating_sub(waiting),
            replicas: (free_slots.len() as u32).saturating_sub(waiting),
        }
    }

    /// Loads of every replica.
    #[must_use]
    pub fn all_loads(&self) -> Vec<SlotLoad> {
        self.replicas.values().map(ReplicaSlots::load).collect()
    }

    /// Loads of a service's replicas.
    #[must_use]
    pub fn loads(&self, service: &str) -> Vec<SlotLoad> {
        let replicas = self.replicas.values();
        let of_service = replicas.filter(|replica| replica.traits.service == service);
        of_service.map(ReplicaSlots::load).collect()
    }

    /// Loads of all replicas of the service to which a replica belongs.
    #[must_use]
    pub fn loads_of_same_service(&self, replica: &str) -> Vec<SlotLoad> {
        let service = self.replicas.get(replica).map(|r| r.traits.service.clone());
        service.map_or_else(Vec::new, |service| self.loads(&service))
    }
}
