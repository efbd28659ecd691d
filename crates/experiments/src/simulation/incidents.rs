//! Faults of engines, and what gateways make of them.

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
    agenda::Event,
    attempt::{AttemptId, Owner},
};

/// What happens to an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum IncidentKind {
    /// It stops; its connections break.
    Dies,
    /// Its steps take this many percent of the normal time.
    Slows(u32),
    /// It takes no new work and finishes what it has.
    Leaves,
}

/// Something that happens to an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Incident {
    /// When.
    pub(crate) at: Time,
    /// To which.
    pub(crate) engine: usize,
    /// What.
    pub(crate) kind: IncidentKind,
}

impl Simulation<'_> {
    pub(super) fn on_incident(&mut self, incident: Incident) {
        let slot = &mut self.engines[incident.engine];
        match incident.kind {
            IncidentKind::Dies => {
                slot.core.inject(self.now, Fault::Die);
                slot.dead = true;
                self.break_connections(incident.engine);
            }
            IncidentKind::Slows(percent) => slot.core.inject(self.now, Fault::Slow { percent }),
            IncidentKind::Leaves => slot.core.set_leaving(true),
        }
    }

    fn break_connections(&mut self, engine: usize) {
        for id in (0..self.attempts.len()).map(AttemptId) {
            let attempt = &self.attempts[id.0];
            if attempt.engine == engine && !attempt.over {
                let latency = self.latency(attempt.gateway, engine);
                self.agenda.add(self.now + latency, Event::Broken(id));
            }
        }
    }

    /// A gateway sees a connection break.
    pub(super) fn on_broken(&mut self, id: AttemptId) {
        if !self.attempts[id.0].over {
            self.on_refused(id, Refusal::Fault);
        }
    }

    /// Sends an online request again, or goes on elsewhere, as far as the rules allow.
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
        let budget = &mut self.gateways[gateway].budget;
        let next = after_failure(now, &attempt, state.attempts, deadline, policy, budget);
        let owner = Owner::Online(request);
        let again = match next {
            RetryDecision::Retry(_) | RetryDecision::Resume(_) => {
                self.choose_engine(gateway, owner, &[ReplicaIndex(engine as u32)])
            }
            RetryDecision::Answer { .. } => None,
        };
        match again {
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

/// What a refusal says about the health of its engine.
pub(super) fn failure_kind(refusal: Refusal) -> FailureKind {
    match refusal {
        Refusal::Dead => FailureKind::Unreachable,
        Refusal::Full => FailureKind::Full,
        Refusal::Fault => FailureKind::Disconnected,
        _ => FailureKind::NotServed,
    }
}
