//! Accepting, cancelling and ending jobs.

use std::{collections::BTreeMap, sync::Arc};

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    command::{NewJob, Outcome},
    ids::{JobId, TenantId, Timestamp},
    query::ItemOutcome,
};
use roaring::RoaringBitmap;

use crate::{
    answer::Answer,
    configuration::ModelUse,
    files::{FilePhase, InputFile},
    job::{Job, JobNumber, JobPhase, PendingQueue},
    ledger::Ledger,
    limits::{
        MAX_METADATA_BYTES, MAX_NAME_BYTES, MAX_OPEN_JOBS, MAX_OPEN_JOBS_PER_TENANT,
        MAX_RESULT_BLOCK_BYTES, MAX_WINDOW_MS, MIN_RESULT_BLOCK_BYTES, RESULT_BUFFER_BYTES,
    },
    line_index::position_in_chunk,
    refusal::{Applied, Rejection, ready, refuse},
    results::{ResultStream, is_failure, render},
    sessions::LeasedEntry,
    timers::{TimerKey, after},
};

impl Ledger {
    pub(crate) fn create_job(&mut self, new: &NewJob) -> Applied {
        if let Some(answer) = self.resubmitted_job(new)? {
            return Ok(answer);
        }
        self.check_new_job(new)?;
        let file = self.finished_input(&new.tenant, new)?;
        self.check_lines(file, &new.endpoint)?;
        let now = self.state.now;
        let window = new.window_ms.clamp(1, MAX_WINDOW_MS);
        let job = build_job(new, file, now, after(now, window));
        let number = JobNumber(self.state.next_job);
        self.state.next_job += 1;
        if let Some(file) = self.state.files.get_mut(&new.input).map(Arc::make_mut) {
            file.open_jobs += 1;
        }
        let record = job.record();
        self.index_job(number, &job);
        self.state.jobs.insert(number, Arc::new(job));
        ready(Outcome::Job(record))
    }

    /// The answer for a job that was accepted before.
    fn resubmitted_job(&self, new: &NewJob) -> Result<Option<Answer>, Rejection> {
        if let Some(key) = &new.idempotency {
            let job_key = (new.tenant.clone(), key.clone());
            if let Some(job) = self
                .job_keys
                .get(&job_key)
                .and_then(|n| self.state.jobs.get(n))
            {
                if job.content_digest == new.content_digest {
                    return Ok(Some(Answer::ready(Outcome::Job(job.record()))));
                }
                return refuse(
                    ErrorKind::IdempotencyConflict,
                    "the idempotency key was used for a job with different content",
                );
            }
        }
        let Some(job) = self
            .job_numbers
            .get(&new.job)
            .and_then(|n| self.state.jobs.get(n))
        else {
            return Ok(None);
        };
        let same = job.tenant == new.tenant
            && job.input == new.input
            && job.content_digest == new.content_digest
            && !job.is_dropping();
        if same {
            return Ok(Some(Answer::ready(Outcome::Job(job.record()))));
        }
        refuse(ErrorKind::InvalidState, "the job id is already in use")
    }

    fn check_new_job(&self, new: &NewJob) -> Result<(), Rejection> {
        let key = new.idempotency.as_ref().map_or("", |key| key.as_str());
        let names = [new.job.as_str(), new.tenant.as_str(), &new.endpoint, key];
        if new.job.as_str().is_empty() || names.iter().any(|name| name.len() > MAX_NAME_BYTES) {
            return refuse(ErrorKind::InvalidValue, "a name is empty or too long");
        }
        if new.metadata.len() > MAX_METADATA_BYTES {
            return refuse(ErrorKind::InvalidValue, "the metadata is too long");
        }
        if self.open_jobs >= MAX_OPEN_JOBS {
            return refuse(ErrorKind::Overloaded, "too many jobs are open");
        }
        if self.open_jobs_by_tenant.get(&new.tenant) >= MAX_OPEN_JOBS_PER_TENANT {
            return refuse(
                ErrorKind::TooManyInFlight,
                "too many jobs of the tenant are open",
            );
        }
        Ok(())
    }

