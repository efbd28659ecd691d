//! Terms, votes and role changes.

use linnethitch_protocol::{
    consensus::{
        Append, AppendResponse, ConsensusBody, ConsensusMessage, EntryPayload, SnapshotChunk,
    },
    ids::{LogIndex, MemberId, Term},
};

use super::{Node, leadership::Leadership};
use crate::{membership, status::Role};

impl Node {
    pub(super) fn tick_follower(&mut self) {
        self.election_elapsed = self.election_elapsed.saturating_add(1);
        self.snapshot_backoff_ticks = self.snapshot_backoff_ticks.saturating_sub(1);
        if self.election_elapsed >= self.election_timeout && self.is_promotable() {
            self.start_pre_vote();
        }
    }

    /// Whether this member may become leader.
    pub(super) fn is_promotable(&self) -> bool {
        let voter = membership::is_voter(self.membership.latest(), self.settings.id);
        voter && self.damaged_up_to.is_none()
    }

    /// Updates the term from a message; false if the message must not be handled.
    pub(super) fn accept_term(&mut self, message: &ConsensusMessage) -> bool {
        if message.term < self.term {
            self.reply_with_current_term(message);
            return false;
        }
        if message.term > self.term && !is_about_future_term(&message.body) {
            if self.ignores_candidate(&message.body) {
                return false;
            }
            self.become_follower(message.term, None);
        }
        if is_from_leader(&message.body) {
            return self.follow(message.from);
        }
        true
    }

    /// Replies to a message of an earlier term with the current term, so that the
    /// sender does not remain in the earlier term indefinitely.
    fn reply_with_current_term(&mut self, message: &ConsensusMessage) {
        let body = match &message.body {
            ConsensusBody::Append(Append { round, .. })
            | ConsensusBody::SnapshotChunk(SnapshotChunk { round, .. }) => {
                ConsensusBody::AppendResponse(AppendResponse {
                    accepted: false,
                    matched: LogIndex(0),
                    round: *round,
                })
            }
            ConsensusBody::PreVoteRequest { .. } => {
                ConsensusBody::PreVoteResponse { granted: false }
            }
            ConsensusBody::VoteRequest { .. } => ConsensusBody::VoteResponse { granted: false },
            _ => return,
        };
        let response = self.new_message(message.from, self.term, body);
        self.after_sync.push(response);
    }

    /// Accepts the sender as leader of the current term; false if this member is
    /// itself the leader of that term.
    fn follow(&mut self, leader: MemberId) -> bool {
        if self.role == Role::Leader {
            return false;
        }
        self.has_seen_leader = true;
        if self.role != Role::Follower || self.leader != Some(leader) {
            self.become_follower(self.term, Some(leader));
        }
        self.election_elapsed = 0;
        true
    }

    /// Vote requests are ignored while the leader is alive, unless the leader itself
    /// requested the election by a leadership transfer.
    fn ignores_candidate(&self, body: &ConsensusBody) -> bool {
        match body {
            ConsensusBody::VoteRequest {
                leadership_transfer,
                ..
            } => !leadership_transfer && self.has_live_leader(),
            _ => false,
        }
    }

    fn has_live_leader(&self) -> bool {
        let recent = self.election_elapsed < self.settings.election_ticks;
        self.leader.is_some() && (self.role == Role::Leader || recent)
    }

