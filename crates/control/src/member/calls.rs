//! Calls that wait for a leader, a commit, a confirmed read or another machine.

use std::collections::{BTreeMap, VecDeque};

use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    attach::{ControlAnswer, ControlCall},
    command::Refusal,
    ids::{CallId, LogIndex, MachineId, Term},
    query::Query,
};

/// Most calls that wait at once, in all states together.
const MAX_PENDING_CALLS: usize = 64 * 1024;

/// Who gets the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallOrigin {
    /// The driver of this member.
    Local(CallId),
    /// Another member that forwarded the call.
    Peer {
        /// Its machine.
        machine: MachineId,
        /// Its number of the call.
        call: CallId,
    },
}

/// A call that was appended to the log.
#[derive(Debug)]
pub(crate) struct ProposedCall {
    pub(crate) origin: CallOrigin,
    /// The term that the entry was written in.
    pub(crate) term: Term,
    deadline_ms: u64,
}

/// A read that waits for its index.
#[derive(Debug)]
pub(crate) struct ReadCall {
    pub(crate) origin: CallOrigin,
    pub(crate) query: Query,
    deadline_ms: u64,
}

/// A call that has no leader yet.
#[derive(Debug)]
pub(crate) struct WaitingCall {
    pub(crate) call: CallId,
    pub(crate) body: ControlCall,
    pub(crate) deadline_ms: u64,
}

/// A call that was sent to the leader.
#[derive(Debug)]
struct SentCall {
    waiting: WaitingCall,
    to: MachineId,
}

/// An answer that is due, and to whom.
#[derive(Debug)]
pub(crate) struct DueAnswer {
    pub(crate) origin: CallOrigin,
    pub(crate) body: ControlAnswer,
}

/// All calls under way.
#[derive(Debug, Default)]
pub(crate) struct PendingCalls {
    proposed: BTreeMap<LogIndex, ProposedCall>,
    unconfirmed: BTreeMap<u64, ReadCall>,
    confirmed: BTreeMap<LogIndex, Vec<ReadCall>>,
    confirmed_count: usize,
    sent: BTreeMap<CallId, SentCall>,
    waiting: VecDeque<WaitingCall>,
    last_number: u64,
}

/// An answer that certainly nothing was done.
pub(crate) fn unavailable(reason: &str) -> ControlAnswer {
    ControlAnswer::Refused(Refusal::new(ErrorKind::ControlUnavailable, reason))
}

/// An answer that the change may or may not take effect.
pub(crate) fn outcome_unknown(reason: &str) -> ControlAnswer {
    ControlAnswer::Refused(Refusal::new(ErrorKind::ControlOutcomeUnknown, reason))
}

impl PendingCalls {
    /// Whether no further call is taken.
    pub(crate) fn is_full(&self) -> bool {
        let count = self.proposed.len()
            + self.unconfirmed.len()
            + self.confirmed_count
            + self.sent.len()
            + self.waiting.len();
        count >= MAX_PENDING_CALLS
    }

    /// Notes a call that was appended at an index.
    pub(crate) fn add_proposed(
        &mut self,
        index: LogIndex,
        term: Term,
        origin: CallOrigin,
        deadline_ms: u64,
    ) -> Option<DueAnswer> {
        let call = ProposedCall {
            origin,
            term,
            deadline_ms,
        };
        // An older call at the same index was cut off the log by another leader.
        let replaced = self.proposed.insert(index, call)?;
        Some(not_committed(replaced.origin))
    }

    /// The call behind an entry that is being applied, if this member proposed it.
    pub(crate) fn take_proposed(&mut self, index: LogIndex, term: Term) -> TakenProposal {
        match self.proposed.remove(&index) {
            Some(call) if call.term == term => TakenProposal::Own(call.origin),
            Some(call) => TakenProposal::Replaced(call.origin),
            None => TakenProposal::None,
        }
    }

    /// Takes calls up to an index whose entries will not be seen here, since a
    /// snapshot covers them.
    pub(crate) fn skip_proposed_through(&mut self, index: LogIndex) -> Vec<DueAnswer> {
        let rest = self.proposed.split_off(&LogIndex(index.0 + 1));
        std::mem::replace(&mut self.proposed, rest)
            .into_values()
            .map(|call| DueAnswer {
                origin: call.origin,
                body: outcome_unknown("the change was overtaken by a snapshot"),
            })
            .collect()
    }

    /// Notes a read; the number is its context for consensus.
    pub(crate) fn add_read(&mut self, origin: CallOrigin, query: Query, deadline_ms: u64) -> u64 {
        self.last_number += 1;
        let call = ReadCall {
            origin,
            query,
            deadline_ms,
        };
        self.unconfirmed.insert(self.last_number, call);
        self.last_number
    }

    /// A read may be answered once `index` is applied.
    pub(crate) fn confirm_read(&mut self, context: u64, index: LogIndex) {
        if let Some(call) = self.unconfirmed.remove(&context) {
            self.confirmed.entry(index).or_default().push(call);
            self.confirmed_count += 1;
        }
    }

