//! What a driver may want to know of a member without asking it.

use std::sync::Arc;

use linnethitch_config::fleet::Fleet;
use linnethitch_consensus::TICK_MILLISECONDS;
use linnethitch_protocol::{
    attach::PendingItems,
    ids::{LogIndex, MemberId, Revision, Term, Timestamp},
    query::MemberStatus,
};

use super::core::Member;

/// A member at one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MemberView {
    /// This member.
    pub id: MemberId,
    /// Its term.
    pub term: Term,
    /// Who leads, as far as is known.
    pub leader: Option<MemberId>,
    /// Whether this member leads and has committed an entry of its term.
    pub leads: bool,
    /// When it last knew that it follows a leader with a quorum; 0 for never.
    pub confirmed_at: Timestamp,
    /// The revision applied here.
    pub revision: Revision,
    /// The configuration applied here.
    pub fleet: Option<Arc<Fleet>>,
    /// The last index applied here.
    pub applied: LogIndex,
    /// Items pending, by model.
    pub pending: Vec<PendingItems>,
    /// Orders to engines that are not settled.
    pub open_orders: usize,
    /// Results dropped so far, since another was first or the job had stopped.
    pub dropped_results: u64,
    /// Bytes of the files and results that are kept.
    pub payload_bytes: u64,
    /// The members, on the leader only.
    pub members: Vec<MemberStatus>,
    /// Disks that vote.
    pub voters: usize,
    /// Where gateways attach to this and to other members.
    pub attach_addresses: Arc<Vec<String>>,
    /// Whether this disk takes part in a running cluster or may have.
    pub formatted: bool,
    /// Bytes of the log on disk.
    pub log_bytes: u64,
    /// Whether new work is refused for want of space.
    pub disk_full: bool,
}

impl Member {
    /// This member now.
    #[must_use]
    pub fn view(&self) -> MemberView {
        let status = self.node.status();
        MemberView {
            id: status.id,
            term: status.term,
            leader: status.leader,
            leads: self.node.is_leader() && self.leads_settled(),
            confirmed_at: self.confirmed_at(),
            revision: self.ledger.revision(),
            fleet: self.ledger.fleet(),
            applied: self.applied,
            pending: self.ledger.pending_items(),
            open_orders: self.ledger.open_orders().count(),
            dropped_results: self.ledger.dropped_results(),
            payload_bytes: self.ledger.payload_bytes(),
            members: self.member_statuses(),
            voters: status.membership.voters.len(),
            attach_addresses: Arc::new(self.attach_addresses()),
            formatted: self.is_formatted(),
            log_bytes: self.log_bytes(),
            disk_full: self.disk_full,
        }
    }

    /// Whether everything of earlier terms is applied here.
    fn leads_settled(&self) -> bool {
        self.store.log.term(self.applied) == Some(self.node.term())
    }

    /// When this member last knew that it follows a leader with a quorum.
    fn confirmed_at(&self) -> Timestamp {
        let silent_ticks = if self.node.is_leader() {
            self.quorum_silence()
        } else if self.node.leader().is_some() {
            Some(self.node.status().ticks_since_leader)
        } else {
            None
        };
        if let Some(ticks) = silent_ticks {
            let silent_ms = u64::from(ticks) * TICK_MILLISECONDS;
            return Timestamp(self.time.wall.0.saturating_sub(silent_ms));
        }
        Timestamp(0)
    }

    /// Ticks since the slowest member of the quickest quorum was heard of.
    fn quorum_silence(&self) -> Option<u32> {
        let status = self.node.status();
        let mut silences: Vec<u32> = status
            .peers
            .iter()
            .filter(|peer| peer.voter)
            .map(|peer| peer.ticks_since_contact)
            .collect();
        silences.push(0);
        silences.sort_unstable();
        let quorum = status.membership.voters.len() / 2 + 1;
        silences.get(quorum - 1).copied()
    }

    fn member_statuses(&self) -> Vec<MemberStatus> {
        if !self.node.is_leader() {
            return Vec::new();
        }
        let status = self.node.status();
        let own = MemberStatus {
            member: status.id,
            voter: status.membership.voters.contains(&status.id),
            leader: true,
            matched: status.synced.0,
            silent_ms: 0,
        };
        let others = status.peers.iter().map(|peer| MemberStatus {
            member: peer.member,
            voter: peer.voter,
            leader: false,
            matched: peer.matched.0,
            silent_ms: u64::from(peer.ticks_since_contact) * TICK_MILLISECONDS,
        });
        std::iter::once(own).chain(others).collect()
    }
}
