//! Settings of one process: its location, its addresses and its files. The
//! configuration of the fleet is in [`crate::fleet`].
//!
//! Settings come from a TOML file and from flags; a flag overrides the file.
//! Both are read into the `…Values` types, in which every field is optional,
//! merged, and then completed into [`GatewaySettings`] or [`ControlSettings`],
//! which are completely validated. Programs that run several roles in one
//! process build the complete types themselves.

mod check;
mod control;
mod gateway;
mod load;
mod log;

pub use control::{ControlPeer, ControlSettings, ControlValues, DEFAULT_SNAPSHOT_LOG_BYTES};
pub use gateway::{DEFAULT_JOURNAL_MAX_BYTES, GatewayLimits, GatewaySettings, GatewayValues};
pub use load::{MIN_CLUSTER_KEY_BYTES, SettingsError, read_cluster_key};
pub use log::{LogLevel, LogSettings};
