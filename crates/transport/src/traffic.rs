//! Counters of bytes and frames by frame kind.

use std::sync::atomic::{AtomicU64, Ordering};

use linnethitch_protocol::frame::FrameKind;

/// Number of frame kinds.
const FRAME_KINDS: usize = 6;

fn kind_index(kind: FrameKind) -> usize {
    match kind {
        FrameKind::Handshake => 0,
        FrameKind::Gateway => 1,
        FrameKind::Control => 2,
        FrameKind::Peer => 3,
        FrameKind::Node => 4,
        FrameKind::Slots => 5,
    }
}

#[derive(Debug, Default)]
struct KindCounters {
    sent_bytes: AtomicU64,
    sent_frames: AtomicU64,
    received_bytes: AtomicU64,
    received_frames: AtomicU64,
}

/// Counters of bytes and frames on the wire, with frame headers but without TCP and IP headers.
///
/// Several connections may share the counters. Keep-alive frames are counted as
/// [`FrameKind::Handshake`].
#[derive(Debug, Default)]
pub struct Traffic {
    kinds: [KindCounters; FRAME_KINDS],
}

/// Counter values of one frame kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KindTraffic {
    /// Bytes written to sockets.
    pub sent_bytes: u64,
    /// Frames written to sockets.
    pub sent_frames: u64,
    /// Bytes read from sockets.
    pub received_bytes: u64,
    /// Frames read from sockets.
    pub received_frames: u64,
}

/// Counter values at one point in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficSnapshot {
    /// Handshakes and keep-alive frames.
    pub handshake: KindTraffic,
    /// Messages from gateways.
    pub gateway: KindTraffic,
    /// Messages to gateways.
    pub control: KindTraffic,
    /// Messages between control members.
    pub peer: KindTraffic,
    /// Messages of nodes that caller directories refer to.
    pub node: KindTraffic,
    /// Datagrams about slots.
    pub slots: KindTraffic,
}

impl TrafficSnapshot {
    /// Bytes written, all frame kinds together.
    #[must_use]
    pub fn sent_bytes(&self) -> u64 {
        self.all().iter().map(|kind| kind.sent_bytes).sum()
    }

    /// Bytes read, all frame kinds together.
    #[must_use]
    pub fn received_bytes(&self) -> u64 {
        self.all().iter().map(|kind| kind.received_bytes).sum()
    }

    fn all(&self) -> [KindTraffic; FRAME_KINDS] {
        [
            self.handshake,
            self.gateway,
            self.control,
            self.peer,
            self.node,
            self.slots,
        ]
    }
}

impl Traffic {
    /// Counts a frame that was written.
    pub(crate) fn count_sent(&self, kind: FrameKind, bytes: usize) {
        let counters = &self.kinds[kind_index(kind)];
        counters
            .sent_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
        counters.sent_frames.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a frame that was read.
    pub(crate) fn count_received(&self, kind: FrameKind, bytes: usize) {
        let counters = &self.kinds[kind_index(kind)];
        counters
            .received_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
        counters.received_frames.fetch_add(1, Ordering::Relaxed);
    }

    /// The current counter values.
    #[must_use]
    pub fn snapshot(&self) -> TrafficSnapshot {
        TrafficSnapshot {
            handshake: self.kind_traffic(FrameKind::Handshake),
            gateway: self.kind_traffic(FrameKind::Gateway),
            control: self.kind_traffic(FrameKind::Control),
            peer: self.kind_traffic(FrameKind::Peer),
            node: self.kind_traffic(FrameKind::Node),
            slots: self.kind_traffic(FrameKind::Slots),
        }
    }

    fn kind_traffic(&self, kind: FrameKind) -> KindTraffic {
        let counters = &self.kinds[kind_index(kind)];
        KindTraffic {
            sent_bytes: counters.sent_bytes.load(Ordering::Relaxed),
            sent_frames: counters.sent_frames.load(Ordering::Relaxed),
            received_bytes: counters.received_bytes.load(Ordering::Relaxed),
            received_frames: counters.received_frames.load(Ordering::Relaxed),
        }
    }
}
