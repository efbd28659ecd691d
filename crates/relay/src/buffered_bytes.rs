//! Memory for what replicas send: data for slow readers, responses that are collected before they
//! are passed on, unfinished events, and the texts of batch items.
//!
//! Buffered data is bounded for each response and for the whole process. While the process is at
//! its limit, new requests are refused, since a request that has not begun is the cheapest to
//! lose, and responses are read from replicas only as fast as callers take them: a response that
//! is collected is passed on as it comes, an unfinished event breaks its stream, and an item with
//! a long text is returned.

use std::{
    collections::VecDeque,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use bytes::Bytes;
use tokio::sync::Notify;

/// Bytes that may be buffered for one caller before reading from its replica stops: a stream of
/// 500 events of 130 bytes, so that a slow caller does not occupy an engine slot.
const MAX_UNREAD_BYTES: u64 = 64 * 1024;

/// Count of the bytes buffered by this process. Clones share the count.
#[derive(Clone, Debug)]
pub struct BufferedBytes {
    max_bytes: u64,
    buffered: Arc<AtomicU64>,
    /// Notified when the limit is reached.
    full: Arc<Notify>,
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
            full: Arc::default(),
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
        self.add(bytes);
        BufferedGuard {
            total: self.clone(),
            bytes,
        }
    }

    /// Completes once the count is at the limit.
    async fn until_full(&self) {
        loop {
            let notified = self.full.notified();
            tokio::pin!(notified);
            // Registers for notifications before the count is read.
            notified.as_mut().enable();
            if !self.has_capacity() {
                return;
            }
            notified.await;
        }
    }

    fn add(&self, bytes: u64) {
        let before = self.buffered.fetch_add(bytes, Ordering::Relaxed);
        if before < self.max_bytes && before + bytes >= self.max_bytes {
            self.full.notify_waiters();
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

impl BufferedGuard {
    /// Counts this number of bytes from now on.
    pub fn set(&mut self, bytes: u64) {
        if bytes > self.bytes {
            self.total.add(bytes - self.bytes);
        } else {
            let freed = self.bytes - bytes;
            self.total.buffered.fetch_sub(freed, Ordering::Relaxed);
        }
        self.bytes = bytes;
    }

    /// Completes once the data behind the guard has to give way: it is large, and the process is
    /// at its limit. Cancel-safe.
    pub async fn until_must_give_way(&self) {
        if self.bytes <= MAX_UNREAD_BYTES {
            return std::future::pending().await;
        }
        self.total.until_full().await;
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
