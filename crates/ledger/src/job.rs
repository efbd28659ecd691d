//! Jobs and the state of their items.

use std::collections::BTreeMap;

use linnethitch_protocol::{
    command::SentRequest,
    ids::{FileId, IdempotencyKey, JobId, LeaseEpoch, LogIndex, ModelId, TenantId, Timestamp},
    query::{JobRecord, JobState},
};
use rkyv::{Archive, Deserialize, Serialize};
use roaring::RoaringBitmap;

use crate::results::ResultStream;

/// A job's position in the order of acceptance; never reused.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Archive,
    Serialize,
    Deserialize,
)]
pub(crate) struct JobNumber(pub(crate) u64);

/// Life cycle of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub(crate) enum JobPhase {
    /// Items are leased and executed.
    Running,
    /// The deadline has passed; items without a result are being given up.
    GivingUp,
    /// Cancelled; items may still be under lease, at the latest until the given time.
    Cancelling(Timestamp),
    /// Every item has a result.
    Completed,
    /// Cancelled, and no item is under lease.
    Cancelled,
    /// The deadline has passed and every item has a result.
    Expired,
    /// No longer visible to callers; the payloads are being released in bounded steps.
    Dropping,
}

/// The recorded start of an at-most-once item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Start {
    /// The lease under which the item was started.
    pub(crate) lease: LeaseEpoch,
    /// The gateway's number of the attempt.
    pub(crate) attempt: u64,
    /// The request, if its engine can be asked about it.
    pub(crate) request: Option<SentRequest>,
}

impl Start {
    /// A start about which no engine can be asked.
    pub(crate) fn without_request(lease: LeaseEpoch) -> Self {
        Start {
            lease,
            attempt: 0,
            request: None,
        }
    }
}

/// Pending items of one model.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PendingQueue {
    /// The model.
    pub(crate) model: ModelId,
    /// The pending items.
    pub(crate) items: RoaringBitmap,
}

/// A job.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Job {
    /// The job's id.
    pub(crate) id: JobId,
    /// The tenant.
    pub(crate) tenant: TenantId,
    /// The input file.
    pub(crate) input: FileId,
    /// The request path of all items.
    pub(crate) endpoint: String,
    /// The caller's metadata.
    pub(crate) metadata: String,
    /// The caller's idempotency key, if any.
    pub(crate) idempotency: Option<IdempotencyKey>,
    /// Digest of the caller's request.
    pub(crate) content_digest: u64,
    /// Total number of items.
    pub(crate) total: u32,
    /// Number of items with a successful result.
    pub(crate) completed: u32,
    /// Number of items with a failed result.
    pub(crate) failed: u32,
    /// When the job was accepted.
    pub(crate) created_at: Timestamp,
    /// When the job must be complete.
    pub(crate) deadline: Timestamp,
    /// When the job ended.
    pub(crate) finished_at: Option<Timestamp>,
    /// The phase.
    pub(crate) phase: JobPhase,
    /// When the job's timer is due.
    pub(crate) due: Timestamp,
    /// Log index of the command that stopped the job early (cancellation or deadline).
    pub(crate) stopped_at: Option<LogIndex>,
    /// Pending items by model.
    pub(crate) pending: Vec<PendingQueue>,
    /// Items without a result.
    pub(crate) open: RoaringBitmap,
    /// Items that were leased at least once and may have run.
    pub(crate) touched: RoaringBitmap,
    /// Starts of at-most-once items that may have run and have no result.
    pub(crate) started: BTreeMap<u32, Start>,
    /// Number of items under lease.
    pub(crate) leased: u32,
    /// Successful results, as lines of the output file.
    pub(crate) output: ResultStream,
    /// Failed results, as lines of the error file.
    pub(crate) errors: ResultStream,
}

/// The two result files of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResultFile {
    /// Successful results.
    Output,
    /// Failed results.
    Errors,
}

const FILE_PREFIX: &str = "file-";
const OUTPUT_SUFFIX: &str = "-output";
const ERRORS_SUFFIX: &str = "-errors";

impl ResultFile {
    /// The id of a job's result file.
    pub(crate) fn id(self, job: &JobId) -> FileId {
        let suffix = match self {
            ResultFile::Output => OUTPUT_SUFFIX,
            ResultFile::Errors => ERRORS_SUFFIX,
        };
        FileId(format!("{FILE_PREFIX}{job}{suffix}"))
    }

    /// The job and kind of a result file id; `None` if the id has another form.
    pub(crate) fn parse(file: &FileId) -> Option<(JobId, ResultFile)> {
        let name = file.as_str().strip_prefix(FILE_PREFIX)?;
        if let Some(job) = name.strip_suffix(OUTPUT_SUFFIX) {
            return Some((JobId::from(job), ResultFile::Output));
        }
        let job = name.strip_suffix(ERRORS_SUFFIX)?;
        Some((JobId::from(job), ResultFile::Errors))
    }
}

impl Job {
    /// The state as reported to callers.
    pub(crate) fn state(&self) -> JobState {
        match self.phase {
            JobPhase::Running | JobPhase::GivingUp => JobState::InProgress,
            JobPhase::Cancelling(_) => JobState::Cancelling,
            JobPhase::Completed => JobState::Completed,
            JobPhase::Cancelled => JobState::Cancelled,
            JobPhase::Expired | JobPhase::Dropping => JobState::Expired,
        }
    }

    /// Whether results are still accepted.
    pub(crate) fn accepts_results(&self) -> bool {
        matches!(self.phase, JobPhase::Running | JobPhase::GivingUp)
    }

    /// Whether the job has reached a final phase.
    pub(crate) fn has_ended(&self) -> bool {
        matches!(
            self.phase,
            JobPhase::Completed | JobPhase::Cancelled | JobPhase::Expired | JobPhase::Dropping
        )
    }

    /// Whether the job is being dropped and no longer visible to callers.
    pub(crate) fn is_dropping(&self) -> bool {
        self.phase == JobPhase::Dropping
    }

    /// The record reported to callers.
    pub(crate) fn record(&self) -> JobRecord {
        JobRecord {
            job: self.id.clone(),
            tenant: self.tenant.clone(),
            input: self.input.clone(),
            output: ResultFile::Output.id(&self.id),
            errors: ResultFile::Errors.id(&self.id),
            endpoint: self.endpoint.clone(),
            state: self.state(),
            total: self.total,
            completed: self.completed,
            failed: self.failed,
            created_at: self.created_at,
            deadline: self.deadline,
            finished_at: self.finished_at,
            metadata: self.metadata.clone(),
        }
    }

    /// A result stream of the job.
    pub(crate) fn results(&self, file: ResultFile) -> &ResultStream {
        match file {
            ResultFile::Output => &self.output,
            ResultFile::Errors => &self.errors,
        }
    }
}
