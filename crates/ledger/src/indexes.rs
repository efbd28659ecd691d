//! Lookups derived from the replicated state; rebuilt after a restore.

use std::collections::BTreeMap;

use linnethitch_protocol::ids::TenantId;

use crate::{
    files::FilePhase,
    job::{Job, JobNumber},
    ledger::Ledger,
    timers::TimerKey,
};

/// How many of something each tenant has.
#[derive(Clone, Debug, Default)]
pub(crate) struct TenantCounts(BTreeMap<TenantId, usize>);

impl TenantCounts {
    /// The count of a tenant.
    pub(crate) fn of(&self, tenant: &TenantId) -> usize {
        self.0.get(tenant).copied().unwrap_or(0)
    }

    /// Counts one more.
    pub(crate) fn add(&mut self, tenant: &TenantId) {
        *self.0.entry(tenant.clone()).or_default() += 1;
    }

    /// Counts one less.
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
    /// Enters a job into all lookups and, while it runs, into the scheduler.
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
            self.open_jobs_of.add(&job.tenant);
        }
        for queue in &job.pending {
            if !queue.items.is_empty() {
                self.scheduler
                    .add_job(&queue.model, &job.tenant, job.deadline, number);
                self.scheduler.add_pending(&queue.model, queue.items.len());
            }
        }
    }

    /// Removes a job that was being dropped, and its lookups; its key was freed before.
    pub(crate) fn forget_job(&mut self, number: JobNumber) {
        let Some(job) = self.state.jobs.remove(&number) else {
            return;
        };
        self.job_numbers.remove(&job.id);
        self.tenant_jobs.remove(&(job.tenant.clone(), number));
        self.timers.remove(job.due, TimerKey::Job(number));
    }

    /// Builds all lookups of a restored state.
    pub(crate) fn rebuild_indexes(&mut self) {
        let jobs = self.state.jobs.clone();
        for (number, job) in &jobs {
            self.index_job(*number, job);
        }
        let files = self.state.files.clone();
        for (id, file) in &files {
            self.timers.add(file.expires_at, TimerKey::File(id.clone()));
            if file.phase == FilePhase::Unfinished {
                self.unfinished_files_of.add(&file.tenant);
            }
        }
        for (key, claim) in self.state.claims.iter() {
            self.timers.add(claim.expires_at, TimerKey::Claim(*key));
        }
        for (gateway, session) in &self.sessions.by_gateway {
            self.timers
                .add(session.until, TimerKey::Session(gateway.clone()));
        }
    }
}
