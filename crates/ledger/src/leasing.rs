//! Handing items out and taking them back.

use std::sync::Arc;

use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    command::{LeasedItemKey, Outcome, WantedItems},
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
    scheduler::Turn,
    sessions::{Lease, LeasedEntry},
    timers::{TimerKey, after},
};

/// What a lease command may still hand out.
struct Allowance {
    items: usize,
    bytes: u64,
}

impl Allowance {
    fn is_used_up(&self) -> bool {
        self.items == 0 || self.bytes == 0
    }
}

impl Ledger {
    pub(crate) fn lease_items(
        &mut self,
        gateway: &GatewayId,
        epoch: SessionEpoch,
        sequence: u64,
        wanted: &[WantedItems],
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
        let room = MAX_ITEMS_PER_SESSION.saturating_sub(session.leased) as usize;
        let mut allowance = Allowance {
            items: room.min(MAX_ITEMS_PER_LEASE),
            bytes: MAX_LEASE_BYTES,
        };
        let mut items = Vec::new();
        for wish in wanted {
            self.take_items(wish, &mut allowance, &mut items);
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

    fn take_items(
        &mut self,
        wish: &WantedItems,
        allowance: &mut Allowance,
        items: &mut Vec<LeasedEntry>,
    ) {
        let mut wanted = wish.count as usize;
        while wanted > 0 && !allowance.is_used_up() {
            let Some(turn) = self.scheduler.next(&wish.model) else {
                break;
            };
            let weight = self.configuration.weight(turn.tenant.as_str());
            let quantum = FAIRNESS_QUANTUM.saturating_mul(u64::from(weight)) as usize;
            let most = wanted.min(quantum).min(allowance.items);
            let taken = self.take_turn(&wish.model, &turn, most, allowance, items);
            if taken == 0 {
                break;
            }
            self.scheduler
                .charge(&wish.model, &turn.tenant, taken as u64, weight);
            self.unqueue_if_empty(&wish.model, turn.job);
            wanted -= taken;
        }
    }

    /// Takes up to `most` items of one job; stops when the lines grow too long together.
    fn take_turn(
        &mut self,
        model: &ModelId,
        turn: &Turn,
        most: usize,
        allowance: &mut Allowance,
        items: &mut Vec<LeasedEntry>,
    ) -> usize {
        let Some(job) = self.state.jobs.get_mut(&turn.job).map(Arc::make_mut) else {
            return 0;
        };
        let Some(file) = self.state.files.get(&job.input) else {
            return 0;
        };
        let Some(queue) = job.pending.iter_mut().find(|queue| queue.model == *model) else {
            return 0;
        };
        let mut bounds = LineBounds::new(&file.index);
        let mut taken = 0;
        while taken < most {
            let Some(item) = queue.items.min().map(ItemNumber) else {
                break;
            };
            let bytes = bounds.next(item);
            if bytes > allowance.bytes && !items.is_empty() {
                allowance.bytes = 0;
                break;
            }
            queue.items.remove(item.0);
            job.touched.insert(item.0);
            items.push(LeasedEntry {
                job: turn.job,
                item,
            });
            allowance.bytes = allowance.bytes.saturating_sub(bytes);
            taken += 1;
        }
        allowance.items -= taken;
        job.leased += taken as u32;
        self.scheduler.remove_pending(model, taken as u64);
        taken
    }

    /// Takes a job without pending items of a model out of the model's queue.
    pub(crate) fn unqueue_if_empty(&mut self, model: &ModelId, number: JobNumber) {
        let Some(job) = self.state.jobs.get(&number) else {
            return;
        };
        let queue = job.pending.iter().find(|queue| queue.model == *model);
        if queue.is_some_and(|queue| queue.items.is_empty()) {
            self.scheduler
                .remove_job(model, &job.tenant, job.deadline, number);
        }
    }

    /// Makes an item pending again, if its job still wants a result of it.
    fn requeue(&mut self, entry: LeasedEntry) {
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

    /// Takes an item that got its result out of the pending ones.
    pub(crate) fn unqueue_item(&mut self, entry: LeasedEntry) {
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
        self.unqueue_if_empty(&model, entry.job);
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
            if session.is_some_and(|session| session.give_back(key.lease, entry)) {
                self.count_returned(number);
                self.requeue(entry);
                self.end_cancelled_job(number)?;
            }
        }
        ready(Outcome::Done)
    }

    /// Counts an item of a job that came back from its lease.
    pub(crate) fn count_returned(&mut self, number: JobNumber) {
        if let Some(job) = self.state.jobs.get_mut(&number).map(Arc::make_mut) {
            job.leased = job.leased.saturating_sub(1);
        }
    }

    /// Ends what an ended session held of one lease.
    pub(crate) fn end_lease(&mut self, epoch: LeaseEpoch, lease: Lease) -> Result<(), Rejection> {
        for entry in lease.items {
            self.count_returned(entry.job);
            let job = self.state.jobs.get(&entry.job);
            let started = job.and_then(|job| job.started.get(&entry.item.0));
            if started == Some(&epoch) && !self.overrides.skip_lease_fencing {
                self.lose_outcome(entry)?;
            } else {
                self.requeue(entry);
            }
            self.end_cancelled_job(entry.job)?;
        }
        Ok(())
    }

    /// Ends an at-most-once item whose executor is gone.
    pub(crate) fn lose_outcome(&mut self, entry: LeasedEntry) -> Result<(), Rejection> {
        let job = self.state.jobs.get(&entry.job);
        let wanted = job.is_some_and(|job| job.takes_results() && job.open.contains(entry.item.0));
        if wanted {
            let outcome = crate::results::failure(entry.item, ErrorKind::OutcomeUnknown);
            self.store_result(entry.job, &outcome)?;
            self.end_finished_job(entry.job)?;
        }
        Ok(())
    }

    /// Moves a session's end; it never comes closer.
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
