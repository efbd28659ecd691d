//! Batch callers, which upload files, create jobs, retry, cancel and read results.

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

/// Interval between two jobs of a caller, in milliseconds.
const JOB_INTERVAL_MS: std::ops::Range<u64> = 3_000..25_000;

/// A batch caller.
pub(crate) struct BatchCaller {
    name: String,
    calls: Calls<u64>,
    jobs: Vec<CallersJob>,
    next_job: u64,
    next_job_ms: u64,
}

impl BatchCaller {
    /// Creates a caller with a unique name.
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

    /// Sends the calls that are due.
    fn send_due_calls(&mut self, context: &mut Context) {
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
        if job.on_result(&self.name, result, context) == Progress::Ended {
            self.jobs.remove(position);
        } else {
            let delay_ms = job.next_ms.saturating_sub(context.now_ms);
            context.wake_in(delay_ms.max(1));
        }
    }
}

impl Actor for BatchCaller {
    fn wake(&mut self, context: &mut Context) {
        for number in self.calls.take_expired(context.now_ms) {
            self.on_result(number, CallResult::Unknown, context);
        }
        if context.now_ms >= self.next_job_ms && !context.recovering {
            let delay_ms = context.random.random_range(JOB_INTERVAL_MS);
            self.next_job_ms = context.now_ms + delay_ms;
            context.wake_in(delay_ms);
            self.begin_job(context);
        }
        self.send_due_calls(context);
    }

    fn receive(&mut self, _from: Address, packet: Packet, context: &mut Context) {
        if let Packet::Answer { number, body } = packet
            && let Some((job, result)) = self.calls.take_answer(number, body)
        {
            self.on_result(job, result, context);
        }
    }

    fn open_work(&self, _checker: &Checker) -> Option<String> {
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
            "{} has {open} open jobs, one at step {:?}: {record:?}",
            self.name, job.step
        ))
    }
}
