//! Streamed answers: events pass from the engine to the caller.

use std::io;

use bytes::Bytes;
use futures_util::stream;
use gotham::helpers::http::Body;
use http::Response;
use linnethitch_errors::Failure;

use crate::{
    engine::stream::StreamEvent, http::answer::event_stream_response,
    online::generation::Generation,
};

const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

/// A piece of a streamed answer.
pub(super) enum Piece {
    /// An event that is not the last.
    Event(Bytes),
    /// The end of a complete answer.
    Last,
    /// The end of an incomplete answer.
    Failed(Failure),
}

impl Piece {
    /// The bytes to send to the caller.
    pub(super) fn bytes(&self) -> Bytes {
        match self {
            Piece::Event(event) => event.clone(),
            Piece::Last => Bytes::from_static(DONE_EVENT),
            Piece::Failed(failure) => Bytes::from(format!("data: {}\n\n", failure.body())),
        }
    }
}

/// The streamed response of a generation that has started.
pub(crate) fn respond(generation: Generation) -> Response<Body> {
    let pieces = stream::unfold(Some(generation), |state| async move {
        let mut generation = state?;
        let piece = next_piece(&mut generation).await;
        let more = matches!(piece, Piece::Event(_));
        Some((
            Ok::<Bytes, io::Error>(piece.bytes()),
            more.then_some(generation),
        ))
    });
    event_stream_response(pieces)
}

/// Returns the next piece for the caller.
pub(super) async fn next_piece(generation: &mut Generation) -> Piece {
    loop {
        match generation.next().await {
            Ok(StreamEvent::Token(event)) => return Piece::Event(event),
            Ok(StreamEvent::Usage(event)) if generation.request.include_usage => {
                return Piece::Event(event);
            }
            Ok(StreamEvent::Usage(_)) => {}
            Ok(StreamEvent::Done) => return Piece::Last,
            Err(failure) => {
                generation.count_broken(&failure);
                return Piece::Failed(failure);
            }
        }
    }
}
