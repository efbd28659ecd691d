//! Proposals that change the membership.

use linnethitch_protocol::{
    consensus::{EntryPayload, MembershipChange},
    ids::{LogIndex, MemberId},
};

use super::{Node, leadership::Leadership};
use crate::{error::MembershipError, membership};

impl Node {
    /// Appends a change of the membership, which counts at once for the quorum.
    ///
    /// # Errors
    /// Nothing was appended; see [`MembershipError`].
    pub fn propose_membership(
        &mut self,
        change: MembershipChange,
    ) -> Result<LogIndex, MembershipError> {
        let leadership = self.leadership.as_ref().ok_or(MembershipError::NotLeader {
            leader: self.leader,
        })?;
        self.check_change_allowed(leadership)?;
        if let MembershipChange::PromoteLearner(member) = &change {
            self.check_caught_up(leadership, *member)?;
        }
        let result = membership::changed(self.membership.latest(), &change)?;
        self.append_own(EntryPayload::Membership(change, result));
        Ok(self.pending.last_index())
    }

    /// One change at a time, and none before this leader has committed an
    /// entry: two leaders with different uncommitted changes could otherwise
    /// have quorums that do not meet.
    fn check_change_allowed(&self, leadership: &Leadership) -> Result<(), MembershipError> {
        if leadership.transfer.is_some() {
            return Err(MembershipError::TransferInProgress);
        }
        if !self.is_settled(leadership) {
            return Err(MembershipError::LeaderNotReady);
        }
        if self.membership.latest_index() > self.commit {
            return Err(MembershipError::ChangeInProgress);
        }
        Ok(())
    }

    /// A learner is promoted only once it has synced all that is committed.
    fn check_caught_up(
        &self,
        leadership: &Leadership,
        member: MemberId,
    ) -> Result<(), MembershipError> {
        match leadership.peers.get(&member) {
            Some(progress) if progress.matched < self.commit => Err(MembershipError::NotCaughtUp),
            _ => Ok(()),
        }
    }
}
