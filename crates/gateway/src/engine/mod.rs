//! The client towards model engines: HTTP, event streams, token accounting.

pub(crate) mod chunk;
pub(crate) mod client;
pub(crate) mod fault;
mod opening;
pub(crate) mod sse;
pub(crate) mod stream;
