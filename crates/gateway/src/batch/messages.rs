//! Events and actions of the executor, and the types that they carry.

use std::sync::Arc;

use linnethitch_errors::ErrorKind;
use linnethitch_observability::journal::DecisionKind;
use linnethitch_protocol::{
    attach::{GrantRequest, PendingItems},
    command::{JobResults, LeasedItem, LeasedItemKey, RequestedItems},
    ids::{ItemNumber, JobId, ModelId, ReplicaId, RequestId, SessionEpoch, TenantId, Timestamp},
};
use linnethitch_routing::ReasonCode;

/// Rules of one executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExecutorSettings {
    /// Maximum items under lease at once, running or not; 0 leases none.
    pub max_items: u32,
    /// Maximum failed runs of a repeatable item that may have started at a back end; after them
    /// the failure is the item's result.
    pub max_attempts: u32,
    /// Items leased in excess of the granted capacity, in percent of it, so that an item is ready
    /// when a sequence ends.
    pub lease_ahead_percent: u32,
    /// Longest time that a result waits to be committed together with others, in milliseconds.
    pub commit_interval_ms: u64,
    /// Wait before an unanswered call to control is repeated, in milliseconds.
    pub call_retry_ms: u64,
    /// Wait before a failed item runs again, in milliseconds; doubles with each failure.
    pub item_retry_ms: u64,
    /// Time after which an item that found no free capacity is released, in milliseconds.
    pub release_after_ms: u64,
    /// Time between two requests for grants of capacity, in milliseconds.
    pub grant_request_interval_ms: u64,
}

impl Default for ExecutorSettings {
    fn default() -> Self {
        ExecutorSettings {
            max_items: 256,
            max_attempts: 8,
            lease_ahead_percent: 25,
            commit_interval_ms: 20,
            call_retry_ms: 100,
            item_retry_ms: 50,
            release_after_ms: 3_000,
            grant_request_interval_ms: 500,
        }
    }
}

/// The gateway's session, under which items are leased.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchSession {
    /// The session's number in the ledger.
    pub epoch: SessionEpoch,
    /// End of the session on the executor's clock; nothing runs under the session after it.
    pub until: Timestamp,
}

/// The batch sequences that this gateway may run on a replica now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaCapacity {
    /// The replica.
    pub replica: ReplicaId,
    /// The model that the replica serves, without adapter.
    pub model: ModelId,
    /// The adapters that the replica has loaded.
    pub adapters: Vec<String>,
    /// Sequences, including those that run already.
    pub sequences: u32,
    /// What limits the sequences.
    pub reason: ReasonCode,
}

/// How a call to control ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallAnswer<T> {
    /// The call was carried out.
    Done(T),
    /// The ledger refused the call because the session has ended.
    Fenced,
    /// The call was not carried out, or its outcome is unknown; it may be repeated.
    Unknown,
}

/// Identifies one run of an item on one replica; never reused by an executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RunId(pub u64);

/// Tokens that earlier runs of an item generated, from which the next run resumes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GeneratedTokens {
    /// Number of tokens.
    pub tokens: u32,
    /// Their text.
    pub text: String,
    /// The software version of the engine that generated them; `None` without tokens.
    pub software: Option<String>,
}

/// An item to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunOrder {
    /// The run.
    pub run: RunId,
    /// The item.
    pub item: Arc<LeasedItem>,
    /// When the item was leased.
    pub leased_at: Timestamp,
    /// The replica on which it runs.
    pub replica: ReplicaId,
    /// The only address to which it may be sent, as recorded with its start; `None` if the item
    /// may run again.
    pub address: Option<String>,
    /// Tokens from which the run resumes.
    pub generated: GeneratedTokens,
}

impl RunOrder {
    /// The id of the request under which the run is sent.
    #[must_use]
    pub fn request_id(&self) -> RequestId {
        request_id(&self.item.key, self.run)
    }
}

/// The id of a run's request. The lease makes it unique among all gateways.
fn request_id(key: &LeasedItemKey, run: RunId) -> RequestId {
    let LeasedItemKey { job, item, lease } = key;
    RequestId(format!("req_{job}_{item}_{lease}_{run}", run = run.0))
}

/// The start of an at-most-once item that is to be recorded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedStart {
    /// The item.
    pub key: LeasedItemKey,
    /// The replica on which it will run.
    pub replica: ReplicaId,
    /// The run.
    pub run: RunId,
}

impl PlannedStart {
    /// The id of the request under which the run will be sent.
    #[must_use]
    pub fn request_id(&self) -> RequestId {
        request_id(&self.key, self.run)
    }
}

/// What came of recording the start of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    /// The ledger has recorded the start; the item may be sent to this address of its replica and
    /// nowhere else.
    Recorded {
        /// `IP:port`.
        address: String,
    },
    /// The ledger refused the start, since the item's job has stopped.
    Refused,
    /// The ledger was not asked, since the replica does not answer.
    NotAsked,
}

