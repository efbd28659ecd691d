//! Limits on what clients may occupy of a process: connections, and memory for request bodies.
//!
//! [`IngressPolicy`] decides who gives way when a limit is reached; it is told of connections,
//! bytes and time, and does no input or output. [`Ingress`] carries its decisions out for the
//! HTTP servers of a process, which share one memory budget.

mod body;
mod discard;
mod ingress;
mod metrics;
mod policy;
mod reservation;

pub use body::{BodyLimits, read_body};
pub use discard::ClientBody;
pub use ingress::{ClientConnection, Ingress, IngressListener};
pub use policy::{
    Accepted, BodyRefusal, ConnectionId, ConnectionTimeouts, IngressCounts, IngressPolicy,
    ListenerId, ListenerUsage,
};
pub use reservation::MemoryReservation;
