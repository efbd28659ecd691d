//! One control member without clock, threads or network.
//!
//! [`Member`] joins the consensus node, the durable log and the ledger. Its
//! driver, a process or the simulator, feeds it with time, messages and calls,
//! lets it work with [`Member::flush`] and carries out its [`MemberOutput`]s.
//! Everything fed between two flushes shares one sync (group commit).

mod apply;
mod calls;
mod core;
mod formation;
mod log_store;
mod opening;
mod output;
mod persist;
mod proposals;
mod settings;
mod snapshots;
mod upkeep;
mod view;

pub use self::core::Member;
pub use output::{MemberNotice, MemberOutput};
pub use settings::{MemberSettings, MemberTime};
pub use view::MemberView;
