//! How large a fleet gets, what that costs, and the runs that measure it.
//!
//! [`capacity`] turns measured slopes into the tables of `docs/CAPACITY.md`.

pub mod capacity;
pub mod fleet;
pub mod usage;
