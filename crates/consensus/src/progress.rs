//! Replication progress of a peer, as tracked by the leader.

use linnethitch_protocol::{consensus::SnapshotMeta, ids::LogIndex};

use crate::{inflight::InflightAppends, status::PeerState};

/// A snapshot being sent to a peer.
pub(crate) struct SnapshotTransfer {
    pub(crate) meta: SnapshotMeta,
    /// The next byte to send.
    pub(crate) offset: u64,
    /// Size of the snapshot in bytes, known once the last chunk was read.
    pub(crate) end: Option<u64>,
    /// Whether a chunk at `offset` is in flight.
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

/// Replication state of a peer.
pub(crate) enum SendState {
    /// One message at a time until a matching entry is found.
    Probe {
        /// Whether that message is in flight.
        sent: bool,
    },
    /// Appends are sent without waiting for acknowledgements.
    Replicate,
    /// The peer needs entries that the leader's log no longer has.
    Snapshot(SnapshotTransfer),
}

/// Replication progress of a peer.
pub(crate) struct Progress {
    pub(crate) matched: LogIndex,
    pub(crate) next: LogIndex,
    pub(crate) state: SendState,
    pub(crate) inflight: InflightAppends,
    pub(crate) ticks_since_contact: u32,
    /// The highest heartbeat round that the peer answered.
    pub(crate) acknowledged_round: u64,
    /// The highest commit index sent to the peer.
    pub(crate) sent_commit: LogIndex,
    /// Whether the next `Ready` must include a message to the peer.
    pub(crate) heartbeat_due: bool,
}

impl Progress {
    /// A peer of unknown state; sending starts at `next`.
    pub(crate) fn new(next: LogIndex) -> Self {
        Progress {
            matched: LogIndex(0),
            next,
            state: SendState::Probe { sent: false },
            inflight: InflightAppends::default(),
            ticks_since_contact: 0,
            acknowledged_round: 0,
            sent_commit: LogIndex(0),
            heartbeat_due: true,
        }
    }

    pub(crate) fn tick(&mut self) {
        self.ticks_since_contact = self.ticks_since_contact.saturating_add(1);
        if let SendState::Snapshot(transfer) = &mut self.state {
            transfer.ticks_since_sent = transfer.ticks_since_sent.saturating_add(1);
        }
    }

    /// Makes the next `Ready` include a message to the peer, and repeats a probe that may be lost.
    pub(crate) fn request_heartbeat(&mut self) {
        self.heartbeat_due = true;
        if let SendState::Probe { sent } = &mut self.state {
            *sent = false;
        }
    }

    /// Records a response of the peer in this term.
    pub(crate) fn record_response(&mut self, round: u64) {
        self.ticks_since_contact = 0;
        self.acknowledged_round = self.acknowledged_round.max(round);
    }

    /// The peer's log matches and is synced up to `matched`.
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

    /// The peer rejected an append; `hint` is the highest index that may still match.
    pub(crate) fn rejected(&mut self, hint: LogIndex) {
        if matches!(self.state, SendState::Snapshot(_)) {
            return;
        }
        let requested = LogIndex(hint.0.max(self.matched.0) + 1);
        if requested >= self.next {
            return;
        }
        self.next = requested;
        self.inflight.clear();
        self.state = SendState::Probe { sent: false };
    }

    /// The peer installed a snapshot that ends at this index.
    pub(crate) fn snapshot_installed(&mut self, index: LogIndex) {
        self.matched = self.matched.max(index);
        self.next = LogIndex(self.matched.0 + 1);
        self.inflight.clear();
        self.state = SendState::Probe { sent: false };
    }

    /// The peer requests the snapshot from byte `next_offset` on.
    pub(crate) fn snapshot_requested(&mut self, index: LogIndex, next_offset: u64) {
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
