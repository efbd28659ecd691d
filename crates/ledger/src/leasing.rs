//! Leasing items and returning them.

use std::sync::Arc;

use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    command::{LeasedItemKey, Outcome, RequestedItems},
    ids::{GatewayId, ItemNumber, LeaseEpoch, ModelId, SessionEpoch, Timestamp},
};

use crate::{
    answer::Answer,
    job::{JobNumber, JobPhase},
    ledger::Ledger,
    limits::{
        FAIRNESS_QUANTUM, MAX_ITEMS_PER_LEASE, MAX_ITEMS_PER_SESSION, MAX_LEASE_BYTES, MAX_LEASE_MS,
    },
    line_index::LineBounds,
    refusal::{Applied, Rejection, ready, refuse},
    scheduler::NextJob,
    sessions::{Lease, LeasedEntry},
    timers::{TimerKey, after},
};

/// Remaining limits of a lease command.
struct LeaseBudget {
    items: usize,
    bytes: u64,
}

impl LeaseBudget {
    fn is_exhausted(&self) -> bool {
        self.items == 0 || self.bytes == 0
    }
}

impl Ledger {
    pub(crate) fn lease_items(
        &mut self,
        gateway: &GatewayId,
        epoch: SessionEpoch,
        sequence: u64,
        requested: &[RequestedItems],
        until: Timestamp,
    ) -> Applied {
        self.extend_session(gateway, epoch, until)?;
        let Some(session) = self.sessions.running(gateway, epoch) else {
            return refuse(ErrorKind::InvalidState, "the session has ended");
        };
        if let Some(lease) = session.lease_of_sequence(sequence) {
            return Ok(Answer::lease(gateway, lease));
        }
        if sequence <= session.highest_sequence {
            return ready(Outcome::Leased(Vec::new()));
        }
        session.highest_sequence = sequence;
        let capacity = MAX_ITEMS_PER_SESSION.saturating_sub(session.leased) as usize;
        let mut budget = LeaseBudget {
            items: capacity.min(MAX_ITEMS_PER_LEASE),
            bytes: MAX_LEASE_BYTES,
        };
        let mut items = Vec::new();
        for request in requested {
            self.lease_from_model(request, &mut budget, &mut items);
        }
        if items.is_empty() {
            return ready(Outcome::Leased(Vec::new()));
        }
        items.sort_unstable();
        self.state.last_lease = LeaseEpoch(self.state.last_lease.0 + 1);
        let lease = self.state.last_lease;
        if let Some(session) = self.sessions.running(gateway, epoch) {
            session.leased += items.len() as u32;
            session.leases.insert(lease, Lease { sequence, items });
        }
        Ok(Answer::lease(gateway, lease))
    }

    fn lease_from_model(
        &mut self,
        request: &RequestedItems,
        budget: &mut LeaseBudget,
        items: &mut Vec<LeasedEntry>,
    ) {
        let mut remaining = request.count as usize;
        while remaining > 0 && !budget.is_exhausted() {
            let Some(next) = self.scheduler.next(&request.model) else {
                break;
            };
            let weight = self.configuration.weight(next.tenant.as_str());
            let quantum = FAIRNESS_QUANTUM.saturating_mul(u64::from(weight)) as usize;
            let max_items = remaining.min(quantum).min(budget.items);
            let leased = self.lease_from_job(&request.model, &next, max_items, budget, items);
            if leased == 0 {
                break;
            }
            self.scheduler
                .charge(&request.model, &next.tenant, leased as u64, weight);
            self.dequeue_if_empty(&request.model, next.job);
            remaining -= leased;
        }
    }

    /// Leases up to `max_items` items of one job; stops when the total length of the lines
    /// exceeds the budget.
    fn lease_from_job(
        &mut self,
        model: &ModelId,
        next: &NextJob,
        max_items: usize,
        budget: &mut LeaseBudget,
        items: &mut Vec<LeasedEntry>,
    ) -> usize {
        let Some(job) = self.state.jobs.get_mut(&next.job).map(Arc::make_mut) else {
            return 0;
        };
        let Some(file) = self.state.files.get(&job.input) else {
            return 0;
        };
        let Some(queue) = job.pending.iter_mut().find(|queue| queue.model == *model) else {
            return 0;
        };
        let mut bounds = LineBounds::new(&file.index);
        let mut leased = 0;
        while leased < max_items {
            let Some(item) = queue.items.min().map(ItemNumber) else {
                break;
            };
            let bytes = bounds.next(item);
            if bytes > budget.bytes && !items.is_empty() {
                budget.bytes = 0;
                break;
            }
            queue.items.remove(item.0);
            job.touched.insert(item.0);
            items.push(LeasedEntry {
                job: next.job,
                item,
            });
            budget.bytes = budget.bytes.saturating_sub(bytes);
            leased += 1;
        }
        budget.items -= leased;
        job.leased += leased as u32;
        self.scheduler.remove_pending(model, leased as u64);
        leased
    }

