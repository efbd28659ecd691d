//! Decides whether a response body that stopped arriving was whole.

use std::fmt;

use http::{HeaderMap, header};

use crate::{chunk_scanner::ChunkScanner, event_scanner::EventScanner, framing::Framing};

/// Tracks one response body for the decision whether it is whole.
#[derive(Clone, Debug)]
pub struct ResponseEnd {
    framing: Framing,
    /// `None` if the body is not an event stream.
    events: Option<EventScanner>,
    /// Whether a caller reads the body event by event.
    is_stream: bool,
    is_continuation: bool,
    has_data: bool,
    chunks: ChunkScanner,
}

/// Whether a response body that ended without a transport error was whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The body was whole.
    Complete,
    /// The sender broke off.
    Broken(BrokenAt),
    /// The connection was closed where the body may have ended. A sender whose process ended at
    /// that moment broke off.
    Unproven,
}

/// Where a body was broken off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrokenAt {
    /// Before the first event of a stream.
    Start,
    /// Inside an event.
    InsideEvent,
    /// In its head, which does not say that the body is in chunks.
    Head,
}

impl fmt::Display for BrokenAt {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            BrokenAt::Start => "before its first event",
            BrokenAt::InsideEvent => "inside an event",
            BrokenAt::Head => "in its head, which does not announce its chunks",
        })
    }
}

impl ResponseEnd {
    /// A response that is passed on as it is, whatever it holds. `is_empty` says that the HTTP
    /// client expects no body.
    #[must_use]
    pub fn of_document(headers: &HeaderMap, is_empty: bool) -> Self {
        ResponseEnd {
            framing: Framing::of(headers, is_empty),
            events: is_event_stream(headers).then(EventScanner::default),
            is_stream: false,
            is_continuation: false,
            has_data: false,
            chunks: ChunkScanner::default(),
        }
    }

    /// A response on a route of streams. A stream that ends inside an event is broken, however its
    /// end is marked.
    #[must_use]
    pub fn of_stream(headers: &HeaderMap, is_empty: bool) -> Self {
        ResponseEnd {
            is_stream: true,
            ..Self::of_document(headers, is_empty)
        }
    }

    /// Like [`Self::of_stream`], for a body that is read as events whatever its head says.
    #[must_use]
    pub fn of_events(headers: &HeaderMap, is_empty: bool) -> Self {
        ResponseEnd {
            events: Some(EventScanner::default()),
            ..Self::of_stream(headers, is_empty)
        }
    }

    /// Marks a stream as the continuation of another one, which may have no event left.
    #[must_use]
    pub fn continuing(self, is_continuation: bool) -> Self {
        ResponseEnd {
            is_continuation,
            ..self
        }
    }

    /// Whether the body is an event stream.
    #[must_use]
    pub fn is_event_stream(&self) -> bool {
        self.events.is_some()
    }

    /// Adds bytes of the body.
    pub fn push(&mut self, bytes: &[u8]) {
        self.has_data |= !bytes.is_empty();
        if self.framing == Framing::UntilClose {
            self.chunks.scan(bytes);
        }
        if let Some(events) = &mut self.events {
            events.scan_all(bytes);
        }
    }

    /// Whether the body is in chunks although the head does not say so, so that its bytes are not
    /// those of the back end's body. An event stream never begins with a size; any other body must
    /// consist of nothing but chunks, to the last one.
    #[must_use]
    pub fn is_in_unmarked_chunks(&self) -> bool {
        let begins_so = self.events.is_some() && self.chunks.has_size_line();
        self.framing == Framing::UntilClose && (begins_so || self.chunks.is_complete())
    }

    /// The verdict on a body that ended without a transport error. A body that ended with one,
    /// such as a reset or a missing chunk, is broken without a further look.
    #[must_use]
    pub fn ending(&self) -> Ending {
        if self.is_in_unmarked_chunks() {
            return Ending::Broken(BrokenAt::Head);
        }
        let is_marked = self.framing == Framing::Marked;
        if is_marked && !self.is_stream {
            return Ending::Complete;
        }
        if self
            .events
            .is_some_and(|events| !events.is_between_events())
        {
            return Ending::Broken(BrokenAt::InsideEvent);
        }
        if is_marked {
            return Ending::Complete;
        }
        let lacks_events =
            self.is_stream && self.events.is_some() && !self.has_data && !self.is_continuation;
        if lacks_events {
            return Ending::Broken(BrokenAt::Start);
        }
        Ending::Unproven
    }
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    headers
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .is_some_and(|value| {
            let media_type = value.split(';').next().unwrap_or_default();
            media_type.trim().eq_ignore_ascii_case("text/event-stream")
        })
}
