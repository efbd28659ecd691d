//! Settings of one process: where it runs, what it listens on, where its
//! files are. The fleet's own configuration is in [`crate::fleet`].
//!
//! Settings come from a TOML file and from flags; a flag wins over the file.
//! Both are read into the `…Values` types, in which every field may be
//! absent, merged, and then completed into [`GatewaySettings`] or
//! [`ControlSettings`], which are valid as a whole. Programs that hold several
//! roles in one process build the complete types themselves.

mod check;
mod control;
mod gateway;
mod load;
mod log;

pub use control::{ControlPeer, ControlSettings, ControlValues, DEFAULT_SNAPSHOT_LOG_BYTES};
pub use gateway::{DEFAULT_JOURNAL_MAX_BYTES, GatewayLimits, GatewaySettings, GatewayValues};
pub use load::{MIN_CLUSTER_KEY_BYTES, SettingsError, read_cluster_key};
pub use log::{LogLevel, LogSettings};
