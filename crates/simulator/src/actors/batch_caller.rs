//! Batch callers: they upload, create jobs, resend, cancel, and read results.

use linnethitch_protocol::{ids::FileId, query::JobRecord};
use rand::Rng;

use super::{
    Actor, Context,
    callers_job::{CallersJob, Progress, Request},
    calls::{CallResult, Calls},
};
use crate::{
    checker::Checker,
    network::{Address, Packet},
};

/// Wait between two jobs of one caller, in milliseconds.
const PACE_MS: std::ops::Range<u64> = 3_000..25_000;

/// A batch caller.
pub(crate) struct BatchCaller {
    name: String,
    calls: Calls<u64>,
    jobs: Vec<CallersJob>,
    next_job: u64,
    next_job_ms: u64,
}

impl BatchCaller {
    /// A caller with a name of its own.
    pub(crate) fn new(name: String) -> Self {
        BatchCaller {
            name,
            calls: Calls::new(),
            jobs: Vec::new(),
            next_job: 0,
            next_job_ms: 0,
        }
    }

    fn begin_job(&mut self, context: &mut Context) {
        self.next_job += 1;
        let file = FileId(format!("file-{}-{}", self.name, self.next_job));
        let job = CallersJob::new(self.next_job, file, context);
        self.jobs.push(job);
    }

    /// Makes the calls that are due.
    fn proceed(&mut self, context: &mut Context) {
        for job in &mut self.jobs {
            if job.busy || job.next_ms > context.now_ms {
                continue;
            }
            job.busy = true;
            match job.request(&self.name) {
                Request::Propose(body) => self.calls.propose(body, job.number, context),
                Request::Query(query) => self.calls.query(query, job.number, context),
            }
        }
    }

    fn on_result(&mut self, number: u64, result: CallResult, context: &mut Context) {
        let Some(position) = self.jobs.iter().position(|job| job.number == number) else {
            return;
        };
        let job = &mut self.jobs[position];
        job.busy = false;
        job.next_ms = context.now_ms;
        if job.on_result(&self.name, result, context) == Progress::Over {
            self.jobs.remove(position);
        } else {
            let wait = job.next_ms.saturating_sub(context.now_ms);
            context.wake_in(wait.max(1));
        }
    }
}

impl Actor for BatchCaller {
    fn wake(&mut self, context: &mut Context) {
        for number in self.calls.take_expired(context.now_ms) {
            self.on_result(number, CallResult::Unknown, context);
        }
        if context.now_ms >= self.next_job_ms && !context.resting {
            let wait = context.random.random_range(PACE_MS);
            self.next_job_ms = context.now_ms + wait;
            context.wake_in(wait);
            self.begin_job(context);
        }
        self.proceed(context);
    }

    fn receive(&mut self, _from: Address, packet: Packet, context: &mut Context) {
        if let Packet::Answer { number, body } = packet
            && let Some((job, result)) = self.calls.take_answer(number, body)
        {
            self.on_result(job, result, context);
        }
    }

    fn unsettled(&self, _checker: &Checker) -> Option<String> {
        let job = self.jobs.first()?;
        let open = self.jobs.len();
        let record = job.record.as_ref().map(|record| {
            let JobRecord {
                job,
                state,
                completed,
                failed,
                total,
                ..
            } = record;
            format!("{job} {state:?}, {completed} and {failed} of {total}")
        });
        Some(format!(
            "{} has {open} jobs open, one at {:?}: {record:?}",
            self.name, job.step
        ))
    }
}
