//! The HTTP server that the callers' and the operators' interface share:
//! connections within bounds, a planned stop, bodies within bounds, answers by
//! the error table. What the paths mean is each interface's own.

pub mod answer;
pub mod body;
mod endpoint;
mod listener;
mod request;

pub use endpoint::{Endpoints, Route};
pub use listener::{ConnectionLimits, Listener};
pub use request::{IncomingRequest, RequestHead, TakenFromState};
