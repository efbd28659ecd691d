//! A job and the state of its items.

use std::collections::BTreeMap;

use linnethitch_protocol::{
    ids::{FileId, IdempotencyKey, JobId, LeaseEpoch, LogIndex, ModelId, TenantId, Timestamp},
    query::{JobRecord, JobState},
};
use rkyv::{Archive, Deserialize, Serialize};
use roaring::RoaringBitmap;

use crate::results::ResultStream;

/// A job's place in the order of acceptance; never used again.
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

/// Where a job is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub(crate) enum JobPhase {
    /// Items are leased and run.
    Running,
    /// Its deadline has passed; items without a result are being given up.
    GivingUp,
    /// Cancelled; leases may still be out, at the latest until the given time.
    Cancelling(Timestamp),
    /// Every item has its result.
    Completed,
    /// Cancelled, and no lease is out.
    Cancelled,
    /// The deadline passed and every item has its result.
    Expired,
    /// Gone for callers; its payloads are released bit by bit.
    Dropping,
}

/// Pending items of one model.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PendingQueue {
    /// The model.
    pub(crate) model: ModelId,
    /// Its pending items.
    pub(crate) items: RoaringBitmap,
}

/// A job.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Job {
    /// Its id.
    pub(crate) id: JobId,
    /// Whose.
    pub(crate) tenant: TenantId,
    /// Its input file.
    pub(crate) input: FileId,
    /// The path of its items.
    pub(crate) endpoint: String,
    /// The caller's metadata.
    pub(crate) metadata: String,
    /// The caller's key, if any.
    pub(crate) idempotency: Option<IdempotencyKey>,
    /// Digest of what the caller sent.
    pub(crate) content_digest: u64,
    /// Items in all.
    pub(crate) total: u32,
    /// Items with a successful result.
    pub(crate) completed: u32,
    /// Items with a failed result.
    pub(crate) failed: u32,
    /// When it was accepted.
    pub(crate) created_at: Timestamp,
    /// When it must be complete.
    pub(crate) deadline: Timestamp,
    /// When it reached its end.
    pub(crate) finished_at: Option<Timestamp>,
    /// Its phase.
    pub(crate) phase: JobPhase,
    /// Where its timer stands.
    pub(crate) due: Timestamp,
    /// The command that stopped it before its end (cancel, deadline).
    pub(crate) stopped_at: Option<LogIndex>,
    /// Pending items by model.
    pub(crate) pending: Vec<PendingQueue>,
    /// Items without a result.
    pub(crate) open: RoaringBitmap,
    /// Items that were leased at least once, and may have run.
    pub(crate) touched: RoaringBitmap,
    /// At-most-once items that may have started, and the lease of each.
    pub(crate) started: BTreeMap<u32, LeaseEpoch>,
    /// Items under lease.
    pub(crate) leased: u32,
    /// Successful results, as lines of the output file.
    pub(crate) output: ResultStream,
    /// Failed results, as lines of the error file.
    pub(crate) errors: ResultStream,
}

/// Which of a job's two result files.
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

    /// The job and kind that a file id names, if it has their form.
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
    /// The state in the words of the interface.
    pub(crate) fn state(&self) -> JobState {
        match self.phase {
            JobPhase::Running | JobPhase::GivingUp => JobState::InProgress,
            JobPhase::Cancelling(_) => JobState::Cancelling,
            JobPhase::Completed => JobState::Completed,
            JobPhase::Cancelled => JobState::Cancelled,
            JobPhase::Expired | JobPhase::Dropping => JobState::Expired,
        }
    }

    /// Whether results are still stored.
    pub(crate) fn takes_results(&self) -> bool {
        matches!(self.phase, JobPhase::Running | JobPhase::GivingUp)
    }

    /// Whether it has reached its last state.
    pub(crate) fn has_ended(&self) -> bool {
        matches!(
            self.phase,
            JobPhase::Completed | JobPhase::Cancelled | JobPhase::Expired | JobPhase::Dropping
        )
    }

    /// Whether it is gone for callers.
    pub(crate) fn is_dropping(&self) -> bool {
        self.phase == JobPhase::Dropping
    }

    /// What is told of it.
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

    /// One of its result streams.
    pub(crate) fn results(&self, file: ResultFile) -> &ResultStream {
        match file {
            ResultFile::Output => &self.output,
            ResultFile::Errors => &self.errors,
        }
    }
}
