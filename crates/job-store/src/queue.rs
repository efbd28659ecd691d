//! Admission of jobs: whether a job fits into the queue of its route.

use std::collections::BTreeMap;

use crate::{call::QueueBound, job::JobSpec, store::JobStore};

/// Time for which an admitted job counts before it is in the store, in milliseconds. Its
/// command is being committed.
const PENDING_SUBMIT_MS: u64 = 2_000;

struct AdmittedJob {
    job: JobSpec,
    tenant: Option<String>,
    admitted_ms: u64,
}

/// Admits jobs while they fit into the queue of their route. Soft state of the leader.
#[derive(Default)]
pub struct QueueGate {
    pending: BTreeMap<String, AdmittedJob>,
}

impl QueueGate {
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
        let Some(bound) = bound else {
            return true;
        };
        let is_known = store.job(&job.id).is_some() || self.pending.contains_key(&job.id);
        let waiting = store.waiting_tokens(bound) + self.pending_tokens(bound);
        if !is_known && waiting + tokens_of(job) > bound.tokens {
            return false;
        }
        if !is_known {
            // The bodies are not needed to count tokens.
            let mut counted = job.clone();
            for item in &mut counted.items {
                item.body = Vec::new();
            }
            let admitted = AdmittedJob {
                job: counted,
                tenant: bound.tenant.clone(),
                admitted_ms: now_ms,
            };
            self.pending.insert(job.id.clone(), admitted);
        }
        true
    }

    fn pending_tokens(&self, bound: &QueueBound) -> u64 {
        let jobs = self.pending.values();
        jobs.filter(|admitted| bound.concerns(&admitted.job, admitted.tenant.as_deref()))
            .map(|admitted| tokens_of(&admitted.job))
            .sum()
    }
}

fn tokens_of(job: &JobSpec) -> u64 {
    job.items.iter().map(|item| item.tokens).sum()
}
