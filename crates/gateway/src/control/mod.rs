//! The connection to control: attachment, calls and session.

pub(crate) mod attachment;
pub(crate) mod client;
pub(crate) mod clock_offset;
mod events;
pub mod members;
pub(crate) mod reports;
pub(crate) mod session;
