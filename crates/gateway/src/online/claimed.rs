//! Requests that run under a claim: their answer is stored, and an at-most-once run continues
//! to its end when its caller disconnects.

use std::{io, sync::Arc};

use bytes::Bytes;
use futures_util::StreamExt;
use http::{HeaderValue, StatusCode};
use linnethitch_errors::{ErrorKind, Failure};
use linnethitch_protocol::query::StoredAnswer;
use tokio::sync::{mpsc, oneshot};
use tokio_stream::wrappers::ReceiverStream;

use crate::{
    claims::{Answered, Claim, StreamRecord, outcome_unknown},
    decisions::TenantPermit,
    engine::stream::StreamEvent,
    http::answer::{bytes_response, event_stream_response},
    online::{
        completion_response::CompletionResponse,
        generation::Generation,
        request::CompletionRequest,
        stream_answer::{Piece, next_piece},
    },
    state::Gateway,
};

/// Maximum pieces of a stream that are buffered for a slow caller.
const MAX_BUFFERED_PIECES: usize = 64;
/// Runs a claimed request and answers its caller.
pub(crate) async fn respond(
    gateway: &Arc<Gateway>,
    claim: Claim,
    request: CompletionRequest,
    permit: TenantPermit,
) -> Answered {
    let (caller, answered) = oneshot::channel();
    let run = ClaimedRun {
        gateway: Arc::clone(gateway),
        claim,
    };
    gateway.spawn_tracked(run.run(request, permit, caller));
    answered
        .await
        .unwrap_or_else(|_| Err(Failure::from(ErrorKind::Internal)))
}

struct ClaimedRun {
    gateway: Arc<Gateway>,
    claim: Claim,
}

impl ClaimedRun {
    async fn run(
        self,
        request: CompletionRequest,
        permit: TenantPermit,
        mut caller: oneshot::Sender<Answered>,
    ) {
        let stream = request.stream;
        let starting = Generation::start(Arc::clone(&self.gateway), request, permit);
        let Some(started) = self
            .claim
            .until_caller_disconnects(starting, caller.closed())
            .await
        else {
            return self.claim.release().await;
        };
        match started {
            Err(failure) => self.claim.fail(failure, caller).await,
            Ok(generation) if stream => self.relay(generation, caller).await,
            Ok(generation) => self.collect(generation, caller).await,
        }
    }

    /// Collects the complete answer, stores it and sends it to the caller.
    async fn collect(self, mut generation: Generation, mut caller: oneshot::Sender<Answered>) {
        loop {
            match self
                .claim
                .until_caller_disconnects(generation.next(), caller.closed())
                .await
            {
                None => {
                    drop(generation);
                    return self.claim.release().await;
                }
                Some(Err(failure)) => return self.claim.fail(failure, caller).await,
                Some(Ok(StreamEvent::Done)) => break,
                Some(Ok(_)) => {}
            }
        }
        let answer = CompletionResponse::new(&generation.request, &generation.progress);
        drop(generation);
        let body = serde_json::to_vec(&answer).unwrap_or_default();
        let stored = StoredAnswer {
            status: StatusCode::OK.as_u16(),
            content_type: "application/json".to_owned(),
            body: body.clone(),
        };
        self.claim.store_answer(stored).await;
        let json = HeaderValue::from_static("application/json");
        let _ = caller.send(Ok(bytes_response(StatusCode::OK, json, body)));
    }

    /// Relays a stream while recording it. The caller gets the end of the stream once the complete
    /// answer is stored.
    async fn relay(self, mut generation: Generation, caller: oneshot::Sender<Answered>) {
        let (pieces, receiver) = mpsc::channel::<Bytes>(MAX_BUFFERED_PIECES);
        let body = ReceiverStream::new(receiver).map(Ok::<Bytes, io::Error>);
        let _ = caller.send(Ok(event_stream_response(body)));
        let mut record = StreamRecord::default();
        loop {
            let next = next_piece(&mut generation);
            let piece = match self
                .claim
                .until_caller_disconnects(next, pieces.closed())
                .await
            {
                None => {
                    drop(generation);
                    return self.claim.release().await;
                }
                Some(piece) => piece,
            };
            let bytes = piece.bytes();
            record.add(&bytes);
            match piece {
                Piece::Event(_) => {
                    let _ = pieces.send(bytes).await;
                }
                Piece::Last => {
                    drop(generation);
                    self.claim.store_answer(record.answer()).await;
                    let _ = pieces.send(bytes).await;
                    return;
                }
                Piece::Failed(failure) => {
                    let _ = pieces.send(bytes).await;
                    drop((generation, pieces));
                    return if self.claim.at_most_once() {
                        self.claim.store_answer(outcome_unknown(&failure)).await;
                    } else {
                        self.claim.release().await;
                    };
                }
            }
        }
    }
}
