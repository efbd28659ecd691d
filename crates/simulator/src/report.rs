//! The result of a simulation run.

use std::collections::BTreeMap;

use crate::{checker::Violation, faults::FaultKind};

/// Milliseconds per hour.
const HOUR_MS: f64 = 3_600_000.0;

/// The result of one run, or the sum of several.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SimulationReport {
    /// Simulated time, in milliseconds.
    pub simulated_ms: u64,
    /// Number of injected faults by kind.
    pub faults: BTreeMap<FaultKind, u64>,
    /// Number of operations whose success was reported to an actor.
    pub acknowledged: u64,
    /// Number of recovery phases that converged.
    pub convergences: u64,
    /// Number of executions that back ends started.
    pub executions: u64,
    /// Digest of the injected faults, the converged states and the number of acknowledged
    /// operations: equal for equal options.
    pub trace: u64,
    /// Trace of the run, one line per event; empty unless requested.
    pub events: Vec<String>,
    /// The first violated invariant of each run.
    pub violations: Vec<Violation>,
}

impl SimulationReport {
    /// Simulated time in hours.
    #[must_use]
    pub fn hours(&self) -> f64 {
        self.simulated_ms as f64 / HOUR_MS
    }

    /// Adds the result of another run, except for its trace.
    pub fn add(&mut self, other: &SimulationReport) {
        self.simulated_ms += other.simulated_ms;
        for (kind, count) in &other.faults {
            *self.faults.entry(*kind).or_default() += count;
        }
        self.acknowledged += other.acknowledged;
        self.convergences += other.convergences;
        self.executions += other.executions;
        self.trace ^= other.trace;
        self.violations.extend(other.violations.iter().cloned());
    }

    /// The result as one line of text.
    #[must_use]
    pub fn summary(&self) -> String {
        let kinds = self.faults.iter();
        let faults: Vec<String> = kinds
            .map(|(kind, count)| format!("{kind} {count}"))
            .collect();
        let total: u64 = self.faults.values().sum();
        format!(
            "simulated hours: {:.2}, faults injected: {total} ({}), operations acknowledged: {}, executions: {}, convergences: {}, violations: {}",
            self.hours(),
            faults.join(", "),
            self.acknowledged,
            self.executions,
            self.convergences,
            self.violations.len()
        )
    }
}
