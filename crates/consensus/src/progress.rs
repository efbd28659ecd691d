//! What the leader knows of another member.

use linnethitch_protocol::{consensus::SnapshotMeta, ids::LogIndex};

use crate::{inflight::InflightAppends, status::PeerState};

/// A snapshot on its way to a member.
pub(crate) struct SnapshotTransfer {
    pub(crate) meta: SnapshotMeta,
    /// The next byte that the member wants.
    pub(crate) offset: u64,
    /// Where the snapshot ends, once the last chunk was read.
    pub(crate) end: Option<u64>,
    /// Whether a chunk at `offset` is under way.
    pub(crate) sent: bool,
    pub(crate) ticks_since_sent: u32,
}

impl SnapshotTransfer {
    pub(crate) fn new(meta: SnapshotMeta) -> Self {
        SnapshotTransfer {
            meta,
            offset: 0,
            end: None,
            sent: false,
            ticks_since_sent: 0,
        }
    }
}

/// How the leader sends to the member.
pub(crate) enum SendState {
    /// One message at a time until the logs agree.
    Probe {
        /// Whether that message is under way.
        sent: bool,
    },
    /// Appends follow each other without waiting.
    Replicate,
    /// The member is behind the log's start.
    Snapshot(SnapshotTransfer),
}

/// What the leader knows of another member.
pub(crate) struct Progress {
    pub(crate) matched: LogIndex,
    pub(crate) next: LogIndex,
    pub(crate) state: SendState,
    pub(crate) inflight: InflightAppends,
    pub(crate) ticks_since_contact: u32,
    /// The highest round that it answered.
    pub(crate) acknowledged_round: u64,
    /// The commit index that it was told last.
    pub(crate) told_commit: LogIndex,
    /// Whether it must be sent something in the next `Ready`.
    pub(crate) heartbeat_due: bool,
}

impl Progress {
    /// A member of which nothing is known; sending starts at `next`.
    pub(crate) fn new(next: LogIndex) -> Self {
        Progress {
            matched: LogIndex(0),
            next,
            state: SendState::Probe { sent: false },
            inflight: InflightAppends::default(),
            ticks_since_contact: 0,
            acknowledged_round: 0,
            told_commit: LogIndex(0),
            heartbeat_due: true,
        }
    }

    pub(crate) fn tick(&mut self) {
        self.ticks_since_contact = self.ticks_since_contact.saturating_add(1);
        if let SendState::Snapshot(transfer) = &mut self.state {
            transfer.ticks_since_sent = transfer.ticks_since_sent.saturating_add(1);
        }
    }

    /// Makes the next `Ready` send something, and a lost probe be repeated.
    pub(crate) fn request_heartbeat(&mut self) {
        self.heartbeat_due = true;
        if let SendState::Probe { sent } = &mut self.state {
            *sent = false;
        }
    }

    /// The member answered in this term.
    pub(crate) fn heard(&mut self, round: u64) {
        self.ticks_since_contact = 0;
        self.acknowledged_round = self.acknowledged_round.max(round);
    }

    /// The member's log agrees, and is synced up to `matched`.
    pub(crate) fn accepted(&mut self, matched: LogIndex) {
        self.matched = self.matched.max(matched);
        self.next = self.next.max(LogIndex(self.matched.0 + 1));
        self.inflight.acknowledge(self.matched);
        match &self.state {
            SendState::Replicate => {}
            SendState::Probe { .. } => self.state = SendState::Replicate,
            SendState::Snapshot(transfer) if self.matched >= transfer.meta.index => {
                self.state = SendState::Probe { sent: false };
            }
            SendState::Snapshot(_) => {}
        }
    }

    /// The member's log does not agree; `hint` is the highest index where it may.
    pub(crate) fn rejected(&mut self, hint: LogIndex) {
        if matches!(self.state, SendState::Snapshot(_)) {
            return;
        }
        let wanted = LogIndex(hint.0.max(self.matched.0) + 1);
        if wanted >= self.next {
            return;
        }
        self.next = wanted;
        self.inflight.clear();
        self.state = SendState::Probe { sent: false };
    }

    /// The member has an index from a snapshot.
    pub(crate) fn snapshot_installed(&mut self, index: LogIndex) {
        self.matched = self.matched.max(index);
        self.next = LogIndex(self.matched.0 + 1);
        self.inflight.clear();
        self.state = SendState::Probe { sent: false };
    }

    /// The member wants the snapshot's byte `next_offset` next.
    pub(crate) fn snapshot_wanted(&mut self, index: LogIndex, next_offset: u64) {
        let SendState::Snapshot(transfer) = &mut self.state else {
            return;
        };
        if transfer.meta.index == index && transfer.offset != next_offset {
            transfer.offset = next_offset;
            transfer.sent = false;
        }
    }

    pub(crate) fn peer_state(&self) -> PeerState {
        match self.state {
            SendState::Probe { .. } => PeerState::Probe,
            SendState::Replicate => PeerState::Replicate,
            SendState::Snapshot(_) => PeerState::Snapshot,
        }
    }
}
