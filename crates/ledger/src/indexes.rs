//! Indexes derived from the replicated state and rebuilt after a restore.

use std::collections::BTreeMap;

use linnethitch_protocol::ids::TenantId;

use crate::{
    files::FilePhase,
    job::{Job, JobNumber},
    ledger::Ledger,
    timers::TimerKey,
};

/// Counts by tenant.
#[derive(Clone, Debug, Default)]
pub(crate) struct TenantCounts(BTreeMap<TenantId, usize>);

impl TenantCounts {
    /// The count of a tenant.
    pub(crate) fn get(&self, tenant: &TenantId) -> usize {
        self.0.get(tenant).copied().unwrap_or(0)
    }

    /// Increments the count of a tenant.
    pub(crate) fn add(&mut self, tenant: &TenantId) {
        *self.0.entry(tenant.clone()).or_default() += 1;
    }

    /// Decrements the count of a tenant.
    pub(crate) fn remove(&mut self, tenant: &TenantId) {
        let Some(count) = self.0.get_mut(tenant) else {
            return;
        };
        *count = count.saturating_sub(1);
        if *count == 0 {
            self.0.remove(tenant);
        }
    }
}

impl Ledger {
    /// Adds a job to all indexes and its pending items to the scheduler.
    pub(crate) fn index_job(&mut self, number: JobNumber, job: &Job) {
        self.job_numbers.insert(job.id.clone(), number);
        self.tenant_jobs.insert((job.tenant.clone(), number));
        if let Some(key) = job.idempotency.as_ref().filter(|_| !job.is_dropping()) {
            self.job_keys
                .insert((job.tenant.clone(), key.clone()), number);
        }
        self.timers.add(job.due, TimerKey::Job(number));
        if let Some(applied) = job.stopped_at.filter(|_| !job.is_dropping()) {
            self.stopped.insert((applied, number));
        }
        if !job.has_ended() {
            self.open_jobs += 1;
            self.open_jobs_by_tenant.add(&job.tenant);
        }
        for queue in &job.pending {
            if !queue.items.is_empty() {
                self.scheduler
                    .add_job(&queue.model, &job.tenant, job.deadline, number);
                self.scheduler.add_pending(&queue.model, queue.items.len());
            }
        }
    }

    /// Removes a job that was being dropped, with its index entries. Its idempotency key was
    /// freed when dropping started.
    pub(crate) fn remove_job(&mut self, number: JobNumber) {
        let Some(job) = self.state.jobs.remove(&number) else {
            return;
        };
        self.job_numbers.remove(&job.id);
        self.tenant_jobs.remove(&(job.tenant.clone(), number));
        self.timers.remove(job.due, TimerKey::Job(number));
    }

    /// Builds all indexes of a restored state.
    pub(crate) fn rebuild_indexes(&mut self) {
        let jobs = self.state.jobs.clone();
        for (number, job) in &jobs {
            self.index_job(*number, job);
        }
        let files = self.state.files.clone();
        for (id, file) in &files {
            self.timers.add(file.expires_at, TimerKey::File(id.clone()));
            if file.phase == FilePhase::Unfinished {
                self.unfinished_files_by_tenant.add(&file.tenant);
            }
        }
        self.rebuild_lost_starts();
        for (key, claim) in self.state.claims.iter() {
            self.timers.add(claim.expires_at, TimerKey::Claim(*key));
        }
        for (gateway, session) in &self.sessions.by_gateway {
            self.timers
                .add(session.until, TimerKey::Session(gateway.clone()));
        }
    }
}
