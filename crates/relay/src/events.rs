//! Splits a stream of server-sent events without altering its bytes.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Buffers the bytes of an event until the event is complete.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    last_id: Option<u64>,
    events: u64,
}

impl EventSplitter {
    /// Adds bytes and returns all events that they complete, unaltered; `None` if an event
    /// exceeds the size limit.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.pending.extend_from_slice(bytes);
        let end = end_of_last_event(&self.pending).unwrap_or(0);
        if self.pending.len() - end > MAX_EVENT_BYTES {
            return None;
        }
        let complete = self.pending.split_to(end).freeze();
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

    /// Drops a partial event before another replica resumes the stream.
    pub fn drop_partial(&mut self) {
        self.pending.clear();
    }

    fn note(&mut self, complete: &[u8]) {
        for line in complete.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if line.is_empty() {
                continue;
            }
            if let Some(id) = field(line, b"id") {
                self.last_id = parse_number(id).or(self.last_id);
            }
        }
        self.events += count_events(complete);
    }
}

/// The data of complete events; the data lines of an event are joined by line feeds.
pub(crate) fn data_of(events: &[u8]) -> Vec<String> {
    let mut all = Vec::new();
    let mut data: Option<String> = None;
    for line in events.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
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

fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

fn parse_number(bytes: &[u8]) -> Option<u64> {
    std::str::from_utf8(bytes).ok()?.trim().parse().ok()
}

/// Position after the last empty line.
fn end_of_last_event(bytes: &[u8]) -> Option<usize> {
    let mut end = None;
    let mut line_start = 0;
    for (position, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..position];
        if line.is_empty() || line == b"\r" {
            end = Some(position + 1);
        }
        line_start = position + 1;
    }
    end
}

fn count_events(complete: &[u8]) -> u64 {
    let mut count = 0;
    let mut has_field = false;
    for line in complete.split(|byte| *byte == b'\n') {
        let is_empty = line.is_empty() || line == b"\r";
        if is_empty && has_field {
            count += 1;
        }
        has_field = !is_empty;
    }
    count
}
