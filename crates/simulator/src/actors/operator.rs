//! Operators, which race with equal expected revisions and resend changes after lost answers.

use linnethitch_protocol::{
    command::{ApplyOutcome, CommandBody, Outcome},
    ids::{ChangeId, Revision},
    query::{Query, QueryAnswer},
};
use rand::{Rng, seq::IndexedRandom};

use super::{
    Actor, Context,
    calls::{CallResult, Calls},
    fleet_text::fleet_text,
};
use crate::{
    checker::{Checker, Invariant},
    network::{Address, Packet},
};

/// Interval of operators' turns, in milliseconds; all take their turns at the same time, so that
/// they often race.
const TURN_INTERVAL_MS: u64 = 4_000;
/// Delay before a change is resent, in milliseconds.
const RETRY_MS: u64 = 700;
/// Share of refused changes that the operator abandons if the change was sent only once.
const GIVE_UP_SHARE: f64 = 0.5;
/// Share of turns in which an accepted change is resent.
const RESEND_SHARE: f64 = 0.2;

/// A change as the operator's tool stores it.
#[derive(Clone, Debug)]
struct Change {
    id: ChangeId,
    expected: Revision,
    content: String,
    /// Number of transmissions.
    sends: u32,
}

enum Purpose {
    Read { floor: Revision },
    Apply(Change),
}

/// An operator.
pub(crate) struct Operator {
    name: String,
    next_change: u64,
    calls: Calls<Purpose>,
    /// Changes to resend.
    to_resend: Vec<Change>,
    accepted: Vec<Change>,
}

impl Operator {
    /// Creates an operator with a unique name.
    pub(crate) fn new(name: String) -> Self {
        Operator {
            name,
            next_change: 0,
            calls: Calls::new(),
            to_resend: Vec::new(),
            accepted: Vec::new(),
        }
    }

    fn send(&mut self, mut change: Change, context: &mut Context) {
        change.sends += 1;
        let body = CommandBody::ApplyConfiguration {
            change: change.id.clone(),
            expected: change.expected,
            content: change.content.clone(),
        };
        self.calls.propose(body, Purpose::Apply(change), context);
    }

    fn apply_new(&mut self, expected: Revision, context: &mut Context) {
        self.next_change += 1;
        let id = format!("{}-{}", self.name, self.next_change);
        let change = Change {
            content: fleet_text(&id),
            id: ChangeId(id),
            expected,
            sends: 0,
        };
        self.send(change, context);
    }

    fn take_turn(&mut self, context: &mut Context) {
        for change in std::mem::take(&mut self.to_resend) {
            self.send(change, context);
        }
        if context.recovering || !self.calls.is_empty() {
            return;
        }
        if context.random.random_bool(RESEND_SHARE)
            && let Some(accepted) = self.accepted.choose(context.random).cloned()
        {
            self.send(accepted, context);
            return;
        }
        let floor = context.checker.newest_revision();
        let purpose = Purpose::Read { floor };
        self.calls.query(Query::Configuration, purpose, context);
    }

    fn on_result(&mut self, purpose: Purpose, result: CallResult, context: &mut Context) {
        match (purpose, result) {
            (Purpose::Read { floor }, CallResult::Answer(answer)) => {
                if let QueryAnswer::Configuration { revision, .. } = *answer {
                    context.checker.on_revision_read(floor, revision);
                    if !context.recovering {
                        self.apply_new(revision, context);
                    }
                }
            }
            (Purpose::Read { .. }, _) => {}
            (Purpose::Apply(change), CallResult::Outcome(outcome)) => {
                self.on_outcome(change, &outcome, context);
            }
            (Purpose::Apply(change), CallResult::Refused(_)) => {
                if change.sends == 1 && context.random.random_bool(GIVE_UP_SHARE) {
                    context.checker.on_change_refused(&change.id);
                } else {
                    self.to_resend.push(change);
                    context.wake_in(RETRY_MS);
                }
            }
            (Purpose::Apply(change), _) => {
                self.to_resend.push(change);
                context.wake_in(RETRY_MS);
            }
        }
    }

    fn on_outcome(&mut self, change: Change, outcome: &Outcome, context: &mut Context) {
        let Outcome::Configuration(outcome) = outcome else {
            return;
        };
        match outcome {
            ApplyOutcome::Accepted(revision) => {
                let checker = &mut *context.checker;
                checker.on_change_accepted(&change.id, change.expected, *revision);
                self.accepted.push(change);
            }
            ApplyOutcome::Conflict(_) => context.checker.on_change_lost(&change.id),
            ApplyOutcome::Invalid(_) | ApplyOutcome::ChangeIdReused => {
                let detail = format!("{} got the answer {outcome:?}", change.id);
                context.checker.violate(Invariant::OneWinner, detail);
            }
        }
    }
}

impl Actor for Operator {
    fn wake(&mut self, context: &mut Context) {
        for purpose in self.calls.take_expired(context.now_ms) {
            self.on_result(purpose, CallResult::Unknown, context);
        }
        self.take_turn(context);
        if context.now_ms.is_multiple_of(TURN_INTERVAL_MS) || self.next_change == 0 {
            context.wake_in(TURN_INTERVAL_MS - context.now_ms % TURN_INTERVAL_MS);
        }
    }

    fn receive(&mut self, _from: Address, packet: Packet, context: &mut Context) {
        if let Packet::Answer { number, body } = packet
            && let Some((purpose, result)) = self.calls.take_answer(number, body)
        {
            self.on_result(purpose, result, context);
        }
    }

    fn open_work(&self, _checker: &Checker) -> Option<String> {
        let open = !self.calls.is_empty() || !self.to_resend.is_empty();
        open.then(|| format!("operator {} has an open change", self.name))
    }
}
