//! Decisions of linnethitch: where a request runs, whether it may start, what
//! is retried, when batch work steps aside and what engines should load.
//!
//! Nothing here reads a clock, a socket or a random source. Every call gets
//! `now`, works on the state passed in and draws from the caller's generator,
//! so that the same code runs in a gateway, in an experiment in virtual time
//! and in the fault simulator.

pub mod admission;
pub mod answer_times;
pub mod batch;
pub mod cold;
pub mod costs;
pub mod dispatch;
pub mod grants;
pub mod limits;
pub mod placement;
pub mod profile;
pub mod quota;
pub mod reason;
pub mod retry;
pub mod router;
pub mod view;

pub use admission::Admission;
pub use profile::{Choice, Class, Phase, RequestProfile, RoutingRefusal, Target};
pub use reason::ReasonCode;
pub use retry::RetryBudget;
pub use router::Router;
pub use view::{FleetView, ReplicaIndex, Ticket};
