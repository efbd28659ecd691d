//! The core of the emulated engine, without clocks and sockets.

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

/// The step that the engine is computing.
#[derive(Debug)]
pub(super) struct Step {
    pub(super) ends_at: Time,
    /// Sequences that decode one token each.
    pub(super) decoding: Vec<SequenceId>,
    /// Prompt tokens computed in the step, by sequence.
    pub(super) prefills: Vec<PrefillChunk>,
}

/// A part of a prompt computed in one step.
#[derive(Clone, Copy, Debug)]
pub(super) struct PrefillChunk {
    pub(super) id: SequenceId,
    pub(super) tokens: u32,
}

/// A load report with the time at which it was measured.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sample {
    pub(super) at: Time,
    pub(super) report: LoadReport,
}

/// A prefilled KV cache stored for export.
#[derive(Debug)]
pub(super) struct Export {
    pub(super) id: SequenceId,
    pub(super) handle: KvHandle,
}

/// An engine with continuous batching.
///
/// Callers pass times that never decrease. Between [`EngineCore::submit`] and the
/// next [`EngineCore::advance`], the state changes only by calls of the methods.
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
    /// Scheduling events that the next call of `advance` returns.
    pub(super) unreported: Vec<EngineEvent>,
    arrivals: u64,
    pub(super) clock: Time,
}

impl EngineCore {
    /// Creates an idle engine with no model loaded.
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

    /// Sets the loaded model, adapters and role without an order and without load time.
    #[must_use]
    pub fn with_state(mut self, state: EngineState) -> EngineCore {
        self.state = state;
        self
    }

    /// The parameters of the engine.
    #[must_use]
    pub fn model(&self) -> &EngineModel {
        &self.model
    }

    /// The loaded model, adapters, role and fence.
    #[must_use]
    pub fn state(&self) -> &EngineState {
        &self.state
    }

    /// The injected faults.
    #[must_use]
    pub fn faults(&self) -> &FaultSwitches {
        &self.faults
    }

    /// Adds a request to the queue.
    ///
    /// # Errors
    /// A [`Refusal`]; the request was not started.
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

    /// Whether the model (`name`) or the model with the adapter (`name:adapter`) is loaded.
    #[must_use]
    pub fn has_model(&self, requested: &str) -> bool {
        let Some(loaded) = &self.state.model else {
            return false;
        };
        if requested == loaded.0 {
            return true;
        }
        requested
            .strip_prefix(loaded.0.as_str())
            .and_then(|suffix| suffix.strip_prefix(':'))
            .is_some_and(|adapter| self.state.adapters.iter().any(|loaded| loaded == adapter))
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

    /// Removes a request and returns whether it was present. No further events of the request
    /// follow.
    pub fn cancel(&mut self, id: SequenceId) -> bool {
        let before = self.running.len() + self.waiting.len();
        self.running.retain(|sequence| sequence.id() != id);
        self.waiting.retain(|sequence| sequence.id() != id);
        self.running.len() + self.waiting.len() < before
    }

    /// The time at which [`EngineCore::advance`] has to be called next.
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

    /// Advances to `now` and appends the events up to then, in order.
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
        let Some(sequence) = self
            .running
            .iter_mut()
            .find(|sequence| sequence.id() == chunk.id)
        else {
            return;
        };
        sequence.computed_tokens += chunk.tokens;
        if sequence.remaining_prefill_tokens() > 0 {
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
            self.store_export(chunk.id, handle);
            self.finish(chunk.id, FinishReason::Prefilled, at, events);
        } else {
            self.emit_token(chunk.id, at, events);
        }
    }

    fn store_export(&mut self, id: SequenceId, handle: KvHandle) {
        if self.exports.len() >= self.model.max_exports {
            self.exports.pop_front();
        }
        self.exports.push_back(Export { id, handle });
    }

    fn emit_token(&mut self, id: SequenceId, at: Time, events: &mut Vec<EngineEvent>) {
        let token_limit = self.faults.drop_after_tokens;
        let Some(sequence) = self.running.iter_mut().find(|sequence| sequence.id() == id) else {
            return;
        };
        if token_limit.is_some_and(|limit| sequence.decoded_here >= limit) {
            self.running.retain(|sequence| sequence.id() != id);
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
        let Some(position) = self.running.iter().position(|sequence| sequence.id() == id) else {
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
