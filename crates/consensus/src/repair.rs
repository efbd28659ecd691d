//! Decides how the leader replaces lost members, one change at a time.
//!
//! The rules are pure functions of [`Status`] and of the members that requested to
//! join. The leader's driver calls [`next_change`] periodically and proposes the
//! returned change; the node accepts only one change at a time.
//!
//! An unreachable voter is replaced only when another disk is available, either a
//! new disk of the same machine or a disk of a spare machine. The steps are: add the
//! replacement as a learner, wait until it has synced all committed entries, promote
//! it, remove the unreachable voter. Promotion precedes removal so that an
//! acknowledged entry is never on fewer disks than before. No step leaves fewer
//! healthy voters than a quorum.

use linnethitch_protocol::{
    consensus::MembershipChange,
    ids::{LogIndex, MachineId, MemberId},
};

use crate::{
    membership,
    status::{PeerStatus, Status},
};

/// A voter counts as lost after ten seconds without contact.
const DEFAULT_LOST_TICKS: u32 = 500;
/// A member no longer counts as healthy after half a second without contact.
const DEFAULT_HEALTHY_TICKS: u32 = 25;
/// With five voters any two disks may be lost at once.
const DEFAULT_VOTERS: usize = 5;

/// Limits of the automatic membership repair.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RepairPolicy {
    /// Ticks without contact after which a member may be replaced.
    pub lost_ticks: u32,
    /// Ticks without contact up to which a member counts as healthy.
    pub healthy_ticks: u32,
    /// Desired number of voters.
    pub voters: usize,
}

impl Default for RepairPolicy {
    fn default() -> Self {
        RepairPolicy {
            lost_ticks: DEFAULT_LOST_TICKS,
            healthy_ticks: DEFAULT_HEALTHY_TICKS,
            voters: DEFAULT_VOTERS,
        }
    }
}

/// Reason of a proposed change, for logs and operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepairReason {
    /// A disk that requested to join can replace a lost or missing voter.
    ReplacementJoins,
    /// The voter is lost and another voter has replaced it.
    VoterLost,
    /// The learner has synced all committed entries, and a voter is lost or missing.
    LearnerCaughtUp,
    /// There are more voters than desired, because a lost one returned.
    SurplusVoter,
    /// The learner is lost and another disk waits to join.
    LearnerLost,
}

/// A change to propose.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RepairStep {
    /// The membership change.
    pub change: MembershipChange,
    /// The reason of the change.
    pub reason: RepairReason,
}

/// State of the cluster from which a step is decided.
struct RepairContext<'a> {
    policy: &'a RepairPolicy,
    status: &'a Status,
    /// Disks that requested to join and are not members yet.
    joining: Vec<MemberId>,
}

/// The next change to propose on the leader, if any. `joining` are the members that
/// recently requested to join; current members among them are ignored.
#[must_use]
pub fn next_change(
    policy: &RepairPolicy,
    status: &Status,
    joining: &[MemberId],
) -> Option<RepairStep> {
    if status.leader != Some(status.id) || !status.membership_committed {
        return None;
    }
    let is_member = |id: &MemberId| membership::members(&status.membership).any(|m| m == *id);
    let mut waiting: Vec<MemberId> = joining.to_vec();
    waiting.retain(|id| !is_member(id));
    waiting.sort_unstable();
    let context = RepairContext {
        policy,
        status,
        joining: waiting,
    };
    context
        .remove_lost_voter()
        .or_else(|| context.promote())
        .or_else(|| context.remove_surplus_voter())
        .or_else(|| context.remove_lost_learner())
        .or_else(|| context.add_replacement())
}

