//! Leases of items: which gateway runs which item. Soft state of the leader.
//!
//! The cost of a call depends on the number of items it returns, not on the size of the
//! jobs: available items, leases per gateway and retry pauses are indexed. The order of
//! jobs is recomputed periodically ([`plan`]).
//!
//! [`plan`]: crate::plan

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    call::ItemWork,
    command::ItemRef,
    excluded_work::ExcludedWork,
    lease_times::LeaseTimes,
    plan::{self, JobDemand, PlanStep},
    store::JobStore,
};

/// Time after which a lease ends unless it is renewed, in milliseconds.
pub const LEASE_MS: u64 = 1_800;
/// Time that a new leader waits before it leases items, in milliseconds. Gateways report
/// their running items several times within this time.
pub const SETTLE_MS: u64 = 600;
/// Pause before an item whose run ended without a result may be leased again, in
/// milliseconds.
const RETRY_PAUSE_MS: u64 = 150;
/// Time for which the order of jobs stays valid unless a job is accepted, in milliseconds.
const PLAN_VALID_MS: u64 = 100;

/// Leases of a gateway, with the values of its last call.
#[derive(Clone, Debug, Default)]
struct GatewayLeases {
    /// Leased items with the start of each lease.
    items: BTreeMap<ItemRef, u64>,
    /// Time of the last contact.
    last_contact_ms: u64,
    /// Number of further items that the gateway can run.
    free_slots: u32,
    /// Items that the gateway must not lease.
    excluded: ExcludedWork,
}

/// The unlisted items of an open job.
#[derive(Clone, Debug)]
struct JobQueue {
    /// Items that may be leased.
    available: BTreeSet<u32>,
    leased: u32,
    /// When every result is due.
    due_ms: u64,
}

/// Assigns items to gateways. Times are of a steady clock, in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct Dispatcher {
    leases: BTreeMap<ItemRef, String>,
    gateways: BTreeMap<String, GatewayLeases>,
    queues: BTreeMap<String, JobQueue>,
    /// Items that must not be leased before a time.
    paused: BTreeSet<(u64, ItemRef)>,
    /// Jobs in the order in which their items are leased.
    plan: Vec<PlanStep>,
    /// When the plan was computed, and the number of jobs accepted until then.
    planned: Option<(u64, u64)>,
    lease_times: LeaseTimes,
    /// No item is leased before this time.
    lease_from_ms: u64,
}

impl Dispatcher {
    /// The dispatcher of a leader elected now. No item is leased until every gateway has had
    /// time to report its running items.
    #[must_use]
    pub fn for_new_leader(now_ms: u64) -> Self {
        Dispatcher {
            lease_from_ms: now_ms + SETTLE_MS,
            ..Dispatcher::default()
        }
    }

    /// Renews the leases of a gateway. Returns the items that the gateway can stop: they are
    /// listed, belong to an ended job or are now leased to another gateway.
    pub fn renew(
        &mut self,
        store: &JobStore,
        gateway: &str,
        running: &[ItemRef],
        now_ms: u64,
    ) -> Vec<ItemRef> {
        self.expire_silent(now_ms);
        self.gateways
            .entry(gateway.to_owned())
            .or_default()
            .last_contact_ms = now_ms;
        let mut stop = Vec::new();
        for item in running {
            let holder = self.leases.get(item);
            let leased_to_other = holder.is_some_and(|holder| holder != gateway);
            if !store.is_item_open(item) || leased_to_other {
                stop.push(item.clone());
            } else if holder.is_none() {
                self.grant(item, gateway, now_ms);
            }
        }
        self.end_unreported(gateway, running, now_ms);
        stop
    }

    /// Ends the leases of items that the gateway no longer reports as running.
    fn end_unreported(&mut self, gateway: &str, running: &[ItemRef], now_ms: u64) {
        let reported: BTreeSet<&ItemRef> = running.iter().collect();
        let leased = self.gateways.get(gateway).into_iter();
        let leased = leased.flat_map(|holder| holder.items.keys());
        let unreported: Vec<ItemRef> = leased
            .filter(|item| !reported.contains(item))
            .cloned()
            .collect();
        for item in unreported {
            self.end_lease(&item, now_ms);
            self.make_available(item);
        }
    }

    /// Sets the items that a gateway must not lease.
    pub fn set_excluded_work(&mut self, gateway: &str, excluded: &ExcludedWork) {
        let holder = self.gateways.entry(gateway.to_owned()).or_default();
        holder.excluded.clone_from(excluded);
    }

    /// Leases up to `requested` items to a gateway, in the order of the plan. `item_ms` is the
    /// run time of an item as measured by the gateway; 0 if unknown.
    pub fn lease(
        &mut self,
        store: &JobStore,
        gateway: &str,
        requested: u32,
        item_ms: u64,
        now_ms: u64,
    ) -> Vec<ItemWork> {
        let holder = self.gateways.entry(gateway.to_owned()).or_default();
        holder.last_contact_ms = now_ms;
        holder.free_slots = requested;
        let excluded = holder.excluded.clone();
        if requested == 0 || now_ms < self.lease_from_ms {
            return Vec::new();
        }
        self.expire_silent(now_ms);
        self.end_retry_pauses(now_ms);
        self.refresh_plan(store, item_ms, now_ms);
        let mut leased = Vec::new();
        while leased.len() < requested as usize {
            let Some((item, due_ms)) = self.next_item(store, &excluded) else {
                break;
            };
            self.grant(&item, gateway, now_ms);
            leased.extend(item_work(store, item, due_ms.saturating_sub(now_ms)));
        }
        leased
    }

