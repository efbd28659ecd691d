//! Sessions, and the expiry of sessions, jobs, files and claims in bounded steps.

use std::sync::Arc;

use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    command::Outcome,
    ids::{FileId, GatewayId, ItemNumber, SessionEpoch},
};

use crate::{
    claims::{ClaimKey, ClaimState},
    files::FilePhase,
    job::{JobNumber, JobPhase},
    ledger::Ledger,
    limits::{EXPIRE_STEPS, MAX_SESSIONS},
    refusal::{Applied, Rejection, ready, refuse},
    results::failure,
    sessions::Session,
    timers::{TimerKey, after},
};

impl Ledger {
    pub(crate) fn open_session(&mut self, gateway: &GatewayId, nonce: u64) -> Applied {
        let existing = self.sessions.by_gateway.get(gateway);
        if let Some(session) = existing.filter(|session| session.nonce == nonce) {
            return ready(Outcome::Session(session.epoch));
        }
        if existing.is_none() && self.sessions.by_gateway.len() >= MAX_SESSIONS {
            return refuse(ErrorKind::Overloaded, "too many sessions are open");
        }
        self.end_session(gateway)?;
        self.state.last_session = SessionEpoch(self.state.last_session.0 + 1);
        let epoch = self.state.last_session;
        let until = after(self.state.now, self.configuration.batch().lease_ms);
        let session = Session::new(epoch, nonce, until);
        self.timers.add(until, TimerKey::Session(gateway.clone()));
        self.sessions.by_gateway.insert(gateway.clone(), session);
        ready(Outcome::Session(epoch))
    }

    /// Ends a gateway's session with its leases and claims; returns the steps taken.
    fn end_session(&mut self, gateway: &GatewayId) -> Result<usize, Rejection> {
        let Some(session) = self.sessions.by_gateway.remove(gateway) else {
            return Ok(0);
        };
        self.timers
            .remove(session.until, TimerKey::Session(gateway.clone()));
        let steps = 1 + session.leased as usize + session.claims.len();
        for (epoch, lease) in session.leases {
            self.end_lease(epoch, lease)?;
        }
        self.settle_claims(session.claims);
        Ok(steps)
    }

    pub(crate) fn expire(&mut self) -> Applied {
        let now = self.state.now;
        let mut steps = self.configuration.expire_changes(now, EXPIRE_STEPS);
        while steps < EXPIRE_STEPS {
            let Some(due) = self.timers.first_due(now).cloned() else {
                break;
            };
            steps += 1 + match due {
                TimerKey::Session(gateway) => self.end_session(&gateway)?,
                TimerKey::Job(number) => self.advance_job(number, EXPIRE_STEPS - steps)?,
                TimerKey::File(file) => self.advance_file(&file, EXPIRE_STEPS - steps)?,
                TimerKey::Claim(key) => self.expire_claim(key),
            };
        }
        ready(Outcome::Done)
    }

    /// Performs the due transition of a job; returns the steps taken.
    fn advance_job(&mut self, number: JobNumber, steps: usize) -> Result<usize, Rejection> {
        let Some(job) = self.state.jobs.get(&number) else {
            return Ok(0);
        };
        match job.phase {
            JobPhase::Running => {
                self.stop_at_deadline(number);
                self.give_up_items(number, steps)
            }
            JobPhase::GivingUp => self.give_up_items(number, steps),
            JobPhase::Cancelling(_) => {
                self.end_job(number, JobPhase::Cancelled)?;
                Ok(1)
            }
            JobPhase::Completed | JobPhase::Cancelled | JobPhase::Expired => {
                self.start_dropping_job(number);
                Ok(self.drop_job(number, steps))
            }
            JobPhase::Dropping => Ok(self.drop_job(number, steps)),
        }
    }

    fn stop_at_deadline(&mut self, number: JobNumber) {
        self.dequeue_job(number);
        let applied = self.state.applied;
        self.stopped.insert((applied, number));
        if let Some(job) = self.state.jobs.get_mut(&number).map(Arc::make_mut) {
            job.phase = JobPhase::GivingUp;
            job.stopped_at = Some(applied);
        }
    }

