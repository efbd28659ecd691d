//! Who has which slot of the replicas that one gateway coordinates.
//!
//! Every replica has one coordinator, so that somebody knows at each moment
//! how many of its slots online requests and batch items have. Online requests
//! of all gateways ask for a slot; batch items run at their replica's
//! coordinator only, which stops one at once when an online request needs its
//! slot. Where online requests have every slot, further ones wait here in the
//! order of [`Turn`], not in the replica's queue.
//!
//! Nothing here reads a clock or a socket: callers pass the time, steady and in
//! milliseconds, and carry out the returned [`SlotAction`]s.

use std::collections::{BTreeMap, BTreeSet};

use linnethitch_protocol::{
    ids::MachineId,
    slots::{AskMode, HeldLease, SlotLoad, Verdict},
};

/// A new coordinator begins no items until every gateway has had time to say
/// which slots it holds, in milliseconds.
const SETTLE_MS: u64 = 250;
/// A lease whose holder did not name it for so long has ended, in milliseconds.
const LEASE_MS: u64 = 2_500;
/// A lease as young as this may be missing in what its holder said meanwhile,
/// in milliseconds.
const YOUNG_MS: u64 = 400;

/// A lease of a slot: its holder and the holder's number of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeaseKey {
    /// The gateway.
    pub holder: MachineId,
    /// Its number of the lease.
    pub number: u64,
}

/// The number of a batch item's run, unique in this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunNumber(pub u64);

/// When work is due. Work that is late waits for what can still be on time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Due {
    /// The time at which it is late, in milliseconds.
    pub at_ms: u64,
}

impl Due {
    /// Its place among others that wait: those on time by their due times, then
    /// late ones by the same.
    fn turn(self, now_ms: u64) -> (bool, u64) {
        (self.at_ms <= now_ms, self.at_ms)
    }
}

/// What a replica is, as its coordinator needs it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CoordinatedReplica {
    /// The incarnation.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it may be given new work.
    pub open: bool,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SlotAction {
    /// Answer the holder of a lease.
    Answer {
        /// The lease.
        key: LeaseKey,
        /// The replica.
        replica: String,
        /// What was decided.
        verdict: Verdict,
    },
    /// Stop an item's run; its slot is given to another.
    Stop(RunNumber),
    /// Begin an item's run at a replica.
    Start {
        /// The run that waited.
        run: RunNumber,
        /// The replica.
        replica: String,
    },
}

/// An online request that wants a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// The lease that it would have.
    pub key: LeaseKey,
    /// The replica.
    pub replica: String,
    /// When it is late.
    pub due: Due,
    /// What happens when no slot is free.
    pub mode: AskMode,
}

/// A batch item that wants a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingItem {
    /// Its run.
    pub run: RunNumber,
    /// Its service.
    pub service: String,
    /// When it has to begin to be done in time.
    pub due: Due,
    /// Replicas that failed it.
    pub avoid: Vec<String>,
}

#[derive(Clone, Debug)]
struct ReplicaSlots {
    traits: CoordinatedReplica,
    /// When items may begin.
    settled_ms: u64,
    /// Leases of online requests, and when they were last heard of.
    online: BTreeMap<LeaseKey, u64>,
    items: BTreeMap<RunNumber, RunningItem>,
    queue: BTreeMap<LeaseKey, Due>,
}

/// An item that has a slot.
#[derive(Clone, Copy, Debug)]
struct RunningItem {
    due: Due,
    started_ms: u64,
}

impl ReplicaSlots {
    fn taken(&self) -> u32 {
        (self.online.len() + self.items.len()) as u32
    }

    fn free(&self) -> u32 {
        self.traits.slots.saturating_sub(self.taken())
    }

    fn may_begin_items(&self, now_ms: u64) -> bool {
        self.traits.open && self.settled_ms <= now_ms
    }

