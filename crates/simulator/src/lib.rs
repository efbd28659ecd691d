//! The fault simulator: real control members on a virtual clock, network and
//! disks, with simulated callers, operators and gateways. A seed determines the run.
//!
//! [`simulate`] runs one seed. Phases with random faults of every kind alternate
//! with recovery phases without faults, in which the system must converge. The
//! first violated invariant ends the run. [`shrink()`] then looks for a run with fewer
//! kinds of faults and a shorter duration that violates the same invariant.

mod actors;
mod checker;
mod engines;
mod events;
mod faults;
mod inject;
mod machine;
mod nemesis;
mod network;
mod options;
mod report;
mod rules;
mod shrink;
mod world;

pub use checker::{Invariant, Violation};
pub use faults::{FaultKind, FaultSet};
pub use options::{ScriptedFault, SimulationOptions};
pub use report::SimulationReport;
pub use rules::SafetyRule;
pub use shrink::shrink;

/// Runs one seed to its end or to the first violated invariant.
#[must_use]
pub fn simulate(options: &SimulationOptions) -> SimulationReport {
    world::World::new(options.clone()).run()
}
