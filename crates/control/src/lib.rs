//! The control process: replicated state, delivery of configuration, placement and the
//! operators' interface.
//!
//! [`member`] contains the logic of one member without clock, threads or network; [`process`]
//! runs a member over real files and sockets.

mod attach;
pub mod catch_up;
mod clock;
mod driver;
pub mod load_selector;
pub mod member;
mod metrics;
mod operator;
mod peers;
mod placement;
pub mod process;
mod record;
mod sockets;
mod soft_state;
