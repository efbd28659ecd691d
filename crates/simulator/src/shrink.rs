//! Shrinks a failing run to fewer kinds of faults and a shorter duration.

use crate::{SimulationOptions, SimulationReport, simulate};

/// Time by which a shortened run extends past the violation, in milliseconds.
const MARGIN_MS: u64 = 1_000;

/// Shrinks a failing run; returns the options and the report of the smaller run.
///
/// Each kind of fault has its own random generator, so removing one kind changes
/// little of the remaining run.
#[must_use]
pub fn shrink(
    failing: &SimulationOptions,
    report: SimulationReport,
) -> (SimulationOptions, SimulationReport) {
    let mut best = (failing.clone(), report);
    shorten(&mut best);
    for kind in failing.faults.kinds() {
        let mut smaller = best.0.clone();
        smaller.faults = smaller.faults.without(*kind);
        let report = simulate(&smaller);
        if violate_same_invariant(&best.1, &report) {
            best = (smaller, report);
            shorten(&mut best);
        }
    }
    best
}

/// Whether two runs violated the same invariant.
fn violate_same_invariant(one: &SimulationReport, other: &SimulationReport) -> bool {
    match (one.violations.first(), other.violations.first()) {
        (Some(one), Some(other)) => one.invariant == other.invariant,
        _ => false,
    }
}

/// Reduces the duration of a run to the time of its violation and a margin.
fn shorten(run: &mut (SimulationOptions, SimulationReport)) {
    if let Some(violation) = run.1.violations.first() {
        let end = violation.at_ms + MARGIN_MS;
        run.0.duration_ms = run.0.duration_ms.min(end);
    }
}
