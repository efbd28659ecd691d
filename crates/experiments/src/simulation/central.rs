//! Schedulers that see everything: the oracle, the shared queue and the static split.

use super::{
    Simulation,
    attempt::{Attempt, Owner},
};
use crate::strategy::{BatchDispatch, OnlineDispatch, OracleLimits};

impl Simulation<'_> {
    /// Lets a central scheduler act on what an engine's step changed.
    pub(super) fn after_step(&mut self, engine: usize) {
        match self.strategy.batch {
            BatchDispatch::Oracle(limits) => self.oracle_step(engine, &limits),
            BatchDispatch::Split(_) if engine >= self.online_engines() => {
                let full = self.engines[engine].core.model().max_running;
                self.fill(engine, full);
            }
            BatchDispatch::SharedQueue => self.serve_shared_queue(),
            _ => {}
        }
    }

    fn oracle_step(&mut self, engine: usize, limits: &OracleLimits) {
        let slot = &self.engines[engine];
        let pressed = slot.online_prefill_tokens >= limits.pressed_prefill_tokens;
        let free = limits.full_sequences.saturating_sub(slot.online);
        let most = if pressed {
            free.min(limits.pressed_sequences)
        } else {
            free
        };
        let runs = slot.batch.len();
        if runs > most as usize {
            let mut victims = slot.batch.clone();
            victims.reverse();
            for id in victims.into_iter().take(runs - most as usize) {
                self.outcome.yields += 1;
                self.cancel_item(id);
            }
        }
        let online = self.engines[engine].online;
        self.fill(engine, most + online);
    }

    /// Starts items on an engine until it has this many sequences.
    fn fill(&mut self, engine: usize, sequences: u32) {
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
            over: false,
        };
        self.send(attempt, latency);
    }

    /// Hands the queue's head to the engine with the most free slots, while there is one.
    pub(super) fn serve_shared_queue(&mut self) {
        if self.strategy.online != OnlineDispatch::SharedQueue {
            return;
        }
        while !self.shared_queue.is_empty() {
            let engines = self.engines.iter().enumerate();
            let Some((engine, slot)) = engines.min_by_key(|(_, slot)| slot.sequences()) else {
                return;
            };
            if slot.sequences() >= slot.core.model().max_running {
                return;
            }
            if let Some(owner) = self.shared_queue.pop_front() {
                self.send_centrally(owner, engine);
            }
        }
    }
}
