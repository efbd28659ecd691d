//! Reads a stream of server-sent events.

use bytes::Bytes;

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Splits a body into the `data` of its events.
#[derive(Debug, Default)]
pub(super) struct EventReader {
    buffer: Vec<u8>,
}

/// An event over the size limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct EventTooLong;

impl EventReader {
    /// Adds received bytes and returns the data of the events that are complete.
    pub(super) fn push(&mut self, bytes: &Bytes) -> Result<Vec<String>, EventTooLong> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = find_end(&self.buffer) {
            let event: Vec<u8> = self.buffer.drain(..end + 2).collect();
            if let Some(data) = data_of(&event) {
                events.push(data);
            }
        }
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        Ok(events)
    }
}

fn find_end(buffer: &[u8]) -> Option<usize> {
    buffer.windows(2).position(|two| two == b"\n\n")
}

fn data_of(event: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(event).ok()?;
    let data: Vec<&str> = text
        .lines()
        .filter_map(|line| line.strip_prefix("data:"))
        .map(|data| data.strip_prefix(' ').unwrap_or(data))
        .collect();
    (!data.is_empty()).then(|| data.join("\n"))
}