    /// Removes a job without pending items of a model from the model's queue.
    pub(crate) fn dequeue_if_empty(&mut self, model: &ModelId, number: JobNumber) {
        let Some(job) = self.state.jobs.get(&number) else {
            return;
        };
        let queue = job.pending.iter().find(|queue| queue.model == *model);
        if queue.is_some_and(|queue| queue.items.is_empty()) {
            self.scheduler
                .remove_job(model, &job.tenant, job.deadline, number);
        }
    }

    /// Makes an item pending again if its job still needs a result.
    pub(crate) fn requeue(&mut self, entry: LeasedEntry) {
        let Some(job) = self.state.jobs.get_mut(&entry.job).map(Arc::make_mut) else {
            return;
        };
        if job.phase != JobPhase::Running || !job.open.contains(entry.item.0) {
            return;
        }
        let Some(file) = self.state.files.get(&job.input) else {
            return;
        };
        let mut models = file.index.models.iter();
        let Some(lines) = models.find(|lines| lines.items.contains(entry.item.0)) else {
            return;
        };
        let queue = job
            .pending
            .iter_mut()
            .find(|queue| queue.model == lines.model);
        let Some(queue) = queue else {
            return;
        };
        if queue.items.insert(entry.item.0) {
            self.scheduler
                .add_job(&queue.model, &job.tenant, job.deadline, entry.job);
            self.scheduler.add_pending(&queue.model, 1);
        }
    }

    /// Removes an item that has its result from the pending items.
    pub(crate) fn dequeue_item(&mut self, entry: LeasedEntry) {
        let Some(job) = self.state.jobs.get_mut(&entry.job).map(Arc::make_mut) else {
            return;
        };
        let mut queues = job.pending.iter_mut();
        let Some(queue) = queues.find(|queue| queue.items.contains(entry.item.0)) else {
            return;
        };
        queue.items.remove(entry.item.0);
        let model = queue.model.clone();
        self.scheduler.remove_pending(&model, 1);
        self.dequeue_if_empty(&model, entry.job);
    }

    pub(crate) fn release_items(
        &mut self,
        gateway: &GatewayId,
        epoch: SessionEpoch,
        keys: &[LeasedItemKey],
    ) -> Applied {
        if self.sessions.running(gateway, epoch).is_none() {
            return refuse(ErrorKind::InvalidState, "the session has ended");
        }
        for key in keys {
            let Some(&number) = self.job_numbers.get(&key.job) else {
                continue;
            };
            let entry = LeasedEntry {
                job: number,
                item: key.item,
            };
            let started = self
                .state
                .jobs
                .get(&number)
                .and_then(|job| job.started.get(&key.item.0));
            if started.is_some() {
                continue;
            }
            let session = self.sessions.running(gateway, epoch);
            if session.is_some_and(|session| session.return_item(key.lease, entry)) {
                self.decrement_leased(number);
                self.requeue(entry);
                self.end_cancelled_job(number)?;
            }
        }
        ready(Outcome::Done)
    }

    /// Decrements a job's number of leased items.
    pub(crate) fn decrement_leased(&mut self, number: JobNumber) {
        if let Some(job) = self.state.jobs.get_mut(&number).map(Arc::make_mut) {
            job.leased = job.leased.saturating_sub(1);
        }
    }

    /// Ends a lease of an ended session: the starts of at-most-once items are lost, other items
    /// become pending again.
    pub(crate) fn end_lease(&mut self, epoch: LeaseEpoch, lease: Lease) -> Result<(), Rejection> {
        for entry in lease.items {
            self.decrement_leased(entry.job);
            let job = self.state.jobs.get(&entry.job);
            let start = job.and_then(|job| job.started.get(&entry.item.0));
            let started = start.is_some_and(|start| start.lease == epoch);
            if started && !self.overrides.skip_lease_fencing {
                self.lose_start(entry, epoch)?;
            } else {
                self.requeue(entry);
            }
            self.end_cancelled_job(entry.job)?;
        }
        Ok(())
    }

    /// Ends an at-most-once item whose executor has failed with the result "unknown outcome".
    pub(crate) fn store_unknown_outcome(&mut self, entry: LeasedEntry) -> Result<(), Rejection> {
        let job = self.state.jobs.get(&entry.job);
        let is_open =
            job.is_some_and(|job| job.accepts_results() && job.open.contains(entry.item.0));
        if is_open {
            let outcome = crate::results::failure(entry.item, ErrorKind::OutcomeUnknown);
            self.store_result(entry.job, &outcome)?;
            self.end_finished_job(entry.job)?;
        }
        Ok(())
    }

    /// Extends a session. Its end never moves to an earlier time.
    pub(crate) fn extend_session(
        &mut self,
        gateway: &GatewayId,
        epoch: SessionEpoch,
        until: Timestamp,
    ) -> Result<(), Rejection> {
        let latest = after(self.state.now, MAX_LEASE_MS);
        let Some(session) = self.sessions.running(gateway, epoch) else {
            return refuse(ErrorKind::InvalidState, "the session has ended");
        };
        let until = session.until.max(until.min(latest));
        self.timers.reset(
            &mut session.until,
            until,
            TimerKey::Session(gateway.clone()),
        );
        Ok(())
    }
}
