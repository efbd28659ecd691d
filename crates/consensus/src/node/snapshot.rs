//! Snapshots for members that need entries which the leader's log no longer has.

use linnethitch_protocol::{
    consensus::{ConsensusBody, SnapshotChunk, SnapshotMeta, SnapshotResponse},
    ids::{LogIndex, MemberId},
};

use super::{IncomingSnapshot, Node, PartialSnapshot};
use crate::{
    log_view::LogView, membership::MembershipHistory, pending_log::PendingLog, ready::ReceivedChunk,
};

impl Node {
    /// Reports that the driver has installed and synced a received snapshot, and
    /// that its log now starts after the snapshot. The driver may retain later
    /// entries only if its log has the snapshot's last index with the same term.
    pub fn report_snapshot_installed(&mut self, meta: &SnapshotMeta, log: &dyn LogView) {
        self.dirty = true;
        let Some(incoming) = self.incoming_snapshot.take() else {
            return;
        };
        if meta.index <= self.commit {
            return;
        }
        self.pending = PendingLog::new(log);
        self.commit = meta.index;
        self.synced = self.synced.max(meta.index).min(log.last_index());
        self.cap_unsynced(log.last_index());
        self.membership = MembershipHistory::new(meta.index, meta.membership.clone());
        self.clear_damage_if_restored();
        let offset = incoming.partial.next_offset;
        self.answer_snapshot(incoming.partial.from, meta.index, offset, true);
    }

    /// Reports that a received snapshot is damaged or that the disk has no space
    /// for it. Chunks are ignored for an election timeout: an immediate retry
    /// would make the leader send the snapshot to a full disk continuously.
    pub fn report_snapshot_refused(&mut self) {
        self.incoming_snapshot = None;
        self.snapshot_backoff_ticks = self.settings.election_ticks;
    }

    fn cap_unsynced(&mut self, last_index: LogIndex) {
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
        if self.snapshot_backoff_ticks > 0 {
            // The leader treats the unanswered chunk as lost and sends it again.
            return;
        }
        if !self.is_receiving(from, &chunk.meta) {
            self.incoming_snapshot = (chunk.offset == 0).then(|| IncomingSnapshot {
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
        self.incoming_snapshot
            .as_ref()
            .is_some_and(|incoming| incoming.partial.from == from && incoming.partial.meta == *meta)
    }

    /// Stores the chunk if it is the expected one; returns the next byte expected.
    fn receive(&mut self, from: MemberId, chunk: SnapshotChunk) -> u64 {
        let Some(incoming) = &mut self.incoming_snapshot else {
            return 0;
        };
        if chunk.offset == incoming.partial.next_offset && !incoming.complete {
            incoming.partial.next_offset += chunk.data.len() as u64;
            incoming.complete = chunk.last;
            self.chunks.push(ReceivedChunk {
                from,
                meta: chunk.meta,
                offset: chunk.offset,
                data: chunk.data,
                last: chunk.last,
            });
        }
        incoming.partial.next_offset
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
        let response = self.new_message(to, self.term, body);
        self.after_sync.push(response);
    }

    pub(super) fn on_snapshot_response(
        &mut self,
        from: MemberId,
        response: &SnapshotResponse,
        log: &dyn LogView,
    ) {
        let last_index = self.pending.last_index();
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let Some(progress) = leadership.peers.get_mut(&from) else {
            return;
        };
        if response.index > last_index || response.round > leadership.round {
            return;
        }
        progress.record_response(response.round);
        if response.installed {
            progress.snapshot_installed(response.index);
            self.commit_if_possible(log);
        } else {
            progress.snapshot_requested(response.index, response.next_offset);
        }
    }
}
