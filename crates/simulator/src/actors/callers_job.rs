//! The state of a job at its caller, from the upload to the results.

use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    command::{CommandBody, ItemHead, NewJob, Outcome},
    ids::{FileId, IdempotencyKey, JobId, ModelId, TenantId},
    query::{JobRecord, JobState, Query, QueryAnswer},
};
use rand::Rng;

use super::{
    Context,
    calls::CallResult,
    fleet_text::{MODEL, TENANT},
};
use crate::checker::custom_id;

/// The endpoint of all items.
const ENDPOINT: &str = "/v1/chat/completions";
/// Number of items of a job.
const ITEMS: std::ops::Range<u32> = 1..40;
/// Share of items that must run at most once.
const AT_MOST_ONCE_SHARE: f64 = 0.25;
/// Share of jobs that are cancelled.
const CANCEL_SHARE: f64 = 0.2;
/// Share of jobs with a short completion window.
const SHORT_WINDOW_SHARE: f64 = 0.1;
/// A short completion window, in milliseconds.
const SHORT_WINDOW_MS: u64 = 8_000;
/// The usual completion window, in milliseconds.
const WINDOW_MS: u64 = 24 * 3_600_000;
/// Share of refused jobs that the caller abandons if the job was sent only once.
const GIVE_UP_SHARE: f64 = 0.3;
/// Delay before a call is retried, in milliseconds.
const RETRY_MS: u64 = 700;
/// Interval between two reads of a job, in milliseconds.
const POLL_MS: u64 = 3_000;
/// Maximum number of bytes per read of a file.
const READ_BYTES: u32 = 16 * 1024;

/// The next step of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Step {
    CreateFile,
    AppendFile,
    FinishFile,
    CreateJob,
    Watch,
    Cancel,
    ReadOutput { cursor: u64 },
    ReadErrors { cursor: u64 },
}

/// The state of a job at its caller.
pub(super) struct CallersJob {
    pub(super) number: u64,
    pub(super) file: FileId,
    pub(super) heads: Vec<ItemHead>,
    pub(super) content: Vec<u8>,
    pub(super) window_ms: u64,
    pub(super) step: Step,
    pub(super) busy: bool,
    pub(super) next_ms: u64,
    pub(super) creations: u64,
    pub(super) record: Option<JobRecord>,
    pub(super) cancel_at_ms: Option<u64>,
    pub(super) output: Vec<u8>,
    pub(super) errors: Vec<u8>,
}

/// A call to control.
pub(super) enum Request {
    Propose(CommandBody),
    Query(Query),
}

/// Whether a job continues.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    Continues,
    Ended,
}

impl CallersJob {
    pub(super) fn new(number: u64, file: FileId, context: &mut Context) -> Self {
        let count = context.random.random_range(ITEMS);
        let mut heads = Vec::new();
        let mut content = Vec::new();
        for item in 0..count {
            let at_most_once = context.random.random_bool(AT_MOST_ONCE_SHARE);
            let line = format!("{{\"custom_id\":\"{}\"}}\n", custom_id(item));
            heads.push(ItemHead {
                bytes: line.len() as u32,
                model: ModelId::from(MODEL),
                endpoint: ENDPOINT.to_owned(),
                at_most_once,
                custom_id: custom_id(item),
            });
            content.extend_from_slice(line.as_bytes());
        }
        let short = context.random.random_bool(SHORT_WINDOW_SHARE);
        let cancelled = context.random.random_bool(CANCEL_SHARE);
        let cancel_after_ms = context.random.random_range(1_000..20_000);
        CallersJob {
            number,
            file,
            heads,
            content,
            window_ms: if short { SHORT_WINDOW_MS } else { WINDOW_MS },
            step: Step::CreateFile,
            busy: false,
            next_ms: context.now_ms,
            creations: 0,
            record: None,
            cancel_at_ms: cancelled.then_some(context.now_ms + cancel_after_ms),
            output: Vec::new(),
            errors: Vec::new(),
        }
    }

    /// The job id of a creation attempt. Each attempt has another id, as when another gateway
    /// receives the retry.
    fn job_id(&self, caller: &str, creation: u64) -> JobId {
        JobId(format!("batch_{caller}-{}-{creation}", self.number))
    }

    fn accepted_id(&self) -> JobId {
        let record = self.record.as_ref();
        record.map(|record| record.job.clone()).unwrap_or_default()
    }

    pub(super) fn request(&mut self, caller: &str) -> Request {
        let tenant = TenantId::from(TENANT);
        let file = self.file.clone();
        match self.step {
            Step::CreateFile => Request::Propose(CommandBody::CreateFile {
                file,
                tenant,
                purpose: "batch".to_owned(),
                filename: "items.jsonl".to_owned(),
            }),
            Step::AppendFile => Request::Propose(CommandBody::AppendFile {
                file,
                offset: 0,
                data: self.content.clone(),
            }),
            Step::FinishFile => Request::Propose(CommandBody::FinishFile {
                file,
                bytes: self.content.len() as u64,
                items: self.heads.clone(),
            }),
            Step::CreateJob => {
                self.creations += 1;
                Request::Propose(CommandBody::CreateJob(NewJob {
                    job: self.job_id(caller, self.creations),
                    tenant,
                    input: file,
                    endpoint: ENDPOINT.to_owned(),
                    window_ms: self.window_ms,
                    metadata: String::new(),
                    idempotency: Some(IdempotencyKey(format!("{caller}-{}", self.number))),
                    content_digest: self.number,
                }))
            }
            Step::Watch => Request::Query(Query::Job(tenant, self.accepted_id())),
            Step::Cancel => Request::Propose(CommandBody::CancelJob {
                tenant,
                job: self.accepted_id(),
            }),
            Step::ReadOutput { cursor } => {
                let file = self.record.as_ref().map(|record| record.output.clone());
                Request::Query(read_query(tenant, file.unwrap_or_default(), cursor))
            }
            Step::ReadErrors { cursor } => {
                let file = self.record.as_ref().map(|record| record.errors.clone());
                Request::Query(read_query(tenant, file.unwrap_or_default(), cursor))
            }
        }
    }

