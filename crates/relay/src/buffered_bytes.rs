//! Bytes that a gateway holds for others who read slowly, and what waits for one caller.
//!
//! What is held is bounded for each caller and for the process as a whole, by its own memory.
//! While there is no room, new requests are refused, since one that was not begun is the
//! cheapest to lose, and answers are read from replicas no faster than callers read them.

use std::{
    collections::VecDeque,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use bytes::Bytes;

/// Bytes that may wait for one caller before its replica is read no further: a stream of 500
/// events of 130 bytes, so that a slow caller does not hold a slot of an engine.
const MOST_UNREAD_BYTES: u64 = 64 * 1024;

/// Bytes held by this process. Clones share the count.
#[derive(Clone, Debug)]
pub struct BufferedBytes {
    most: u64,
    held: Arc<AtomicU64>,
}

/// Counts bytes as held until this is dropped.
#[derive(Debug)]
pub struct BufferedGuard {
    all: BufferedBytes,
    bytes: u64,
}

/// Bytes that count as held until they, and all that share them, are dropped.
struct KeptBytes {
    bytes: Bytes,
    _held: BufferedGuard,
}

impl AsRef<[u8]> for KeptBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl BufferedBytes {
    /// Nothing is held yet of at most so many bytes.
    #[must_use]
    pub fn new(most: u64) -> Self {
        BufferedBytes {
            most,
            held: Arc::default(),
        }
    }

    /// Bytes that are held.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.held.load(Ordering::Relaxed)
    }

    /// Whether more may be begun.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.bytes() < self.most
    }

    /// Counts bytes that are held from now on.
    #[must_use]
    pub fn hold(&self, bytes: u64) -> BufferedGuard {
        self.held.fetch_add(bytes, Ordering::Relaxed);
        BufferedGuard {
            all: self.clone(),
            bytes,
        }
    }

    /// The same bytes, which count as held as long as anybody has them.
    #[must_use]
    pub fn keep(&self, bytes: Bytes) -> Bytes {
        let held = self.hold(bytes.len() as u64);
        Bytes::from_owner(KeptBytes { bytes, _held: held })
    }
}

impl Drop for BufferedGuard {
    fn drop(&mut self) {
        self.all.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Pieces of one answer that wait for its caller.
#[derive(Debug)]
pub struct UnreadBuffer {
    all: BufferedBytes,
    pieces: VecDeque<Bytes>,
    bytes: u64,
}

impl UnreadBuffer {
    /// Nothing waits.
    #[must_use]
    pub fn new(all: BufferedBytes) -> Self {
        UnreadBuffer {
            all,
            pieces: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pieces.is_empty()
    }

    /// Whether another piece may be read. One may always wait, so that every caller gets on.
    #[must_use]
    pub fn may_grow(&self) -> bool {
        self.is_empty() || (self.bytes < MOST_UNREAD_BYTES && self.all.has_room())
    }

    /// A piece waits.
    pub fn push(&mut self, piece: Bytes) {
        if !piece.is_empty() {
            self.bytes += piece.len() as u64;
            self.pieces.push_back(self.all.keep(piece));
        }
    }

    /// The next piece that waits.
    pub fn pop(&mut self) -> Option<Bytes> {
        let piece = self.pieces.pop_front()?;
        self.bytes -= piece.len() as u64;
        Some(piece)
    }
}
