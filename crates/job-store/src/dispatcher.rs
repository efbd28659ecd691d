//! Leases of items: which gateway works on which. Soft state of the leader.

use std::collections::{BTreeMap, BTreeSet};

use crate::{call::ItemWork, command::ItemRef, store::JobStore};

/// A lease ends this long after it was given or renewed, in milliseconds.
pub const LEASE_MS: u64 = 1_800;
/// Gateways say what they work on several times in this time, in milliseconds.
pub const SETTLE_MS: u64 = 600;
/// Pause before an item whose run failed is given out again, in milliseconds.
const RETRY_PAUSE_MS: u64 = 150;

#[derive(Clone, Debug)]
struct Lease {
    gateway: String,
    until_ms: u64,
}

/// Who works on what. Times are of a steady clock, in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct Dispatcher {
    leases: BTreeMap<ItemRef, Lease>,
    /// Items that are not given out before a time.
    paused: BTreeMap<ItemRef, u64>,
    /// No item is given out before this.
    settled_ms: u64,
}

impl Dispatcher {
    /// The dispatcher of a leader that begins now. It gives nothing out until
    /// every gateway has had time to say what it works on.
    #[must_use]
    pub fn begin(now_ms: u64) -> Self {
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
        let mut stop = Vec::new();
        for item in running {
            let held_by_other = self
                .leases
                .get(item)
                .is_some_and(|lease| lease.gateway != gateway && lease.until_ms > now_ms);
            if !store.is_item_open(item) || held_by_other {
                stop.push(item.clone());
                continue;
            }
            let lease = Lease {
                gateway: gateway.to_owned(),
                until_ms: now_ms + LEASE_MS,
            };
            self.leases.insert(item.clone(), lease);
        }
        self.drop_unlisted(gateway, running);
        stop
    }

    /// A gateway no longer works on what it does not name.
    fn drop_unlisted(&mut self, gateway: &str, running: &[ItemRef]) {
        let running: BTreeSet<&ItemRef> = running.iter().collect();
        self.leases
            .retain(|item, lease| lease.gateway != gateway || running.contains(item));
    }

    /// Leases up to `want` items to a gateway: those due first, then those that
    /// cannot be done in time, each job's in order. An item takes `item_ms`.
    pub fn lease(
        &mut self,
        store: &JobStore,
        gateway: &str,
        want: u32,
        item_ms: u64,
        now_ms: u64,
    ) -> Vec<ItemWork> {
        if want == 0 || now_ms < self.settled_ms {
            return Vec::new();
        }
        self.leases.retain(|_, lease| lease.until_ms > now_ms);
        self.paused.retain(|_, until_ms| *until_ms > now_ms);
        let mut jobs: Vec<_> = store.open_jobs().collect();
        // A job that is late whatever is done waits for those that are not.
        jobs.sort_by_key(|job| {
            let due_in_ms = job.due_in_ms();
            let is_late = due_in_ms == 0 || due_in_ms < item_ms;
            (is_late, due_in_ms, job.number)
        });
        let mut begin = Vec::new();
        for job in jobs {
            for (number, item) in job.items.iter().enumerate() {
                if begin.len() >= want as usize {
                    return begin;
                }
                let reference = ItemRef {
                    job: job.spec.id.clone(),
                    item: number as u32,
                };
                if item.listed || self.is_taken(&reference) {
                    continue;
                }
                let lease = Lease {
                    gateway: gateway.to_owned(),
                    until_ms: now_ms + LEASE_MS,
                };
                self.leases.insert(reference.clone(), lease);
                begin.push(ItemWork {
                    made: store.made.of(&reference),
                    item: reference,
                    host: job.spec.host.clone(),
                    spec: item.spec.clone(),
                    failures: item.failures,
                    due_in_ms: job.due_in_ms(),
                });
            }
        }
        begin
    }

    /// A run ended: the item may be leased again after a pause, if it is still open.
    pub fn release(&mut self, item: &ItemRef, now_ms: u64) {
        self.leases.remove(item);
        self.paused.insert(item.clone(), now_ms + RETRY_PAUSE_MS);
    }

    fn is_taken(&self, item: &ItemRef) -> bool {
        self.leases.contains_key(item) || self.paused.contains_key(item)
    }
}
