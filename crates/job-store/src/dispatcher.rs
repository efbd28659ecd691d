//! Leases of items: which gateway works on which. Soft state of the leader.
//!
//! A call costs what it returns: items that may be leased, leases of a gateway and
//! pauses are indexed. The order of jobs is found anew from time to time ([`plan`]).
//!
//! [`plan`]: crate::plan

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    call::ItemWork,
    command::ItemRef,
    excluded_work::ExcludedWork,
    lease_times::LeaseTimes,
    plan::{self, JobDemand, Turn},
    store::JobStore,
};

/// A lease ends this long after it was given or renewed, in milliseconds.
pub const LEASE_MS: u64 = 1_800;
/// Gateways say what they work on several times in this time, in milliseconds.
pub const SETTLE_MS: u64 = 600;
/// Pause before an item whose run failed is given out again, in milliseconds.
const RETRY_PAUSE_MS: u64 = 150;
/// The order of jobs counts for so long where no job was accepted, in milliseconds.
const PLAN_VALID_MS: u64 = 100;

/// What a gateway holds.
#[derive(Clone, Debug, Default)]
struct Holder {
    items: BTreeMap<ItemRef, u64>,
    /// When it was heard of last.
    heard_ms: u64,
    /// Items that it could take besides, as it said last.
    free_slots: u32,
    /// Items that it must not be given, as it said last.
    outside: ExcludedWork,
}

/// The items of an open job that are not listed.
#[derive(Clone, Debug)]
struct JobQueue {
    /// Those that may be leased.
    free: BTreeSet<u32>,
    leased: u32,
    /// When every result is due.
    due_ms: u64,
}

/// Who works on what. Times are of a steady clock, in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct Dispatcher {
    leases: BTreeMap<ItemRef, String>,
    gateways: BTreeMap<String, Holder>,
    queues: BTreeMap<String, JobQueue>,
    /// Items that are not given out before a time.
    paused: BTreeSet<(u64, ItemRef)>,
    /// Jobs in the order in which their items are given out.
    turns: Vec<Turn>,
    /// When the order was found, and how many jobs had been accepted by then.
    planned: Option<(u64, u64)>,
    times: LeaseTimes,
    /// No item is given out before this.
    settled_ms: u64,
}

impl Dispatcher {
    /// The dispatcher of a leader that begins now. It gives nothing out until
    /// every gateway has had time to say what it works on.
    #[must_use]
    pub fn for_new_leader(now_ms: u64) -> Self {
        Dispatcher {
            settled_ms: now_ms + SETTLE_MS,
            ..Dispatcher::default()
        }
    }

    /// Renews the leases of a gateway. Returns the items that it need not
    /// finish: listed, of an ended job, or leased to another by now.
    pub fn renew(
        &mut self,
        store: &JobStore,
        gateway: &str,
        running: &[ItemRef],
        now_ms: u64,
    ) -> Vec<ItemRef> {
        self.end_silent(now_ms);
        self.gateways
            .entry(gateway.to_owned())
            .or_default()
            .heard_ms = now_ms;
        let mut stop = Vec::new();
        for item in running {
            let holder = self.leases.get(item);
            let held_by_other = holder.is_some_and(|holder| holder != gateway);
            if !store.is_item_open(item) || held_by_other {
                stop.push(item.clone());
            } else if holder.is_none() {
                self.give(item, gateway, now_ms);
            }
        }
        self.end_unnamed(gateway, running, now_ms);
        stop
    }

    /// A gateway no longer works on what it does not name.
    fn end_unnamed(&mut self, gateway: &str, running: &[ItemRef], now_ms: u64) {
        let named: BTreeSet<&ItemRef> = running.iter().collect();
        let held = self.gateways.get(gateway).into_iter();
        let held = held.flat_map(|holder| holder.items.keys());
        let unnamed: Vec<ItemRef> = held.filter(|item| !named.contains(item)).cloned().collect();
        for item in unnamed {
            self.take_back(&item, now_ms);
            self.free(item);
        }
    }

