//! Options of a simulation run.

use crate::{
    faults::{FaultKind, FaultSet},
    rules::SafetyRule,
};

/// Milliseconds per hour.
const HOUR_MS: f64 = 3_600_000.0;

/// A fault injected at a given time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScriptedFault {
    /// Time of the injection, in milliseconds after the start of the first fault phase.
    pub at_ms: u64,
    /// The kind of fault.
    pub kind: FaultKind,
    /// Number of the affected control machine, from 1; for [`FaultKind::GatewayDeath`], number
    /// of the gateway, from 1.
    pub machine: u32,
}

/// Options of one simulation run.
#[derive(Clone, Debug)]
pub struct SimulationOptions {
    /// Seed of all random choices.
    pub seed: u64,
    /// Simulated time, in milliseconds. The run ends with the first recovery phase that
    /// converges after it.
    pub duration_ms: u64,
    /// The kinds of faults to inject at random.
    pub faults: FaultSet,
    /// Faults injected at fixed times, in addition to the random ones.
    pub script: Vec<ScriptedFault>,
    /// Disabled safety rules, to check that the simulator detects the violation.
    pub rules_off: Vec<SafetyRule>,
    /// Whether the report lists injected faults, notices of members and restarts.
    pub trace: bool,
}

impl SimulationOptions {
    /// Creates the options of a run with random faults of all kinds.
    #[must_use]
    pub fn new(seed: u64, hours: f64) -> Self {
        SimulationOptions {
            seed,
            duration_ms: (hours * HOUR_MS) as u64,
            faults: FaultSet::all(),
            script: Vec::new(),
            rules_off: Vec::new(),
            trace: false,
        }
    }

    /// Creates the options of a run with only the given faults.
    #[must_use]
    pub fn scripted(seed: u64, hours: f64, script: Vec<ScriptedFault>) -> Self {
        SimulationOptions {
            faults: FaultSet::only(&[]),
            script,
            ..SimulationOptions::new(seed, hours)
        }
    }

    /// The simulated time in hours.
    #[must_use]
    pub fn hours(&self) -> f64 {
        self.duration_ms as f64 / HOUR_MS
    }
}
