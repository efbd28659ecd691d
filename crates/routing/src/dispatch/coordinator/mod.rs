//! Who has which slot of the replicas that one gateway coordinates.
//!
//! Every replica has one coordinator, so that somebody knows at each moment
//! how many of its slots online requests and batch items have. Online requests
//! of all gateways ask for a slot; batch items run at their replica's
//! coordinator only, which stops one at once when an online request needs its
//! slot. Where online requests have every slot, further ones wait here in the
//! order of [`Waiter::turn`], not in the replica's queue.
//!
//! Nothing here reads a clock or a socket: callers pass the time, steady and in
//! milliseconds, and carry out the returned [`SlotAction`]s.

mod health;
mod replica_slots;
mod types;

use std::collections::{BTreeMap, BTreeSet};

use linnethitch_protocol::{
    ids::MachineId,
    slots::{AskMode, HeldLease, RunOutcome, SlotLoad, Verdict},
};

use super::item_growth::ItemCapacity;

pub use self::types::{Ask, CoordinatedReplica, Due, LeaseKey, RunNumber, SlotAction, WaitingItem};
use self::{
    health::{ReplicaHealth, Trial},
    replica_slots::{ReplicaSlots, RunningItem, Waiter, answer},
};

/// A new coordinator begins no items until every gateway has had time to say
/// which slots it holds, in milliseconds.
const SETTLE_MS: u64 = 250;
/// A lease whose holder did not name it for so long has ended, in milliseconds.
const LEASE_MS: u64 = 2_500;
/// A lease as young as this may be missing in what its holder said meanwhile,
/// in milliseconds.
const YOUNG_MS: u64 = 400;

/// Slots of the replicas that this gateway coordinates.
#[derive(Clone, Debug, Default)]
pub struct SlotCoordinator {
    replicas: BTreeMap<String, ReplicaSlots>,
    waiting: BTreeMap<RunNumber, WaitingItem>,
}

