//! Engine faults and how gateways handle them.

use linnethitch_emulator::{
    Time,
    engine::{Fault, Refusal},
};
use linnethitch_protocol::ids::Timestamp;
use linnethitch_routing::{
    ReplicaIndex,
    retry::{AttemptFailure, Delivered, FailedAttempt, RetryDecision, Sent, after_failure},
    view::FailureKind,
};

use super::{
    Simulation,
    attempt::{AttemptId, Owner},
    event_queue::Event,
};

/// Kind of an incident on an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum IncidentKind {
    /// The engine stops and its connections break.
    Dies,
    /// The steps of the engine take this many percent of the normal time.
    Slows(u32),
    /// The engine accepts no new requests and finishes those it has.
    Leaves,
}

/// An incident on an engine at a given time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Incident {
    /// Time of the incident.
    pub(crate) at: Time,
    /// Index of the engine.
    pub(crate) engine: usize,
    /// Kind of the incident.
    pub(crate) kind: IncidentKind,
}

impl Simulation<'_> {
    pub(super) fn on_incident(&mut self, incident: Incident) {
        let simulated = &mut self.engines[incident.engine];
        match incident.kind {
            IncidentKind::Dies => {
                simulated.core.inject(self.now, Fault::Die);
                simulated.dead = true;
                self.break_connections(incident.engine);
            }
            IncidentKind::Slows(percent) => {
                simulated.core.inject(self.now, Fault::Slow { percent })
            }
            IncidentKind::Leaves => simulated.core.set_leaving(true),
        }
    }

    fn break_connections(&mut self, engine: usize) {
        for id in (0..self.attempts.len()).map(AttemptId) {
            let attempt = &self.attempts[id.0];
            if attempt.engine == engine && !attempt.ended {
                let latency = self.latency(attempt.gateway, engine);
                self.event_queue
                    .add(self.now + latency, Event::ConnectionBroken(id));
            }
        }
    }

    /// Handles a broken connection at the gateway.
    pub(super) fn on_connection_broken(&mut self, id: AttemptId) {
        if !self.attempts[id.0].ended {
            self.on_attempt_failed(id, Refusal::Fault);
        }
    }

    /// Retries or resumes an online request on another engine if the retry policy permits.
    pub(super) fn retry_online(&mut self, request: usize, engine: usize, refusal: Refusal) {
        let now = self.timestamp();
        let gateway = self.trace.online[request].gateway;
        let state = self.online[request];
        let attempt = FailedAttempt {
            sent: Sent::Some,
            at_most_once: false,
            failure: attempt_failure(refusal),
            delivered: if state.last_token_at.is_some() {
                Delivered::Resumable
            } else {
                Delivered::Nothing
            },
        };
        let policy = &self.deployment.routing;
        let arrived_ms = self.trace.online[request].at.as_millis();
        let deadline = Timestamp(arrived_ms + policy.default_deadline_ms);
        let retry_budget = &mut self.gateways[gateway].retry_budget;
        let decision = after_failure(
            now,
            &attempt,
            state.attempts,
            deadline,
            policy,
            retry_budget,
        );
        let owner = Owner::Online(request);
        let alternative = match decision {
            RetryDecision::Retry(_) | RetryDecision::Resume(_) => {
                self.choose_engine(gateway, owner, &[ReplicaIndex(engine as u32)])
            }
            RetryDecision::Answer { .. } => None,
        };
        match alternative {
            Some(other) => {
                self.outcome.retries += 1;
                self.send_from_gateway(owner, gateway, other);
            }
            None => {
                self.online[request].refused = true;
                self.outcome.online_failed += 1;
            }
        }
    }
}

fn attempt_failure(refusal: Refusal) -> AttemptFailure {
    match refusal {
        Refusal::Dead => AttemptFailure::Unreachable,
        Refusal::Fault => AttemptFailure::Disconnected,
        _ => AttemptFailure::RefusedUnstarted,
    }
}

/// The failure kind that a refusal counts as in the health of its engine.
pub(super) fn failure_kind(refusal: Refusal) -> FailureKind {
    match refusal {
        Refusal::Dead => FailureKind::Unreachable,
        Refusal::Full => FailureKind::Full,
        Refusal::Fault => FailureKind::Disconnected,
        _ => FailureKind::NotServed,
    }
}
