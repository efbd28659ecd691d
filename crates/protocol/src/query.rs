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
    /// The configuration in force: its source text and revision.
    Configuration,
    /// The outcome of a change.
    Change(ChangeId),
    /// One job of a tenant.
    Job(TenantId, JobId),
    /// A tenant's jobs, newest first, after the given one.
    Jobs {
        /// The tenant.
        tenant: TenantId,
        /// Start after this job.
        after: Option<JobId>,
        /// Maximum number of results.
        limit: u32,
    },
    /// One file's record.
    File(TenantId, FileId),
    /// A tenant's finished input files, newest first, after the given one.
    Files {
        /// The tenant.
        tenant: TenantId,
        /// Start after this file.
        after: Option<FileId>,
        /// Maximum number of results.
        limit: u32,
    },
    /// Bytes of a file (input file, or a job's output or error file).
    FileContent {
        /// The tenant.
        tenant: TenantId,
        /// The file.
        file: FileId,
        /// An opaque position: 0 at the start, then the `next` of the last answer.
        cursor: u64,
        /// Approximate number of bytes to return.
        limit: u32,
    },
    /// The answer stored under an idempotency key.
    Claim(TenantId, IdempotencyKey),
    /// Members, gateways, replicas and revisions.
    Status,
}

/// The state of a job, in the terms of the OpenAI API.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum JobState {
    /// Items are pending or running.
    InProgress,
    /// Every item has its result.
    Completed,
    /// Cancellation is committed; running items are being stopped.
    Cancelling,
    /// Cancelled, and no item is running any more.
    Cancelled,
    /// The completion window ended; each unfinished item got an error as its result.
    Expired,
}

/// A job as returned by queries.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct JobRecord {
    /// The job.
    pub job: JobId,
    /// The tenant.
    pub tenant: TenantId,
    /// The input file.
    pub input: FileId,
    /// Results of successful items.
    pub output: FileId,
    /// Results of failed items.
    pub errors: FileId,
    /// The path of the items, such as `/v1/chat/completions`.
    pub endpoint: String,
    /// The state.
    pub state: JobState,
    /// Number of items.
    pub total: u32,
    /// Items with a successful result.
    pub completed: u32,
    /// Items with a failed result.
    pub failed: u32,
    /// When the job was accepted.
    pub created_at: Timestamp,
    /// When the job must be complete.
    pub deadline: Timestamp,
    /// When the job reached its final state.
    pub finished_at: Option<Timestamp>,
    /// The caller's metadata as JSON text.
    pub metadata: String,
}

/// A file as returned by queries.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct FileRecord {
    /// The file.
    pub file: FileId,
    /// The tenant.
    pub tenant: TenantId,
    /// `batch` or `batch_output`.
    pub purpose: String,
    /// The caller's name of the file.
    pub filename: String,
    /// Size in bytes.
    pub bytes: u64,
    /// Number of lines.
    pub lines: u32,
    /// When the file was finished.
    pub created_at: Timestamp,
}

/// State of an idempotency key in the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum ClaimRecord {
    /// A gateway holds the claim and has not answered yet.
    Running,
    /// The stored answer.
    Answered(StoredAnswer),
    /// An at-most-once request was started and its answer was lost.
    OutcomeUnknown,
}

/// An answer that is stored and returned to every resend.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// `Content-Type`.
    pub content_type: String,
    /// The body.
    pub body: Vec<u8>,
}

/// Status of a control member.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The member.
    pub member: MemberId,
    /// Whether the member is a voter.
    pub voter: bool,
    /// Whether the member is the leader.
    pub leader: bool,
    /// Highest index known to the leader to be synced by the member.
    pub matched: u64,
    /// Time since the leader's last contact with the member, in milliseconds.
    pub silent_ms: u64,
}

/// Status of a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct GatewayStatus {
    /// The gateway.
    pub gateway: GatewayId,
    /// The revision that the gateway has confirmed.
    pub revision: Revision,
    /// Time since the last contact with the gateway, in milliseconds.
    pub silent_ms: u64,
}

/// Status of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// The replica.
    pub replica: ReplicaId,
    /// The zone.
    pub zone: String,
    /// Model and version, or service.
    pub serves: String,
    /// `live`, `leaving` or `silent`.
    pub state: String,
}

/// Status of the fleet.
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
    /// Zones whose replicas receive no new requests.
    pub evacuated_zones: Vec<String>,
    /// Jobs that have not ended.
    pub open_jobs: u64,
    /// Pending items.
    pub pending_items: u64,
    /// Items under lease.
    pub leased_items: u64,
}

/// The answer to a read.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum QueryAnswer {
    /// To [`Query::Configuration`].
    Configuration {
        /// The revision; 0 if no configuration was ever applied.
        revision: Revision,
        /// The operator's file, as applied.
        content: String,
    },
    /// To [`Query::Change`]: the revision of the change if it was accepted.
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
        /// The cursor from which to continue; `None` at the end.
        next: Option<u64>,
    },
    /// To [`Query::Claim`].
    Claim(Option<ClaimRecord>),
    /// To [`Query::Status`]; only in the first format.
    FirstStatus(FirstFleetStatus),
    /// To [`Query::Status`].
    Status(FleetStatus),
}

/// The result of an item as written to the output file.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ItemOutcome {
    /// The item.
    pub item: ItemNumber,
    /// HTTP status of the answer; 0 if there was no answer.
    pub status: u16,
    /// The code of the error table if the item failed, else empty.
    pub error_code: String,
    /// The JSON response body, or the error message.
    pub body: Vec<u8>,
}
