//! Scheduling of the engine's steps: admission, preemption and chunked prefill.

use super::{
    core::{EngineCore, PrefillChunk, Step},
    request::{EngineEvent, Priority, SequenceId},
    sequence::Sequence,
};
use crate::{Time, answer::BLOCK_TOKENS};

impl EngineCore {
    pub(super) fn start_step(&mut self, now: Time) {
        if self.faults.stopped() {
            return;
        }
        self.admit(now);
        self.preempt_until_decoding_fits();
        if self.running.is_empty() {
            return;
        }
        let decoding: Vec<SequenceId> = self
            .running
            .iter()
            .filter(|sequence| sequence.remaining_prefill_tokens() == 0)
            .map(Sequence::id)
            .collect();
        let prefills = self.plan_prefills();
        let prefill_tokens = prefills.iter().map(|chunk| chunk.tokens).sum();
        let decoding_count = u32::try_from(decoding.len()).unwrap_or(u32::MAX);
        let micros = self.model.step_duration(prefill_tokens, decoding_count);
        self.step = Some(Step {
            ends_at: now + self.faults.slowed_micros(micros),
            decoding,
            prefills,
        });
    }

    /// Admits waiting requests to the running batch, most urgent first.
    fn admit(&mut self, now: Time) {
        self.waiting.sort_unstable_by_key(Sequence::urgency);
        let mut position = 0;
        while position < self.waiting.len() {
            if self.waiting[position].ready_at > now {
                position += 1;
                continue;
            }
            if !self.preempt_until_fits(position) {
                // A less urgent request must not overtake a request that waits for memory.
                break;
            }
            let mut sequence = self.waiting.remove(position);
            self.apply_prefix_cache(&mut sequence);
            self.running.push(sequence);
        }
    }

    /// Preempts sequences of lower priority until the waiting sequence at `position` fits;
    /// returns whether it fits.
    fn preempt_until_fits(&mut self, position: usize) -> bool {
        let priority = self.waiting[position].priority();
        let needed = self.waiting[position].context_tokens() + 1;
        loop {
            let slots = self.running.len() < self.model.max_running as usize;
            let memory = self.reserved_tokens() + needed <= self.model.kv_capacity_tokens;
            if slots && memory {
                return true;
            }
            let least_urgent = self.least_urgent_running();
            let preemptible =
                least_urgent.filter(|index| self.running[*index].priority() > priority);
            let Some(victim) = preemptible else {
                return false;
            };
            self.preempt(victim);
        }
    }

    /// Preempts sequences until each remaining one can grow by a token.
    fn preempt_until_decoding_fits(&mut self) {
        while self.running.len() > 1 {
            let growth = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
            if self.reserved_tokens() + growth <= self.model.kv_capacity_tokens {
                return;
            }
            match self.least_urgent_running() {
                Some(victim) => self.preempt(victim),
                None => return,
            }
        }
    }

    fn least_urgent_running(&self) -> Option<usize> {
        (0..self.running.len()).max_by_key(|index| self.running[*index].urgency())
    }

    /// Moves a running sequence back to the queue; its KV cache is lost, its generated tokens
    /// are retained.
    fn preempt(&mut self, position: usize) {
        let mut sequence = self.running.remove(position);
        sequence.computed_tokens = 0;
        self.unreported.push(EngineEvent::Preempted {
            at: self.clock,
            id: sequence.id(),
        });
        self.waiting.push(sequence);
    }

    fn apply_prefix_cache(&mut self, sequence: &mut Sequence) {
        if sequence.computed_tokens > 0 {
            return;
        }
        let blocks = self.cache.lookup(&sequence.request.prefix_hashes);
        let cached = u32::try_from(blocks).unwrap_or(0) * BLOCK_TOKENS;
        // The last token of the context is always computed, since its output is the next token.
        let usable = cached.min(sequence.context_tokens().saturating_sub(1));
        sequence.computed_tokens = usable;
        sequence.cached_tokens += usable;
    }

    fn reserved_tokens(&self) -> u32 {
        self.running.iter().map(Sequence::context_tokens).sum()
    }

    fn plan_prefills(&self) -> Vec<PrefillChunk> {
        let online_running = self
            .running
            .iter()
            .any(|sequence| sequence.priority() == Priority::Online);
        let mut budget = self.model.prefill_budget_tokens;
        let mut batch_budget = if online_running {
            self.model.batch_prefill_budget_tokens.min(budget)
        } else {
            budget
        };
        let mut order: Vec<&Sequence> = self
            .running
            .iter()
            .filter(|sequence| sequence.remaining_prefill_tokens() > 0)
            .collect();
        order.sort_unstable_by_key(|sequence| sequence.urgency());
        let mut chunks = Vec::new();
        for sequence in order {
            let allowed = match sequence.priority() {
                Priority::Online => budget,
                Priority::Batch => budget.min(batch_budget),
            };
            let tokens = sequence.remaining_prefill_tokens().min(allowed);
            if tokens == 0 {
                continue;
            }
            budget -= tokens;
            if sequence.priority() == Priority::Batch {
                batch_budget -= tokens;
            }
            chunks.push(PrefillChunk {
                id: sequence.id(),
                tokens,
            });
        }
        chunks
    }
}
