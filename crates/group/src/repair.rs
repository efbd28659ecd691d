//! Maintains the membership: replaces lost disks, adds new machines, and removes machines
//! that are being drained.

use linnethitch_consensus::{
    Role, Status,
    repair::{self, RepairPolicy},
};
use linnethitch_protocol::{
    consensus::MembershipChange,
    ids::{MachineId, MemberId},
};

use crate::{member::GroupMember, output::GroupNotice, state_machine::StateMachine};

/// Time for which a disk counts as present after its last presence report, in milliseconds.
const PRESENCE_MS: u64 = 2_000;

/// A drained machine is removed only if at least this many voters remain, or the maximum
/// number of voters if that is lower.
const MIN_REMAINING_VOTERS: usize = 3;

impl<S: StateMachine> GroupMember<S> {
    /// Proposes the next change towards a membership of the desired number of present disks.
    pub(crate) fn repair_membership(&mut self) {
        let status = self.node.status();
        if status.role != Role::Leader {
            return;
        }
        let joining = self.present_disks();
        let retiring = self.retiring_voters(&status);
        let desired = self.desired_voters(&status, &joining);
        let policy = RepairPolicy {
            lost_ticks: self.settings.lost_ticks,
            healthy_ticks: self.settings.election_ticks,
            voters: desired + retiring.len(),
        };
        let step = repair::next_change(&policy, &status, &joining);
        let change = step.map(|step| step.change).or_else(|| {
            let remaining = status.membership.voters.len().saturating_sub(1);
            let has_successor =
                remaining >= desired.max(self.settings.max_voters.min(MIN_REMAINING_VOTERS));
            let removed = retiring.first().filter(|_| has_successor);
            removed.map(|member| MembershipChange::Remove(*member))
        });
        if let Some(change) = change {
            self.propose_change(change);
        }
    }

    fn propose_change(&mut self, change: MembershipChange) {
        if change == MembershipChange::Remove(self.id()) {
            self.transfer_leadership();
            return;
        }
        let text = format!("{change:?}");
        // An error means that the change is not possible yet; the next tick tries again.
        if self.node.propose_membership(change).is_ok() {
            self.notice(GroupNotice::MembershipProposed(text));
        }
    }

    /// Disks that recently reported their presence and are not being drained.
    fn present_disks(&self) -> Vec<MemberId> {
        let now_ms = self.now_ms;
        let is_recent = |at_ms: &u64| now_ms.saturating_sub(*at_ms) <= PRESENCE_MS;
        let joining = self.joining.iter();
        joining
            .filter(|(machine, (_, at_ms))| is_recent(at_ms) && !self.retiring.contains(machine))
            .map(|(_, (member, _))| *member)
            .collect()
    }

    fn retiring_voters(&self, status: &Status) -> Vec<MemberId> {
        let voters = status.membership.voters.iter().copied();
        voters
            .filter(|voter| self.retiring.contains(&voter.machine))
            .collect()
    }

    /// The desired number of voters: one for each machine that is not being drained, up
    /// to the maximum. A lost voter is counted until it is replaced.
    fn desired_voters(&self, status: &Status, joining: &[MemberId]) -> usize {
        let lost_ticks = self.settings.lost_ticks;
        let staying = |member: &MemberId| !self.retiring.contains(&member.machine);
        let peers = status.peers.iter();
        let mut machines: Vec<MachineId> = peers
            .filter(|peer| peer.ticks_since_contact < lost_ticks)
            .map(|peer| peer.member)
            .chain(std::iter::once(status.id))
            .chain(joining.iter().copied())
            .filter(staying)
            .map(|member| member.machine)
            .collect();
        machines.sort_unstable();
        machines.dedup();
        let voters = status.membership.voters.iter();
        let staying_voters = voters.filter(|voter| staying(voter)).count();
        machines
            .len()
            .max(staying_voters)
            .min(self.settings.max_voters)
    }
}
