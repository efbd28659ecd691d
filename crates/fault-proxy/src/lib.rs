//! Loopback proxies for tests that delay, hold, reset or silently drop the data of TCP
//! connections, and datagrams.
//!
//! A proxy listens at the address to which one process connects, and forwards data to the
//! address at which the other process listens. Its [`Mode`] determines how it treats the data;
//! a test changes the mode while the processes run. The crate is only a dev-dependency.

mod datagrams;
mod mode;
mod network;
mod streams;

pub use mode::{Direction, Mode};
pub use network::{Network, Proxy};
