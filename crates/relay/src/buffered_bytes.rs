//! Buffers for slow readers.
//!
//! Buffered data is bounded for each caller and for the whole process. While the process is at
//! its limit, new requests are refused, since a request that has not begun is the cheapest to
//! lose, and responses are read from replicas only as fast as callers take them.

use std::{
    collections::VecDeque,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use bytes::Bytes;

/// Bytes that may be buffered for one caller before reading from its replica stops: a stream of
/// 500 events of 130 bytes, so that a slow caller does not occupy an engine slot.
const MAX_UNREAD_BYTES: u64 = 64 * 1024;

/// Count of the bytes buffered by this process. Clones share the count.
#[derive(Clone, Debug)]
pub struct BufferedBytes {
    max_bytes: u64,
    buffered: Arc<AtomicU64>,
}

/// Counts bytes as buffered until drop.
#[derive(Debug)]
pub struct BufferedGuard {
    total: BufferedBytes,
    bytes: u64,
}

/// Bytes that count as buffered until the last reference to them is dropped.
struct TrackedBytes {
    bytes: Bytes,
    _guard: BufferedGuard,
}

impl AsRef<[u8]> for TrackedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl BufferedBytes {
    /// An empty count with this limit, in bytes.
    #[must_use]
    pub fn new(max_bytes: u64) -> Self {
        BufferedBytes {
            max_bytes,
            buffered: Arc::default(),
        }
    }

    /// Number of buffered bytes.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.buffered.load(Ordering::Relaxed)
    }

    /// Whether the count is below the limit, so that new requests may begin.
    #[must_use]
    pub fn has_capacity(&self) -> bool {
        self.bytes() < self.max_bytes
    }

    /// Counts bytes as buffered until the returned guard is dropped.
    #[must_use]
    pub fn track(&self, bytes: u64) -> BufferedGuard {
        self.buffered.fetch_add(bytes, Ordering::Relaxed);
        BufferedGuard {
            total: self.clone(),
            bytes,
        }
    }

    /// Wraps bytes so that they count as buffered until the last reference is dropped.
    #[must_use]
    pub fn wrap(&self, bytes: Bytes) -> Bytes {
        let buffered = self.track(bytes.len() as u64);
        Bytes::from_owner(TrackedBytes {
            bytes,
            _guard: buffered,
        })
    }
}

impl Drop for BufferedGuard {
    fn drop(&mut self) {
        self.total.buffered.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Chunks of one response that its caller has not taken yet.
#[derive(Debug)]
pub struct UnreadBuffer {
    total: BufferedBytes,
    chunks: VecDeque<Bytes>,
    bytes: u64,
}

impl UnreadBuffer {
    /// An empty buffer.
    #[must_use]
    pub fn new(total: BufferedBytes) -> Self {
        UnreadBuffer {
            total,
            chunks: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Whether the buffer is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.chunks.is_empty()
    }

    /// Whether another chunk may be read. One chunk is always allowed, so that every caller makes
    /// progress.
    #[must_use]
    pub fn may_grow(&self) -> bool {
        self.is_empty() || (self.bytes < MAX_UNREAD_BYTES && self.total.has_capacity())
    }

    /// Adds a chunk.
    pub fn push(&mut self, chunk: Bytes) {
        if !chunk.is_empty() {
            self.bytes += chunk.len() as u64;
            self.chunks.push_back(self.total.wrap(chunk));
        }
    }

    /// Takes the next chunk.
    pub fn pop(&mut self) -> Option<Bytes> {
        let chunk = self.chunks.pop_front()?;
        self.bytes -= chunk.len() as u64;
        Some(chunk)
    }
}
