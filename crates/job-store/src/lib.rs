//! Replicated state machine for batch jobs, and scheduling of their items.
//!
//! [`JobStore`] stores accepted jobs: their items, the request body of each item
//! until the item is listed, and results at fixed positions. An item is listed
//! once its final result has a position in the job's results. [`Dispatcher`] is
//! soft state of the leader: which gateway has the lease of which item. An item
//! may run more than once; the first committed result counts.

mod accepted_route;
mod age_clock;
mod call;
mod command;
mod dispatcher;
mod excluded_work;
mod first_format;
mod job;
mod lease_times;
mod plan;
mod progress;
mod queue;
mod snapshot;
mod store;
mod text;

pub use accepted_route::{AcceptedRoute, RouteDetails};
pub use age_clock::AgeClock;
pub use call::{ItemResult, ItemWork, QueueBound, ResultsPage, StoreCall, StoreReply};
pub use command::{ItemOutcome, ItemRef, StoreAnswer, StoreCommand};
pub use dispatcher::{Dispatcher, LEASE_MS, SETTLE_MS};
pub use excluded_work::{ExcludedWork, RouteExclusion};
pub use first_format::{FirstFormatCall, FirstFormatReply, FirstFormatWork};
pub use job::{ItemSpec, Job, JobSpec, ListedState, TenantJob};
pub use progress::{GeneratedEvents, ItemProgress, RunId, RunProgress, StoredProgress};
pub use queue::QueueGate;
pub use snapshot::JobStoreSnapshot;
pub use store::JobStore;
