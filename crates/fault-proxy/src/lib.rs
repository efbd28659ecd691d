//! Loopback proxies for tests: TCP connections and datagrams that are delayed,
//! held back, reset or fall silent.
//!
//! A proxy listens where one process expects another and passes everything on to
//! where that other one really listens. What it does with it is a [`Mode`], which
//! a test changes while processes run. The crate is a dev-dependency only.

mod datagrams;
mod mode;
mod network;
mod streams;

pub use mode::{Mode, Way};
pub use network::{Network, Proxy};