    /// The next item in the order of the plan, and its due time.
    fn next_item(&mut self, store: &JobStore, excluded: &ExcludedWork) -> Option<(ItemRef, u64)> {
        for step in &mut self.plan {
            let Some(queue) = self.queues.get_mut(&step.job) else {
                continue;
            };
            while step.items > 0 {
                let Some(number) = next_available(store, &step.job, &queue.available, excluded)
                else {
                    break;
                };
                queue.available.remove(&number);
                let item = ItemRef {
                    job: step.job.clone(),
                    item: number,
                };
                if store.is_item_open(&item) {
                    step.items -= 1;
                    return Some((item, queue.due_ms));
                }
            }
        }
        None
    }

    /// Ends the lease of an item whose run ended. If the item is still open, it may be leased
    /// again after a pause.
    pub fn release(&mut self, item: &ItemRef, now_ms: u64) {
        if self.end_lease(item, now_ms) {
            self.lease_times.add_report();
        }
        self.paused.insert((now_ms + RETRY_PAUSE_MS, item.clone()));
    }

    /// Leases an item to a gateway.
    fn grant(&mut self, item: &ItemRef, gateway: &str, now_ms: u64) {
        self.leases.insert(item.clone(), gateway.to_owned());
        let holder = self.gateways.entry(gateway.to_owned()).or_default();
        holder.items.insert(item.clone(), now_ms);
        if let Some(queue) = self.queues.get_mut(&item.job) {
            queue.available.remove(&item.item);
            queue.leased += 1;
        }
    }

    /// Ends the lease of an item; false if there was none.
    fn end_lease(&mut self, item: &ItemRef, now_ms: u64) -> bool {
        let Some(gateway) = self.leases.remove(item) else {
            return false;
        };
        let holder = self.gateways.get_mut(&gateway);
        if let Some(leased_ms) = holder.and_then(|holder| holder.items.remove(item)) {
            self.lease_times.add_lease(now_ms.saturating_sub(leased_ms));
        }
        if let Some(queue) = self.queues.get_mut(&item.job) {
            queue.leased = queue.leased.saturating_sub(1);
        }
        true
    }

    /// Makes an item available for a new lease.
    fn make_available(&mut self, item: ItemRef) {
        if let Some(queue) = self.queues.get_mut(&item.job) {
            queue.available.insert(item.item);
        }
    }

    /// Ends the leases of gateways without contact for [`LEASE_MS`].
    fn expire_silent(&mut self, now_ms: u64) {
        let holders = self.gateways.iter();
        let silent = holders.filter(|(_, holder)| holder.last_contact_ms + LEASE_MS <= now_ms);
        let silent: Vec<String> = silent.map(|(gateway, _)| gateway.clone()).collect();
        for gateway in silent {
            let Some(holder) = self.gateways.remove(&gateway) else {
                continue;
            };
            for item in holder.items.into_keys() {
                self.end_lease(&item, now_ms);
                self.make_available(item);
            }
        }
    }

    fn end_retry_pauses(&mut self, now_ms: u64) {
        while let Some((until_ms, _)) = self.paused.first()
            && *until_ms <= now_ms
        {
            if let Some((_, item)) = self.paused.pop_first()
                && !self.leases.contains_key(&item)
            {
                self.make_available(item);
            }
        }
    }

    /// Recomputes the order of jobs if it is out of date or a job was accepted since.
    fn refresh_plan(&mut self, store: &JobStore, item_ms: u64, now_ms: u64) {
        let accepted = store.accepted();
        let is_current = self
            .planned
            .is_some_and(|(at_ms, jobs)| jobs == accepted && now_ms < at_ms + PLAN_VALID_MS);
        if is_current {
            return;
        }
        self.planned = Some((now_ms, accepted));
        self.refresh_queues(store, now_ms);
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
        let slot_ms = self.lease_times.slot_ms_per_item().unwrap_or(item_ms);
        self.plan = plan::plan_jobs(demands, running + free, item_ms, slot_ms);
    }

    /// Adds queues of new jobs and drops queues of jobs that are no longer open.
    fn refresh_queues(&mut self, store: &JobStore, now_ms: u64) {
        let queues = &mut self.queues;
        queues.retain(|id, _| store.job(id).is_some_and(|job| job.is_open()));
        let paused: BTreeSet<&ItemRef> = self.paused.iter().map(|(_, item)| item).collect();
        for job in store.open_jobs() {
            if queues.contains_key(&job.spec.id) {
                continue;
            }
            let mut queue = JobQueue {
                available: BTreeSet::new(),
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
                    queue.available.insert(number as u32);
                }
            }
            queues.insert(job.spec.id.clone(), queue);
        }
    }
}

/// The first available item of a job that the gateway may lease.
fn next_available(
    store: &JobStore,
    job: &str,
    available: &BTreeSet<u32>,
    excluded: &ExcludedWork,
) -> Option<u32> {
    let job = store.job(job)?;
    if excluded.excludes_job(job) {
        return None;
    }
    let is_excluded = |number: &u32| {
        let item = job.items.get(*number as usize);
        item.is_some_and(|item| excluded.excludes_item(job, &item.spec))
    };
    available
        .iter()
        .copied()
        .find(|number| !is_excluded(number))
}

fn item_work(store: &JobStore, item: ItemRef, due_in_ms: u64) -> Option<ItemWork> {
    let job = store.job(&item.job)?;
    let stored = job.items.get(item.item as usize)?;
    Some(ItemWork {
        generated: store.progress.get(&item),
        host: job.spec.host.clone(),
        route: job.spec.route.clone(),
        tenant: job.tenant.clone(),
        spec: stored.spec.clone(),
        failures: stored.failures,
        due_in_ms,
        item,
    })
}
