//! Client for model engines: HTTP, event streams and checks of token indexes.

pub(crate) mod chunk;
pub(crate) mod client;
pub(crate) mod fault;
mod opening;
pub(crate) mod software;
pub(crate) mod sse;
pub(crate) mod stream;
