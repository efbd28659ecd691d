//! The configuration in force: followed, stored, never stepped back.

pub mod follower;
pub(crate) mod store;
