//! How the leader replicates, commits and confirms reads.

use linnethitch_protocol::{
    consensus::{AppendResponse, ConsensusBody, Entry, EntryPayload},
    ids::{LogIndex, MemberId},
};

use super::{
    Node,
    leadership::{Leadership, Transfer},
};
use crate::{
    error::{ProposeError, ReadError, TransferError},
    log_view::LogView,
    membership,
    settings::MAX_ENTRY_BYTES,
    status::Role,
};

impl Node {
    /// Appends a command to the log and returns its index. The command takes effect
    /// once it is committed, which is certain only if this member is still the
    /// leader by then.
    ///
    /// # Errors
    /// Nothing was appended; see [`ProposeError`].
    pub fn propose(&mut self, command: Vec<u8>) -> Result<LogIndex, ProposeError> {
        let leader = self.leader;
        let limit = self.settings.max_uncommitted_bytes;
        let Some(leadership) = &mut self.leadership else {
            return Err(ProposeError::NotLeader { leader });
        };
        if command.len() > MAX_ENTRY_BYTES {
            return Err(ProposeError::TooLarge);
        }
        let bytes = command.len();
        if leadership.transfer.is_some() || !leadership.uncommitted.fits(bytes, limit) {
            return Err(ProposeError::Overloaded);
        }
        let index = LogIndex(self.pending.last_index().0 + 1);
        leadership.uncommitted.add(index, bytes);
        self.append_entry(EntryPayload::Command(command));
        Ok(index)
    }

    /// Requests a linearizable read. The context is returned in
    /// [`crate::Ready::confirmed_reads`], or in [`crate::Ready::refused_reads`].
    ///
    /// # Errors
    /// This member is not the leader, or too many reads are pending.
    pub fn read_index(&mut self, context: u64) -> Result<(), ReadError> {
        let leader = self.leader;
        let Some(leadership) = &mut self.leadership else {
            return Err(ReadError::NotLeader { leader });
        };
        if leadership.reads.is_full() {
            return Err(ReadError::Overloaded);
        }
        leadership.reads.add(context);
        self.dirty = true;
        Ok(())
    }

    /// Transfers leadership to another voter once its log is complete. Proposals
    /// are refused until then; the transfer is aborted after an election timeout.
    ///
    /// # Errors
    /// This member is not the leader, or the target is not another voter.
    pub fn transfer_leadership(&mut self, to: MemberId) -> Result<(), TransferError> {
        let leader = self.leader;
        let Some(leadership) = &mut self.leadership else {
            return Err(TransferError::NotLeader { leader });
        };
        let voter = membership::is_voter(self.membership.latest(), to);
        if !voter || to == self.settings.id {
            return Err(TransferError::NotAnotherVoter);
        }
        leadership.transfer = Some(Transfer {
            to,
            ticks: 0,
            request_sent: false,
        });
        self.dirty = true;
        self.send_transfer_if_caught_up();
        Ok(())
    }

    pub(super) fn append_entry(&mut self, payload: EntryPayload) {
        self.dirty = true;
        let entry = Entry {
            term: self.term,
            index: LogIndex(self.pending.last_index().0 + 1),
            payload,
        };
        let changes_membership = self.membership.record(&entry);
        self.pending.append(entry);
        if changes_membership {
            self.adopt_membership();
        }
    }

    fn adopt_membership(&mut self) {
        let next = LogIndex(self.pending.last_index().0 + 1);
        let latest = self.membership.latest();
        if let Some(leadership) = &mut self.leadership {
            leadership.update_peers(self.settings.id, latest, next);
        }
    }

    pub(super) fn tick_leader(&mut self) {
        let heartbeat_ticks = self.settings.heartbeat_ticks;
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        for progress in leadership.peers.values_mut() {
            progress.tick();
        }
        leadership.heartbeat_elapsed += 1;
        if leadership.heartbeat_elapsed >= heartbeat_ticks {
            leadership.start_round();
        }
        self.tick_transfer();
        self.step_down_without_quorum();
    }

    fn tick_transfer(&mut self) {
        let election_ticks = self.settings.election_ticks;
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        if let Some(transfer) = &mut leadership.transfer {
            transfer.ticks += 1;
            if transfer.ticks >= election_ticks {
                leadership.transfer = None;
            }
        }
    }

    fn step_down_without_quorum(&mut self) {
        let ticks = self.settings.election_ticks;
        let latest = self.membership.latest();
        let has_quorum = self
            .leadership
            .as_ref()
            .is_none_or(|leadership| leadership.has_quorum(self.settings.id, latest, ticks));
        if !has_quorum {
            self.become_follower(self.term, None);
        }
    }

    pub(super) fn on_append_response(
        &mut self,
        from: MemberId,
        response: &AppendResponse,
        log: &dyn LogView,
    ) {
        let last_index = self.pending.last_index();
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let Some(progress) = leadership.peers.get_mut(&from) else {
            return;
        };
        if response.matched > last_index || response.round > leadership.round {
            return;
        }
        progress.record_response(response.round);
        if response.accepted {
            progress.accepted(response.matched);
            self.commit_if_possible(log);
            self.send_transfer_if_caught_up();
        } else {
            progress.rejected(response.matched);
        }
    }

    /// Commits the highest index that a quorum has synced, if that entry is of this
    /// leader's term. Entries of earlier terms are committed with it.
    pub(super) fn commit_if_possible(&mut self, log: &dyn LogView) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let latest = self.membership.latest();
        let matched = leadership.quorum_matched(self.settings.id, self.synced, latest);
        let own_term = self.pending.term(matched, log) == Some(self.term);
        let may_commit = own_term || self.settings.safety.commit_old_terms_by_count;
        if matched > self.commit && may_commit {
            self.commit = matched;
            leadership.uncommitted.committed(matched);
            self.membership.compact(matched);
        }
    }

    /// Whether an entry of this leader's own term is committed.
    pub(super) fn has_committed_own_term(&self, leadership: &Leadership) -> bool {
        self.commit >= leadership.first_index
    }

    pub(super) fn send_transfer_if_caught_up(&mut self) {
        let last_index = self.pending.last_index();
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let Some(transfer) = &mut leadership.transfer else {
            return;
        };
        let Some(progress) = leadership.peers.get(&transfer.to) else {
            leadership.transfer = None;
            return;
        };
        if progress.matched < last_index || transfer.request_sent {
            return;
        }
        transfer.request_sent = true;
        let to = transfer.to;
        let message = self.new_message(to, self.term, ConsensusBody::TransferLeadership);
        self.before_sync.push(message);
    }

    /// A leader that is no longer a voter steps down once its removal is committed.
    pub(super) fn step_down_if_removed(&mut self) {
        let latest = self.membership.latest();
        let removed = !membership::is_voter(latest, self.settings.id);
        let committed = self.membership.latest_index() <= self.commit;
        if self.role == Role::Leader && removed && committed {
            self.become_follower(self.term, None);
        }
    }
}
