//! Which disks may be lost: the design tolerates the loss of any two.

use std::collections::BTreeSet;

use linnethitch_consensus::{Role, Status};
use linnethitch_protocol::ids::{MachineId, MemberId};

use super::World;

/// Maximum number of voters whose disks are lost at the same time.
const MAX_LOST_DISKS: usize = 2;

impl World {
    pub(crate) fn record_membership(&mut self) {
        if let Some(status) = self.newest_leader()
            && status.membership_committed
        {
            self.committed_membership = status.membership;
        }
    }

    /// The status of the leader, if it leads the newest term that any member knows.
    pub(super) fn newest_leader(&self) -> Option<Status> {
        let members = self
            .machines
            .values()
            .filter_map(|machine| machine.member.as_ref());
        let newest = members
            .map(|member| member.status())
            .max_by_key(|status| (status.term, status.role == Role::Leader))?;
        (newest.role == Role::Leader).then_some(newest)
    }

    /// Whether the design tolerates the loss of this disk now.
    pub(crate) fn may_lose_disk(&self, lost: MachineId) -> bool {
        let voters = self.possible_voters();
        if voters.len() < self.machines.len() {
            return false;
        }
        let lost_disks = voters.iter().filter(|voter| {
            voter.machine == lost || self.damaged.contains(voter) || !self.is_present(**voter)
        });
        lost_disks.count() <= MAX_LOST_DISKS
    }

    /// All members that may be voters now: during a membership change or without a leader,
    /// those of every membership that may be the newest.
    pub(super) fn possible_voters(&self) -> BTreeSet<MemberId> {
        let leader = self.newest_leader();
        if let Some(status) = &leader
            && status.membership_committed
        {
            return status.membership.voters.iter().copied().collect();
        }
        let members = self.machines.values();
        let memberships = members
            .filter_map(|machine| machine.member.as_ref())
            .map(|member| member.status().membership);
        memberships
            .chain([self.committed_membership.clone()])
            .flat_map(|membership| membership.voters)
            .collect()
    }

    /// Whether the disk of a voter is still in its machine.
    pub(super) fn is_present(&self, voter: MemberId) -> bool {
        self.machines
            .get(&voter.machine)
            .and_then(|machine| machine.disk_id())
            .is_none_or(|disk| disk == voter.disk)
    }
}