impl StartAnswer {
    /// The answer as named in logs.
    #[must_use]
    pub fn as_str(&self) -> &'static str {
        match self {
            StartAnswer::Recorded { .. } => "recorded",
            StartAnswer::Refused => "refused",
            StartAnswer::NotAsked => "engine_silent",
        }
    }
}

/// How far a failed run came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailedRun {
    /// It was not started.
    NotStarted,
    /// It may have been started and was not answered, as when its back end died. That says
    /// nothing against the item.
    Interrupted,
    /// The back end answered it with a failure.
    Answered,
}

impl FailedRun {
    /// Whether the back end may have started the run.
    #[must_use]
    pub fn may_have_started(self) -> bool {
        self != FailedRun::NotStarted
    }
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The answer is complete.
    Answered {
        /// HTTP status.
        status: u16,
        /// The JSON body.
        body: Vec<u8>,
    },
    /// The request itself is invalid; no run can succeed.
    Rejected {
        /// The error.
        kind: ErrorKind,
        /// The message for the caller.
        message: String,
    },
    /// The run failed; another one may succeed.
    Failed {
        /// How far the run came.
        progress: FailedRun,
        /// Tokens generated so far, including those from which the run resumed.
        generated: GeneratedTokens,
        /// Description of the failure.
        message: String,
    },
    /// The run was stopped by [`BatchAction::Stop`].
    Stopped {
        /// Tokens generated so far, including those from which the run resumed.
        generated: GeneratedTokens,
    },
}

/// An event for the executor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BatchEvent {
    /// The session was opened, renewed or lost.
    Session(Option<BatchSession>),
    /// Items pending in the ledger, by model.
    Pending(Vec<PendingItems>),
    /// The capacity of every replica with a grant; replaces all earlier capacity.
    Capacity(Vec<ReplicaCapacity>),
    /// Answer to [`BatchAction::Lease`].
    Leased {
        /// The number of the lease call.
        sequence: u64,
        /// The items.
        answer: CallAnswer<Vec<LeasedItem>>,
    },
    /// Answer to [`BatchAction::MarkStarted`].
    Started {
        /// The number of the call.
        number: u64,
        /// The answer for each item, in the order of the call.
        answer: CallAnswer<Vec<StartAnswer>>,
    },
    /// Answer to [`BatchAction::Commit`].
    Committed {
        /// The number of the commit.
        number: u64,
        /// The answer.
        answer: CallAnswer<()>,
    },
    /// Answer to [`BatchAction::Release`].
    Released {
        /// The number of the call.
        number: u64,
        /// The answer.
        answer: CallAnswer<()>,
    },
    /// A run ended.
    RunEnded {
        /// The run.
        run: RunId,
        /// How it ended.
        end: RunEnd,
    },
    /// Jobs were cancelled.
    JobsCancelled(Vec<JobId>),
    /// The process is stopping gracefully: nothing more is leased.
    Drain,
    /// Time passed.
    Tick,
}

/// An action to carry out for the executor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BatchAction {
    /// Request grants of capacity from control; replaces earlier requests.
    RequestGrants(Vec<GrantRequest>),
    /// Lease items. A repeated call with the same sequence number gets the same items.
    Lease {
        /// The session.
        session: SessionEpoch,
        /// Number of the lease call.
        sequence: u64,
        /// The model and the number of items.
        requested: RequestedItems,
    },
    /// Record the start of at-most-once items; they are not sent before the answer.
    MarkStarted {
        /// The session.
        session: SessionEpoch,
        /// Number of the call.
        number: u64,
        /// The items, and where each will run.
        starts: Vec<PlannedStart>,
    },
    /// Run an item; its end is reported by [`BatchEvent::RunEnded`].
    Run(RunOrder),
    /// Cancel a run at its engine at once.
    Stop {
        /// The run.
        run: RunId,
    },
    /// Commit results.
    Commit {
        /// The session.
        session: SessionEpoch,
        /// Number of the commit.
        number: u64,
        /// The results.
        results: Vec<JobResults>,
    },
    /// Release items that have not run.
    Release {
        /// The session.
        session: SessionEpoch,
        /// Number of the call.
        number: u64,
        /// The items.
        keys: Vec<LeasedItemKey>,
    },
    /// Write a decision to the journal.
    RecordDecision(BatchDecision),
}

/// A decision about an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchDecision {
    /// The kind of decision.
    pub kind: DecisionKind,
    /// The tenant of the item.
    pub tenant: TenantId,
    /// The item's job.
    pub job: JobId,
    /// The item.
    pub item: ItemNumber,
    /// The replica, if the item has one.
    pub replica: Option<ReplicaId>,
    /// The reason.
    pub reason: ReasonCode,
    /// The outcome.
    pub outcome: String,
}
