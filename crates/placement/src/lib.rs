//! Placement: brings what engines run to what the fleet file wants.
//!
//! The leading control member runs a [`PlacementDriver`]. It watches the
//! platform's list, the engines and the weight store, and issues orders that
//! are committed to the ledger first and carry its fencing tokens. All
//! decisions are made by the [`Reconciler`], which has no clock and no
//! sockets; which orders are next comes from `linnethitch_routing::placement`.

pub mod reconciler;

mod client;
mod driver;
mod host;
mod settings;
mod wire;

pub use driver::PlacementDriver;
pub use host::{PlacementHost, PlacementView};
pub use reconciler::Reconciler;
pub use settings::PlacementLimits;