    /// Stores an error for up to `steps` items without a result; returns the steps taken.
    fn give_up_items(&mut self, number: JobNumber, steps: usize) -> Result<usize, Rejection> {
        let mut taken = 0;
        while taken < steps {
            let Some(job) = self.state.jobs.get(&number) else {
                break;
            };
            let Some(item) = job.open.min() else {
                break;
            };
            let kind = if job.started.contains_key(&item) {
                ErrorKind::OutcomeUnknown
            } else if job.touched.contains(item) {
                ErrorKind::DeadlineExceeded
            } else {
                ErrorKind::DeadlineBeforeStart
            };
            self.store_result(number, &failure(ItemNumber(item), kind))?;
            taken += 1;
        }
        self.end_finished_job(number)?;
        Ok(taken)
    }

    /// Hides a job from callers. Its idempotency key becomes free.
    fn start_dropping_job(&mut self, number: JobNumber) {
        if let Some(job) = self.state.jobs.get_mut(&number).map(Arc::make_mut) {
            job.phase = JobPhase::Dropping;
            if let Some(applied) = job.stopped_at {
                self.stopped.remove(&(applied, number));
            }
            if let Some(key) = &job.idempotency {
                self.job_keys.remove(&(job.tenant.clone(), key.clone()));
            }
        }
    }

    /// Releases up to `steps` payloads of a job's results, and removes the job after the last
    /// one. Returns the steps taken.
    fn drop_job(&mut self, number: JobNumber, steps: usize) -> usize {
        let Some(job) = self.state.jobs.get_mut(&number).map(Arc::make_mut) else {
            return 0;
        };
        let payloads = self.payloads.as_mut();
        let mut taken = job.output.stored.release(payloads, steps);
        taken += job.errors.stored.release(payloads, steps - taken);
        if taken < steps || (job.output.len() == 0 && job.errors.len() == 0) {
            self.remove_job(number);
        }
        taken
    }

    /// Performs the due transition of a file; returns the steps taken.
    fn advance_file(&mut self, file: &FileId, steps: usize) -> Result<usize, Rejection> {
        let Some(stored) = self.state.files.get(file) else {
            return Ok(0);
        };
        if stored.phase != FilePhase::Dropping && stored.open_jobs > 0 {
            // The end of the file's last job sets a new expiry time.
            self.postpone_file(file);
            return Ok(1);
        }
        if stored.phase != FilePhase::Dropping {
            self.start_dropping_file(file);
        }
        let Some(stored) = self.state.files.get_mut(file).map(Arc::make_mut) else {
            return Ok(0);
        };
        let payloads = self.payloads.as_mut();
        let mut taken = stored.content.release(payloads, steps);
        taken += stored.index.release(payloads, steps - taken);
        if stored.content.pieces.is_empty() && stored.index.chunks.is_empty() {
            self.timers
                .remove(stored.expires_at, TimerKey::File(file.clone()));
            self.state.files.remove(file);
        }
        Ok(taken)
    }

    fn postpone_file(&mut self, file: &FileId) {
        let expires_at = after(self.state.now, self.configuration.retention_ms().max(1));
        if let Some(stored) = self.state.files.get_mut(file).map(Arc::make_mut) {
            self.timers.reset(
                &mut stored.expires_at,
                expires_at,
                TimerKey::File(file.clone()),
            );
        }
    }

    fn expire_claim(&mut self, key: ClaimKey) -> usize {
        let claim = self.state.claims.get_mut(&key);
        if let Some(claim) = claim.filter(|claim| matches!(claim.state, ClaimState::Running(_))) {
            // A running claim ends only with its session.
            let expires_at = after(self.state.now, self.configuration.retention_ms().max(1));
            self.timers
                .reset(&mut claim.expires_at, expires_at, TimerKey::Claim(key));
            return 1;
        }
        self.drop_claim(key);
        1
    }
}
