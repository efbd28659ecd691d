//! Execution of batch items.
//!
//! [`BatchExecutor`] decides which items to lease, where each one runs, when an item is
//! preempted, and which results are committed. It reads no clock and opens no socket; the
//! gateway's driver and the simulator carry out its actions.

pub(crate) mod driver;
mod executor;
mod item;
mod leasing;
mod messages;
mod outbox;
mod placing;
mod releases;
mod run;
mod starts;

pub use executor::BatchExecutor;
pub use messages::{
    BatchAction, BatchDecision, BatchEvent, BatchSession, CallAnswer, ExecutorSettings, FailedRun,
    GeneratedTokens, PlannedStart, ReplicaCapacity, RunEnd, RunId, RunOrder, StartAnswer,
};
