//! The engine without clocks and sockets.

use std::collections::VecDeque;

use linnethitch_protocol::fleet::{EngineRole, EngineState, LoadReport};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::{
    faults::FaultSwitches,
    loading::Loading,
    model::EngineModel,
    prefix_cache::PrefixCache,
    request::{EngineEvent, EngineRequest, FinishReason, KvHandle, Refusal, SequenceId},
    sequence::Sequence,
};
use crate::Time;

/// A step of the batch that is being computed.
#[derive(Debug)]
pub(super) struct Step {
    pub(super) ends_at: Time,
    /// Sequences that decode one token.
    pub(super) decoding: Vec<SequenceId>,
    /// Prompt tokens computed for sequences.
    pub(super) prefills: Vec<PrefillChunk>,
}

/// A part of a prompt computed in one step.
#[derive(Clone, Copy, Debug)]
pub(super) struct PrefillChunk {
    pub(super) id: SequenceId,
    pub(super) tokens: u32,
}

/// A load report with the time of its measurement.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sample {
    pub(super) at: Time,
    pub(super) report: LoadReport,
}

/// A prefilled KV cache kept for export.
#[derive(Debug)]
pub(super) struct Export {
    pub(super) id: SequenceId,
    pub(super) handle: KvHandle,
}

/// An engine with continuous batching.
///
/// Callers pass times that never fall. Between [`EngineCore::submit`] and the
/// next [`EngineCore::advance`] nothing happens but what they ask for.
#[derive(Debug)]
pub struct EngineCore {
    pub(super) model: EngineModel,
    pub(super) generator: Pcg64Mcg,
    pub(super) state: EngineState,
    pub(super) loading: Loading,
    pub(super) faults: FaultSwitches,
    pub(super) waiting: Vec<Sequence>,
    pub(super) running: Vec<Sequence>,
    pub(super) step: Option<Step>,
    pub(super) cache: PrefixCache,
    pub(super) exports: VecDeque<Export>,
    pub(super) samples: VecDeque<Sample>,
    /// Events of the scheduling between two calls of `advance`.
    pub(super) unreported: Vec<EngineEvent>,
    arrivals: u64,
    pub(super) clock: Time,
}

impl EngineCore {
    /// An idle engine with no model loaded.
    #[must_use]
    pub fn new(model: EngineModel, seed: u64) -> EngineCore {
        EngineCore {
            model,
            generator: Pcg64Mcg::seed_from_u64(seed),
            state: EngineState::default(),
            loading: Loading::default(),
            faults: FaultSwitches::default(),
            waiting: Vec::new(),
            running: Vec::new(),
            step: None,
            cache: PrefixCache::default(),
            exports: VecDeque::new(),
            samples: VecDeque::new(),
            unreported: Vec::new(),
            arrivals: 0,
            clock: Time::ZERO,
        }
    }

    /// Sets what is loaded, without an order and without load time.
    #[must_use]
    pub fn with_state(mut self, state: EngineState) -> EngineCore {
        self.state = state;
        self
    }

    /// The parameters.
    #[must_use]
    pub fn model(&self) -> &EngineModel {
        &self.model
    }

    /// What is loaded.
    #[must_use]
    pub fn state(&self) -> &EngineState {
        &self.state
    }

    /// The fault switches that are on.
    #[must_use]
    pub fn faults(&self) -> &FaultSwitches {
        &self.faults
    }

    /// Takes a request on.
    ///
    /// # Errors
    /// A [`Refusal`]; nothing of the request ran.
    pub fn submit(&mut self, now: Time, request: EngineRequest) -> Result<(), Refusal> {
        self.clock = self.clock.max(now);
        self.progress_loading();
        self.check(&request)?;
        let import = request.kv_import.as_ref();
        let import_micros = import.map_or(0, |handle| self.model.import_duration(handle.tokens));
        let imported = import.map_or(0, |handle| handle.tokens);
        self.arrivals += 1;
        self.waiting.push(Sequence {
            arrival: self.arrivals,
            ready_at: self.clock + import_micros,
            next_index: request.resume_tokens,
            answer_tokens: request.answer_tokens(),
            computed_tokens: imported,
            decoded_here: 0,
            cached_tokens: 0,
            request,
        });
        if self.step.is_none() {
            self.start_step(self.clock);
        }
        self.sample();
        Ok(())
    }

    fn check(&self, request: &EngineRequest) -> Result<(), Refusal> {
        if self.faults.dead {
            return Err(Refusal::Dead);
        }
        if self.faults.refusing {
            return Err(Refusal::Fault);
        }
        if self.state.leaving {
            return Err(Refusal::Leaving);
        }
        if self.loading.model_pending() {
            return Err(Refusal::Loading);
        }
        if !self.has_model(&request.model) {
            return Err(Refusal::WrongModel);
        }
        if !self.role_allows(request) {
            return Err(Refusal::WrongRole);
        }
        if let Some(handle) = &request.kv_import
            && handle.prompt != request.prompt
        {
            return Err(Refusal::WrongHandle);
        }
        if request.prompt_tokens + request.answer_tokens() > self.model.kv_capacity_tokens {
            return Err(Refusal::TooLong);
        }
        if self.find(request.id).is_some() {
            return Err(Refusal::DuplicateId);
        }
        let queued = self
            .waiting
            .iter()
            .filter(|waiting| waiting.priority() == request.priority)
            .count();
        if queued >= self.model.max_waiting as usize {
            return Err(Refusal::Full);
        }
        Ok(())
    }

