//! One control member without clock, threads or network.
//!
//! [`Member`] combines the consensus node, the durable log and the ledger. Its driver, a
//! process or the simulator, passes in time, messages and calls, calls [`Member::flush`] and
//! carries out the [`MemberOutput`]s. All input between two flushes shares one sync (group
//! commit).

mod apply;
mod calls;
mod core;
mod log_store;
mod maintenance;
mod opening;
mod output;
mod persist;
mod presence;
mod proposals;
mod settings;
mod snapshots;
mod view;

pub use self::core::Member;
pub use output::{MemberNotice, MemberOutput};
pub use settings::{MemberSettings, MemberTime};
pub use view::MemberView;
