//! The bounded queue between senders and the task that writes to the socket.

use std::{collections::VecDeque, sync::Mutex};

use linnethitch_errors::ErrorKind;
use linnethitch_protocol::frame::FrameKind;
use tokio::sync::{Notify, futures::Notified};

/// Why a message was not queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendRefused {
    /// The queue is full: the peer reads too slowly.
    Full,
    /// The connection has ended.
    Closed,
    /// The message cannot be encoded as a frame.
    NotEncodable(ErrorKind),
}

/// A queued, encoded message.
#[derive(Debug)]
pub(crate) struct QueuedFrame {
    pub(crate) kind: FrameKind,
    pub(crate) bytes: Vec<u8>,
    /// Whether this is soft state, which may be dropped for a newer message when the queue is full.
    pub(crate) droppable: bool,
}

#[derive(Debug, Default)]
struct State {
    frames: VecDeque<QueuedFrame>,
    bytes: usize,
    closed: bool,
    dropped: u64,
}

/// The bounded queue of frames to write.
#[derive(Debug)]
pub(crate) struct SendQueue {
    state: Mutex<State>,
    readable: Notify,
    writable: Notify,
    max_frames: usize,
    max_bytes: usize,
}

impl SendQueue {
    pub(crate) fn new(max_frames: usize, max_bytes: usize) -> Self {
        SendQueue {
            state: Mutex::default(),
            readable: Notify::new(),
            writable: Notify::new(),
            max_frames,
            max_bytes,
        }
    }

    /// Appends a frame, or returns the frame with the reason for the refusal.
    pub(crate) fn push(&self, frame: QueuedFrame) -> Result<(), (SendRefused, QueuedFrame)> {
        let mut state = self.lock();
        if state.closed {
            return Err((SendRefused::Closed, frame));
        }
        if !self.fits(&state, frame.bytes.len()) {
            return Err((SendRefused::Full, frame));
        }
        state.bytes += frame.bytes.len();
        state.frames.push_back(frame);
        drop(state);
        self.readable.notify_one();
        Ok(())
    }

    /// Appends a frame, and drops the oldest droppable frames if the queue is full.
    pub(crate) fn push_dropping_oldest(&self, frame: QueuedFrame) -> Result<(), SendRefused> {
        let mut state = self.lock();
        while !state.closed && !self.fits(&state, frame.bytes.len()) {
            let Some(oldest) = state.frames.iter().position(|queued| queued.droppable) else {
                return Err(SendRefused::Full);
            };
            if let Some(dropped) = state.frames.remove(oldest) {
                state.bytes -= dropped.bytes.len();
                state.dropped += 1;
            }
        }
        drop(state);
        self.push(frame).map_err(|(reason, _)| reason)
    }

    /// Resolves when the queue may have free capacity or is closed; covers events from this call on.
    pub(crate) fn writable(&self) -> Notified<'_> {
        self.writable.notified()
    }

    /// Waits for frames and takes all of them; `None` once the queue is closed and empty.
    pub(crate) async fn take_all(&self) -> Option<VecDeque<QueuedFrame>> {
        loop {
            let readable = self.readable.notified();
            {
                let mut state = self.lock();
                if !state.frames.is_empty() {
                    state.bytes = 0;
                    let frames = std::mem::take(&mut state.frames);
                    drop(state);
                    self.writable.notify_waiters();
                    self.writable.notify_one();
                    return Some(frames);
                }
                if state.closed {
                    return None;
                }
            }
            readable.await;
        }
    }

    /// Refuses new frames; frames that are already queued can still be taken.
    pub(crate) fn close(&self) {
        self.lock().closed = true;
        self.readable.notify_one();
        self.writable.notify_waiters();
        self.writable.notify_one();
    }

    /// Number of soft-state frames that were dropped in favour of newer ones.
    pub(crate) fn dropped(&self) -> u64 {
        self.lock().dropped
    }

    fn fits(&self, state: &State, bytes: usize) -> bool {
        state.frames.is_empty()
            || (state.frames.len() < self.max_frames && state.bytes + bytes <= self.max_bytes)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
