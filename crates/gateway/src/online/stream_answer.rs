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

/// The response of a generation that has begun.
pub(crate) fn respond(generation: Generation) -> Response<Body> {
    let pieces = stream::unfold(Some(generation), |state| async move {
        let mut generation = state?;
        let (piece, more) = next_piece(&mut generation).await;
        Some((Ok::<Bytes, io::Error>(piece), more.then_some(generation)))
    });
    event_stream_response(pieces)
}

/// The next bytes for the caller, and whether more follow.
async fn next_piece(generation: &mut Generation) -> (Bytes, bool) {
    loop {
        match generation.next().await {
            Ok(StreamEvent::Token(event)) => return (event, true),
            Ok(StreamEvent::Usage(event)) if generation.request.include_usage => {
                return (event, true);
            }
            Ok(StreamEvent::Usage(_)) => {}
            Ok(StreamEvent::Done) => return (Bytes::from_static(DONE_EVENT), false),
            Err(failure) => return (error_event(&failure), false),
        }
    }
}

/// An event that says that the stream is not the whole answer.
fn error_event(failure: &Failure) -> Bytes {
    Bytes::from(format!("data: {}\n\n", failure.body()))
}
