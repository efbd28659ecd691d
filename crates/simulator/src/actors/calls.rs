//! Calls of an actor to control: each goes to a random member and has a timeout; answers are
//! matched by number.

use std::collections::BTreeMap;

use linnethitch_errors::{ErrorKind, Executed};
use linnethitch_protocol::{
    attach::{ControlAnswer, ControlCall},
    command::{CommandBody, Outcome},
    query::{Query, QueryAnswer},
};
use rand::seq::IndexedRandom;

use super::Context;
use crate::network::{Address, Packet};

/// Timeout of a call, in milliseconds. Members answer within five seconds.
const CALL_TIMEOUT_MS: u64 = 6_000;

/// The result of a call, as its sender knows it.
#[derive(Clone, Debug)]
pub(crate) enum CallResult {
    /// The command was executed.
    Outcome(Box<Outcome>),
    /// The read was answered.
    Answer(Box<QueryAnswer>),
    /// The call was certainly not executed.
    Refused(ErrorKind),
    /// It is unknown whether the call was executed.
    Unknown,
}

struct Pending<T> {
    purpose: T,
    deadline_ms: u64,
}

/// Pending calls, each with its purpose.
pub(crate) struct Calls<T> {
    next_number: u64,
    pending: BTreeMap<u64, Pending<T>>,
}

impl<T> Calls<T> {
    /// Creates an empty set of calls.
    pub(crate) fn new() -> Self {
        Calls {
            next_number: 0,
            pending: BTreeMap::new(),
        }
    }

    /// Drops all pending calls, as a restart does. Numbers continue, so answers to earlier calls
    /// are ignored.
    pub(crate) fn restarted(self) -> Self {
        Calls {
            next_number: self.next_number,
            pending: BTreeMap::new(),
        }
    }

    /// Whether no call is pending.
    pub(crate) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Proposes a command to a random member.
    pub(crate) fn propose(&mut self, body: CommandBody, purpose: T, context: &mut Context) {
        self.call(ControlCall::Propose(body), purpose, context);
    }

    /// Sends a query to a random member.
    pub(crate) fn query(&mut self, query: Query, purpose: T, context: &mut Context) {
        self.call(ControlCall::Query(query), purpose, context);
    }

    fn call(&mut self, body: ControlCall, purpose: T, context: &mut Context) {
        let Some(machine) = context.machines.choose(context.random).copied() else {
            return;
        };
        self.next_number += 1;
        let number = self.next_number;
        let pending = Pending {
            purpose,
            deadline_ms: context.now_ms + CALL_TIMEOUT_MS,
        };
        self.pending.insert(number, pending);
        context.send(Address::Control(machine), Packet::Call { number, body });
        context.wake_in(CALL_TIMEOUT_MS);
    }

    /// Removes the call of an answer and returns its purpose and result; `None` if the call has
    /// timed out.
    pub(crate) fn take_answer(
        &mut self,
        number: u64,
        body: ControlAnswer,
    ) -> Option<(T, CallResult)> {
        let pending = self.pending.remove(&number)?;
        let result = match body {
            // The ledger refused the command, so it is certain that nothing changed.
            ControlAnswer::Outcome(Outcome::Refused(refusal)) => {
                CallResult::Refused(refusal.kind())
            }
            ControlAnswer::Refused(refusal) => match refusal.kind().answer().executed {
                Executed::No => CallResult::Refused(refusal.kind()),
                Executed::Unknown | Executed::Yes => CallResult::Unknown,
            },
            ControlAnswer::Outcome(outcome) => CallResult::Outcome(Box::new(outcome)),
            ControlAnswer::Answer(answer) => CallResult::Answer(Box::new(answer)),
        };
        Some((pending.purpose, result))
    }

    /// Removes the calls that have timed out and returns their purposes.
    pub(crate) fn take_expired(&mut self, now_ms: u64) -> Vec<T> {
        let expired: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.deadline_ms <= now_ms)
            .map(|(number, _)| *number)
            .collect();
        let removed = expired
            .iter()
            .filter_map(|number| self.pending.remove(number));
        removed.map(|pending| pending.purpose).collect()
    }
}