    pub(super) fn on_result(
        &mut self,
        caller: &str,
        result: CallResult,
        context: &mut Context,
    ) -> Progress {
        match result {
            CallResult::Outcome(outcome) => self.on_outcome(*outcome, context),
            CallResult::Answer(answer) => return self.on_answer(*answer, context),
            CallResult::Refused(kind) => return self.on_refused(caller, kind, context),
            CallResult::Unknown => self.next_ms = context.now_ms + RETRY_MS,
        }
        Progress::Continues
    }

    fn on_outcome(&mut self, outcome: Outcome, context: &mut Context) {
        match (self.step.clone(), outcome) {
            (Step::CreateFile, _) => self.step = Step::AppendFile,
            (Step::AppendFile, _) => self.step = Step::FinishFile,
            (Step::FinishFile, _) => self.step = Step::CreateJob,
            (Step::CreateJob, Outcome::Job(record)) => {
                let items = self.heads.len() as u32;
                context.checker.on_job_accepted(&record, items);
                self.record = Some(record);
                self.step = Step::Watch;
            }
            (Step::Cancel, Outcome::Job(record)) => {
                context.checker.on_job_cancelled(&record);
                self.cancel_at_ms = None;
                self.step = Step::Watch;
            }
            _ => {}
        }
    }

    fn on_refused(&mut self, caller: &str, kind: ErrorKind, context: &mut Context) -> Progress {
        self.next_ms = context.now_ms + RETRY_MS;
        match (&self.step, kind) {
            (Step::CreateJob, _)
                if self.creations == 1 && context.random.random_bool(GIVE_UP_SHARE) =>
            {
                let job = self.job_id(caller, 1);
                context.checker.on_job_refused(&job);
                Progress::Ended
            }
            // The job ended before it could be cancelled.
            (Step::Cancel, ErrorKind::InvalidState) => {
                self.cancel_at_ms = None;
                self.step = Step::Watch;
                Progress::Continues
            }
            (
                Step::Cancel | Step::ReadOutput { .. } | Step::ReadErrors { .. },
                ErrorKind::NotFound,
            ) => {
                context.checker.on_job_missing(&self.accepted_id());
                Progress::Ended
            }
            // An upload that took too long was removed.
            (Step::AppendFile | Step::FinishFile | Step::CreateJob, ErrorKind::NotFound) => {
                Progress::Ended
            }
            _ => Progress::Continues,
        }
    }

    fn on_answer(&mut self, answer: QueryAnswer, context: &mut Context) -> Progress {
        match (self.step.clone(), answer) {
            (Step::Watch, QueryAnswer::Job(Some(record))) => {
                self.on_record(record, context);
                Progress::Continues
            }
            (Step::Watch, QueryAnswer::Job(None)) => {
                context.checker.on_job_missing(&self.accepted_id());
                Progress::Ended
            }
            (Step::ReadOutput { .. }, QueryAnswer::FileContent { data, next }) => {
                self.output.extend(data);
                self.step = match next {
                    Some(cursor) => Step::ReadOutput { cursor },
                    None => Step::ReadErrors { cursor: 0 },
                };
                Progress::Continues
            }
            (Step::ReadErrors { .. }, QueryAnswer::FileContent { data, next }) => {
                self.errors.extend(data);
                if let Some(cursor) = next {
                    self.step = Step::ReadErrors { cursor };
                    return Progress::Continues;
                }
                self.end(context);
                Progress::Ended
            }
            _ => Progress::Continues,
        }
    }

    fn on_record(&mut self, record: JobRecord, context: &mut Context) {
        context.checker.on_job_read(&record);
        let ended = matches!(
            record.state,
            JobState::Completed | JobState::Cancelled | JobState::Expired
        );
        self.record = Some(record);
        if ended {
            self.step = Step::ReadOutput { cursor: 0 };
        } else if self
            .cancel_at_ms
            .is_some_and(|at_ms| at_ms <= context.now_ms)
        {
            self.step = Step::Cancel;
        } else {
            self.next_ms = context.now_ms + POLL_MS;
        }
    }

    fn end(&mut self, context: &mut Context) {
        let output = std::mem::take(&mut self.output);
        let errors = std::mem::take(&mut self.errors);
        if let Some(record) = &self.record {
            context.checker.on_job_ended(record, output, errors);
        }
    }
}

fn read_query(tenant: TenantId, file: FileId, cursor: u64) -> Query {
    Query::FileContent {
        tenant,
        file,
        cursor,
        limit: READ_BYTES,
    }
}
