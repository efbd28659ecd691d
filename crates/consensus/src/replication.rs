//! Builds the leader's messages to one peer.

use linnethitch_protocol::{
    consensus::{Append, ConsensusBody, ConsensusMessage, Entry, SnapshotChunk},
    ids::{LogIndex, MemberId, Term},
};

use crate::{
    log_view::LogView,
    pending_log::{PendingLog, entry_bytes},
    progress::{Progress, SendState, SnapshotTransfer},
    settings::Settings,
};

/// Approximate bytes of entries in a probe. A probe may have to be sent many times,
/// and its answer only says whether the logs match.
const PROBE_BYTES: usize = 16 * 1024;

/// State shared by all replication messages of one `Ready`.
pub(crate) struct Replication<'a> {
    pub(crate) settings: &'a Settings,
    pub(crate) term: Term,
    pub(crate) commit: LogIndex,
    pub(crate) round: u64,
    pub(crate) pending: &'a PendingLog,
    pub(crate) log: &'a dyn LogView,
}

/// Entries, and the index and term of the entry before them.
struct Batch {
    previous_index: LogIndex,
    previous_term: Term,
    entries: Vec<Entry>,
}

impl Replication<'_> {
    /// Adds all messages that may be sent to a peer now.
    pub(crate) fn send(
        &self,
        to: MemberId,
        progress: &mut Progress,
        outbox: &mut Vec<ConsensusMessage>,
    ) {
        let before = outbox.len();
        match &progress.state {
            SendState::Probe { sent: false } => self.send_probe(to, progress, outbox),
            SendState::Probe { sent: true } => {}
            SendState::Replicate => self.send_appends(to, progress, outbox),
            SendState::Snapshot(_) => self.send_snapshot_chunk(to, progress, outbox),
        }
        let nothing_sent = outbox.len() == before;
        if nothing_sent && (progress.heartbeat_due || self.has_commit_update(progress)) {
            self.send_heartbeat(to, progress, outbox);
        }
        progress.heartbeat_due = false;
    }

    fn send_probe(
        &self,
        to: MemberId,
        progress: &mut Progress,
        outbox: &mut Vec<ConsensusMessage>,
    ) {
        let has_entries = progress.next <= self.pending.last_index();
        if !has_entries && !progress.heartbeat_due {
            return;
        }
        let max_bytes = PROBE_BYTES.min(self.settings.max_append_bytes);
        match self.batch(progress.next, max_bytes) {
            Some(batch) => {
                progress.state = SendState::Probe { sent: true };
                outbox.push(self.append(to, progress, batch));
            }
            None => self.start_snapshot(to, progress, outbox),
        }
    }

    fn send_appends(
        &self,
        to: MemberId,
        progress: &mut Progress,
        outbox: &mut Vec<ConsensusMessage>,
    ) {
        let last_index = self.pending.last_index();
        while progress.next <= last_index && self.has_capacity(progress) {
            let Some(batch) = self.batch(progress.next, self.settings.max_append_bytes) else {
                self.start_snapshot(to, progress, outbox);
                return;
            };
            let last_sent = LogIndex(batch.previous_index.0 + batch.entries.len() as u64);
            let bytes = batch.entries.iter().map(entry_bytes).sum();
            progress.inflight.add(last_sent, bytes);
            progress.next = LogIndex(last_sent.0 + 1);
            outbox.push(self.append(to, progress, batch));
        }
    }

    fn has_capacity(&self, progress: &Progress) -> bool {
        let settings = self.settings;
        progress
            .inflight
            .has_capacity(settings.max_inflight_appends, settings.max_inflight_bytes)
    }

    /// The entries from an index on; `None` if the log starts after that index.
    fn batch(&self, next: LogIndex, max_bytes: usize) -> Option<Batch> {
        let previous_index = LogIndex(next.0 - 1);
        let previous_term = self.pending.term(previous_index, self.log)?;
        let mut entries = Vec::new();
        if next <= self.pending.last_index() {
            entries = self.pending.entries(next, max_bytes, self.log);
            if entries.is_empty() {
                return None;
            }
        }
        Some(Batch {
            previous_index,
            previous_term,
            entries,
        })
    }

    fn append(&self, to: MemberId, progress: &mut Progress, batch: Batch) -> ConsensusMessage {
        let covered = LogIndex(batch.previous_index.0 + batch.entries.len() as u64);
        progress.sent_commit = progress.sent_commit.max(self.commit.min(covered));
        self.message(
            to,
            ConsensusBody::Append(Append {
                previous_index: batch.previous_index,
                previous_term: batch.previous_term,
                entries: batch.entries,
                commit: self.commit,
                round: self.round,
            }),
        )
    }

    fn has_commit_update(&self, progress: &Progress) -> bool {
        let deliverable = self.commit.min(LogIndex(progress.next.0 - 1));
        matches!(progress.state, SendState::Replicate) && progress.sent_commit < deliverable
    }

    /// Sends an append without entries. Its previous index is the last one sent, so
    /// that the peer rejects it if an append was lost. If the log no longer has the
    /// term of that index, the next entry is removed as well, and a snapshot is
    /// needed. While a snapshot is sent the previous index is 0, where all logs match.
    fn send_heartbeat(
        &self,
        to: MemberId,
        progress: &mut Progress,
        outbox: &mut Vec<ConsensusMessage>,
    ) {
        let previous_index = match progress.state {
            SendState::Snapshot(_) => LogIndex(0),
            SendState::Probe { .. } | SendState::Replicate => LogIndex(progress.next.0 - 1),
        };
        match self.pending.term(previous_index, self.log) {
            Some(previous_term) => {
                let batch = Batch {
                    previous_index,
                    previous_term,
                    entries: Vec::new(),
                };
                outbox.push(self.append(to, progress, batch));
            }
            None => self.start_snapshot(to, progress, outbox),
        }
    }

    fn start_snapshot(
        &self,
        to: MemberId,
        progress: &mut Progress,
        outbox: &mut Vec<ConsensusMessage>,
    ) {
        let meta = self.log.snapshot_meta();
        progress.inflight.clear();
        progress.state = SendState::Snapshot(SnapshotTransfer::new(meta));
        self.send_snapshot_chunk(to, progress, outbox);
    }

    /// Sends the next chunk, or repeats one that may be lost. A peer without contact
    /// for an election timeout receives only heartbeats until it answers one.
    fn send_snapshot_chunk(
        &self,
        to: MemberId,
        progress: &mut Progress,
        outbox: &mut Vec<ConsensusMessage>,
    ) {
        if progress.ticks_since_contact >= self.settings.election_ticks {
            return;
        }
        let SendState::Snapshot(transfer) = &mut progress.state else {
            return;
        };
        let lost = transfer.ticks_since_sent >= self.settings.election_ticks;
        if transfer.sent && !lost {
            return;
        }
        if let Some(body) = self.snapshot_chunk(transfer) {
            transfer.sent = true;
            transfer.ticks_since_sent = 0;
            outbox.push(self.message(to, body));
        }
    }

    /// The chunk that the peer expects next. If the snapshot was replaced by a newer
    /// one in the meantime, the transfer restarts with the newer one.
    fn snapshot_chunk(&self, transfer: &mut SnapshotTransfer) -> Option<ConsensusBody> {
        if transfer.end == Some(transfer.offset) {
            return Some(self.chunk_body(transfer, Vec::new(), true));
        }
        let limit = self.settings.snapshot_chunk_bytes;
        let mut piece = self
            .log
            .snapshot_chunk(&transfer.meta, transfer.offset, limit);
        if piece.is_none() {
            *transfer = SnapshotTransfer::new(self.log.snapshot_meta());
            piece = self.log.snapshot_chunk(&transfer.meta, 0, limit);
        }
        let piece = piece?;
        if piece.last {
            transfer.end = Some(transfer.offset + piece.data.len() as u64);
        }
        Some(self.chunk_body(transfer, piece.data, piece.last))
    }

    fn chunk_body(&self, transfer: &SnapshotTransfer, data: Vec<u8>, last: bool) -> ConsensusBody {
        ConsensusBody::SnapshotChunk(SnapshotChunk {
            meta: transfer.meta.clone(),
            offset: transfer.offset,
            data,
            last,
            round: self.round,
        })
    }

    fn message(&self, to: MemberId, body: ConsensusBody) -> ConsensusMessage {
        ConsensusMessage {
            from: self.settings.id,
            to,
            term: self.term,
            body,
        }
    }
}
