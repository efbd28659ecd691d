//! How a follower handles appends of the leader.

use linnethitch_protocol::{
    consensus::{Append, AppendResponse, ConsensusBody, Entry},
    ids::{LogIndex, MemberId, Term},
};

use super::Node;
use crate::log_view::LogView;

/// Whether the entries have consecutive indexes and non-decreasing terms up to `term`.
fn is_well_formed(append: &Append, term: Term) -> bool {
    let mut index = append.previous_index;
    let mut lowest_term = append.previous_term;
    for entry in &append.entries {
        let is_next = index.0.checked_add(1) == Some(entry.index.0);
        if !is_next || entry.term < lowest_term || entry.term > term {
            return false;
        }
        index = entry.index;
        lowest_term = entry.term;
    }
    true
}

/// The index of the last entry, or the previous index if there are no entries.
fn last_index(append: &Append) -> LogIndex {
    LogIndex(append.previous_index.0 + append.entries.len() as u64)
}

impl Node {
    pub(super) fn on_append(&mut self, from: MemberId, mut append: Append, log: &dyn LogView) {
        if !is_well_formed(&append, self.term) {
            return;
        }
        self.leader_commit = self.leader_commit.max(append.commit);
        self.skip_committed(&mut append, log);
        let local_term = self.pending.term(append.previous_index, log);
        if local_term != Some(append.previous_term) {
            self.reject_append(from, &append, log);
            return;
        }
        let round = append.round;
        let matched = last_index(&append);
        let has_entries = !append.entries.is_empty();
        let commit = append.commit.min(matched);
        self.merge_entries(append.entries, log);
        self.commit_to(commit);
        self.term_committed |= self.pending.term(self.commit, log) == Some(self.term);
        if has_entries {
            self.answer_append(from, matched, round);
        } else {
            self.answer_heartbeat(from, matched, round);
        }
    }

    /// Removes entries that are committed on this member, since they are identical to
    /// the leader's.
    fn skip_committed(&self, append: &mut Append, log: &dyn LogView) {
        if append.previous_index >= self.commit {
            return;
        }
        append.entries.retain(|entry| entry.index > self.commit);
        append.previous_index = self.commit;
        append.previous_term = self.pending.term(self.commit, log).unwrap_or_default();
    }

    /// Appends the new entries, after removing own entries that conflict with them.
    fn merge_entries(&mut self, entries: Vec<Entry>, log: &dyn LogView) {
        for entry in entries {
            match self.pending.term(entry.index, log) {
                Some(term) if term == entry.term => continue,
                Some(_) => self.truncate_after(LogIndex(entry.index.0 - 1), log),
                None => {}
            }
            self.membership.record(&entry);
            self.pending.append(entry);
        }
    }

    fn truncate_after(&mut self, index: LogIndex, log: &dyn LogView) {
        self.pending.truncate_after(index, log);
        self.membership.truncate_after(index);
        self.synced = self.synced.min(index);
        for unsynced in &mut self.unsynced {
            unsynced.last_index = unsynced.last_index.min(index);
        }
    }

    /// Raises the commit index of a follower.
    pub(super) fn commit_to(&mut self, commit: LogIndex) {
        if commit > self.commit {
            self.commit = commit;
            self.membership.compact(commit);
        }
    }

    fn answer_append(&mut self, to: MemberId, matched: LogIndex, round: u64) {
        self.answered_round = round;
        let body = ConsensusBody::AppendResponse(AppendResponse {
            accepted: true,
            matched,
            round,
        });
        let response = self.new_message(to, self.term, body);
        if self.settings.safety.skip_append_sync {
            self.before_sync.push(response);
        } else {
            self.after_sync.push(response);
        }
    }

    /// Answers a heartbeat without waiting for the disk, reporting only synced
    /// entries. Further updates of the commit index in the same round need no answer.
    fn answer_heartbeat(&mut self, to: MemberId, matched: LogIndex, round: u64) {
        if self.answered_round == round {
            return;
        }
        self.answered_round = round;
        let body = ConsensusBody::AppendResponse(AppendResponse {
            accepted: true,
            matched: matched.min(self.synced),
            round,
        });
        let response = self.new_message(to, self.term, body);
        self.before_sync.push(response);
    }

    fn reject_append(&mut self, to: MemberId, append: &Append, log: &dyn LogView) {
        let body = ConsensusBody::AppendResponse(AppendResponse {
            accepted: false,
            matched: self.reject_hint(append, log),
            round: append.round,
        });
        let response = self.new_message(to, self.term, body);
        self.before_sync.push(response);
    }

    /// The highest index below the rejected one where the logs may match. Terms
    /// never decrease along a log, so entries of a later term cannot match.
    fn reject_hint(&self, append: &Append, log: &dyn LogView) -> LogIndex {
        let below = LogIndex(append.previous_index.0.saturating_sub(1));
        let mut hint = below.min(self.pending.last_index());
        while hint > self.commit {
            match self.pending.term(hint, log) {
                Some(term) if term > append.previous_term => hint = LogIndex(hint.0 - 1),
                _ => break,
            }
        }
        hint
    }
}