    fn finished_input(&self, tenant: &TenantId, new: &NewJob) -> Result<&InputFile, Rejection> {
        let file = self.state.files.get(&new.input);
        let file = file.filter(|file| file.tenant == *tenant && file.phase != FilePhase::Dropping);
        let Some(file) = file else {
            return refuse(ErrorKind::NotFound, "no such input file");
        };
        if file.phase == FilePhase::Unfinished {
            return refuse(ErrorKind::InvalidState, "the input file is not finished");
        }
        if file.index.lines == 0 {
            return refuse(ErrorKind::InvalidValue, "the input file has no items");
        }
        Ok(file)
    }

    /// Checks all lines by the distinct endpoints and models in the file's index.
    fn check_lines(&self, file: &InputFile, endpoint: &str) -> Result<(), Rejection> {
        let mismatch = file
            .index
            .endpoints
            .iter()
            .find(|usage| usage.endpoint != endpoint);
        if let Some(usage) = mismatch {
            let line = usage.first + 1;
            let message = format!(
                "line {line}: url {} differs from the job's endpoint {endpoint}",
                usage.endpoint
            );
            return refuse(ErrorKind::InvalidBatchLine, message);
        }
        for lines in &file.index.models {
            let line = lines.items.min().unwrap_or(0) + 1;
            let model = &lines.model;
            match self.configuration.batch_use(model.as_str()) {
                ModelUse::Batch => {}
                ModelUse::Unknown => {
                    let message = format!("line {line}: unknown model {model}");
                    return refuse(ErrorKind::UnknownModel, message);
                }
                ModelUse::OnlineOnly => {
                    let message =
                        format!("line {line}: the model {model} does not accept batch items");
                    return refuse(ErrorKind::InvalidBatchLine, message);
                }
            }
        }
        Ok(())
    }

    pub(crate) fn cancel_job(&mut self, tenant: &TenantId, id: &JobId) -> Applied {
        let Some((number, job)) = self.visible_job(tenant, id) else {
            return refuse(ErrorKind::NotFound, "no such job");
        };
        match job.phase {
            JobPhase::Running | JobPhase::GivingUp => {}
            JobPhase::Cancelling(_) | JobPhase::Cancelled => {
                return ready(Outcome::Job(job.record()));
            }
            JobPhase::Completed | JobPhase::Expired | JobPhase::Dropping => {
                return refuse(ErrorKind::InvalidState, "the job has ended");
            }
        }
        let until = self.sessions.last_lease_end(number);
        let applied = self.state.applied;
        self.dequeue_job(number);
        self.stopped.insert((applied, number));
        if let Some(job) = self.state.jobs.get_mut(&number).map(Arc::make_mut) {
            job.phase = JobPhase::Cancelling(until);
            job.stopped_at = Some(applied);
            self.timers
                .reset(&mut job.due, until, TimerKey::Job(number));
        }
        self.end_cancelled_job(number)?;
        match self.state.jobs.get(&number) {
            Some(job) => ready(Outcome::Job(job.record())),
            None => refuse(ErrorKind::Internal, "the cancelled job is missing"),
        }
    }

    /// Ends a cancelled job once none of its items is under lease.
    pub(crate) fn end_cancelled_job(&mut self, number: JobNumber) -> Result<(), Rejection> {
        let Some(job) = self.state.jobs.get(&number) else {
            return Ok(());
        };
        if matches!(job.phase, JobPhase::Cancelling(_)) && job.leased == 0 {
            self.end_job(number, JobPhase::Cancelled)?;
        }
        Ok(())
    }

    /// Ends a job once every item has a result.
    pub(crate) fn end_finished_job(&mut self, number: JobNumber) -> Result<(), Rejection> {
        let Some(job) = self.state.jobs.get(&number) else {
            return Ok(());
        };
        match job.phase {
            JobPhase::Running if job.open.is_empty() => self.end_job(number, JobPhase::Completed),
            JobPhase::GivingUp if job.open.is_empty() => self.end_job(number, JobPhase::Expired),
            _ => Ok(()),
        }
    }

