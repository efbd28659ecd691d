//! Drives the emulated engines.

use linnethitch_emulator::{
    Time,
    engine::{EngineCore, EngineEvent, EngineRequest, Priority, Refusal},
};

use super::{
    Simulation,
    attempt::{Attempt, AttemptId, Owner},
    event_queue::Event,
};

/// An emulated engine and the attempts that are currently on it.
#[derive(Debug)]
pub(super) struct SimulatedEngine {
    pub(super) core: EngineCore,
    /// Time of the valid wake-up; other wake-ups in the event queue are outdated.
    wake_at: Option<Time>,
    /// Whether the engine has died.
    pub(super) dead: bool,
    /// Online attempts sent and not ended.
    pub(super) online: u32,
    /// Prompt tokens of online attempts without a first token.
    pub(super) online_prefill_tokens: u32,
    /// Batch attempts sent and not ended.
    pub(super) batch: Vec<AttemptId>,
}

impl SimulatedEngine {
    pub(super) fn new(core: EngineCore) -> SimulatedEngine {
        SimulatedEngine {
            core,
            wake_at: None,
            dead: false,
            online: 0,
            online_prefill_tokens: 0,
            batch: Vec::new(),
        }
    }

    pub(super) fn sequences(&self) -> u32 {
        self.online + self.batch.len() as u32
    }
}

impl Simulation<'_> {
    /// Sends an attempt to its engine.
    pub(super) fn send(&mut self, attempt: Attempt, latency_micros: u64) -> AttemptId {
        let id = AttemptId(self.attempts.len());
        let prompt_tokens = self.prompt(attempt.owner).prompt_tokens;
        let simulated = &mut self.engines[attempt.engine];
        match attempt.owner {
            Owner::Online(_) => {
                simulated.online += 1;
                simulated.online_prefill_tokens += prompt_tokens;
            }
            Owner::Item(_) => simulated.batch.push(id),
        }
        self.attempts.push(attempt);
        self.event_queue
            .add(self.now + latency_micros, Event::Submit(id));
        id
    }

    /// Marks an attempt as ended and removes it from the counts of its engine.
    pub(super) fn end_attempt(&mut self, id: AttemptId) {
        let attempt = &mut self.attempts[id.0];
        attempt.ended = true;
        let (owner, engine, started) = (attempt.owner, attempt.engine, attempt.started);
        let prompt_tokens = self.prompt(owner).prompt_tokens;
        let simulated = &mut self.engines[engine];
        match owner {
            Owner::Online(_) => {
                simulated.online -= 1;
                if !started {
                    simulated.online_prefill_tokens -= prompt_tokens;
                }
            }
            Owner::Item(_) => simulated.batch.retain(|other| *other != id),
        }
    }

    pub(super) fn on_submit(&mut self, id: AttemptId) {
        let attempt = &self.attempts[id.0];
        if attempt.ended {
            return;
        }
        let engine = attempt.engine;
        let request = self.engine_request(id);
        self.advance_engine(engine);
        let submitted = self.engines[engine].core.submit(self.now, request);
        self.schedule_wake(engine);
        if let Err(refusal) = submitted {
            self.on_attempt_failed(id, refusal);
        }
    }

    fn engine_request(&self, id: AttemptId) -> EngineRequest {
        let attempt = &self.attempts[id.0];
        let prompt = self.prompt(attempt.owner);
        let batch = matches!(attempt.owner, Owner::Item(_));
        EngineRequest {
            id: id.sequence(),
            model: self.deployment.model.0.clone(),
            priority: if batch && self.strategy.engine_priority {
                Priority::Batch
            } else {
                Priority::Online
            },
            prompt: prompt.key,
            prompt_tokens: prompt.prompt_tokens,
            prefix_hashes: prompt.prefix_hashes.clone(),
            max_tokens: Some(prompt.output_tokens),
            min_tokens: prompt.output_tokens,
            resume_tokens: attempt.resume_tokens,
            kv_import: None,
            prefill_only: false,
        }
    }

    pub(super) fn on_cancel(&mut self, id: AttemptId) {
        let engine = self.attempts[id.0].engine;
        self.advance_engine(engine);
        self.engines[engine].core.cancel(id.sequence());
        self.schedule_wake(engine);
    }

    pub(super) fn on_wake(&mut self, engine: usize) {
        if self.engines[engine].wake_at != Some(self.now) {
            return;
        }
        self.engines[engine].wake_at = None;
        self.advance_engine(engine);
        self.schedule_wake(engine);
        self.after_step(engine);
    }

    fn schedule_wake(&mut self, engine: usize) {
        let simulated = &mut self.engines[engine];
        let next = simulated.core.next_event_at().map(|at| at.max(self.now));
        if next != simulated.wake_at {
            simulated.wake_at = next;
            if let Some(at) = next {
                self.event_queue.add(at, Event::Wake(engine));
            }
        }
    }

    fn advance_engine(&mut self, engine: usize) {
        let mut events = std::mem::take(&mut self.engine_events);
        self.engines[engine].core.advance(self.now, &mut events);
        for event in events.drain(..) {
            self.on_engine_event(event);
        }
        self.engine_events = events;
    }

    fn on_engine_event(&mut self, event: EngineEvent) {
        let (EngineEvent::Token { id, .. }
        | EngineEvent::Finished { id, .. }
        | EngineEvent::Preempted { id, .. }
        | EngineEvent::Broken { id, .. }) = event;
        let id = AttemptId::of(id);
        let attempt = &self.attempts[id.0];
        if attempt.ended {
            return;
        }
        match (event, attempt.owner) {
            (EngineEvent::Token { at, .. }, Owner::Online(request)) => {
                self.on_online_token(id, request, at);
            }
            (EngineEvent::Token { at, index, .. }, Owner::Item(item)) => {
                self.on_item_token(id, item, index, at);
            }
            (EngineEvent::Finished { .. }, Owner::Online(request)) => {
                self.on_online_finished(id, request);
            }
            (EngineEvent::Finished { .. }, Owner::Item(_)) => self.on_item_finished(id),
            (EngineEvent::Preempted { .. }, Owner::Item(_)) => self.outcome.preemptions += 1,
            (EngineEvent::Preempted { .. }, Owner::Online(_)) => {}
            (EngineEvent::Broken { .. }, _) => self.on_attempt_failed(id, Refusal::Fault),
        }
    }
}
