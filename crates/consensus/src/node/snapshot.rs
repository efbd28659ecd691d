//! Snapshots for members that are behind the log's start.

use linnethitch_protocol::{
    consensus::{ConsensusBody, SnapshotChunk, SnapshotMeta, SnapshotResponse},
    ids::{LogIndex, MemberId},
};

use super::{Node, PartialSnapshot, Receiving};
use crate::{
    log_view::LogView, membership::MembershipHistory, pending_log::PendingLog, ready::ReceivedChunk,
};

impl Node {
    /// The driver has installed and synced a received snapshot, and its log now
    /// starts after it. Entries beyond it may be kept only where the log holds
    /// the snapshot's last index with the same term.
    pub fn report_snapshot_installed(&mut self, meta: &SnapshotMeta, log: &dyn LogView) {
        self.touched = true;
        let Some(receiving) = self.receiving.take() else {
            return;
        };
        if meta.index <= self.commit {
            return;
        }
        self.pending = PendingLog::new(log);
        self.commit = meta.index;
        self.synced = self.synced.max(meta.index).min(log.last_index());
        self.unsynced_end_at(log.last_index());
        self.membership = MembershipHistory::new(meta.index, meta.membership.clone());
        self.clear_damage_if_restored();
        let offset = receiving.partial.next_offset;
        self.answer_snapshot(receiving.partial.from, meta.index, offset, true);
    }

    /// The driver found a received snapshot to be damaged, or has no room for
    /// it. It is asked for anew after an election timeout: at once would send
    /// it to a full disk without end.
    pub fn report_snapshot_refused(&mut self) {
        self.receiving = None;
        self.snapshot_pause_ticks = self.settings.election_ticks;
    }

    fn unsynced_end_at(&mut self, last_index: LogIndex) {
        for unsynced in &mut self.unsynced {
            unsynced.last_index = unsynced.last_index.min(last_index);
        }
    }

    pub(super) fn on_snapshot_chunk(&mut self, from: MemberId, chunk: SnapshotChunk) {
        self.answered_round = chunk.round;
        let index = chunk.meta.index;
        if index <= self.commit {
            let has_all = index <= self.synced;
            self.answer_snapshot(from, index, 0, has_all);
            return;
        }
        if self.snapshot_pause_ticks > 0 {
            // The leader takes the chunk for lost and sends it again.
            return;
        }
        if !self.is_receiving(from, &chunk.meta) {
            self.receiving = (chunk.offset == 0).then(|| Receiving {
                partial: PartialSnapshot {
                    from,
                    meta: chunk.meta.clone(),
                    next_offset: 0,
                },
                complete: false,
            });
        }
        let next_offset = self.receive(from, chunk);
        self.answer_snapshot(from, index, next_offset, false);
    }

    fn is_receiving(&self, from: MemberId, meta: &SnapshotMeta) -> bool {
        self.receiving.as_ref().is_some_and(|receiving| {
            receiving.partial.from == from && receiving.partial.meta == *meta
        })
    }

    /// Takes the chunk if it is the one wanted; tells the next byte wanted.
    fn receive(&mut self, from: MemberId, chunk: SnapshotChunk) -> u64 {
        let Some(receiving) = &mut self.receiving else {
            return 0;
        };
        if chunk.offset == receiving.partial.next_offset && !receiving.complete {
            receiving.partial.next_offset += chunk.data.len() as u64;
            receiving.complete = chunk.last;
            self.chunks.push(ReceivedChunk {
                from,
                meta: chunk.meta,
                offset: chunk.offset,
                data: chunk.data,
                last: chunk.last,
            });
        }
        receiving.partial.next_offset
    }

    fn answer_snapshot(
        &mut self,
        to: MemberId,
        index: LogIndex,
        next_offset: u64,
        installed: bool,
    ) {
        let body = ConsensusBody::SnapshotResponse(SnapshotResponse {
            index,
            next_offset,
            installed,
            round: self.answered_round,
        });
        let answer = self.answer(to, self.term, body);
        self.after_sync.push(answer);
    }

    pub(super) fn on_snapshot_response(
        &mut self,
        from: MemberId,
        answer: &SnapshotResponse,
        log: &dyn LogView,
    ) {
        let last_index = self.pending.last_index();
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let Some(progress) = leadership.peers.get_mut(&from) else {
            return;
        };
        if answer.index > last_index || answer.round > leadership.round {
            return;
        }
        progress.heard(answer.round);
        if answer.installed {
            progress.snapshot_installed(answer.index);
            self.commit_if_possible(log);
        } else {
            progress.snapshot_wanted(answer.index, answer.next_offset);
        }
    }
}
