//! Collects work for the driver and records what the driver has synced.

use linnethitch_protocol::{
    consensus::HardState,
    ids::{LogIndex, Term},
};

use super::{Node, UnsyncedReady};
use crate::{
    log_view::LogView,
    ready::{ConfirmedRead, Ready},
    replication::Replication,
};

impl Node {
    /// Whether the state changed since the last [`Node::ready`], so that there may
    /// be work.
    #[must_use]
    pub fn has_ready(&self) -> bool {
        self.dirty
    }

    /// Returns everything that has to be stored, sent and applied; see the crate's
    /// documentation for the order. All proposals and messages before one call
    /// share one write and one sync.
    pub fn ready(&mut self, log: &dyn LogView) -> Ready {
        let confirmed_reads = self.confirm_reads();
        self.replicate(log);
        self.step_down_if_removed();
        let change = self.pending.take();
        let vote_changed = self.has_new_term_or_vote();
        let hard_state = self.take_hard_state();
        self.ready_number += 1;
        self.dirty = false;
        let mut ready = Ready {
            number: self.ready_number,
            hard_state,
            truncate_after: change.truncate_after,
            entries: change.entries,
            snapshot_chunks: std::mem::take(&mut self.chunks),
            must_sync: vote_changed,
            messages_before_sync: std::mem::take(&mut self.before_sync),
            messages_after_sync: std::mem::take(&mut self.after_sync),
            committed: self.commit.min(self.synced),
            confirmed_reads,
            refused_reads: std::mem::take(&mut self.refused_reads),
        };
        ready.must_sync |= ready.has_log_writes();
        self.record_unsynced();
        ready
    }

    /// Reports that the `Ready` with this number and all earlier ones are synced.
    /// This can commit entries and win elections, so check for another `Ready`
    /// afterwards.
    pub fn advance(&mut self, number: u64, log: &dyn LogView) {
        let synced_before = self.synced;
        let count = self
            .unsynced
            .partition_point(|unsynced| unsynced.number <= number);
        let all_synced: Vec<UnsyncedReady> = self.unsynced.drain(..count).collect();
        for synced in all_synced {
            self.synced = self.synced.max(synced.last_index);
            if let Some(term) = synced.vote_for_self {
                self.count_own_vote(term);
                self.dirty = true;
            }
        }
        self.dirty |= self.synced > synced_before;
        self.clear_damage_if_restored();
        self.commit_if_possible(log);
    }

    /// A damaged log counts as restored once every entry that it may have
    /// acknowledged is committed and synced on this member.
    pub(super) fn clear_damage_if_restored(&mut self) {
        let restored = self.commit.min(self.synced);
        if self
            .damaged_up_to
            .is_some_and(|damaged| damaged <= restored)
        {
            self.damaged_up_to = None;
        }
    }

    fn confirm_reads(&mut self) -> Vec<ConfirmedRead> {
        let latest = self.membership.latest();
        let commit = self.commit;
        let skip_confirmation = self.settings.safety.skip_read_confirmation;
        let Some(leadership) = &mut self.leadership else {
            return Vec::new();
        };
        if commit >= leadership.first_index && leadership.reads.has_waiting() {
            leadership.start_round();
            let round = leadership.round;
            leadership.reads.start_round(round, commit);
        }
        let confirmed = if skip_confirmation {
            leadership.round
        } else {
            leadership.quorum_round(self.settings.id, latest)
        };
        leadership.reads.confirm(confirmed)
    }

    fn replicate(&mut self, log: &dyn LogView) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let replication = Replication {
            settings: &self.settings,
            term: self.term,
            commit: self.commit,
            round: leadership.round,
            pending: &self.pending,
            log,
        };
        for (member, progress) in &mut leadership.peers {
            replication.send(*member, progress, &mut self.before_sync);
        }
    }

    /// Whether term or vote changed since the last `Ready`. A change of only the
    /// commit index needs no sync, since a leader sends the commit index again.
    fn has_new_term_or_vote(&self) -> bool {
        let last = &self.last_hard_state;
        self.term != last.term || self.vote != last.vote
    }

    /// The hard state if it changed since the last `Ready`.
    fn take_hard_state(&mut self) -> Option<HardState> {
        let current = self.current_hard_state();
        if current == self.last_hard_state {
            return None;
        }
        self.last_hard_state = current.clone();
        Some(current)
    }

    fn record_unsynced(&mut self) {
        let vote_for_self: Option<Term> = self.vote_for_self_pending.then_some(self.term);
        self.vote_for_self_pending = false;
        let last_index: LogIndex = self.pending.last_index();
        self.unsynced.push_back(UnsyncedReady {
            number: self.ready_number,
            last_index,
            vote_for_self,
        });
    }
}
