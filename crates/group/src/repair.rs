//! Keeping the group at full strength: replacing lost disks, taking in added
//! machines, and letting machines go that are to be emptied.

use linnethitch_consensus::{
    Role, Status,
    repair::{self, RepairPolicy},
};
use linnethitch_protocol::{
    consensus::MembershipChange,
    ids::{MachineId, MemberId},
};

use crate::{member::GroupMember, output::GroupNotice, state_machine::StateMachine};

/// A disk counts as present for this long after its last word, in milliseconds.
const PRESENCE_MS: u64 = 2_000;

/// A machine is emptied only while so many voters are left, or as many as may vote.
const FEWEST_LEFT: usize = 3;

impl<S: StateMachine> GroupMember<S> {
    /// Proposes the next step towards a full membership of present disks.
    pub(crate) fn repair_membership(&mut self) {
        let status = self.node.status();
        if status.role != Role::Leader {
            return;
        }
        let joining = self.present_disks();
        let leaving = self.leaving_voters(&status);
        let wanted = self.wanted_voters(&status, &joining);
        let policy = RepairPolicy {
            lost_ticks: self.settings.lost_ticks,
            healthy_ticks: self.settings.election_ticks,
            voters: wanted + leaving.len(),
        };
        let step = repair::next_change(&policy, &status, &joining);
        let change = step.map(|step| step.change).or_else(|| {
            let staying = status.membership.voters.len().saturating_sub(1);
            let has_successor = staying >= wanted.max(self.settings.max_voters.min(FEWEST_LEFT));
            let gone = leaving.first().filter(|_| has_successor);
            gone.map(|member| MembershipChange::Remove(*member))
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
        // A refusal means that the time has not come yet; the next tick asks again.
        if self.node.propose_membership(change).is_ok() {
            self.notice(GroupNotice::MembershipProposed(text));
        }
    }

    /// Disks that said lately that they are present and may stay.
    fn present_disks(&self) -> Vec<MemberId> {
        let now_ms = self.now_ms;
        let lately = |at_ms: &u64| now_ms.saturating_sub(*at_ms) <= PRESENCE_MS;
        let joining = self.joining.iter();
        joining
            .filter(|(machine, (_, at_ms))| lately(at_ms) && !self.retiring.contains(machine))
            .map(|(_, (member, _))| *member)
            .collect()
    }

    fn leaving_voters(&self, status: &Status) -> Vec<MemberId> {
        let voters = status.membership.voters.iter().copied();
        voters
            .filter(|voter| self.retiring.contains(&voter.machine))
            .collect()
    }

    /// As many voters as there are machines to stay, up to the limit. A lost one
    /// goes on counting until another has taken its place.
    fn wanted_voters(&self, status: &Status, joining: &[MemberId]) -> usize {
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