    /// Whether `name` or `name:adapter` is loaded.
    #[must_use]
    pub fn has_model(&self, wanted: &str) -> bool {
        let Some(loaded) = &self.state.model else {
            return false;
        };
        if wanted == loaded.0 {
            return true;
        }
        wanted
            .strip_prefix(loaded.0.as_str())
            .and_then(|rest| rest.strip_prefix(':'))
            .is_some_and(|adapter| self.state.adapters.iter().any(|known| known == adapter))
    }

    fn role_allows(&self, request: &EngineRequest) -> bool {
        match self.state.role {
            EngineRole::Mixed => true,
            EngineRole::Prefill => request.prefill_only,
            EngineRole::Decode => !request.prefill_only,
        }
    }

    fn find(&self, id: SequenceId) -> Option<&Sequence> {
        self.running
            .iter()
            .chain(&self.waiting)
            .find(|sequence| sequence.id() == id)
    }

    /// Drops a request; whether it was there. No event of it follows.
    pub fn cancel(&mut self, id: SequenceId) -> bool {
        let before = self.running.len() + self.waiting.len();
        self.running.retain(|sequence| sequence.id() != id);
        self.waiting.retain(|sequence| sequence.id() != id);
        self.running.len() + self.waiting.len() < before
    }

    /// When [`EngineCore::advance`] has something to do next.
    #[must_use]
    pub fn next_event_at(&self) -> Option<Time> {
        if self.faults.stopped() {
            return None;
        }
        let step = match &self.step {
            Some(step) => Some(step.ends_at),
            None => self.waiting.iter().map(|waiting| waiting.ready_at).min(),
        };
        [step, self.loading.ends_at()].into_iter().flatten().min()
    }

    /// Lets the time pass up to `now` and appends what happened, in order.
    pub fn advance(&mut self, now: Time, events: &mut Vec<EngineEvent>) {
        events.append(&mut self.unreported);
        if self.faults.stopped() {
            self.clock = self.clock.max(now);
            return;
        }
        while let Some(at) = self.next_event_at().filter(|at| *at <= now) {
            self.clock = self.clock.max(at);
            let finished = self.step.take_if(|step| step.ends_at <= at);
            if let Some(step) = finished {
                self.finish_step(step, events);
            }
            self.progress_loading();
            if self.step.is_none() {
                self.start_step(self.clock);
            }
            self.sample();
            events.append(&mut self.unreported);
        }
        self.clock = self.clock.max(now);
        self.progress_loading();
    }

    pub(super) fn progress_loading(&mut self) {
        let idle = self.running.is_empty() && self.waiting.is_empty();
        if self
            .loading
            .progress(self.clock, idle, &self.model, &mut self.state)
        {
            self.cache
                .clear(self.clock, &self.model, &mut self.generator);
        }
    }

    fn finish_step(&mut self, step: Step, events: &mut Vec<EngineEvent>) {
        for chunk in &step.prefills {
            self.finish_prefill(*chunk, step.ends_at, events);
        }
        for id in &step.decoding {
            self.emit_token(*id, step.ends_at, events);
        }
    }

    fn finish_prefill(&mut self, chunk: PrefillChunk, at: Time, events: &mut Vec<EngineEvent>) {
        let Some(sequence) = self.running.iter_mut().find(|one| one.id() == chunk.id) else {
            return;
        };
        sequence.computed_tokens += chunk.tokens;
        if sequence.prefill_left() > 0 {
            return;
        }
        self.cache.store(
            at,
            &sequence.request.prefix_hashes,
            &self.model,
            &mut self.generator,
        );
        if sequence.request.prefill_only {
            let handle = KvHandle {
                prompt: sequence.request.prompt,
                tokens: sequence.computed_tokens,
            };
            self.keep_export(chunk.id, handle);
            self.finish(chunk.id, FinishReason::Prefilled, at, events);
        } else {
            self.emit_token(chunk.id, at, events);
        }
    }

    fn keep_export(&mut self, id: SequenceId, handle: KvHandle) {
        if self.exports.len() >= self.model.max_exports {
            self.exports.pop_front();
        }
        self.exports.push_back(Export { id, handle });
    }

    fn emit_token(&mut self, id: SequenceId, at: Time, events: &mut Vec<EngineEvent>) {
        let drop_after = self.faults.drop_after_tokens;
        let Some(sequence) = self.running.iter_mut().find(|one| one.id() == id) else {
            return;
        };
        if drop_after.is_some_and(|most| sequence.decoded_here >= most) {
            self.running.retain(|one| one.id() != id);
            events.push(EngineEvent::Broken { at, id });
            return;
        }
        if sequence.next_index < sequence.answer_tokens {
            let index = sequence.next_index;
            sequence.next_index += 1;
            sequence.decoded_here += 1;
            sequence.computed_tokens = sequence.context_tokens();
            events.push(EngineEvent::Token { at, id, index });
        }
        if sequence.next_index >= sequence.answer_tokens {
            let reason = sequence.request.finish_reason();
            self.finish(id, reason, at, events);
        }
    }

    fn finish(
        &mut self,
        id: SequenceId,
        reason: FinishReason,
        at: Time,
        events: &mut Vec<EngineEvent>,
    ) {
        let Some(position) = self.running.iter().position(|one| one.id() == id) else {
            return;
        };
        let sequence = self.running.remove(position);
        events.push(EngineEvent::Finished {
            at,
            id,
            reason,
            cached_tokens: sequence.cached_tokens,
        });
    }
}
