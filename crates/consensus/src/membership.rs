//! Memberships in the log, and the rules for changing them.

use linnethitch_protocol::{
    consensus::{Entry, EntryPayload, Membership, MembershipChange},
    ids::{LogIndex, MemberId},
};

use crate::error::MembershipError;

/// Number of voters that form a quorum of a membership.
pub(crate) fn quorum(membership: &Membership) -> usize {
    quorum_size(membership.voters.len())
}

/// Size of a quorum of this many voters.
pub(crate) fn quorum_size(voters: usize) -> usize {
    voters / 2 + 1
}

/// Whether a member is a voter.
pub(crate) fn is_voter(membership: &Membership, member: MemberId) -> bool {
    membership.voters.contains(&member)
}

/// All voters and learners.
pub(crate) fn members(membership: &Membership) -> impl Iterator<Item = MemberId> + '_ {
    membership
        .voters
        .iter()
        .chain(&membership.learners)
        .copied()
}

/// The membership after a change.
pub(crate) fn changed(
    membership: &Membership,
    change: &MembershipChange,
) -> Result<Membership, MembershipError> {
    let mut result = membership.clone();
    match change {
        MembershipChange::AddLearner(member) => add_learner(&mut result, *member)?,
        MembershipChange::PromoteLearner(member) => promote(&mut result, *member)?,
        MembershipChange::Remove(member) => remove(&mut result, *member)?,
    }
    Ok(result)
}

fn add_learner(membership: &mut Membership, member: MemberId) -> Result<(), MembershipError> {
    if members(membership).any(|known| known == member) {
        return Err(MembershipError::AlreadyMember);
    }
    membership.learners.push(member);
    membership.learners.sort_unstable();
    Ok(())
}

fn promote(membership: &mut Membership, member: MemberId) -> Result<(), MembershipError> {
    if !membership.learners.contains(&member) {
        return Err(MembershipError::NotLearner);
    }
    membership.learners.retain(|learner| *learner != member);
    membership.voters.push(member);
    membership.voters.sort_unstable();
    Ok(())
}

fn remove(membership: &mut Membership, member: MemberId) -> Result<(), MembershipError> {
    if !members(membership).any(|known| known == member) {
        return Err(MembershipError::NotMember);
    }
    membership.learners.retain(|learner| *learner != member);
    membership.voters.retain(|voter| *voter != member);
    if membership.voters.is_empty() {
        return Err(MembershipError::LastVoter);
    }
    Ok(())
}

struct RecordedMembership {
    index: LogIndex,
    membership: Membership,
}

/// The last committed membership and those in the uncommitted part of the log.
///
/// A membership takes effect as soon as its entry is in the log.
pub(crate) struct MembershipHistory {
    recorded: Vec<RecordedMembership>,
}

impl MembershipHistory {
    /// Starts from the membership at an index.
    pub(crate) fn new(index: LogIndex, membership: Membership) -> Self {
        let base = RecordedMembership { index, membership };
        MembershipHistory {
            recorded: vec![base],
        }
    }

    /// The newest membership.
    pub(crate) fn latest(&self) -> &Membership {
        &self.newest().membership
    }

    /// Log index of the newest membership.
    pub(crate) fn latest_index(&self) -> LogIndex {
        self.newest().index
    }

    /// Records an appended entry; true if the entry changes the membership.
    pub(crate) fn record(&mut self, entry: &Entry) -> bool {
        let EntryPayload::Membership(_, membership) = &entry.payload else {
            return false;
        };
        self.recorded.push(RecordedMembership {
            index: entry.index,
            membership: membership.clone(),
        });
        true
    }

    /// Removes memberships above an index.
    pub(crate) fn truncate_after(&mut self, index: LogIndex) {
        let retained = self
            .recorded
            .partition_point(|recorded| recorded.index <= index);
        self.recorded.truncate(retained.max(1));
    }

    /// Removes memberships older than the newest committed one.
    pub(crate) fn compact(&mut self, commit: LogIndex) {
        let committed = self
            .recorded
            .partition_point(|recorded| recorded.index <= commit);
        self.recorded.drain(..committed.saturating_sub(1));
    }

    fn newest(&self) -> &RecordedMembership {
        &self.recorded[self.recorded.len() - 1]
    }
}
