//! Reads of the replicated state; answered after a confirmed read index.

use rkyv::{Archive, Deserialize, Serialize};

use crate::{
    first_format::FirstFleetStatus,
    ids::{
        ChangeId, FileId, GatewayId, IdempotencyKey, ItemNumber, JobId, MemberId, ReplicaId,
        Revision, TenantId, Timestamp,
    },
};

/// A read.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum Query {
    /// The configuration in force (its source text and revision).
    Configuration,
    /// The outcome of a change.
    Change(ChangeId),
    /// One job of a tenant.
    Job(TenantId, JobId),
    /// A tenant's jobs, newest first, after the given one.
    Jobs {
        /// Whose.
        tenant: TenantId,
        /// Start after this job.
        after: Option<JobId>,
        /// At most this many.
        limit: u32,
    },
    /// One file's record.
    File(TenantId, FileId),
    /// A tenant's finished input files, newest first, after the given one.
    Files {
        /// Whose.
        tenant: TenantId,
        /// Start after this file.
        after: Option<FileId>,
        /// At most this many.
        limit: u32,
    },
    /// Bytes of a file (input file, or a job's output or error file).
    FileContent {
        /// Whose.
        tenant: TenantId,
        /// Which.
        file: FileId,
        /// An opaque position; 0 at the start, then what the last answer said.
        cursor: u64,
        /// About this many bytes.
        limit: u32,
    },
    /// The answer kept under an idempotency key.
    Claim(TenantId, IdempotencyKey),
    /// Members, gateways, replicas and revisions.
    Status,
}

/// The state of a job, in the words of the OpenAI interface.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum JobState {
    /// Items are pending or running.
    InProgress,
    /// Every item has its result.
    Completed,
    /// Cancel is committed; running items are being stopped.
    Cancelling,
    /// Nothing of it runs any more.
    Cancelled,
    /// The completion window ended; unfinished items were given up with an error each.
    Expired,
}

/// What is told of a job.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct JobRecord {
    /// Its id.
    pub job: JobId,
    /// Its tenant.
    pub tenant: TenantId,
    /// The input file.
    pub input: FileId,
    /// Results of successful items.
    pub output: FileId,
    /// Results of failed items.
    pub errors: FileId,
    /// The path of its items, such as `/v1/chat/completions`.
    pub endpoint: String,
    /// Its state.
    pub state: JobState,
    /// Items in all.
    pub total: u32,
    /// Items with a successful result.
    pub completed: u32,
    /// Items with a failed result.
    pub failed: u32,
    /// When it was accepted.
    pub created_at: Timestamp,
    /// When it must be complete.
    pub deadline: Timestamp,
    /// When it reached its last state.
    pub finished_at: Option<Timestamp>,
    /// The caller's metadata as JSON text.
    pub metadata: String,
}

/// What is told of a file.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct FileRecord {
    /// Its id.
    pub file: FileId,
    /// Its tenant.
    pub tenant: TenantId,
    /// `batch` or `batch_output`.
    pub purpose: String,
    /// The caller's name of it.
    pub filename: String,
    /// Its size in bytes.
    pub bytes: u64,
    /// Its lines.
    pub lines: u32,
    /// When it was finished.
    pub created_at: Timestamp,
}

/// What the ledger keeps of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum ClaimRecord {
    /// A gateway holds the claim and has not answered yet.
    Running,
    /// The kept answer.
    Answered(StoredAnswer),
    /// An at-most-once request was started and its answer was lost.
    OutcomeUnknown,
}

/// An answer that is given again to every resend.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// `Content-Type`.
    pub content_type: String,
    /// The body.
    pub body: Vec<u8>,
}

/// What is told of a control member.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Which.
    pub member: MemberId,
    /// Whether its vote counts.
    pub voter: bool,
    /// Whether it leads.
    pub leader: bool,
    /// Synced up to this index, as the leader knows it.
    pub matched: u64,
    /// Milliseconds since the leader heard of it.
    pub silent_ms: u64,
}

/// What is told of a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct GatewayStatus {
    /// Which.
    pub gateway: GatewayId,
    /// The revision it has confirmed.
    pub revision: Revision,
    /// Milliseconds since it was heard of.
    pub silent_ms: u64,
}

/// What is told of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Which.
    pub replica: ReplicaId,
    /// Its zone.
    pub zone: String,
    /// Model and version, or service.
    pub serves: String,
    /// `live`, `leaving` or `silent`.
    pub state: String,
}

/// The fleet at a glance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct FleetStatus {
    /// The committed revision.
    pub revision: Revision,
    /// The lowest revision confirmed by a live gateway.
    pub lowest_in_force: Revision,
    /// The highest revision confirmed by a live gateway.
    pub highest_in_force: Revision,
    /// Control members.
    pub members: Vec<MemberStatus>,
    /// Gateways.
    pub gateways: Vec<GatewayStatus>,
    /// Replicas.
    pub replicas: Vec<ReplicaStatus>,
    /// Zones to whose replicas nothing new is sent.
    pub evacuated_zones: Vec<String>,
    /// Jobs not yet at an end.
    pub open_jobs: u64,
    /// Items pending.
    pub pending_items: u64,
    /// Items under lease.
    pub leased_items: u64,
}

/// The answer to a read.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum QueryAnswer {
    /// To [`Query::Configuration`].
    Configuration {
        /// Its revision; 0 when none was ever applied.
        revision: Revision,
        /// The operator's file, as applied.
        content: String,
    },
    /// To [`Query::Change`]: the revision that the change became, if it was accepted.
    Change(Option<Revision>),
    /// To [`Query::Job`].
    Job(Option<JobRecord>),
    /// To [`Query::Jobs`].
    Jobs {
        /// A page of jobs.
        jobs: Vec<JobRecord>,
        /// Whether there are more.
        more: bool,
    },
    /// To [`Query::File`].
    File(Option<FileRecord>),
    /// To [`Query::Files`].
    Files {
        /// A page of files.
        files: Vec<FileRecord>,
        /// Whether there are more.
        more: bool,
    },
    /// To [`Query::FileContent`].
    FileContent {
        /// The next bytes.
        data: Vec<u8>,
        /// Where to go on; `None` at the end.
        next: Option<u64>,
    },
    /// To [`Query::Claim`].
    Claim(Option<ClaimRecord>),
    /// To [`Query::Status`], in the first format only.
    FirstStatus(FirstFleetStatus),
    /// To [`Query::Status`].
    Status(FleetStatus),
}

/// One result as the output file shows it.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ItemOutcome {
    /// The item.
    pub item: ItemNumber,
    /// HTTP status of the answer; 0 when there was none.
    pub status: u16,
    /// The code of the error table when the item failed, else empty.
    pub error_code: String,
    /// The response body (JSON), or the error's message.
    pub body: Vec<u8>,
}
