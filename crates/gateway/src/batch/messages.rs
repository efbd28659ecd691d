//! What goes into the executor and what comes out of it.

use std::sync::Arc;

use linnethitch_errors::ErrorKind;
use linnethitch_observability::journal::DecisionKind;
use linnethitch_protocol::{
    attach::{GrantWish, PendingItems},
    command::{JobResults, LeasedItem, LeasedItemKey, WantedItems},
    ids::{ItemNumber, JobId, ModelId, ReplicaId, SessionEpoch, TenantId, Timestamp},
};
use linnethitch_routing::ReasonCode;

/// Rules of one executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExecutorSettings {
    /// Items held at once, running or not; 0 leases none.
    pub max_items: u32,
    /// Runs of a repeatable item that may have started, before its failure becomes its result.
    pub max_attempts: u32,
    /// Items leased beyond the granted capacity, in percent of it, so that a sequence that
    /// ends has its successor at hand.
    pub lease_ahead_percent: u32,
    /// Longest time that a result waits for others to be committed with, in milliseconds.
    pub commit_interval_ms: u64,
    /// Wait before a call to control that was not answered is made again, in milliseconds.
    pub call_retry_ms: u64,
    /// Wait before a failed item runs again; doubles with each failure, in milliseconds.
    pub item_retry_ms: u64,
    /// An item that found no room for this long is given back, in milliseconds.
    pub release_after_ms: u64,
    /// Time between two wishes for capacity, in milliseconds.
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
    /// Its number in the ledger.
    pub epoch: SessionEpoch,
    /// Nothing runs under it after this time of the executor's clock.
    pub until: Timestamp,
}

/// How many batch sequences this gateway may have on a replica now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaCapacity {
    /// The replica.
    pub replica: ReplicaId,
    /// The model that it serves, without adapter.
    pub model: ModelId,
    /// The adapters that it has loaded.
    pub adapters: Vec<String>,
    /// Sequences, those running included.
    pub sequences: u32,
    /// What bounds them.
    pub reason: ReasonCode,
}

/// How a call to control ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallAnswer<T> {
    /// It was carried out.
    Done(T),
    /// The ledger refused it because the session has ended.
    Fenced,
    /// Not carried out, or not known; the same call may be made again.
    Unknown,
}

/// One run of an item on one replica; never used twice by an executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RunId(pub u64);

/// What earlier runs of an item produced.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GeneratedTokens {
    /// How many tokens.
    pub tokens: u32,
    /// Their text.
    pub text: String,
}

/// An item to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunOrder {
    /// Names the run.
    pub run: RunId,
    /// The item.
    pub item: Arc<LeasedItem>,
    /// Where it runs.
    pub replica: ReplicaId,
    /// What the run goes on after.
    pub generated: GeneratedTokens,
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The whole answer is there.
    Answered {
        /// HTTP status.
        status: u16,
        /// The JSON body.
        body: Vec<u8>,
    },
    /// No run can succeed: the request itself is wrong.
    Rejected {
        /// Why.
        kind: ErrorKind,
        /// The message for the caller.
        message: String,
    },
    /// The run failed; another one may succeed.
    Failed {
        /// Whether the back end may have started it.
        may_have_started: bool,
        /// What it had produced, with what it went on after.
        generated: GeneratedTokens,
        /// What went wrong.
        message: String,
    },
    /// It was stopped by [`BatchAction::Stop`].
    Stopped {
        /// What it had produced, with what it went on after.
        generated: GeneratedTokens,
    },
}

/// What the executor is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BatchEvent {
    /// The session was opened, renewed or lost.
    Session(Option<BatchSession>),
    /// Items pending in the ledger, by model.
    Pending(Vec<PendingItems>),
    /// The room on every replica with a grant; replaces what was told before.
    Capacity(Vec<ReplicaCapacity>),
    /// Answer to [`BatchAction::Lease`].
    Leased {
        /// The lease's number.
        sequence: u64,
        /// The items.
        answer: CallAnswer<Vec<LeasedItem>>,
    },
    /// Answer to [`BatchAction::MarkStarted`].
    Started {
        /// The call's number.
        number: u64,
        /// Which items may be sent, in the order of the call.
        answer: CallAnswer<Vec<bool>>,
    },
    /// Answer to [`BatchAction::Commit`].
    Committed {
        /// The commit's number.
        number: u64,
        /// How it ended.
        answer: CallAnswer<()>,
    },
    /// Answer to [`BatchAction::Release`].
    Released {
        /// The call's number.
        number: u64,
        /// How it ended.
        answer: CallAnswer<()>,
    },
    /// A run ended.
    RunEnded {
        /// Which.
        run: RunId,
        /// How.
        end: RunEnd,
    },
    /// Jobs were cancelled.
    JobsCancelled(Vec<JobId>),
    /// The process stops as planned: lease nothing more.
    Drain,
    /// Time passed.
    Tick,
}

/// What the executor wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BatchAction {
    /// Tell control how much capacity is wished for; replaces earlier wishes.
    RequestGrants(Vec<GrantWish>),
    /// Lease items. The same sequence gets the same items.
    Lease {
        /// Under which session.
        session: SessionEpoch,
        /// Number of the lease.
        sequence: u64,
        /// What to lease.
        wanted: WantedItems,
    },
    /// Record that at-most-once items may start; nothing of them is sent before the answer.
    MarkStarted {
        /// Under which session.
        session: SessionEpoch,
        /// Number of the call.
        number: u64,
        /// The items.
        keys: Vec<LeasedItemKey>,
    },
    /// Run an item; ends with [`BatchEvent::RunEnded`].
    Run(RunOrder),
    /// Cancel a run at its engine at once.
    Stop {
        /// Which.
        run: RunId,
    },
    /// Commit results.
    Commit {
        /// Under which session.
        session: SessionEpoch,
        /// Number of the commit.
        number: u64,
        /// The results.
        results: Vec<JobResults>,
    },
    /// Give items back unrun.
    Release {
        /// Under which session.
        session: SessionEpoch,
        /// Number of the call.
        number: u64,
        /// The items.
        keys: Vec<LeasedItemKey>,
    },
    /// A decision for the journal.
    RecordDecision(BatchDecision),
}

/// A decision about an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchDecision {
    /// What kind.
    pub kind: DecisionKind,
    /// Whose item it is.
    pub tenant: TenantId,
    /// The item's job.
    pub job: JobId,
    /// The item.
    pub item: ItemNumber,
    /// On which replica.
    pub replica: Option<ReplicaId>,
    /// Why.
    pub reason: ReasonCode,
    /// What came out.
    pub outcome: String,
}