    fn has_online_slot(&self) -> bool {
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

    fn lease(&mut self, key: LeaseKey, now_ms: u64, actions: &mut Vec<SlotAction>) {
        self.online.insert(key, now_ms);
        self.stop_items(actions);
    }

    /// Gives free slots to the online requests that wait.
    fn serve_queue(&mut self, now_ms: u64, actions: &mut Vec<SlotAction>) {
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

    fn load(&self) -> SlotLoad {
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

fn answer(replica: &str, key: LeaseKey, verdict: Verdict) -> SlotAction {
    SlotAction::Answer {
        key,
        replica: replica.to_owned(),
        verdict,
    }
}

/// Slots of the replicas that this gateway coordinates.
#[derive(Clone, Debug, Default)]
pub struct SlotCoordinator {
    replicas: BTreeMap<String, ReplicaSlots>,
    waiting: BTreeMap<RunNumber, WaitingItem>,
}

impl SlotCoordinator {
    /// Replaces the list of replicas. Items stop at those that are coordinated
    /// elsewhere now or that take no new work; they go on where there is room.
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
                },
            };
            self.replicas.insert(id, slots);
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
        let verdict = if is_leased || replica.has_online_slot() || ask.mode == AskMode::Take {
            replica.lease(ask.key, now_ms, &mut actions);
            Verdict::Granted
        } else if ask.mode == AskMode::Wait {
            replica.queue.insert(ask.key, ask.due);
            Verdict::Queued
        } else {
            Verdict::Full
        };
        actions.push(answer(&ask.replica, ask.key, verdict));
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
    pub fn note_held(
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
            replica.online.retain(|key, heard_ms| {
                key.holder != holder
                    || now_ms < *heard_ms + YOUNG_MS
                    || named.contains(&(id.as_str(), key.number))
            });
        }
        for lease in leases {
            let key = LeaseKey {
                holder,
                number: lease.number,
            };
            if let Some(replica) = self.replicas.get_mut(&lease.replica) {
                replica.lease(key, now_ms, &mut actions);
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
                .retain(|_, heard_ms| now_ms < *heard_ms + LEASE_MS);
            replica.serve_queue(now_ms, &mut actions);
        }
        actions.extend(self.start_items(now_ms));
        actions
    }

    /// An item wants to run.
    pub fn want_slot(&mut self, item: WaitingItem, now_ms: u64) -> Vec<SlotAction> {
        self.waiting.insert(item.run, item);
        self.start_items(now_ms)
    }

    /// An item's run has ended, or it no longer waits.
    pub fn item_ended(&mut self, run: RunNumber, now_ms: u64) -> Vec<SlotAction> {
        self.waiting.remove(&run);
        for replica in self.replicas.values_mut() {
            replica.items.remove(&run);
        }
        self.start_items(now_ms)
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
            self.waiting.remove(&run);
            actions.push(SlotAction::Start { run, replica });
        }
        actions
    }

    /// The replica with most free slots among those that did not fail the item;
    /// where all did, among all.
    fn room_for(&self, run: RunNumber, now_ms: u64) -> Option<String> {
        let item = self.waiting.get(&run)?;
        let of_service = self.replicas.values().filter(|replica| {
            replica.traits.service == item.service && replica.may_begin_items(now_ms)
        });
        let candidates: Vec<&ReplicaSlots> = of_service.collect();
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
    pub fn free_for_items(&self, service: &str, now_ms: u64) -> u32 {
        let replicas = self
            .replicas
            .values()
            .filter(|replica| replica.traits.service == service && replica.may_begin_items(now_ms));
        let free: u32 = replicas.map(ReplicaSlots::free).sum();
        let waiting = self.waiting.values().filter(|w| w.service == service);
        free.saturating_sub(waiting.count() as u32)
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
    pub fn loads_beside(&self, replica: &str) -> Vec<SlotLoad> {
        let service = self.replicas.get(replica).map(|r| r.traits.service.clone());
        service.map_or_else(Vec::new, |service| self.loads(&service))
    }
}
