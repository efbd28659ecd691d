//! Commands of the replicated state machine and their outcomes.

use linnethitch_errors::{ErrorKind, Failure};
use rkyv::{Archive, Deserialize, Serialize};

use crate::{
    fleet::EngineRole,
    ids::{
        ChangeId, FencingToken, FileId, GatewayId, IdempotencyKey, ItemNumber, JobId, LeaseEpoch,
        ModelId, ReplicaId, Revision, SessionEpoch, TenantId, Timestamp,
    },
    query::{FileRecord, ItemOutcome, JobRecord, StoredAnswer},
};

/// A command together with the leader's time when it was proposed.
///
/// The state machine takes all time from here, so replicas agree on it.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Command {
    /// The proposing leader's clock; the state machine never lets it fall.
    pub now: Timestamp,
    /// What to do.
    pub body: CommandBody,
}

/// What the state machine can be told to do.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum CommandBody {
    /// Replaces the configuration as a whole.
    ApplyConfiguration {
        /// Made once by the operator's tool.
        change: ChangeId,
        /// The revision that the operator has seen.
        expected: Revision,
        /// The operator's TOML file.
        content: String,
    },
    /// Begins a file.
    CreateFile {
        /// Chosen by the gateway, unique.
        file: FileId,
        /// Whose.
        tenant: TenantId,
        /// `batch`.
        purpose: String,
        /// The caller's name of it.
        filename: String,
    },
    /// Appends to an unfinished file. The same piece may arrive twice.
    AppendFile {
        /// Which.
        file: FileId,
        /// Where the piece belongs; must not leave a gap.
        offset: u64,
        /// The piece.
        data: Vec<u8>,
    },
    /// Tells the items of the next lines of an unfinished file, so that a long
    /// file is indexed while it arrives. The same piece may arrive twice.
    /// A few thousand items a command keep each command short.
    IndexFile {
        /// Which.
        file: FileId,
        /// Number of the first item told, from 0; must not leave a gap.
        first: ItemNumber,
        /// The items, in order of their lines; they may run ahead of the appended bytes.
        items: Vec<ItemHead>,
    },
    /// Makes a file visible and unchangeable.
    FinishFile {
        /// Which.
        file: FileId,
        /// Its size, which must agree, also with the sum of the items' bytes.
        bytes: u64,
        /// The items not yet told by `IndexFile`, in order of their lines.
        items: Vec<ItemHead>,
    },
    /// Drops an unfinished or finished file that no job needs.
    DeleteFile {
        /// Whose.
        tenant: TenantId,
        /// Which.
        file: FileId,
    },
    /// Accepts a job as a whole.
    CreateJob(NewJob),
    /// Cancels a job.
    CancelJob {
        /// Whose.
        tenant: TenantId,
        /// Which.
        job: JobId,
    },
    /// Begins a new life of a gateway process; ends what its last life held.
    OpenSession {
        /// Which gateway.
        gateway: GatewayId,
        /// Random per process start; the same nonce gets the same session.
        nonce: u64,
    },
    /// Keeps a gateway's leases alive.
    RenewSession {
        /// Which gateway.
        gateway: GatewayId,
        /// Its session.
        session: SessionEpoch,
        /// Leases and claims end then unless renewed.
        until: Timestamp,
    },
    /// Asks for items to run.
    LeaseItems {
        /// Which gateway.
        gateway: GatewayId,
        /// Its session.
        session: SessionEpoch,
        /// Makes a resend harmless: the same number gets the same lease.
        sequence: u64,
        /// How many items of which model.
        requested: Vec<RequestedItems>,
        /// The lease ends then unless the session is renewed.
        until: Timestamp,
    },
    /// Records, before an at-most-once item is sent to a back end, that it may have started.
    StartItems {
        /// Which gateway.
        gateway: GatewayId,
        /// Its session.
        session: SessionEpoch,
        /// The items.
        items: Vec<LeasedItemKey>,
    },
    /// Stores results. The first committed result of an item wins.
    CompleteItems {
        /// Which gateway.
        gateway: GatewayId,
        /// Its session.
        session: SessionEpoch,
        /// Results by job.
        results: Vec<JobResults>,
    },
    /// Gives items back unrun (only items that were not started as at-most-once).
    ReleaseItems {
        /// Which gateway.
        gateway: GatewayId,
        /// Its session.
        session: SessionEpoch,
        /// The items.
        items: Vec<LeasedItemKey>,
    },
    /// Claims an idempotency key for an online request.
    ClaimRequest(NewClaim),
    /// Keeps the answer under a claimed key.
    FinishClaim {
        /// Whose.
        tenant: TenantId,
        /// Which key.
        key: IdempotencyKey,
        /// The gateway that holds it.
        gateway: GatewayId,
        /// Its session.
        session: SessionEpoch,
        /// The attempt of the claim; a late resend for an earlier one changes nothing.
        attempt: u64,
        /// The answer to give from now on; `None` frees the key: nothing ran.
        answer: Option<StoredAnswer>,
    },
    /// Issues a fenced order to an engine.
    IssueOrder {
        /// To which engine.
        replica: ReplicaId,
        /// What it shall do.
        order: EngineOrder,
        /// The issuing leader's term.
        term: crate::ids::Term,
    },
    /// Records that an engine carried an order out or refused it for good.
    SettleOrder {
        /// Which engine.
        replica: ReplicaId,
        /// Which order.
        token: FencingToken,
    },
    /// Ends leases, claims, jobs and retention periods that are over by `now`.
    Expire,
}

