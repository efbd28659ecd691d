//! Scheduling decisions of linnethitch: which replica runs a request, whether a
//! request is admitted, what is retried, when batch work yields to online work
//! and what engines should load.
//!
//! This crate does no I/O and reads neither a clock nor a global random source.
//! Callers pass in `now` and a random number generator, so the same code runs in
//! a gateway, in experiments in virtual time and in the fault simulator.

pub mod admission;
pub mod answer_times;
pub mod batch;
pub mod cold;
pub mod costs;
pub mod dispatch;
pub mod grants;
pub mod limits;
mod part_shares;
pub mod placement;
pub mod profile;
pub mod quota;
pub mod reason;
pub mod retry;
pub mod router;
pub mod streams;
pub mod view;

pub use admission::Admission;
pub use part_shares::{PartShare, PartShares};
pub use profile::{Choice, Class, Phase, RequestProfile, RoutingRefusal, Target};
pub use reason::ReasonCode;
pub use retry::RetryBudget;
pub use router::Router;
pub use view::{FleetView, ReplicaIndex, Ticket};
