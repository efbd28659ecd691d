//! The control process: replicated state, configuration delivery, placement
//! and the operators' interface.
//!
//! [`member`] holds the decisions of one member without clock, threads or
//! network; [`process`] runs one over real files and sockets.

mod attach;
pub mod catch_up;
mod clock;
mod driver;
pub mod load_teller;
pub mod member;
mod metrics;
mod operator;
mod peers;
mod placement;
pub mod process;
mod record;
mod sockets;
mod soft_state;
