//! Made-up loads that follow each other as those of busy engines do.

use linnethitch_emulator::engine::EngineModel;
use linnethitch_protocol::{fleet::LoadReport, ids::Timestamp};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const TOKENS_OF_A_REQUEST: u32 = 3_000;
/// Most that the number of running requests changes between two reports.
const STEP: i32 = 3;

/// The load of each replica, wandering at random.
pub(super) struct Loads {
    engine: EngineModel,
    running: Vec<u32>,
    random: Pcg64Mcg,
}

impl Loads {
    pub(super) fn new(replicas: usize, seed: u64) -> Self {
        let engine = EngineModel::default();
        Loads {
            running: vec![engine.max_running / 2; replicas],
            engine,
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// The number of a replica drawn at random.
    pub(super) fn draw(&mut self) -> usize {
        self.random.random_range(0..self.running.len())
    }

    /// The next report of a replica.
    pub(super) fn next(&mut self, replica: usize, measured_at: Timestamp) -> LoadReport {
        let most = self.engine.max_running;
        let step = self.random.random_range(-STEP..=STEP);
        let running = &mut self.running[replica];
        *running = running.saturating_add_signed(step).min(most + most / 8);
        let started = (*running).min(most);
        let waiting = *running - started;
        LoadReport {
            measured_at,
            running_online: started,
            waiting,
            queued_prefill_tokens: waiting * TOKENS_OF_A_REQUEST,
            kv_used_tokens: started * TOKENS_OF_A_REQUEST,
            kv_capacity_tokens: self.engine.kv_capacity_tokens,
            max_running: most,
            ..LoadReport::default()
        }
    }
}
