//! Emulators of the external systems: model engines, application replicas and
//! the platform.
//!
//! Each emulator has a core without clocks or sockets. The caller passes the
//! current [`Time`] to the core, so experiments can run it in virtual time. The
//! HTTP servers drive the same cores in real time; `docs/reference/back-ends.md`
//! specifies their interfaces.

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