    /// A gateway must not be given these items.
    pub fn set_excluded_work(&mut self, gateway: &str, outside: &ExcludedWork) {
        let holder = self.gateways.entry(gateway.to_owned()).or_default();
        holder.outside.clone_from(outside);
    }

    /// Leases up to `want` items to a gateway, in the order of the plan. An item
    /// takes `item_ms`, as the gateway learned; 0 where it does not know.
    pub fn lease(
        &mut self,
        store: &JobStore,
        gateway: &str,
        want: u32,
        item_ms: u64,
        now_ms: u64,
    ) -> Vec<ItemWork> {
        let holder = self.gateways.entry(gateway.to_owned()).or_default();
        holder.heard_ms = now_ms;
        holder.free_slots = want;
        let outside = holder.outside.clone();
        if want == 0 || now_ms < self.settled_ms {
            return Vec::new();
        }
        self.end_silent(now_ms);
        self.end_pauses(now_ms);
        self.keep_plan(store, item_ms, now_ms);
        let mut begin = Vec::new();
        while begin.len() < want as usize {
            let Some((item, due_ms)) = self.next_item(store, &outside) else {
                break;
            };
            self.give(&item, gateway, now_ms);
            begin.extend(work(store, item, due_ms.saturating_sub(now_ms)));
        }
        begin
    }

    /// The next item by the order of the plan, and when it is due.
    fn next_item(&mut self, store: &JobStore, outside: &ExcludedWork) -> Option<(ItemRef, u64)> {
        for turn in &mut self.turns {
            let Some(queue) = self.queues.get_mut(&turn.job) else {
                continue;
            };
            while turn.items > 0 {
                let Some(number) = next_free(store, &turn.job, &queue.free, outside) else {
                    break;
                };
                queue.free.remove(&number);
                let item = ItemRef {
                    job: turn.job.clone(),
                    item: number,
                };
                if store.is_item_open(&item) {
                    turn.items -= 1;
                    return Some((item, queue.due_ms));
                }
            }
        }
        None
    }

    /// A run ended: the item may be leased again after a pause, if it is still open.
    pub fn release(&mut self, item: &ItemRef, now_ms: u64) {
        if self.take_back(item, now_ms) {
            self.times.note_report();
        }
        self.paused.insert((now_ms + RETRY_PAUSE_MS, item.clone()));
    }

    /// A gateway has the lease of an item from now on.
    fn give(&mut self, item: &ItemRef, gateway: &str, now_ms: u64) {
        self.leases.insert(item.clone(), gateway.to_owned());
        let holder = self.gateways.entry(gateway.to_owned()).or_default();
        holder.items.insert(item.clone(), now_ms);
        if let Some(queue) = self.queues.get_mut(&item.job) {
            queue.free.remove(&item.item);
            queue.leased += 1;
        }
    }

    /// The lease of an item ends; false where there was none.
    fn take_back(&mut self, item: &ItemRef, now_ms: u64) -> bool {
        let Some(gateway) = self.leases.remove(item) else {
            return false;
        };
        let holder = self.gateways.get_mut(&gateway);
        if let Some(since_ms) = holder.and_then(|holder| holder.items.remove(item)) {
            self.times.note_lease(now_ms.saturating_sub(since_ms));
        }
        if let Some(queue) = self.queues.get_mut(&item.job) {
            queue.leased = queue.leased.saturating_sub(1);
        }
        true
    }

    /// An item may be leased again.
    fn free(&mut self, item: ItemRef) {
        if let Some(queue) = self.queues.get_mut(&item.job) {
            queue.free.insert(item.item);
        }
    }

