//! Pending calls: without a leader yet, proposed, being read or forwarded.

use std::collections::{BTreeMap, VecDeque};

use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    attach::{ControlAnswer, ControlCall},
    command::Refusal,
    ids::{CallId, LogIndex, MachineId, Term},
    query::Query,
};

/// Maximum number of pending calls, in all states together.
const MAX_PENDING_CALLS: usize = 64 * 1024;

/// The receiver of a call's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallOrigin {
    /// The driver of this member.
    Local(CallId),
    /// Another member that forwarded the call.
    Peer {
        /// Machine of the other member.
        machine: MachineId,
        /// The other member's id of the call.
        call: CallId,
    },
}

/// A call that was appended to the log.
#[derive(Debug)]
pub(crate) struct ProposedCall {
    pub(crate) origin: CallOrigin,
    /// The term of the call's entry.
    pub(crate) term: Term,
    deadline_ms: u64,
}

/// A read that waits for its read index to be confirmed or applied.
#[derive(Debug)]
pub(crate) struct ReadCall {
    pub(crate) origin: CallOrigin,
    pub(crate) query: Query,
    deadline_ms: u64,
}

/// A call that waits for a leader.
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

/// An answer to send, and its receiver.
#[derive(Debug)]
pub(crate) struct DueAnswer {
    pub(crate) origin: CallOrigin,
    pub(crate) body: ControlAnswer,
}

/// All pending calls.
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

/// The answer to a call that certainly had no effect.
pub(crate) fn unavailable(reason: &str) -> ControlAnswer {
    ControlAnswer::Refused(Refusal::new(ErrorKind::ControlUnavailable, reason))
}

/// The answer to a change that may or may not take effect.
pub(crate) fn outcome_unknown(reason: &str) -> ControlAnswer {
    ControlAnswer::Refused(Refusal::new(ErrorKind::ControlOutcomeUnknown, reason))
}

impl PendingCalls {
    /// Whether the maximum number of pending calls is reached.
    pub(crate) fn is_full(&self) -> bool {
        let count = self.proposed.len()
            + self.unconfirmed.len()
            + self.confirmed_count
            + self.sent.len()
            + self.waiting.len();
        count >= MAX_PENDING_CALLS
    }

    /// Adds a call that was appended at an index; returns the answer to an earlier call there.
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
        // Another leader has removed the entry of an earlier call at the same index.
        let replaced = self.proposed.insert(index, call)?;
        Some(not_committed(replaced.origin))
    }

    /// Removes and returns the call at the index of an entry that is being applied.
    pub(crate) fn take_proposed(&mut self, index: LogIndex, term: Term) -> TakenProposal {
        match self.proposed.remove(&index) {
            Some(call) if call.term == term => TakenProposal::Own(call.origin),
            Some(call) => TakenProposal::Replaced(call.origin),
            None => TakenProposal::None,
        }
    }

    /// Removes the calls up to an index that an installed snapshot covers. Their entries are
    /// not applied one by one, so the outcome of the calls is unknown.
    pub(crate) fn take_proposed_up_to(&mut self, index: LogIndex) -> Vec<DueAnswer> {
        let remaining = self.proposed.split_off(&LogIndex(index.0 + 1));
        std::mem::replace(&mut self.proposed, remaining)
            .into_values()
            .map(|call| DueAnswer {
                origin: call.origin,
                body: outcome_unknown(
                    "the member installed a snapshot before it applied the change",
                ),
            })
            .collect()
    }

    /// Adds a read; returns its context for consensus.
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

    /// Records the read index of a read: it may be answered once `index` is applied.
    pub(crate) fn confirm_read(&mut self, context: u64, index: LogIndex) {
        if let Some(call) = self.unconfirmed.remove(&context) {
            self.confirmed.entry(index).or_default().push(call);
            self.confirmed_count += 1;
        }
    }

    /// Removes and returns a read that this member cannot confirm.
    pub(crate) fn take_unconfirmed(&mut self, context: u64) -> Option<ReadCall> {
        self.unconfirmed.remove(&context)
    }

    /// Removes and returns the reads that may be answered.
    pub(crate) fn take_confirmed(&mut self, applied: LogIndex) -> Vec<ReadCall> {
        let remaining = self.confirmed.split_off(&LogIndex(applied.0 + 1));
        let due: Vec<ReadCall> = std::mem::replace(&mut self.confirmed, remaining)
            .into_values()
            .flatten()
            .collect();
        self.confirmed_count -= due.len();
        due
    }

    /// Adds a call that waits for a leader.
    pub(crate) fn add_waiting(&mut self, waiting: WaitingCall) {
        self.waiting.push_back(waiting);
    }

    /// Removes and returns the calls that wait for a leader.
    pub(crate) fn take_waiting(&mut self) -> VecDeque<WaitingCall> {
        std::mem::take(&mut self.waiting)
    }

    /// Adds a call that is forwarded to the leader; returns the id to send with it.
    pub(crate) fn add_sent(&mut self, waiting: WaitingCall, to: MachineId) -> CallId {
        self.last_number += 1;
        let number = CallId(self.last_number);
        self.sent.insert(number, SentCall { waiting, to });
        number
    }

    /// Removes and returns a forwarded call.
    pub(crate) fn take_sent(&mut self, number: CallId) -> Option<WaitingCall> {
        self.sent.remove(&number).map(|sent| sent.waiting)
    }

    /// Handles calls that were forwarded to machines other than the new leader: reads wait for
    /// a leader again, changes have an unknown outcome.
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

    /// Removes the calls whose deadline has passed; returns their answers.
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
        let (expired, remaining): (VecDeque<_>, VecDeque<_>) = self
            .waiting
            .drain(..)
            .partition(|waiting| waiting.deadline_ms <= now_ms);
        self.waiting = remaining;
        for waiting in expired {
            due.push(DueAnswer {
                origin: CallOrigin::Local(waiting.call),
                body: unavailable("no leader was found in time"),
            });
        }
    }
}

/// The result of looking up the call of an applied entry.
pub(crate) enum TakenProposal {
    /// This member proposed nothing at the index.
    None,
    /// This member proposed the entry.
    Own(CallOrigin),
    /// Another leader's entry replaced the entry of this member.
    Replaced(CallOrigin),
}

/// Removes and returns the values that meet a condition, in the order of their keys.
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

/// The answer to a call whose entry was replaced by another leader's entry.
pub(crate) fn not_committed(origin: CallOrigin) -> DueAnswer {
    DueAnswer {
        origin,
        body: unavailable("leadership was lost before the change was stored by a quorum"),
    }
}
