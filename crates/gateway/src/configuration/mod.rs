//! The configuration in force: follows the revisions of control, stores them and never returns
//! to an older one.

pub mod confirmed;
pub mod follower;
pub mod shared_documents;
pub mod store;
