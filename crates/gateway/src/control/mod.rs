//! The connection to control: attachment, calls, session.

pub(crate) mod attachment;
pub(crate) mod client;
mod events;
pub mod members;
pub(crate) mod reports;
pub(crate) mod session;