impl SlotCoordinator {
    /// Replaces the list of replicas. Items stop at those that are coordinated
    /// elsewhere now or that take no new work; they go on where there is room. What waits
    /// for a replica whose zone is evacuated goes elsewhere; what runs there goes on.
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
                replica.turn_queue_away(&mut actions);
            }
        }
        for (id, left) in before {
            actions.extend(left.items.into_keys().map(SlotAction::Stop));
            let asked = left.queue.into_keys();
            actions.extend(asked.map(|key| answer(&id, key, Verdict::NotHere)));
        }
        actions
    }

    /// Decides on an online request.
    pub fn ask(&mut self, ask: Ask, now_ms: u64) -> Vec<SlotAction> {
        let mut actions = Vec::new();
        let Some(replica) = self.replicas.get_mut(&ask.replica) else {
            return vec![answer(&ask.replica, ask.key, Verdict::NotHere)];
        };
        replica.queue.remove(&ask.key);
        let is_leased = replica.online.contains_key(&ask.key);
        let admits = replica.admits_online(now_ms);
        let has_slot = match ask.mode {
            AskMode::Free => admits && replica.free() > 0,
            AskMode::Probe | AskMode::Wait => admits && replica.has_online_slot(),
            AskMode::Alone => admits && replica.has_online_slot() && !replica.runs_one_alone(),
            AskMode::Take => true,
        };
        let alone = ask.mode == AskMode::Alone;
        let verdict = if is_leased || has_slot {
            replica.lease(ask.key, alone, now_ms, &mut actions);
            Verdict::Granted
        } else if replica.is_closed() {
            Verdict::Full
        } else if alone || ask.mode == AskMode::Wait {
            let waiter = Waiter {
                due: ask.due,
                rank: ask.rank,
                alone,
            };
            replica.queue.insert(ask.key, waiter);
            Verdict::Queued
        } else {
            Verdict::Full
        };
        actions.push(answer(&ask.replica, ask.key, verdict));
        actions
    }

    /// A request that had a slot came out so. Those that wait for a replica that fails go
    /// elsewhere.
    pub fn record_run(
        &mut self,
        key: LeaseKey,
        outcome: RunOutcome,
        now_ms: u64,
    ) -> Vec<SlotAction> {
        let mut actions = Vec::new();
        for replica in self.replicas.values_mut() {
            if replica.online.contains_key(&key) {
                let run = Trial::Online(key);
                replica.ended(run, key.holder, outcome, now_ms, &mut actions);
            }
        }
        actions
    }

    /// An item's run came out so, as this gateway saw it.
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
                replica.ended(Trial::Item(run), own, outcome, now_ms, &mut actions);
            }
        }
        actions
    }

    /// A slot is given back, or no longer asked for.
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

    /// Takes what a gateway says that it holds: leases that it does not name
    /// have ended, ones that are not known here are noted.
    pub fn reconcile_leases(
        &mut self,
        holder: MachineId,
        leases: &[HeldLease],
        now_ms: u64,
    ) -> Vec<SlotAction> {
        let named: BTreeSet<(&str, u64)> = leases
            .iter()
            .map(|lease| (lease.replica.as_str(), lease.number))
            .collect();
        let mut actions = Vec::new();
        for (id, replica) in &mut self.replicas {
            replica.online.retain(|key, held| {
                key.holder != holder
                    || now_ms < held.heard_ms + YOUNG_MS
                    || named.contains(&(id.as_str(), key.number))
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
            // An ask that still waits here is named too; it has no slot yet.
            if !replica.queue.contains_key(&key) {
                replica.lease(key, lease.alone, now_ms, &mut actions);
            }
        }
        actions.extend(self.tick(now_ms));
        actions
    }

    /// Ends leases whose holder is silent; begins what has room.
    pub fn tick(&mut self, now_ms: u64) -> Vec<SlotAction> {
        let mut actions = Vec::new();
        for replica in self.replicas.values_mut() {
            replica
                .online
                .retain(|_, held| now_ms < held.heard_ms + LEASE_MS);
            replica.serve_queue(now_ms, &mut actions);
        }
        actions.extend(self.start_items(now_ms));
        actions
    }

    /// An item wants to run.
    pub fn enqueue_item(&mut self, item: WaitingItem, now_ms: u64) -> Vec<SlotAction> {
        self.waiting.insert(item.run, item);
        self.start_items(now_ms)
    }

    /// An item's run has ended, or it no longer waits.
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
        order.sort_by_key(|(due, run)| (due.turn(now_ms), *run));
        for (due, run) in order {
            let Some(replica) = self.room_for(run, now_ms) else {
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
            slots.health.begins(Trial::Item(run), now_ms);
            self.waiting.remove(&run);
            actions.push(SlotAction::Start { run, replica });
        }
        actions
    }

    /// The replica with most free slots among those that the item may have and that did not
    /// fail it; where all did, among all that it may have.
    fn room_for(&self, run: RunNumber, now_ms: u64) -> Option<String> {
        let item = self.waiting.get(&run)?;
        let of_service = self.replicas.values().filter(|replica| {
            replica.traits.service == item.service && replica.may_begin_items(now_ms)
        });
        let may_have = of_service.filter(|replica| !item.except.contains(&replica.traits.id));
        let candidates: Vec<&ReplicaSlots> = may_have.collect();
        let avoids = |replica: &ReplicaSlots| item.avoid.contains(&replica.traits.id);
        let all_failed = candidates.iter().all(|replica| avoids(replica));
        let usable = candidates
            .into_iter()
            .filter(|replica| replica.free() > 0)
            .filter(|replica| all_failed || !avoids(replica));
        let best = usable.max_by_key(|replica| replica.free())?;
        Some(best.traits.id.clone())
    }

    /// Slots that further items of a service could have now.
    #[must_use]
    pub fn free_item_slots(&self, service: &str, now_ms: u64) -> u32 {
        self.item_capacity(service, now_ms).slots
    }

    /// Room for further items of a service.
    #[must_use]
    pub fn item_capacity(&self, service: &str, now_ms: u64) -> ItemCapacity {
        let of_service = self
            .replicas
            .values()
            .filter(|replica| replica.traits.service == service && replica.may_begin_items(now_ms));
        let free: Vec<u32> = of_service
            .map(ReplicaSlots::free)
            .filter(|free| *free > 0)
            .collect();
        let waiting = self.waiting.values().filter(|w| w.service == service);
        let waiting = waiting.count() as u32;
        ItemCapacity {
            slots: free.iter().sum::<u32>().saturating_sub(waiting),
            replicas: (free.len() as u32).saturating_sub(waiting),
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
        let concerned = replicas.filter(|replica| replica.traits.service == service);
        concerned.map(ReplicaSlots::load).collect()
    }

    /// Loads of the service to which a replica belongs.
    #[must_use]
    pub fn loads_of_same_service(&self, replica: &str) -> Vec<SlotLoad> {
        let service = self.replicas.get(replica).map(|r| r.traits.service.clone());
        service.map_or_else(Vec::new, |service| self.loads(&service))
    }
}
