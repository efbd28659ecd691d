//! A member's state as published by its driver.

use std::sync::Arc;

use linnethitch_config::fleet::Fleet;
use linnethitch_consensus::TICK_MILLISECONDS;
use linnethitch_protocol::{
    attach::PendingItems,
    ids::{LogIndex, MemberId, Revision, Term, Timestamp},
    query::MemberStatus,
};

use super::core::Member;

/// State of a member at one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MemberView {
    /// This member.
    pub id: MemberId,
    /// The current term.
    pub term: Term,
    /// The leader, if known.
    pub leader: Option<MemberId>,
    /// Whether this member leads and has committed an entry of its term.
    pub leads: bool,
    /// When this member last knew that it led or followed a leader with a quorum; 0 if never.
    pub confirmed_at: Timestamp,
    /// The configuration revision applied by this member.
    pub revision: Revision,
    /// The configuration applied by this member.
    pub fleet: Option<Arc<Fleet>>,
    /// The last index applied by this member.
    pub applied: LogIndex,
    /// Pending batch items by model.
    pub pending: Vec<PendingItems>,
    /// Number of orders to engines that are not settled.
    pub open_orders: usize,
    /// Number of results dropped because another result was first or the job had stopped.
    pub dropped_results: u64,
    /// Bytes of the stored files, results and answers.
    pub payload_bytes: u64,
    /// Status of all members; empty unless this member leads.
    pub members: Vec<MemberStatus>,
    /// Number of voters.
    pub voters: usize,
    /// Addresses for gateways of this and other members.
    pub attach_addresses: Arc<Vec<String>>,
    /// Whether this disk takes part in a cluster or may have done so.
    pub formatted: bool,
    /// Bytes of the log on disk.
    pub log_bytes: u64,
    /// Whether new work is refused because the disk is full.
    pub disk_full: bool,
}

impl Member {
    /// The current state of this member.
    #[must_use]
    pub fn view(&self) -> MemberView {
        let status = self.node.status();
        MemberView {
            id: status.id,
            term: status.term,
            leader: status.leader,
            leads: self.node.is_leader() && self.has_applied_own_term(),
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

    /// Whether an entry of the current term, and so everything of earlier terms, is applied.
    fn has_applied_own_term(&self) -> bool {
        self.store.log.term(self.applied) == Some(self.node.term())
    }

    /// When this member last knew that it led or followed a leader with a quorum.
    fn confirmed_at(&self) -> Timestamp {
        let ticks_since_contact = if self.node.is_leader() {
            self.ticks_since_quorum()
        } else if self.node.leader().is_some() {
            Some(self.node.status().ticks_since_leader)
        } else {
            None
        };
        if let Some(ticks) = ticks_since_contact {
            let silent_ms = u64::from(ticks) * TICK_MILLISECONDS;
            return Timestamp(self.time.wall.0.saturating_sub(silent_ms));
        }
        Timestamp(0)
    }

    /// Ticks since the last contact with a complete quorum: the longest time since contact among
    /// the members of the quorum with the most recent contact.
    fn ticks_since_quorum(&self) -> Option<u32> {
        let status = self.node.status();
        let mut ticks: Vec<u32> = status
            .peers
            .iter()
            .filter(|peer| peer.voter)
            .map(|peer| peer.ticks_since_contact)
            .collect();
        ticks.push(0);
        ticks.sort_unstable();
        let quorum = status.membership.voters.len() / 2 + 1;
        ticks.get(quorum - 1).copied()
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