    /// Ends the leases of gateways that are silent.
    fn end_silent(&mut self, now_ms: u64) {
        let holders = self.gateways.iter();
        let silent = holders.filter(|(_, holder)| holder.heard_ms + LEASE_MS <= now_ms);
        let silent: Vec<String> = silent.map(|(gateway, _)| gateway.clone()).collect();
        for gateway in silent {
            let Some(holder) = self.gateways.remove(&gateway) else {
                continue;
            };
            for item in holder.items.into_keys() {
                self.take_back(&item, now_ms);
                self.free(item);
            }
        }
    }

    fn end_pauses(&mut self, now_ms: u64) {
        while let Some((until_ms, _)) = self.paused.first()
            && *until_ms <= now_ms
        {
            if let Some((_, item)) = self.paused.pop_first()
                && !self.leases.contains_key(&item)
            {
                self.free(item);
            }
        }
    }

    /// Finds the order of jobs anew where it is old or a job was accepted since.
    fn keep_plan(&mut self, store: &JobStore, item_ms: u64, now_ms: u64) {
        let accepted = store.accepted();
        let holds = self
            .planned
            .is_some_and(|(at_ms, of_jobs)| of_jobs == accepted && now_ms < at_ms + PLAN_VALID_MS);
        if holds {
            return;
        }
        self.planned = Some((now_ms, accepted));
        self.keep_queues(store, now_ms);
        let demands: Vec<JobDemand> = store
            .open_jobs()
            .filter_map(|job| {
                let queue = self.queues.get(&job.spec.id)?;
                Some(JobDemand {
                    job: job.spec.id.clone(),
                    number: job.number,
                    due_in_ms: queue.due_ms.saturating_sub(now_ms),
                    items: job.items.len() as u32,
                    done: job.results.len() as u32,
                    leased: queue.leased,
                })
            })
            .collect();
        let running = self.leases.len() as u32;
        let free: u32 = self.gateways.values().map(|holder| holder.free_slots).sum();
        let slot_ms = self.times.slot_ms_per_item().unwrap_or(item_ms);
        self.turns = plan::turns(demands, running + free, item_ms, slot_ms);
    }

    /// Begins queues of new jobs and drops those of jobs that are not open.
    fn keep_queues(&mut self, store: &JobStore, now_ms: u64) {
        let queues = &mut self.queues;
        queues.retain(|id, _| store.job(id).is_some_and(|job| job.is_open()));
        let paused: BTreeSet<&ItemRef> = self.paused.iter().map(|(_, item)| item).collect();
        for job in store.open_jobs() {
            if queues.contains_key(&job.spec.id) {
                continue;
            }
            let mut queue = JobQueue {
                free: BTreeSet::new(),
                leased: 0,
                due_ms: now_ms + job.due_in_ms(),
            };
            for (number, item) in job.items.iter().enumerate() {
                let reference = ItemRef {
                    job: job.spec.id.clone(),
                    item: number as u32,
                };
                if self.leases.contains_key(&reference) {
                    queue.leased += 1;
                } else if !item.listed && !paused.contains(&reference) {
                    queue.free.insert(number as u32);
                }
            }
            queues.insert(job.spec.id.clone(), queue);
        }
    }
}

/// The first free item of a job that may be given out.
fn next_free(
    store: &JobStore,
    job: &str,
    free: &BTreeSet<u32>,
    outside: &ExcludedWork,
) -> Option<u32> {
    let held = store.job(job);
    let is_outside = |number: &u32| {
        let Some(job) = held else {
            return false;
        };
        let item = job.items.get(*number as usize);
        let tenant = job.tenant.as_deref();
        item.is_some_and(|item| outside.holds(&job.spec.host, tenant, &item.spec.path))
    };
    free.iter().copied().find(|number| !is_outside(number))
}

fn work(store: &JobStore, item: ItemRef, due_in_ms: u64) -> Option<ItemWork> {
    let job = store.job(&item.job)?;
    let held = job.items.get(item.item as usize)?;
    Some(ItemWork {
        made: store.made.of(&item),
        host: job.spec.host.clone(),
        tenant: job.tenant.clone(),
        spec: held.spec.clone(),
        failures: held.failures,
        due_in_ms,
        item,
    })
}
