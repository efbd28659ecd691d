//! Online requests, from arrival to last token.

use linnethitch_emulator::{Time, engine::Refusal};
use linnethitch_protocol::ids::Timestamp;
use linnethitch_routing::{Class, Phase, ReplicaIndex, RequestProfile, Target, costs::Work};

use super::{
    Simulation,
    attempt::{Attempt, AttemptId, Owner},
    incidents::failure_kind,
};
use crate::strategy::{BatchDispatch, OnlineDispatch};

/// State of an online request.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OnlineState {
    pub(super) tokens: u32,
    pub(super) last_token_at: Option<Time>,
    pub(super) refused: bool,
    pub(super) attempts: u32,
}

impl Simulation<'_> {
    pub(super) fn on_online_arrival(&mut self, request: usize) {
        if self.strategy.online == OnlineDispatch::SharedQueue {
            self.shared_queue.push_back(Owner::Online(request));
            self.serve_shared_queue();
            return;
        }
        let gateway = self.trace.online[request].gateway;
        self.gateways[gateway].retry_budget.on_request();
        match self.choose_engine(gateway, Owner::Online(request), &[]) {
            Some(engine) => self.send_from_gateway(Owner::Online(request), gateway, engine),
            None => {
                self.online[request].refused = true;
                self.outcome.online_refused += 1;
            }
        }
    }

    /// Chooses the engine for a request or item by the gateway's strategy.
    pub(super) fn choose_engine(
        &mut self,
        gateway: usize,
        owner: Owner,
        exclude: &[ReplicaIndex],
    ) -> Option<usize> {
        match self.strategy.online {
            OnlineDispatch::Router => self.choose_by_router(gateway, owner, exclude),
            OnlineDispatch::RoundRobin => {
                let gateway_state = &mut self.gateways[gateway];
                gateway_state.round_robin_position += 1;
                Some(gateway_state.round_robin_position % self.engines.len())
            }
            OnlineDispatch::LeastInFlight => {
                let gateway_state = &mut self.gateways[gateway];
                gateway_state.round_robin_position += 1;
                let engines = self.engines.len();
                // Among engines with equally few requests, the next in round-robin order is taken.
                (0..engines)
                    .map(|step| (gateway_state.round_robin_position + step) % engines)
                    .min_by_key(|engine| gateway_state.in_flight[*engine])
            }
            OnlineDispatch::SharedQueue => None,
        }
    }

    fn choose_by_router(
        &mut self,
        gateway: usize,
        owner: Owner,
        exclude: &[ReplicaIndex],
    ) -> Option<usize> {
        let now = self.timestamp();
        let prompt = self.prompt(owner);
        let profile = RequestProfile {
            target: Target::Model {
                name: self.deployment.model.as_str(),
                adapter: None,
                version: None,
            },
            class: class_of(owner),
            phase: Phase::PrefillAndDecode,
            prompt_tokens: prompt.prompt_tokens,
            expected_output_tokens: prompt.output_tokens,
            prefix_hashes: if self.strategy.prefix_affinity {
                &prompt.prefix_hashes
            } else {
                &[]
            },
            deadline: Timestamp(now.0 + self.deployment.routing.default_deadline_ms),
            exclude,
        };
        let gateway_state = &mut self.gateways[gateway];
        let choice = gateway_state
            .router
            .choose(now, &profile, &mut gateway_state.random)
            .ok()?;
        Some(choice.replica.0 as usize)
    }

    /// Sends a request or item from a gateway and counts it in the gateway's view.
    pub(super) fn send_from_gateway(&mut self, owner: Owner, gateway: usize, engine: usize) {
        let now = self.timestamp();
        let replica = ReplicaIndex(engine as u32);
        let resume_tokens = self.delivered_tokens(owner);
        let prompt = self.prompt(owner);
        let (prompt_tokens, output_tokens) = (prompt.prompt_tokens, prompt.output_tokens);
        let hashes = prompt.prefix_hashes.clone();
        let gateway_state = &mut self.gateways[gateway];
        gateway_state.in_flight[engine] += 1;
        let view = gateway_state.router.view_mut();
        let cached = view.prefixes().cached_blocks(replica, &hashes) as u32
            * linnethitch_routing::profile::PREFIX_BLOCK_TOKENS;
        let work = Work {
            class: class_of(owner),
            prefill_tokens: (prompt_tokens + resume_tokens).saturating_sub(cached),
            output_tokens: output_tokens - resume_tokens,
        };
        let ticket = view.on_sent(now, replica, work, &hashes);
        let latency = self.latency(gateway, engine);
        let attempt = Attempt {
            owner,
            engine,
            gateway,
            ticket: Some(ticket),
            resume_tokens,
            started: false,
            ended: false,
        };
        let id = self.send(attempt, latency);
        match owner {
            Owner::Online(request) => {
                self.online[request].attempts += 1;
                self.schedule_batch(gateway);
            }
            Owner::Item(_) => self.gateways[gateway].batch[engine].push(id),
        }
    }

    pub(super) fn on_online_token(&mut self, id: AttemptId, request: usize, at: Time) {
        let gateway = self.attempts[id.0].gateway;
        let engine = self.attempts[id.0].engine;
        let received_at = at + self.latency(gateway, engine);
        self.on_any_token(id);
        let arrival = &self.trace.online[request];
        let state = &mut self.online[request];
        let last = state.last_token_at.replace(received_at);
        state.tokens += 1;
        if arrival.at < self.settings.warm_up {
            return;
        }
        match last {
            Some(last) => self
                .outcome
                .between_tokens
                .record(received_at.micros_since(last)),
            None => {
                let wait = received_at.micros_since(arrival.at);
                self.outcome.record_first_token(wait, arrival.long);
            }
        }
    }

    /// Records a token in the gateway's view. The first token carries a load report.
    pub(super) fn on_any_token(&mut self, id: AttemptId) {
        let now = self.timestamp();
        let attempt = &mut self.attempts[id.0];
        let (owner, engine) = (attempt.owner, attempt.engine);
        let first = !std::mem::replace(&mut attempt.started, true);
        let prompt_tokens = self.prompt(owner).prompt_tokens;
        let attempt = &mut self.attempts[id.0];
        if first && matches!(owner, Owner::Online(_)) {
            self.engines[engine].online_prefill_tokens -= prompt_tokens;
        }
        let Some(ticket) = &mut attempt.ticket else {
            return;
        };
        let view = self.gateways[attempt.gateway].router.view_mut();
        if first {
            view.on_first_token(now, ticket);
            let report = self.engines[engine].core.load_report(self.now);
            view.on_load_report(ReplicaIndex(engine as u32), report);
        } else {
            view.on_tokens(now, ticket, 1);
        }
    }

    pub(super) fn on_online_finished(&mut self, id: AttemptId, request: usize) {
        if self.trace.online[request].at >= self.settings.warm_up {
            self.outcome.online_finished += 1;
        }
        self.finish_attempt(id);
    }

    /// Ends an attempt that finished with its complete answer.
    pub(super) fn finish_attempt(&mut self, id: AttemptId) {
        self.end_attempt(id);
        let now = self.timestamp();
        let attempt = &mut self.attempts[id.0];
        if let Some(ticket) = attempt.ticket.take() {
            let gateway_state = &mut self.gateways[attempt.gateway];
            gateway_state.in_flight[attempt.engine] -= 1;
            gateway_state.router.view_mut().on_finished(now, ticket);
        }
    }

    /// Handles an attempt that the engine refused or whose stream broke.
    pub(super) fn on_attempt_failed(&mut self, id: AttemptId, refusal: Refusal) {
        self.end_attempt(id);
        let now = self.timestamp();
        let attempt = &mut self.attempts[id.0];
        let (owner, gateway, engine) = (attempt.owner, attempt.gateway, attempt.engine);
        if let Some(ticket) = attempt.ticket.take() {
            let gateway_state = &mut self.gateways[gateway];
            gateway_state.in_flight[engine] -= 1;
            let kind = failure_kind(refusal);
            let view = gateway_state.router.view_mut();
            view.on_failure(now, ticket, kind);
            if refusal == Refusal::Leaving {
                view.on_leaving(now, ReplicaIndex(engine as u32));
            }
        }
        match owner {
            Owner::Online(request) => self.retry_online(request, engine, refusal),
            Owner::Item(item) => self.return_item(gateway, engine, id, item),
        }
    }

    /// Number of engines for online requests. In a static split, these come before the
    /// engines for batch items.
    pub(super) fn online_engine_count(&self) -> usize {
        let engines = self.engines.len();
        match self.strategy.batch {
            BatchDispatch::Split(percent) => engines - engines * percent as usize / 100,
            _ => engines,
        }
    }
}

pub(super) fn class_of(owner: Owner) -> Class {
    match owner {
        Owner::Online(_) => Class::Online,
        Owner::Item(_) => Class::Batch,
    }
}
