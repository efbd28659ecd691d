//! How large a fleet gets, what that costs, and the runs that measure it.
//!
//! [`run`] puts a large fleet on one machine and measures it; [`capacity`] turns
//! measured slopes into the tables of `docs/CAPACITY.md`.

pub mod capacity;
pub mod fleet;
pub mod run;
pub mod usage;