/// What validation found in one line of a batch input file.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ItemHead {
    /// Bytes of the line with its line feed.
    pub bytes: u32,
    /// The model named by its body.
    pub model: ModelId,
    /// The path named by the line's `url`.
    pub endpoint: String,
    /// Whether the line says `"run": "at-most-once"`.
    pub at_most_once: bool,
    /// The line's `custom_id`, unique in the file.
    pub custom_id: String,
}

/// A job to accept.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct NewJob {
    /// Chosen by the gateway, unique.
    pub job: JobId,
    /// Whose.
    pub tenant: TenantId,
    /// Its finished input file.
    pub input: FileId,
    /// The path its items must have.
    pub endpoint: String,
    /// Milliseconds from acceptance until it must be complete.
    pub window_ms: u64,
    /// The caller's metadata as JSON text.
    pub metadata: String,
    /// The caller's idempotency key, if any.
    pub idempotency: Option<IdempotencyKey>,
    /// Digest of what the caller sent, to tell a resend from another job.
    pub content_digest: u64,
}

/// A claim to take.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct NewClaim {
    /// Whose.
    pub tenant: TenantId,
    /// The caller's key.
    pub key: IdempotencyKey,
    /// Digest of what the caller sent.
    pub content_digest: u64,
    /// Whether the request must run at most once.
    pub at_most_once: bool,
    /// The gateway that will run it.
    pub gateway: GatewayId,
    /// Its session.
    pub session: SessionEpoch,
    /// Tells two concurrent requests with one key apart; a resent proposal has the same.
    pub attempt: u64,
}

/// A wish for items of one model.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct RequestedItems {
    /// The model.
    pub model: ModelId,
    /// At most this many items.
    pub count: u32,
}

/// An item under lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Archive, Serialize, Deserialize)]
pub struct LeasedItemKey {
    /// Its job.
    pub job: JobId,
    /// Which item.
    pub item: ItemNumber,
    /// The lease that it is held under.
    pub lease: LeaseEpoch,
}

/// An item handed to a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct LeasedItem {
    /// Which, and under which lease.
    pub key: LeasedItemKey,
    /// Whose.
    pub tenant: TenantId,
    /// The line of the input file.
    pub line: Vec<u8>,
    /// Whether it must run at most once.
    pub at_most_once: bool,
    /// When its job must be complete.
    pub deadline: Timestamp,
}

/// Results of one job's items.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct JobResults {
    /// The job.
    pub job: JobId,
    /// Lease and result of each item.
    pub outcomes: Vec<(LeaseEpoch, ItemOutcome)>,
}

/// What an engine can be told to do.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum EngineOrder {
    /// Load a model version (replacing the one loaded).
    LoadModel {
        /// The model.
        model: ModelId,
        /// The version.
        version: String,
    },
    /// Load an adapter for the loaded model.
    LoadAdapter {
        /// Its name.
        adapter: String,
        /// Its version.
        version: String,
    },
    /// Change the role.
    ChangeRole(EngineRole),
}

/// How a configuration change ended.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum ApplyOutcome {
    /// It became this revision (also told to every resend).
    Accepted(Revision),
    /// Another change had the expected revision; the current one is told.
    Conflict(Revision),
    /// The content is not valid; what is wrong is told.
    Invalid(String),
    /// The change id was used with other content.
    ChangeIdReused,
}

/// How a claim ended.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The caller's request may run, once, on this gateway.
    Granted,
    /// Another run holds the key.
    InProgress,
    /// It ran before; this is its answer.
    Answered(StoredAnswer),
    /// It was started before and its answer was lost; it never runs again.
    OutcomeUnknown,
    /// The key was used with other content.
    ContentDiffers,
}

/// What applying a command gave.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum Outcome {
    /// Done; nothing to tell.
    Done,
    /// To [`CommandBody::ApplyConfiguration`].
    Configuration(ApplyOutcome),
    /// To [`CommandBody::FinishFile`].
    File(FileRecord),
    /// To [`CommandBody::CreateJob`] and [`CommandBody::CancelJob`].
    Job(JobRecord),
    /// To [`CommandBody::OpenSession`].
    Session(SessionEpoch),
    /// To [`CommandBody::LeaseItems`].
    Leased(Vec<LeasedItem>),
    /// To [`CommandBody::StartItems`]: which of them may be sent (same order).
    Started(Vec<bool>),
    /// To [`CommandBody::CompleteItems`].
    Completed {
        /// Results that were stored.
        stored: u32,
        /// Results dropped: an earlier one had won, or the job was cancelled.
        dropped: u32,
    },
    /// To [`CommandBody::ClaimRequest`].
    Claim(ClaimOutcome),
    /// To [`CommandBody::IssueOrder`].
    Order(FencingToken),
    /// Refused, with nothing changed.
    Refused(Refusal),
}

/// A failure in transit between processes.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Refusal {
    /// Stable code of the error table.
    pub code: String,
    /// A sentence for a person.
    pub message: String,
}

impl Refusal {
    /// A refusal of the given kind.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Refusal {
            code: kind.answer().code.to_owned(),
            message: message.into(),
        }
    }

    /// The kind; an unknown code counts as internal.
    #[must_use]
    pub fn kind(&self) -> ErrorKind {
        ErrorKind::from_code(&self.code).unwrap_or(ErrorKind::Internal)
    }
}

impl From<Refusal> for Failure {
    fn from(refusal: Refusal) -> Self {
        Failure::new(refusal.kind(), refusal.message)
    }
}
