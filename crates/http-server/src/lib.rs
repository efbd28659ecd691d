//! The HTTP server that the callers' and the operators' interfaces share: limits of
//! connections and bodies, planned stops, and responses according to the error table. Each
//! interface defines its own paths.

pub mod answer;
pub mod body;
mod client_stream;
mod endpoint;
mod listener;
mod request;

pub use endpoint::{Endpoints, Route};
pub use listener::{ConnectionLimits, Listener};
pub use request::{IncomingRequest, RequestHead, TakenFromState};
