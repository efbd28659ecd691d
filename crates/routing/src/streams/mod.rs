//! Which software began a stream: records of streams, the gateways that keep them, and the
//! software versions that a service had lately. Times are monotonic, in milliseconds.

mod history;
mod holders;
mod route_history;
mod table;

pub use history::SoftwareHistory;
pub use holders::{record_candidates, record_holders};
pub use route_history::{RouteHistory, RouteKey};
pub use table::StreamTable;
