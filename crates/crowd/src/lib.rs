//! Test support: crowds of clients that are not bound to any limits, and the memory and
//! descriptors of the process that they connect to.

mod crowd;
pub mod vitals;

pub use crowd::{Crowd, Gathered, Sends, gather_all};
