//! What gateways ask of the store's leader.

use rkyv::{Archive, Deserialize, Serialize};

use crate::{
    command::{ItemOutcome, ItemRef},
    excluded_work::ExcludedWork,
    job::{ItemSpec, JobSpec, ListedState},
    progress::{RunProgress, StoredProgress},
};

/// A call of a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum StoreCall {
    /// Accept a job, if it fits.
    Submit {
        /// The job.
        job: JobSpec,
        /// Whose it is; `None` where its route needs no key.
        tenant: Option<String>,
        /// Bound of what may wait on its route; `None` where there is none.
        bound: Option<QueueBound>,
    },
    /// A run of an item ended.
    Report {
        /// The item.
        item: ItemRef,
        /// How.
        outcome: ItemOutcome,
    },
    /// An item is done: its whole answer is what its run told before and these events.
    Finish(RunProgress),
    /// End a job.
    End {
        /// The job.
        job: String,
        /// Who ends it.
        tenant: Option<String>,
    },
    /// Read results.
    Results {
        /// The job.
        job: String,
        /// Who reads.
        tenant: Option<String>,
        /// The first position wanted, from 0.
        since: u32,
        /// Bytes of text after which the page ends.
        most_bytes: u32,
    },
    /// Read how many results there are.
    Listed {
        /// The job.
        job: String,
        /// Who reads.
        tenant: Option<String>,
    },
    /// Read results of any member that holds this many, without asking its leader: results
    /// that are there stay as they are.
    ResultsHeld {
        /// The job.
        job: String,
        /// Who reads.
        tenant: Option<String>,
        /// The first position wanted, from 0.
        since: u32,
        /// Bytes of text after which the page ends.
        most_bytes: u32,
        /// Results that there are, as the leader said.
        listed: u32,
    },
    /// Read the body of an item that is not listed.
    Body {
        /// The job.
        job: String,
        /// Who reads.
        tenant: Option<String>,
        /// The item's id.
        item: String,
    },
    /// Keep what runs of items have made since they told last.
    Progress(Vec<RunProgress>),
    /// Renew leases and ask for more.
    Work {
        /// The gateway, as IP:PORT.
        gateway: String,
        /// Items that it still works on.
        running: Vec<ItemRef>,
        /// Items that it can take besides.
        want: u32,
        /// Time that a whole item has to run, as the gateway learned it, in
        /// milliseconds; 0 where it does not know.
        item_ms: u64,
        /// Items that it must not be given.
        outside: ExcludedWork,
    },
}

/// Bound of the tokens of a tenant's unfinished items on a route.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct QueueBound {
    /// The host of the route.
    pub host: String,
    /// Its prefix of paths.
    pub path_prefix: String,
    /// Whose items count; `None` for those of nobody.
    pub tenant: Option<String>,
    /// Most tokens.
    pub tokens: u64,
}

impl QueueBound {
    /// Whether a job of a tenant counts.
    #[must_use]
    pub fn concerns(&self, job: &JobSpec, tenant: Option<&str>) -> bool {
        self.tenant.as_deref() == tenant
            && job.host.eq_ignore_ascii_case(&self.host)
            && job.path.starts_with(&self.path_prefix)
    }
}

/// A result at its position.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ItemResult {
    /// The item's id.
    pub id: String,
    /// How it ended.
    pub state: ListedState,
    /// Its text.
    pub text: String,
}

/// Results of a job from a position on.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ResultsPage {
    /// Items of the job.
    pub total: u32,
    /// The results.
    pub results: Vec<ItemResult>,
}

/// An item to be run under a lease.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ItemWork {
    /// The item.
    pub item: ItemRef,
    /// The host of its route.
    pub host: String,
    /// Whose it is.
    pub tenant: Option<String>,
    /// Its request.
    pub spec: ItemSpec,
    /// Runs that failed before.
    pub failures: u32,
    /// Time until it is due, in milliseconds; 0 when that has passed.
    pub due_in_ms: u64,
    /// What earlier runs made; it goes on after the last event.
    pub made: StoredProgress,
}

/// The leader's answer.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum StoreReply {
    /// The change is committed.
    Done,
    /// There is no such job of the tenant, or no such item that is not listed.
    NotFound,
    /// A job of another tenant has this id; nothing was done.
    OtherTenant,
    /// Results.
    Results(ResultsPage),
    /// How many results there are.
    Listed {
        /// Items of the job.
        total: u32,
        /// Those that are listed.
        listed: u32,
    },
    /// The body of an item.
    Body(Vec<u8>),
    /// Leases.
    Work {
        /// Items to begin.
        begin: Vec<ItemWork>,
        /// Running items that need not be finished.
        stop: Vec<ItemRef>,
    },
    /// The change is committed, but of these items all has to be told again.
    TellAgain(Vec<ItemRef>),
    /// The machine asked does not lead; the leader's number if it is known.
    NotLeader(Option<u32>),
    /// A job does not fit beside what waits on its route; nothing was done.
    QueueFull,
    /// Nothing was done, and nothing will be.
    Refused,
    /// It may or may not have been done.
    Unknown,
}
