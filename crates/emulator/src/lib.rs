//! Stand-ins for the outside systems: model engines, application replicas and
//! the platform.
//!
//! Each stand-in has a core without clocks or sockets, driven by a [`Time`]
//! that its caller passes in, so that experiments run it in virtual time. The
//! HTTP servers drive the same cores in real time; their contract is
//! `docs/reference/back-ends.md`.

pub mod answer;
pub mod application;
mod clock;
pub mod engine;
mod executions;
mod http;
pub mod platform;
mod time;
mod wire;

pub use time::Time;