    pub(super) fn become_follower(&mut self, term: Term, leader: Option<MemberId>) {
        if term > self.term {
            self.term = term;
            self.vote = None;
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.leader_commit = LogIndex(0);
        self.term_committed = false;
        self.votes.clear();
        self.vote_for_self_pending = false;
        self.answered_round = 0;
        self.election_elapsed = 0;
        self.randomize_election_timeout();
        if let Some(leadership) = self.leadership.take() {
            self.refused_reads.extend(leadership.reads.refuse_all());
        }
    }

    fn start_pre_vote(&mut self) {
        self.become_follower(self.term, None);
        self.role = Role::PreCandidate;
        self.votes.insert(self.settings.id, true);
        if self.has_won() {
            self.start_election(false);
            return;
        }
        let body = ConsensusBody::PreVoteRequest {
            last_index: self.pending.last_index(),
            last_term: self.pending.last_term(),
        };
        let requests = self.requests_to_other_voters(Term(self.term.0 + 1), &body);
        self.before_sync.extend(requests);
    }

    /// Starts an election. The member's own vote counts once it is synced.
    pub(super) fn start_election(&mut self, leadership_transfer: bool) {
        self.become_follower(Term(self.term.0 + 1), None);
        self.role = Role::Candidate;
        self.vote = Some(self.settings.id);
        let body = ConsensusBody::VoteRequest {
            last_index: self.pending.last_index(),
            last_term: self.pending.last_term(),
            leadership_transfer,
        };
        let requests = self.requests_to_other_voters(self.term, &body);
        if self.settings.safety.skip_vote_sync {
            self.before_sync.extend(requests);
            self.count_own_vote(self.term);
        } else {
            self.after_sync.extend(requests);
            self.vote_for_self_pending = true;
        }
    }

    fn requests_to_other_voters(&self, term: Term, body: &ConsensusBody) -> Vec<ConsensusMessage> {
        let id = self.settings.id;
        let voters = self.membership.latest().voters.iter();
        voters
            .filter(|voter| **voter != id)
            .map(|voter| self.new_message(*voter, term, body.clone()))
            .collect()
    }

    /// Counts the member's own vote after its sync, unless the election is over.
    pub(super) fn count_own_vote(&mut self, term: Term) {
        if self.role == Role::Candidate && self.term == term {
            self.votes.insert(self.settings.id, true);
            self.finish_election_if_won();
        }
    }

    fn has_won(&self) -> bool {
        let latest = self.membership.latest();
        let granted = |voter: &&MemberId| self.votes.get(voter) == Some(&true);
        latest.voters.iter().filter(granted).count() >= membership::quorum(latest)
    }

    fn finish_election_if_won(&mut self) {
        if self.has_won() {
            self.become_leader();
        }
    }

    fn become_leader(&mut self) {
        self.role = Role::Leader;
        self.leader = Some(self.settings.id);
        self.votes.clear();
        self.incoming_snapshot = None;
        let first_index = LogIndex(self.pending.last_index().0 + 1);
        let leadership = Leadership::new(self.settings.id, self.membership.latest(), first_index);
        self.leadership = Some(leadership);
        self.append_entry(EntryPayload::Empty);
    }

    pub(super) fn on_pre_vote_request(
        &mut self,
        from: MemberId,
        term: Term,
        last_index: LogIndex,
        last_term: Term,
    ) {
        let granted = term > self.term
            && !self.has_live_leader()
            && self.may_vote()
            && self.is_up_to_date(last_index, last_term);
        let response_term = if granted { term } else { self.term };
        let body = ConsensusBody::PreVoteResponse { granted };
        let response = self.new_message(from, response_term, body);
        self.before_sync.push(response);
    }

    pub(super) fn on_pre_vote_response(&mut self, from: MemberId, term: Term, granted: bool) {
        let current = term.0 == self.term.0 + 1;
        if self.role != Role::PreCandidate || (granted && !current) {
            return;
        }
        self.votes.insert(from, granted);
        if self.has_won() {
            self.start_election(false);
        }
    }

    pub(super) fn on_vote_request(
        &mut self,
        from: MemberId,
        last_index: LogIndex,
        last_term: Term,
    ) {
        let may_grant = self.vote == Some(from) || (self.vote.is_none() && self.leader.is_none());
        let granted = may_grant && self.may_vote() && self.is_up_to_date(last_index, last_term);
        if granted {
            self.vote = Some(from);
            self.election_elapsed = 0;
        }
        let body = ConsensusBody::VoteResponse { granted };
        let response = self.new_message(from, self.term, body);
        if self.settings.safety.skip_vote_sync {
            self.before_sync.push(response);
        } else {
            self.after_sync.push(response);
        }
    }

    pub(super) fn on_vote_response(&mut self, from: MemberId, granted: bool) {
        if self.role == Role::Candidate {
            self.votes.insert(from, granted);
            self.finish_election_if_won();
        }
    }

    /// Handles the leader's request to start an election for a leadership transfer.
    pub(super) fn on_transfer_request(&mut self, from: MemberId) {
        if self.leader == Some(from) && self.is_promotable() {
            self.start_election(true);
        }
    }

    /// A member with a blank disk grants no votes, nor does one that may have lost
    /// acknowledged entries.
    fn may_vote(&self) -> bool {
        let latest = self.membership.latest();
        let blank = latest.voters.is_empty() && self.pending.last_index().0 == 0;
        let allowed = !blank || self.settings.safety.blank_disk_may_vote;
        allowed && self.damaged_up_to.is_none()
    }

    /// Whether a candidate's log is at least as up to date as this member's log.
    fn is_up_to_date(&self, last_index: LogIndex, last_term: Term) -> bool {
        let own = (self.pending.last_term(), self.pending.last_index());
        (last_term, last_index) >= own
    }
}

/// Whether the term of a message is one that its sender has not yet entered.
fn is_about_future_term(body: &ConsensusBody) -> bool {
    matches!(
        body,
        ConsensusBody::PreVoteRequest { .. } | ConsensusBody::PreVoteResponse { granted: true }
    )
}

fn is_from_leader(body: &ConsensusBody) -> bool {
    matches!(
        body,
        ConsensusBody::Append(_) | ConsensusBody::SnapshotChunk(_)
    )
}
