//! Admission of jobs: whether a job fits into the queue of its route.

use std::collections::BTreeMap;

use crate::{call::QueueBound, job::JobSpec, store::JobStore};

/// Time for which an admitted job counts before it is in the store, in milliseconds. Its
/// command is being committed.
const PENDING_SUBMIT_MS: u64 = 2_000;

struct AdmittedJob {
    /// Memory of the items, in bytes.
    bytes: u64,
    /// What it adds to the queue of its route; `None` if that has no bound.
    queued: Option<QueuedJob>,
    admitted_ms: u64,
}

struct QueuedJob {
    host: String,
    path: String,
    tenant: Option<String>,
    tokens: u64,
}

/// Admits jobs while they fit into the queue of their route and into memory. Soft state of the
/// leader.
pub struct QueueGate {
    /// Maximum memory of the items of all jobs, in bytes.
    max_bytes: u64,
    pending: BTreeMap<String, AdmittedJob>,
}

impl Default for QueueGate {
    /// Bounded by the queues of the routes only.
    fn default() -> Self {
        QueueGate::new(u64::MAX)
    }
}

impl QueueGate {
    /// Admits jobs whose items take this many bytes of memory together.
    #[must_use]
    pub fn new(max_bytes: u64) -> Self {
        QueueGate {
            max_bytes,
            pending: BTreeMap::new(),
        }
    }

    /// Whether a job may be accepted. A job that was accepted before is always admitted.
    pub fn admits(
        &mut self,
        store: &JobStore,
        job: &JobSpec,
        bound: Option<&QueueBound>,
        now_ms: u64,
    ) -> bool {
        self.pending.retain(|id, admitted| {
            store.job(id).is_none() && now_ms < admitted.admitted_ms + PENDING_SUBMIT_MS
        });
        if store.job(&job.id).is_some() || self.pending.contains_key(&job.id) {
            return true;
        }
        let bytes = job.memory_bytes();
        let fits_queue = bound.is_none_or(|bound| {
            let waiting = store.waiting_tokens(bound) + self.pending_tokens(bound);
            waiting + tokens_of(job) <= bound.tokens
        });
        if !fits_queue || !self.has_memory(store, bytes) {
            return false;
        }
        let queued = bound.map(|bound| QueuedJob {
            host: job.host.clone(),
            path: job.path.clone(),
            tenant: bound.tenant.clone(),
            tokens: tokens_of(job),
        });
        let admitted = AdmittedJob {
            bytes,
            queued,
            admitted_ms: now_ms,
        };
        self.pending.insert(job.id.clone(), admitted);
        true
    }

    /// Whether a job's items fit into memory. They may take no more than what remains free beside
    /// them, so that large jobs leave room for smaller ones; a job that is alone may take all.
    fn has_memory(&self, store: &JobStore, bytes: u64) -> bool {
        let pending: u64 = self.pending.values().map(|admitted| admitted.bytes).sum();
        let others = store.item_bytes() + pending;
        let Some(free) = self.max_bytes.checked_sub(others.saturating_add(bytes)) else {
            return false;
        };
        others == 0 || bytes <= free
    }

    fn pending_tokens(&self, bound: &QueueBound) -> u64 {
        let jobs = self.pending.values();
        jobs.filter_map(|admitted| admitted.queued.as_ref())
            .filter(|job| bound.concerns(&job.host, &job.path, job.tenant.as_deref()))
            .map(|job| job.tokens)
            .sum()
    }
}

fn tokens_of(job: &JobSpec) -> u64 {
    job.items.iter().map(|item| item.tokens).sum()
}