    /// Moves a job to its final phase and frees the memory of its items.
    pub(crate) fn end_job(&mut self, number: JobNumber, phase: JobPhase) -> Result<(), Rejection> {
        self.dequeue_job(number);
        self.forget_lost_starts(number);
        let now = self.state.now;
        let due = after(now, self.configuration.retention_ms());
        let Some(job) = self.state.jobs.get_mut(&number).map(Arc::make_mut) else {
            return Ok(());
        };
        job.output.flush(self.payloads.as_mut())?;
        job.errors.flush(self.payloads.as_mut())?;
        job.phase = phase;
        job.finished_at = Some(now);
        job.leased = 0;
        job.open = RoaringBitmap::new();
        job.touched = RoaringBitmap::new();
        job.started = BTreeMap::new();
        self.timers.reset(&mut job.due, due, TimerKey::Job(number));
        let input = job.input.clone();
        self.open_jobs = self.open_jobs.saturating_sub(1);
        self.open_jobs_by_tenant.remove(&job.tenant);
        self.end_file_use(&input);
        Ok(())
    }

    /// Removes a job's pending items from the scheduler.
    pub(crate) fn dequeue_job(&mut self, number: JobNumber) {
        let Some(job) = self.state.jobs.get_mut(&number).map(Arc::make_mut) else {
            return;
        };
        for queue in std::mem::take(&mut job.pending) {
            self.scheduler
                .remove_pending(&queue.model, queue.items.len());
            self.scheduler
                .remove_job(&queue.model, &job.tenant, job.deadline, number);
        }
    }

    /// Stores the result of an open item.
    pub(crate) fn store_result(
        &mut self,
        number: JobNumber,
        outcome: &ItemOutcome,
    ) -> Result<(), Rejection> {
        let block_bytes = self.result_block_bytes();
        let Some(job) = self.state.jobs.get_mut(&number).map(Arc::make_mut) else {
            return Ok(());
        };
        let Some(file) = self.state.files.get(&job.input) else {
            let message = format!("the input file of job {} is missing", job.id);
            return Err(Report::new(ErrorKind::Internal).attach(message).into());
        };
        let chunk = self
            .chunks
            .chunk(self.payloads.as_ref(), &file.index, outcome.item)?;
        let custom_id = chunk
            .custom_id(position_in_chunk(outcome.item))
            .unwrap_or("");
        let line = render(&job.id, custom_id, outcome);
        let failed = is_failure(outcome);
        let stream: &mut ResultStream = if failed {
            &mut job.errors
        } else {
            &mut job.output
        };
        stream.push(self.payloads.as_mut(), &line, block_bytes)?;
        job.completed += u32::from(!failed);
        job.failed += u32::from(failed);
        job.open.remove(outcome.item.0);
        job.started.remove(&outcome.item.0);
        self.lost_starts.remove(&LeasedEntry {
            job: number,
            item: outcome.item,
        });
        Ok(())
    }

    /// Number of buffered bytes at which a job's results are written to the payload store. The
    /// more jobs are open, the smaller.
    fn result_block_bytes(&self) -> usize {
        let share = RESULT_BUFFER_BYTES / self.open_jobs.max(1);
        share.clamp(MIN_RESULT_BLOCK_BYTES, MAX_RESULT_BLOCK_BYTES)
    }

    /// A tenant's job, unless the job is being dropped.
    pub(crate) fn visible_job(&self, tenant: &TenantId, id: &JobId) -> Option<(JobNumber, &Job)> {
        let number = *self.job_numbers.get(id)?;
        let job = self.state.jobs.get(&number)?;
        let is_visible = job.tenant == *tenant && !job.is_dropping();
        is_visible.then_some((number, job))
    }
}

/// A new job with all items pending.
fn build_job(new: &NewJob, file: &InputFile, now: Timestamp, deadline: Timestamp) -> Job {
    let total = file.index.lines;
    let mut open = RoaringBitmap::new();
    open.insert_range(0..total);
    let pending = file.index.models.iter().map(|lines| PendingQueue {
        model: lines.model.clone(),
        items: lines.items.clone(),
    });
    Job {
        id: new.job.clone(),
        tenant: new.tenant.clone(),
        input: new.input.clone(),
        endpoint: new.endpoint.clone(),
        metadata: new.metadata.clone(),
        idempotency: new.idempotency.clone(),
        content_digest: new.content_digest,
        total,
        completed: 0,
        failed: 0,
        created_at: now,
        deadline,
        finished_at: None,
        phase: JobPhase::Running,
        due: deadline,
        stopped_at: None,
        pending: pending.collect(),
        open,
        touched: RoaringBitmap::new(),
        started: BTreeMap::new(),
        leased: 0,
        output: ResultStream::default(),
        errors: ResultStream::default(),
    }
}
