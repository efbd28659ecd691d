//! Calls of gateways to the leader of the job store.

use rkyv::{Archive, Deserialize, Serialize, with::Skip};

use crate::{
    accepted_route::AcceptedRoute,
    command::{ItemOutcome, ItemRef},
    excluded_work::ExcludedWork,
    job::{ItemSpec, JobSpec, ListedState},
    progress::{RunProgress, StoredProgress},
};

/// A call of a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum StoreCall {
    /// Accept a job if it fits into the queue of its route.
    Submit {
        /// The job.
        job: JobSpec,
        /// The tenant; `None` if the route requires no key.
        tenant: Option<String>,
        /// Bound of the queue of the route; `None` if unbounded.
        bound: Option<QueueBound>,
    },
    /// A run of an item ended.
    Report {
        /// The item.
        item: ItemRef,
        /// How the run ended.
        outcome: ItemOutcome,
    },
    /// An item is finished: its complete answer is the progress reported before plus these
    /// events.
    Finish(RunProgress),
    /// End a job.
    End {
        /// The job.
        job: String,
        /// The caller's tenant.
        tenant: Option<String>,
    },
    /// Read results.
    Results {
        /// The job.
        job: String,
        /// The caller's tenant.
        tenant: Option<String>,
        /// The first requested position, from 0.
        since: u32,
        /// Maximum bytes of text in the page, unless the first result alone is longer.
        most_bytes: u32,
    },
    /// Read the number of results.
    Listed {
        /// The job.
        job: String,
        /// The caller's tenant.
        tenant: Option<String>,
    },
    /// Read results from any member that has at least `listed` results, without asking the
    /// leader. Listed results never change.
    ResultsHeld {
        /// The job.
        job: String,
        /// The caller's tenant.
        tenant: Option<String>,
        /// The first requested position, from 0.
        since: u32,
        /// Maximum bytes of text in the page, unless the first result alone is longer.
        most_bytes: u32,
        /// Number of results according to the leader.
        listed: u32,
    },
    /// Read the body of an unlisted item.
    Body {
        /// The job.
        job: String,
        /// The caller's tenant.
        tenant: Option<String>,
        /// The item's id.
        item: String,
    },
    /// Record events that runs have generated since their last report.
    Progress(Vec<RunProgress>),
    /// Renew leases and request further items.
    Work {
        /// The gateway, as IP:PORT.
        gateway: String,
        /// Items that the gateway is still running.
        running: Vec<ItemRef>,
        /// Number of further items that the gateway can run.
        max_items: u32,
        /// Run time of a complete item as measured by the gateway, in milliseconds; 0 if
        /// unknown.
        item_ms: u64,
        /// Items that the gateway must not lease.
        excluded: ExcludedWork,
    },
}

/// Bound of the tokens of a tenant's unfinished items on a route.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct QueueBound {
    /// The host of the route.
    pub host: String,
    /// The path prefix of the route.
    pub path_prefix: String,
    /// The tenant whose items count; `None` for items without a tenant.
    pub tenant: Option<String>,
    /// Maximum number of tokens.
    pub tokens: u64,
}

impl QueueBound {
    /// Whether a tenant's job on this host and path counts towards this bound.
    #[must_use]
    pub fn concerns(&self, host: &str, path: &str, tenant: Option<&str>) -> bool {
        self.tenant.as_deref() == tenant
            && host.eq_ignore_ascii_case(&self.host)
            && path.starts_with(&self.path_prefix)
    }
}

/// A result at its position.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ItemResult {
    /// The item's id.
    pub id: String,
    /// The item's final state.
    pub state: ListedState,
    /// The text.
    pub text: String,
}

/// Results of a job from a position on.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ResultsPage {
    /// Number of items of the job.
    pub total: u32,
    /// The results.
    pub results: Vec<ItemResult>,
}

/// An item to be run under a lease.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ItemWork {
    /// The item.
    pub item: ItemRef,
    /// The host of the item's route.
    pub host: String,
    /// The route that accepted the item's job; `None` if that is unknown. Sent beside the item
    /// from the fourth format on.
    #[rkyv(with = Skip)]
    pub route: Option<AcceptedRoute>,
    /// The tenant, if any.
    pub tenant: Option<String>,
    /// The item's request.
    pub spec: ItemSpec,
    /// Number of failed runs so far.
    pub failures: u32,
    /// Time until the result is due, in milliseconds; 0 after the due time.
    pub due_in_ms: u64,
    /// Events of earlier runs; the run continues after the last one.
    pub generated: StoredProgress,
}

/// The leader's answer.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum StoreReply {
    /// The change is committed.
    Done,
    /// The tenant has no such job, or the job has no such unlisted item.
    NotFound,
    /// A job of another tenant has this id; nothing was changed.
    OtherTenant,
    /// A page of results.
    Results(ResultsPage),
    /// The number of results.
    Listed {
        /// Number of items of the job.
        total: u32,
        /// Number of listed items.
        listed: u32,
    },
    /// The body of an item.
    Body(Vec<u8>),
    /// Leased items.
    Work {
        /// Items to start.
        begin: Vec<ItemWork>,
        /// Running items that need not be finished and should be stopped.
        stop: Vec<ItemRef>,
    },
    /// The change is committed, except for these items: all their events must be sent again.
    ReportAgain(Vec<ItemRef>),
    /// The called machine is not the leader; the leader's machine number if known.
    NotLeader(Option<u32>),
    /// The job does not fit into the queue of its route; nothing was changed.
    QueueFull,
    /// Nothing was changed, and the call has no later effect.
    Refused,
    /// The change may or may not have been made.
    Unknown,
}
