//! Decides how the leader replaces lost members, one change at a time.
//!
//! The rules are pure functions of [`Status`] and of the members that asked to
//! join. The leader's driver calls [`next_change`] once in a while and proposes
//! what it returns; the log makes sure that only one change is under way.
//!
//! A silent voter alone changes nothing: it is replaced only when another disk
//! can take its place, be it a new disk of the same machine or a spare machine.
//! The steps are: add the replacement as a learner, wait until it has synced
//! everything committed, promote it, remove the silent voter. Promotion comes
//! first so that an acknowledged entry is never on fewer disks than before. No
//! step leaves fewer healthy voters than a quorum.

use linnethitch_protocol::{
    consensus::MembershipChange,
    ids::{LogIndex, MachineId, MemberId},
};

use crate::{
    membership,
    status::{PeerStatus, Status},
};

/// Ten seconds of silence before a voter counts as lost.
const DEFAULT_LOST_TICKS: u32 = 500;
/// Half a second of silence before a member no longer counts as healthy.
const DEFAULT_HEALTHY_TICKS: u32 = 25;
/// Voters of a cluster in which any two disks may be lost at once.
const DEFAULT_VOTERS: usize = 5;

/// Limits of the automatic repair.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RepairPolicy {
    /// Silence, in ticks, after which a member may be replaced.
    pub lost_ticks: u32,
    /// Silence, in ticks, up to which a member counts as healthy.
    pub healthy_ticks: u32,
    /// How many voters there should be.
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

/// Why a change is proposed, for logs and operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepairReason {
    /// A disk that asked to join can take a lost or missing voter's place.
    ReplacementJoins,
    /// The voter was silent for too long and another has taken its place.
    VoterLost,
    /// The learner has synced everything and a voter is lost or missing.
    LearnerCaughtUp,
    /// There are more voters than wanted, since a lost one came back.
    SurplusVoter,
    /// The learner was silent for too long and another disk waits to join.
    LearnerLost,
}

/// A change to propose.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RepairStep {
    /// The change.
    pub change: MembershipChange,
    /// Why.
    pub reason: RepairReason,
}

/// What is known of the cluster when a step is decided.
struct Situation<'a> {
    policy: &'a RepairPolicy,
    status: &'a Status,
    /// Disks that asked to join and take no part yet.
    joining: Vec<MemberId>,
}

/// The next change to propose on the leader, if any. `joining` are the members
/// that lately asked to join; those that take part already are passed over.
#[must_use]
pub fn next_change(
    policy: &RepairPolicy,
    status: &Status,
    joining: &[MemberId],
) -> Option<RepairStep> {
    if status.leader != Some(status.id) || !status.membership_committed {
        return None;
    }
    let takes_part = |id: &MemberId| membership::members(&status.membership).any(|m| m == *id);
    let mut waiting: Vec<MemberId> = joining.to_vec();
    waiting.retain(|id| !takes_part(id));
    waiting.sort_unstable();
    let situation = Situation {
        policy,
        status,
        joining: waiting,
    };
    situation
        .remove_lost_voter()
        .or_else(|| situation.promote())
        .or_else(|| situation.remove_surplus_voter())
        .or_else(|| situation.remove_lost_learner())
        .or_else(|| situation.add_replacement())
}

impl Situation<'_> {
    /// Removes a lost voter once another has taken its place: a voter on the
    /// same machine, or one more than are wanted.
    fn remove_lost_voter(&self) -> Option<RepairStep> {
        let surplus = self.voters().len() > self.policy.voters;
        let lost = self
            .lost_voters()
            .find(|lost| surplus || self.has_live_voter_on(lost.machine))?;
        self.remove_voter(lost, RepairReason::VoterLost)
    }

    /// Makes a learner that has everything a voter, in a lost or missing one's place.
    fn promote(&self) -> Option<RepairStep> {
        let room = self.voters().len() <= self.policy.voters;
        if self.wanted_voters() == 0 || !room {
            return None;
        }
        let learner = self
            .caught_up_learners()
            .find(|learner| !self.has_live_voter_on(learner.machine))?;
        let healthy = self.healthy_voters() + 1;
        let quorum = membership::quorum_of(self.voters().len() + 1);
        (healthy >= quorum).then_some(RepairStep {
            change: MembershipChange::PromoteLearner(learner),
            reason: RepairReason::LearnerCaughtUp,
        })
    }

    /// Removes a voter that is one too many, though it is alive: one that shares
    /// its machine with another, else the last.
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
        let quorum = membership::quorum_of(self.voters().len() - 1);
        (healthy >= quorum).then_some(RepairStep {
            change: MembershipChange::Remove(voter),
            reason,
        })
    }

    /// Removes a lost learner when another disk could join in its place.
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
        if self.live_learners().count() >= self.wanted_voters() {
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

    /// Whether a disk can stand in for another: it is on the same machine, or on
    /// one that has no voter.
    fn replaces(&self, replacement: MemberId, lost: MemberId) -> bool {
        replacement.machine == lost.machine || !self.has_live_voter_on(replacement.machine)
    }

    fn voters(&self) -> &[MemberId] {
        &self.status.membership.voters
    }

    /// How many voters are lost or missing.
    fn wanted_voters(&self) -> usize {
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

    fn silence(&self, member: MemberId) -> u32 {
        self.peer(member).map_or(0, |peer| peer.ticks_since_contact)
    }

    fn is_lost(&self, member: MemberId) -> bool {
        self.silence(member) >= self.policy.lost_ticks
    }

    fn is_healthy(&self, member: MemberId) -> bool {
        self.silence(member) <= self.policy.healthy_ticks
    }

    /// Voters heard of lately; the leader is one of them if it votes.
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
            .filter(|learner| self.is_healthy(*learner) && self.has_everything(*learner))
    }

    fn has_everything(&self, member: MemberId) -> bool {
        let matched = self.peer(member).map_or(LogIndex(0), |peer| peer.matched);
        matched >= self.status.committed
    }
}
