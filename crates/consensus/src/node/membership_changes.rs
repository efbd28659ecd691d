//! Proposals of membership changes.

use linnethitch_protocol::{
    consensus::{EntryPayload, MembershipChange},
    ids::{LogIndex, MemberId},
};

use super::{Node, leadership::Leadership};
use crate::{error::MembershipError, membership};

impl Node {
    /// Appends a membership change, which takes effect for quorums at once.
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
        self.append_entry(EntryPayload::Membership(change, result));
        Ok(self.pending.last_index())
    }

    /// Allows one change at a time, and none before this leader has committed an
    /// entry of its own term: otherwise two leaders with different uncommitted
    /// changes could have quorums that do not intersect.
    fn check_change_allowed(&self, leadership: &Leadership) -> Result<(), MembershipError> {
        if leadership.transfer.is_some() {
            return Err(MembershipError::TransferInProgress);
        }
        if !self.has_committed_own_term(leadership) {
            return Err(MembershipError::LeaderNotReady);
        }
        if self.membership.latest_index() > self.commit {
            return Err(MembershipError::ChangeInProgress);
        }
        Ok(())
    }

    /// A learner may be promoted only once it has synced all committed entries.
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
