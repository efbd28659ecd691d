//! The HTTP server towards callers.

pub(crate) mod answer;
pub(crate) mod body;
pub(crate) mod incoming;
pub(crate) mod listener;
pub(crate) mod page;
pub(crate) mod routes;
mod stall;