impl RepairContext<'_> {
    /// Removes a lost voter once it has been replaced: there is a live voter on the
    /// same machine, or there are more voters than desired.
    fn remove_lost_voter(&self) -> Option<RepairStep> {
        let surplus = self.voters().len() > self.policy.voters;
        let lost = self
            .lost_voters()
            .find(|lost| surplus || self.has_live_voter_on(lost.machine))?;
        self.remove_voter(lost, RepairReason::VoterLost)
    }

    /// Promotes a caught-up learner that replaces a lost or missing voter.
    fn promote(&self) -> Option<RepairStep> {
        let has_capacity = self.voters().len() <= self.policy.voters;
        if self.missing_voters() == 0 || !has_capacity {
            return None;
        }
        let learner = self
            .caught_up_learners()
            .find(|learner| !self.has_live_voter_on(learner.machine))?;
        let healthy = self.healthy_voters() + 1;
        let quorum = membership::quorum_size(self.voters().len() + 1);
        (healthy >= quorum).then_some(RepairStep {
            change: MembershipChange::PromoteLearner(learner),
            reason: RepairReason::LearnerCaughtUp,
        })
    }

    /// Removes a live voter in excess of the desired number: preferably one that
    /// shares its machine with another voter, otherwise the last.
    fn remove_surplus_voter(&self) -> Option<RepairStep> {
        if self.voters().len() <= self.policy.voters {
            return None;
        }
        let not_leader = |voter: &&MemberId| **voter != self.status.id;
        let shares_machine = |voter: &&MemberId| {
            let others = self.voters().iter().filter(|other| other != voter);
            others.into_iter().any(|o| o.machine == voter.machine)
        };
        let candidates = || self.voters().iter().filter(not_leader);
        let surplus = candidates().find(shares_machine);
        let surplus = surplus.or_else(|| candidates().next_back())?;
        self.remove_voter(*surplus, RepairReason::SurplusVoter)
    }

    fn remove_voter(&self, voter: MemberId, reason: RepairReason) -> Option<RepairStep> {
        let others = self.voters().iter().filter(|other| **other != voter);
        let healthy = others.filter(|other| self.is_healthy(**other)).count();
        let quorum = membership::quorum_size(self.voters().len() - 1);
        (healthy >= quorum).then_some(RepairStep {
            change: MembershipChange::Remove(voter),
            reason,
        })
    }

    /// Removes a lost learner if another disk can replace it.
    fn remove_lost_learner(&self) -> Option<RepairStep> {
        let lost = self.lost_learners().find(|lost| {
            let mut joining = self.joining.iter();
            joining.any(|joining| self.replaces(*joining, *lost))
        })?;
        Some(RepairStep {
            change: MembershipChange::Remove(lost),
            reason: RepairReason::LearnerLost,
        })
    }

    /// Adds a learner for a lost or missing voter that has no replacement yet.
    fn add_replacement(&self) -> Option<RepairStep> {
        let lost: Vec<MemberId> = self.lost_voters().collect();
        if self.live_learners().count() >= self.missing_voters() {
            return None;
        }
        let same_machine =
            |joining: &&MemberId| lost.iter().any(|lost| lost.machine == joining.machine);
        let spare = |joining: &&MemberId| !self.has_live_voter_on(joining.machine);
        let mut candidates = self.joining.iter();
        let chosen = candidates
            .find(same_machine)
            .or_else(|| self.joining.iter().find(spare))?;
        Some(RepairStep {
            change: MembershipChange::AddLearner(*chosen),
            reason: RepairReason::ReplacementJoins,
        })
    }

    /// Whether a disk can replace another: it is on the same machine, or on a machine
    /// without a live voter.
    fn replaces(&self, replacement: MemberId, lost: MemberId) -> bool {
        replacement.machine == lost.machine || !self.has_live_voter_on(replacement.machine)
    }

    fn voters(&self) -> &[MemberId] {
        &self.status.membership.voters
    }

    /// Number of lost or missing voters.
    fn missing_voters(&self) -> usize {
        let live = self.voters().len() - self.lost_voters().count();
        self.policy.voters.saturating_sub(live)
    }

    fn has_live_voter_on(&self, machine: MachineId) -> bool {
        let mut voters = self.voters().iter();
        voters.any(|voter| voter.machine == machine && !self.is_lost(*voter))
    }

    fn peer(&self, member: MemberId) -> Option<&PeerStatus> {
        let mut peers = self.status.peers.iter();
        peers.find(|peer| peer.member == member)
    }

    fn silent_ticks(&self, member: MemberId) -> u32 {
        self.peer(member).map_or(0, |peer| peer.ticks_since_contact)
    }

    fn is_lost(&self, member: MemberId) -> bool {
        self.silent_ticks(member) >= self.policy.lost_ticks
    }

    fn is_healthy(&self, member: MemberId) -> bool {
        self.silent_ticks(member) <= self.policy.healthy_ticks
    }

    /// Number of voters with recent contact, including the leader if it is a voter.
    fn healthy_voters(&self) -> usize {
        let voters = self.voters().iter();
        voters.filter(|voter| self.is_healthy(**voter)).count()
    }

    fn lost_voters(&self) -> impl Iterator<Item = MemberId> {
        let voters = self.voters().iter().copied();
        voters.filter(|voter| self.is_lost(*voter))
    }

    fn learners(&self) -> impl Iterator<Item = MemberId> {
        self.status.membership.learners.iter().copied()
    }

    fn lost_learners(&self) -> impl Iterator<Item = MemberId> {
        self.learners().filter(|learner| self.is_lost(*learner))
    }

    fn live_learners(&self) -> impl Iterator<Item = MemberId> {
        self.learners().filter(|learner| !self.is_lost(*learner))
    }

    fn caught_up_learners(&self) -> impl Iterator<Item = MemberId> {
        self.learners()
            .filter(|learner| self.is_healthy(*learner) && self.is_caught_up(*learner))
    }

    fn is_caught_up(&self, member: MemberId) -> bool {
        let matched = self.peer(member).map_or(LogIndex(0), |peer| peer.matched);
        matched >= self.status.committed
    }
}
