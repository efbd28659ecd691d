//! Splits a stream of server-sent events without altering its bytes.

use bytes::{Bytes, BytesMut};

use crate::event_scanner::EventScanner;

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Buffers the bytes of an event until the event is complete.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    scanner: EventScanner,
    last_id: Option<u64>,
    events: u64,
}

impl EventSplitter {
    /// Adds bytes and returns all events that they complete, unaltered; `None` if an event
    /// exceeds the size limit.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        let Some(end) = self.scanner.scan_all(bytes) else {
            self.pending.extend_from_slice(bytes);
            return (self.pending.len() <= MAX_EVENT_BYTES).then(Bytes::new);
        };
        let (completing, partial) = bytes.split_at(end);
        if partial.len() > MAX_EVENT_BYTES {
            return None;
        }
        self.pending.extend_from_slice(completing);
        let complete = self.pending.split().freeze();
        self.pending.extend_from_slice(partial);
        self.note(&complete);
        Some(complete)
    }

    /// The id of the last complete event.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Number of complete events so far.
    #[must_use]
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Whether part of an event is buffered.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Size of the buffered part of an event, in bytes.
    #[must_use]
    pub fn held_bytes(&self) -> u64 {
        self.pending.len() as u64
    }

    /// Drops a partial event before another replica resumes the stream.
    pub fn drop_partial(&mut self) {
        self.pending = BytesMut::new();
        self.scanner = EventScanner::default();
    }

    fn note(&mut self, complete: &[u8]) {
        let mut has_field = false;
        for line in lines(complete) {
            if line.is_empty() && has_field {
                self.events += 1;
            }
            has_field = !line.is_empty();
            if let Some(id) = field(line, b"id") {
                self.last_id = parse_number(id).or(self.last_id);
            }
        }
    }
}

/// The data of complete events; the data lines of an event are joined by line feeds.
#[must_use]
pub fn data_of(events: &[u8]) -> Vec<String> {
    let mut all = Vec::new();
    let mut data: Option<String> = None;
    for line in lines(events) {
        if line.is_empty() {
            all.extend(data.take());
        } else if let Some(value) = field(line, b"data") {
            let text = String::from_utf8_lossy(value);
            data = Some(match data {
                Some(before) => format!("{before}\n{text}"),
                None => text.into_owned(),
            });
        }
    }
    all
}

/// The lines of complete events without their ends, which are `\n`, `\r\n` or `\r`.
fn lines(mut bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    std::iter::from_fn(move || {
        let end = bytes
            .iter()
            .position(|byte| matches!(byte, b'\n' | b'\r'))?;
        let (line, rest) = bytes.split_at(end);
        bytes = rest.strip_prefix(b"\r\n").unwrap_or(&rest[1..]);
        Some(line)
    })
}

fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

fn parse_number(bytes: &[u8]) -> Option<u64> {
    std::str::from_utf8(bytes).ok()?.trim().parse().ok()
}
