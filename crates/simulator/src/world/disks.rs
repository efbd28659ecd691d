//! Which disks may be lost: the design promises to survive any two.

use std::collections::BTreeSet;

use linnethitch_consensus::{Role, Status};
use linnethitch_protocol::ids::{MachineId, MemberId};

use super::World;

/// Voters whose disks may be lost at once.
const MAX_LOST_DISKS: usize = 2;

impl World {
    pub(crate) fn note_membership(&mut self) {
        if let Some(status) = self.newest_leader()
            && status.membership_committed
        {
            self.committed_membership = status.membership;
        }
    }

    /// The leader of the newest term that any member knows of.
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

    /// Whether the design promises to survive the loss of one more disk now.
    pub(crate) fn may_lose_disk(&self, lost: MachineId) -> bool {
        let voters = self.possible_voters();
        if voters.len() < self.machines.len() {
            return false;
        }
        let gone = voters.iter().filter(|voter| {
            voter.machine == lost || self.damaged.contains(voter) || !self.is_present(**voter)
        });
        gone.count() <= MAX_LOST_DISKS
    }

    /// All disks that may be voters now: while a change is under way or nobody
    /// leads, those of every membership that may be the newest one.
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

    /// Whether a voter's disk is still the one in its machine.
    pub(super) fn is_present(&self, voter: MemberId) -> bool {
        self.machines
            .get(&voter.machine)
            .and_then(|machine| machine.disk_id())
            .is_none_or(|disk| disk == voter.disk)
    }
}
