//! The invariants and the observations needed to check them.

mod jobs;
mod requests;

pub(crate) use jobs::custom_id;

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use linnethitch_control::member::{Member, MemberNotice};
use linnethitch_ledger::Ledger;
use linnethitch_protocol::{
    ids::{ChangeId, LogIndex, MachineId, MemberId, Revision, Term},
    query::{Query, QueryAnswer},
};

/// Maximum number of state digests, by log index, that are stored for comparison.
const MAX_DIGESTS: usize = 10_000;

/// An invariant of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// At most one member is the leader of a term.
    OneLeaderPerTerm,
    /// Members that have applied the same log index have the same state, and the stored
    /// configuration of a gateway equals that of control at the same revision.
    EqualStates,
    /// The state of a member and the configuration of a gateway never go back to an earlier one.
    NeverBack,
    /// Each revision results from exactly one change, and the answer to a change never differs
    /// between its transmissions.
    OneWinner,
    /// Every later read returns what was acknowledged.
    AcknowledgedKept,
    /// Operations refused with `executed: no` never take effect.
    RefusedNeverRan,
    /// Every item of a job gets exactly one result.
    ExactlyOnce,
    /// At-most-once items and requests never run twice.
    AtMostOnce,
    /// An idempotency key always gets the same answer.
    OneAnswer,
    /// A job is accepted with all its items or not at all.
    JobWhole,
    /// A cancelled job gets no results after its cancellation was confirmed, and starts no items
    /// after a grace period.
    CancelStops,
    /// A member starts from its stored state, unless its disk is faulty.
    Starts,
    /// The system converges after a fault phase.
    Converges,
}

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Time of the violation, in milliseconds of simulated time.
    pub at_ms: u64,
    /// The invariant.
    pub invariant: Invariant,
    /// The observation that violates the invariant.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = self.at_ms as f64 / 1_000.0;
        write!(
            formatter,
            "{:?} at {seconds:.3} s: {}",
            self.invariant, self.detail
        )
    }
}

/// The last observed progress of a member process.
#[derive(Clone, Copy, Debug, Default)]
struct LastSeen {
    applied: LogIndex,
    revision: Revision,
}

/// The observations of a run, and the first violated invariant.
#[derive(Default)]
pub(crate) struct Checker {
    pub(crate) now_ms: u64,
    pub(crate) violation: Option<Violation>,
    /// Number of operations whose success was reported to an actor.
    pub(crate) acknowledged: u64,
    leaders: BTreeMap<Term, MemberId>,
    digests: BTreeMap<LogIndex, (u64, MachineId)>,
    seen: BTreeMap<MachineId, LastSeen>,
    winners: BTreeMap<Revision, ChangeId>,
    accepted: BTreeMap<ChangeId, Revision>,
    refused_changes: BTreeSet<ChangeId>,
    newest_revision: Revision,
    pub(crate) jobs: jobs::JobRecords,
    requests: requests::RequestRecords,
}

impl Checker {
    /// Records a violation; only the first one is retained.
    pub(crate) fn violate(&mut self, invariant: Invariant, detail: String) {
        if self.violation.is_none() {
            self.violation = Some(Violation {
                at_ms: self.now_ms,
                invariant,
                detail,
            });
        }
    }

    /// Records a violation unless the condition holds.
    pub(crate) fn require(
        &mut self,
        holds: bool,
        invariant: Invariant,
        detail: impl FnOnce() -> String,
    ) {
        if !holds {
            self.violate(invariant, detail());
        }
    }

    /// Checks a notice from a member.
    pub(crate) fn on_notice(&mut self, machine: MachineId, notice: &MemberNotice) {
        let MemberNotice::Leader {
            term,
            leader: Some(leader),
        } = notice
        else {
            return;
        };
        let first_leader = *self.leaders.entry(*term).or_insert(*leader);
        self.require(first_leader == *leader, Invariant::OneLeaderPerTerm, || {
            format!("{machine} follows {leader} in term {term}, another followed {first_leader}")
        });
    }

