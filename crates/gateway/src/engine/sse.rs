//! Splits an event stream into events without copying events that lie within one frame.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event.
pub(crate) const MAX_EVENT_BYTES: usize = 1024 * 1024;

const END_OF_EVENT: &[u8] = b"\n\n";

/// Collects frames and returns complete events.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    /// The unread part of the last frame.
    frame: Bytes,
    /// The beginning of an incomplete event.
    partial: BytesMut,
}

/// An event exceeded [`MAX_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EventTooLong;

impl EventSplitter {
    /// Adds a frame; call only after [`EventSplitter::next_event`] has returned `None`.
    pub(crate) fn push(&mut self, frame: Bytes) -> Result<(), EventTooLong> {
        debug_assert!(self.frame.is_empty());
        self.frame = frame;
        if self.partial.is_empty() {
            return Ok(());
        }
        // The end of the event may span two frames.
        let search_from = self.partial.len().saturating_sub(1);
        self.partial.extend_from_slice(&self.frame);
        self.frame = Bytes::new();
        match find_end(&self.partial[search_from..]) {
            Some(end) => {
                let complete = std::mem::take(&mut self.partial).freeze();
                debug_assert!(search_from + end <= complete.len());
                self.frame = complete;
                Ok(())
            }
            None if self.partial.len() > MAX_EVENT_BYTES => Err(EventTooLong),
            None => Ok(()),
        }
    }

    /// The next complete event, including the blank line that ends it.
    pub(crate) fn next_event(&mut self) -> Option<Bytes> {
        if let Some(end) = find_end(&self.frame) {
            return Some(self.frame.split_to(end));
        }
        if !self.frame.is_empty() {
            self.partial.extend_from_slice(&self.frame);
            self.frame = Bytes::new();
        }
        None
    }

    /// Whether an incomplete event is buffered.
    pub(crate) fn has_partial(&self) -> bool {
        !self.partial.is_empty() || !self.frame.is_empty()
    }
}

/// The position after the first blank line, if there is one.
fn find_end(bytes: &[u8]) -> Option<usize> {
    bytes
        .windows(END_OF_EVENT.len())
        .position(|window| window == END_OF_EVENT)
        .map(|position| position + END_OF_EVENT.len())
}

/// The payload of an event that consists of one `data:` line; `None` for comments and other fields.
pub(crate) fn event_data(event: &[u8]) -> Option<&[u8]> {
    let line = event.strip_suffix(END_OF_EVENT).unwrap_or(event);
    let payload = line.strip_prefix(b"data:")?;
    Some(payload.strip_prefix(b" ").unwrap_or(payload))
}
