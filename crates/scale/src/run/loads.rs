//! Random load reports that change gradually, as the reports of busy engines do.

use linnethitch_emulator::engine::EngineModel;
use linnethitch_protocol::{fleet::LoadReport, ids::Timestamp};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const TOKENS_PER_REQUEST: u32 = 3_000;
/// Maximum change of the number of running requests between two reports of a replica.
const MAX_STEP: i32 = 3;

/// Load of each replica as a random walk.
pub(super) struct RandomLoads {
    engine: EngineModel,
    running: Vec<u32>,
    random: Pcg64Mcg,
}

impl RandomLoads {
    pub(super) fn new(replicas: usize, seed: u64) -> Self {
        let engine = EngineModel::default();
        RandomLoads {
            running: vec![engine.max_running / 2; replicas],
            engine,
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Index of a replica chosen at random.
    pub(super) fn random_replica(&mut self) -> usize {
        self.random.random_range(0..self.running.len())
    }

    /// Next report of a replica.
    pub(super) fn next_report(&mut self, replica: usize, measured_at: Timestamp) -> LoadReport {
        let max_running = self.engine.max_running;
        let step = self.random.random_range(-MAX_STEP..=MAX_STEP);
        let running = &mut self.running[replica];
        *running = running
            .saturating_add_signed(step)
            .min(max_running + max_running / 8);
        let started = (*running).min(max_running);
        let waiting = *running - started;
        LoadReport {
            measured_at,
            running_online: started,
            waiting,
            queued_prefill_tokens: waiting * TOKENS_PER_REQUEST,
            kv_used_tokens: started * TOKENS_PER_REQUEST,
            kv_capacity_tokens: self.engine.kv_capacity_tokens,
            max_running,
            ..LoadReport::default()
        }
    }
}