    /// A read cannot be confirmed here.
    pub(crate) fn take_unconfirmed(&mut self, context: u64) -> Option<ReadCall> {
        self.unconfirmed.remove(&context)
    }

    /// Reads that may be answered now.
    pub(crate) fn take_confirmed(&mut self, applied: LogIndex) -> Vec<ReadCall> {
        let rest = self.confirmed.split_off(&LogIndex(applied.0 + 1));
        let due: Vec<ReadCall> = std::mem::replace(&mut self.confirmed, rest)
            .into_values()
            .flatten()
            .collect();
        self.confirmed_count -= due.len();
        due
    }

    /// Lets a call wait for a leader.
    pub(crate) fn add_waiting(&mut self, waiting: WaitingCall) {
        self.waiting.push_back(waiting);
    }

    /// All calls that wait for a leader.
    pub(crate) fn take_waiting(&mut self) -> VecDeque<WaitingCall> {
        std::mem::take(&mut self.waiting)
    }

    /// Notes a call sent to the leader; gives the number to send it under.
    pub(crate) fn add_sent(&mut self, waiting: WaitingCall, to: MachineId) -> CallId {
        self.last_number += 1;
        let number = CallId(self.last_number);
        self.sent.insert(number, SentCall { waiting, to });
        number
    }

    /// Takes back a call that was sent.
    pub(crate) fn take_sent(&mut self, number: CallId) -> Option<WaitingCall> {
        self.sent.remove(&number).map(|sent| sent.waiting)
    }

    /// Handles calls sent to machines other than the new leader: reads wait
    /// again, changes have an unknown outcome.
    pub(crate) fn leader_changed(&mut self, leader: Option<MachineId>) -> Vec<DueAnswer> {
        let mut due = Vec::new();
        let lost: Vec<CallId> = self
            .sent
            .iter()
            .filter(|(_, sent)| leader.is_some_and(|leader| leader != sent.to))
            .map(|(number, _)| *number)
            .collect();
        for number in lost {
            let Some(waiting) = self.take_sent(number) else {
                continue;
            };
            match waiting.body {
                ControlCall::Query(_) => self.waiting.push_back(waiting),
                ControlCall::Propose(_) => due.push(DueAnswer {
                    origin: CallOrigin::Local(waiting.call),
                    body: outcome_unknown("the leader changed before it answered"),
                }),
            }
        }
        due
    }

    /// Answers for all calls whose time is up.
    pub(crate) fn take_expired(&mut self, now_ms: u64) -> Vec<DueAnswer> {
        let mut due = Vec::new();
        for call in take_where(&mut self.proposed, |call| call.deadline_ms <= now_ms) {
            due.push(DueAnswer {
                origin: call.origin,
                body: outcome_unknown("no quorum stored the change in time"),
            });
        }
        for call in take_where(&mut self.unconfirmed, |call| call.deadline_ms <= now_ms) {
            due.push(DueAnswer {
                origin: call.origin,
                body: unavailable("no quorum confirmed the read in time"),
            });
        }
        self.expire_sent(now_ms, &mut due);
        self.expire_waiting(now_ms, &mut due);
        due
    }

    fn expire_sent(&mut self, now_ms: u64, due: &mut Vec<DueAnswer>) {
        let expired = take_where(&mut self.sent, |sent| sent.waiting.deadline_ms <= now_ms);
        for sent in expired {
            let body = match sent.waiting.body {
                ControlCall::Query(_) => unavailable("the leader did not answer in time"),
                ControlCall::Propose(_) => outcome_unknown("the leader did not answer in time"),
            };
            due.push(DueAnswer {
                origin: CallOrigin::Local(sent.waiting.call),
                body,
            });
        }
    }

    fn expire_waiting(&mut self, now_ms: u64, due: &mut Vec<DueAnswer>) {
        let (expired, rest): (VecDeque<_>, VecDeque<_>) = self
            .waiting
            .drain(..)
            .partition(|waiting| waiting.deadline_ms <= now_ms);
        self.waiting = rest;
        for waiting in expired {
            due.push(DueAnswer {
                origin: CallOrigin::Local(waiting.call),
                body: unavailable("no leader was found in time"),
            });
        }
    }
}

/// What became of the call behind an applied entry.
pub(crate) enum TakenProposal {
    /// This member did not propose anything there.
    None,
    /// The entry is this member's own.
    Own(CallOrigin),
    /// Another leader's entry took the place of this member's.
    Replaced(CallOrigin),
}

/// Removes the values that meet a condition, in the order of their keys.
fn take_where<K: Ord + Copy, V>(
    map: &mut BTreeMap<K, V>,
    condition: impl Fn(&V) -> bool,
) -> Vec<V> {
    let keys: Vec<K> = map
        .iter()
        .filter(|(_, value)| condition(value))
        .map(|(key, _)| *key)
        .collect();
    keys.iter().filter_map(|key| map.remove(key)).collect()
}

/// The answer when another leader's entry took the place of a proposed one.
pub(crate) fn not_committed(origin: CallOrigin) -> DueAnswer {
    DueAnswer {
        origin,
        body: unavailable("leadership was lost before the change was stored by a quorum"),
    }
}
