//! Scale measurements and the capacity model.
//!
//! [`run`] runs a large fleet on one machine and measures its cost; [`capacity`]
//! turns measured slopes into the tables of `docs/CAPACITY.md`.

pub mod capacity;
pub mod fleet;
pub mod run;
pub mod usage;