    /// Checks a member after each of its processing steps.
    pub(crate) fn on_member(&mut self, machine: MachineId, member: &Member) {
        let now = LastSeen {
            applied: member.applied(),
            revision: member.ledger().revision(),
        };
        let last = self.seen.insert(machine, now).unwrap_or_default();
        let does_not_decrease = now.applied >= last.applied && now.revision >= last.revision;
        self.require(does_not_decrease, Invariant::NeverBack, || {
            format!("member {machine} went from {last:?} to {now:?}")
        });
    }

    /// Records that a member process stopped; the next one starts from its disk.
    pub(crate) fn on_stop(&mut self, machine: MachineId) {
        self.seen.remove(&machine);
    }

    /// Compares the state of a member with that of other members at the same index.
    pub(crate) fn on_digest(&mut self, machine: MachineId, member: &Member) {
        let index = member.applied();
        let digest = member.ledger().digest();
        let (first_digest, first_machine) = *self.digests.entry(index).or_insert((digest, machine));
        self.require(first_digest == digest, Invariant::EqualStates, || {
            format!("members {machine} and {first_machine} differ at index {index}")
        });
        if self.digests.len() > MAX_DIGESTS {
            self.digests.pop_first();
        }
    }

    /// The highest acknowledged revision.
    pub(crate) fn newest_revision(&self) -> Revision {
        self.newest_revision
    }

    /// Records that a change was acknowledged as accepted.
    pub(crate) fn on_change_accepted(
        &mut self,
        change: &ChangeId,
        expected: Revision,
        revision: Revision,
    ) {
        let winner = self
            .winners
            .entry(revision)
            .or_insert_with(|| change.clone());
        let is_winner = *winner == *change && revision.0 == expected.0 + 1;
        let winner = winner.clone();
        self.require(is_winner, Invariant::OneWinner, || {
            format!("{change} and {winner} became revision {revision}, expected {expected}")
        });
        let acknowledged = *self.accepted.entry(change.clone()).or_insert(revision);
        self.require(acknowledged == revision, Invariant::OneWinner, || {
            format!("{change} was acknowledged as revision {acknowledged}, then as {revision}")
        });
        self.newest_revision = self.newest_revision.max(revision);
        self.acknowledged += 1;
    }

    /// Records that a change was reported as a conflict, which is final.
    pub(crate) fn on_change_lost(&mut self, change: &ChangeId) {
        let accepted = self.accepted.get(change).copied();
        self.require(accepted.is_none(), Invariant::OneWinner, || {
            format!("{change} was accepted before and is reported as a conflict")
        });
    }

    /// Records that a change that was sent only once was refused as not executed.
    pub(crate) fn on_change_refused(&mut self, change: &ChangeId) {
        self.refused_changes.insert(change.clone());
    }

    /// Checks the revision that a read returned; `floor` was acknowledged before the read was sent.
    pub(crate) fn on_revision_read(&mut self, floor: Revision, revision: Revision) {
        self.require(revision >= floor, Invariant::AcknowledgedKept, || {
            format!("a read gave revision {revision} after {floor} was acknowledged")
        });
    }

    /// Checks all acknowledged and refused changes against a converged state.
    pub(crate) fn check_changes(&mut self, ledger: &Ledger) {
        let revision = ledger.revision();
        let newest = self.newest_revision;
        self.require(revision >= newest, Invariant::AcknowledgedKept, || {
            format!("revision {newest} was acknowledged, {revision} is in force")
        });
        for (change, acknowledged) in self.accepted.clone() {
            let stored = stored_revision(ledger, &change);
            self.require(
                stored == Some(acknowledged),
                Invariant::AcknowledgedKept,
                || {
                    format!(
                        "{change}: acknowledged as revision {acknowledged}, stored as {stored:?}"
                    )
                },
            );
        }
        for change in self.refused_changes.clone() {
            let stored = stored_revision(ledger, &change);
            self.require(stored.is_none(), Invariant::RefusedNeverRan, || {
                format!("{change} was refused with executed: no and became {stored:?}")
            });
        }
    }
}

fn stored_revision(ledger: &Ledger, change: &ChangeId) -> Option<Revision> {
    match ledger.query(&Query::Change(change.clone())) {
        Ok(QueryAnswer::Change(revision)) => revision,
        _ => None,
    }
}
