//! Reads the streamed answer of an engine and checks the index of each token.

use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::engine::{
    chunk::{Chunk, FinishReason, Usage},
    fault::AttemptFault,
    sse::{EventSplitter, event_data},
};

const DONE: &[u8] = b"[DONE]";
/// Maximum size of the text of an answer, in bytes.
const MAX_TEXT_BYTES: usize = 4 * 1024 * 1024;

/// The part of an answer that has been received, over all attempts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Progress {
    /// Tokens received, which is also the expected index of the next token.
    pub(crate) tokens: u32,
    /// The text of the received tokens.
    pub(crate) text: String,
    /// Why the answer ended; `None` while it is incomplete.
    pub(crate) finish_reason: Option<FinishReason>,
    /// Tokens used, if the engine reported them.
    pub(crate) usage: Option<Usage>,
    /// Whether the answer has output that a resumed run cannot continue, such as tool calls or
    /// tokens of an unknown software version.
    pub(crate) not_resumable: bool,
    /// The software version that generated the tokens; `None` if there are none or it is unknown.
    pub(crate) software: Option<String>,
}

/// An event of a stream that the caller receives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum StreamEvent {
    /// The next token; holds the event as the engine sent it.
    Token(Bytes),
    /// Usage without a token; holds the event as the engine sent it.
    Usage(Bytes),
    /// The answer is complete.
    Done,
}

/// The answer of an engine in progress. Dropping the stream closes the connection, which cancels
/// the run.
pub(crate) struct EngineStream {
    body: Incoming,
    events: EventSplitter,
    request_id: String,
    /// The software version of the engine; `None` if it names none.
    software: Option<String>,
}

impl EngineStream {
    /// Starts to read the body of a response.
    pub(crate) fn new(
        response: Response<Incoming>,
        request_id: String,
        software: Option<String>,
    ) -> Self {
        EngineStream {
            body: response.into_body(),
            events: EventSplitter::default(),
            request_id,
            software,
        }
    }

    /// Returns the next event for the caller. `limit` bounds the wait for each frame.
    ///
    /// # Errors
    /// How the attempt failed.
    pub(crate) async fn next(
        &mut self,
        progress: &mut Progress,
        limit: Duration,
    ) -> Result<StreamEvent, AttemptFault> {
        loop {
            while let Some(event) = self.events.next_event() {
                if let Some(accepted) = self.accept(event, progress)? {
                    return Ok(accepted);
                }
            }
            self.read_frame(limit).await?;
        }
    }

    async fn read_frame(&mut self, limit: Duration) -> Result<(), AttemptFault> {
        let frame = match tokio::time::timeout(limit, self.body.frame()).await {
            Err(_) => return Err(AttemptFault::TimedOut(limit)),
            Ok(None) => return Err(self.early_end()),
            Ok(Some(Err(error))) => return Err(AttemptFault::Interrupted(error.to_string())),
            Ok(Some(Ok(frame))) => frame,
        };
        match frame.into_data() {
            Ok(data) => self
                .events
                .push(data)
                .map_err(|_| AttemptFault::Protocol("an event is too long".to_owned())),
            Err(_trailers) => Ok(()),
        }
    }

    fn early_end(&self) -> AttemptFault {
        AttemptFault::Interrupted(if self.events.has_partial() {
            "the stream ended inside an event".to_owned()
        } else {
            "the stream ended without [DONE]".to_owned()
        })
    }

    fn accept(
        &self,
        event: Bytes,
        progress: &mut Progress,
    ) -> Result<Option<StreamEvent>, AttemptFault> {
        let Some(data) = event_data(&event) else {
            return Ok(None);
        };
        if data == DONE {
            return accept_done(progress).map(Some);
        }
        let chunk: Chunk<'_> = serde_json::from_slice(data)
            .map_err(|error| AttemptFault::Protocol(format!("a chunk is not valid: {error}")))?;
        if chunk.error.is_some() {
            return Err(AttemptFault::Interrupted(
                "the engine reported an error in the stream".to_owned(),
            ));
        }
        if chunk.id != self.request_id {
            return Err(AttemptFault::Protocol(format!(
                "a chunk carries the id {:?} of another request",
                chunk.id.chars().take(64).collect::<String>()
            )));
        }
        let is_begun = progress.tokens > 0;
        let kind = accept_chunk(&chunk, progress)?;
        if !is_begun && progress.tokens > 0 {
            progress.software.clone_from(&self.software);
            progress.not_resumable |= self.software.is_none();
        }
        Ok(match kind {
            ChunkKind::Token => Some(StreamEvent::Token(event.clone())),
            ChunkKind::Usage => Some(StreamEvent::Usage(event.clone())),
            ChunkKind::Repeated => None,
        })
    }
}

fn accept_done(progress: &Progress) -> Result<StreamEvent, AttemptFault> {
    if progress.finish_reason.is_none() {
        return Err(AttemptFault::Protocol(
            "the stream ended without a finish reason".to_owned(),
        ));
    }
    Ok(StreamEvent::Done)
}

enum ChunkKind {
    Token,
    Usage,
    Repeated,
}

/// Checks a chunk against the progress and adds its token.
fn accept_chunk(chunk: &Chunk<'_>, progress: &mut Progress) -> Result<ChunkKind, AttemptFault> {
    if let Some(usage) = chunk.usage {
        progress.usage = Some(usage);
    }
    let choice = match chunk.choices.as_slice() {
        [] => return Ok(ChunkKind::Usage),
        [choice] => choice,
        _ => {
            return Err(AttemptFault::Protocol(
                "a chunk has several choices".to_owned(),
            ));
        }
    };
    let text = choice.text();
    if progress.finish_reason.is_some() && !text.is_empty() {
        return Err(AttemptFault::Protocol(
            "a token after the finish reason".to_owned(),
        ));
    }
    if progress.text.len() + text.len() > MAX_TEXT_BYTES {
        return Err(AttemptFault::Protocol(format!(
            "the text is longer than {MAX_TEXT_BYTES} bytes"
        )));
    }
    match choice.token_index {
        Some(index) if index < progress.tokens => return Ok(ChunkKind::Repeated),
        Some(index) if index > progress.tokens => {
            return Err(AttemptFault::Protocol(format!(
                "received token {index}, expected token {}",
                progress.tokens
            )));
        }
        Some(_) => progress.tokens += 1,
        None if text.is_empty() => {}
        None => {
            return Err(AttemptFault::Protocol(
                "a token without its index".to_owned(),
            ));
        }
    }
    progress.text.push_str(text);
    progress.not_resumable |= choice.has_structured_output();
    progress.finish_reason = progress.finish_reason.or(choice.finish_reason);
    Ok(ChunkKind::Token)
}
