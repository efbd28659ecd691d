//! Central schedulers with complete knowledge: the oracle, the shared queue and the static
//! split.

use super::{
    Simulation,
    attempt::{Attempt, Owner},
};
use crate::strategy::{BatchDispatch, OnlineDispatch, OracleLimits};

impl Simulation<'_> {
    /// Runs the central scheduler, if the strategy has one, after a step of an engine.
    pub(super) fn after_step(&mut self, engine: usize) {
        match self.strategy.batch {
            BatchDispatch::Oracle(limits) => self.oracle_step(engine, &limits),
            BatchDispatch::Split(_) if engine >= self.online_engine_count() => {
                let max_running = self.engines[engine].core.model().max_running;
                self.start_backlog_items(engine, max_running);
            }
            BatchDispatch::SharedQueue => self.serve_shared_queue(),
            _ => {}
        }
    }

    fn oracle_step(&mut self, engine: usize, limits: &OracleLimits) {
        let simulated = &self.engines[engine];
        let under_pressure = simulated.online_prefill_tokens >= limits.pressure_prefill_tokens;
        let free_sequences = limits.max_sequences.saturating_sub(simulated.online);
        let max_batch = if under_pressure {
            free_sequences.min(limits.pressure_sequences)
        } else {
            free_sequences
        };
        let running = simulated.batch.len();
        if running > max_batch as usize {
            let mut victims = simulated.batch.clone();
            victims.reverse();
            for id in victims.into_iter().take(running - max_batch as usize) {
                self.outcome.yields += 1;
                self.cancel_item(id);
            }
        }
        let online = self.engines[engine].online;
        self.start_backlog_items(engine, max_batch + online);
    }

    /// Starts items of the backlog on an engine until the engine has `sequences` sequences.
    fn start_backlog_items(&mut self, engine: usize, sequences: u32) {
        while self.engines[engine].sequences() < sequences {
            let Some(item) = self.backlog.pop_front() else {
                return;
            };
            self.send_centrally(Owner::Item(item), engine);
        }
    }

    fn send_centrally(&mut self, owner: Owner, engine: usize) {
        let resume_tokens = self.delivered_tokens(owner);
        let gateway = match owner {
            Owner::Online(request) => self.trace.online[request].gateway,
            Owner::Item(_) => 0,
        };
        let latency = match owner {
            Owner::Online(_) => self.latency(gateway, engine),
            Owner::Item(_) => 0,
        };
        let attempt = Attempt {
            owner,
            engine,
            gateway,
            ticket: None,
            resume_tokens,
            started: false,
            ended: false,
        };
        self.send(attempt, latency);
    }

    /// Sends the head of the queue to the engine with the fewest sequences, until the queue
    /// is empty or no engine has a free slot.
    pub(super) fn serve_shared_queue(&mut self) {
        if self.strategy.online != OnlineDispatch::SharedQueue {
            return;
        }
        while !self.shared_queue.is_empty() {
            let engines = self.engines.iter().enumerate();
            let Some((engine, simulated)) =
                engines.min_by_key(|(_, simulated)| simulated.sequences())
            else {
                return;
            };
            if simulated.sequences() >= simulated.core.model().max_running {
                return;
            }
            if let Some(owner) = self.shared_queue.pop_front() {
                self.send_centrally(owner, engine);
            }
        }
    }
}
