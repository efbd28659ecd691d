//! Placement: makes engines run the models that the fleet file declares.
//!
//! The control member that leads runs a [`PlacementDriver`]. The driver watches
//! the platform's machine list, the engines and the weight store, and issues
//! orders. Orders are committed to the ledger before they are sent, and carry
//! the fencing tokens of their commits. All decisions are made by the
//! [`Reconciler`], which has no clock and no sockets; the next orders are
//! planned by `linnethitch_routing::placement`. The driver also asks engines about
//! started items whose gateways were lost ([`LostStarts`]).

pub mod reconciler;

mod client;
mod driver;
mod host;
mod lost_starts;
mod settings;
mod wire;

pub use driver::PlacementDriver;
pub use host::{PlacementHost, PlacementView};
pub use lost_starts::{LostStarts, StartVerdict, WithdrawalAnswer};
pub use reconciler::Reconciler;
pub use settings::PlacementLimits;
