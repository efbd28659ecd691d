//! Schedules random faults; each kind of fault has its own random generator.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::faults::{FaultKind, FaultSet};

/// Mean time between two faults of a kind, in milliseconds; drawn for each phase.
const MEAN_INTERVAL_MS: std::ops::Range<u64> = 15_000..180_000;
/// Share of the fault phases in which a kind occurs.
const ACTIVE_SHARE: f64 = 0.25;

/// The schedule of random faults.
pub(crate) struct Nemesis {
    random: BTreeMap<FaultKind, Pcg64Mcg>,
    mean_ms: BTreeMap<FaultKind, u64>,
}

impl Nemesis {
    /// Creates a schedule from a seed.
    pub(crate) fn new(faults: &FaultSet, seed: u64) -> Self {
        let random = faults.kinds().iter().map(|kind| {
            let kind_seed = (*kind as u64 + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
            (*kind, Pcg64Mcg::seed_from_u64(seed ^ kind_seed))
        });
        Nemesis {
            random: random.collect(),
            mean_ms: BTreeMap::new(),
        }
    }

    /// Chooses the kinds that occur in the next phase; returns them with the time until their
    /// first fault, in milliseconds.
    pub(crate) fn begin_phase(&mut self) -> Vec<(FaultKind, u64)> {
        let mut first = Vec::new();
        for (kind, random) in &mut self.random {
            if random.random_bool(ACTIVE_SHARE) {
                let mean_ms = random.random_range(MEAN_INTERVAL_MS);
                self.mean_ms.insert(*kind, mean_ms);
                first.push((*kind, random.random_range(0..mean_ms)));
            }
        }
        first
    }

    /// The random generator of a kind.
    pub(crate) fn random(&mut self, kind: FaultKind) -> &mut Pcg64Mcg {
        self.random
            .entry(kind)
            .or_insert_with(|| Pcg64Mcg::seed_from_u64(0))
    }

    /// Draws the time until the next fault of a kind, in milliseconds.
    pub(crate) fn next_in(&mut self, kind: FaultKind) -> u64 {
        let mean_ms = self.mean_ms.get(&kind).copied();
        let max_ms = 2 * mean_ms.unwrap_or(MEAN_INTERVAL_MS.end);
        self.random(kind).random_range(1_000..max_ms)
    }
}
