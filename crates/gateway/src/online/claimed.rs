//! Requests that run under a claim: their answer is kept, and an at-most-once run goes on
//! to its end even when its caller goes away.

use std::{future::Future, io, sync::Arc};

use bytes::Bytes;
use futures_util::StreamExt;
use gotham::helpers::http::Body;
use http::{HeaderValue, Response, StatusCode, header};
use linnethitch_errors::{ErrorKind, Executed, Failure};
use linnethitch_protocol::query::KeptAnswer;
use tokio::sync::{mpsc, oneshot};
use tokio_stream::wrappers::ReceiverStream;

use crate::{
    claims::Claim,
    decisions::TenantPass,
    engine::stream::StreamEvent,
    http::answer::{EXECUTED_HEADER, bytes_response, event_stream_response},
    online::{
        generation::Generation,
        request::CompletionRequest,
        stream_answer::{Piece, next_piece},
        whole_answer::WholeAnswer,
    },
    state::Gateway,
};

/// Largest answer that is kept, in bytes.
const MAX_KEPT_BYTES: usize = 8 * 1024 * 1024;
/// Pieces of a stream that wait for a slow caller.
const MAX_WAITING_PIECES: usize = 64;
/// Header of an answer that was kept from an earlier run.
const REPLAYED_HEADER: &str = "linnethitch-replayed";

type Answered = Result<Response<Body>, Failure>;

/// Runs a claimed request and answers its caller.
pub(crate) async fn respond(
    gateway: &Arc<Gateway>,
    claim: Claim,
    request: CompletionRequest,
    pass: TenantPass,
) -> Answered {
    let (caller, answered) = oneshot::channel();
    let run = ClaimedRun {
        at_most_once: request.at_most_once,
        gateway: Arc::clone(gateway),
        claim,
    };
    gateway.spawn_tracked(run.run(request, pass, caller));
    answered
        .await
        .unwrap_or_else(|_| Err(Failure::from(ErrorKind::Internal)))
}

/// The answer of an earlier run.
pub(crate) fn replay(kept: KeptAnswer) -> Response<Body> {
    let status = StatusCode::from_u16(kept.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let content_type = HeaderValue::from_str(&kept.content_type)
        .unwrap_or(HeaderValue::from_static("application/json"));
    let mut response = bytes_response(status, content_type, kept.body);
    let headers = response.headers_mut();
    headers.insert(REPLAYED_HEADER, HeaderValue::from_static("yes"));
    if !status.is_success() {
        let unknown = HeaderValue::from_static(Executed::Unknown.as_str());
        headers.insert(EXECUTED_HEADER, unknown);
        headers.insert("x-should-retry", HeaderValue::from_static("false"));
    }
    if kept.content_type == "text/event-stream" {
        headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    }
    response
}

struct ClaimedRun {
    gateway: Arc<Gateway>,
    claim: Claim,
    at_most_once: bool,
}

impl ClaimedRun {
    async fn run(
        self,
        request: CompletionRequest,
        pass: TenantPass,
        mut caller: oneshot::Sender<Answered>,
    ) {
        let stream = request.stream;
        let starting = Generation::start(Arc::clone(&self.gateway), request, pass);
        let Some(started) = self.unless_gone(starting, caller.closed()).await else {
            return self.claim.free().await;
        };
        match started {
            Err(failure) => self.fail(failure, caller).await,
            Ok(generation) if stream => self.relay(generation, caller).await,
            Ok(generation) => self.collect(generation, caller).await,
        }
    }

    /// Waits for a step of the run. A repeatable run is given up when its caller goes away.
    async fn unless_gone<T>(
        &self,
        step: impl Future<Output = T>,
        gone: impl Future<Output = ()>,
    ) -> Option<T> {
        if self.at_most_once {
            return Some(step.await);
        }
        tokio::select! {
            biased;
            done = step => Some(done),
            () = gone => None,
        }
    }

    /// Answers with a failure. What an at-most-once request may have done is never repeated.
    async fn fail(self, failure: Failure, caller: oneshot::Sender<Answered>) {
        if self.at_most_once && failure.executed() != Executed::No {
            let kept = outcome_unknown(&failure);
            let _ = caller.send(Err(failure));
            return self.claim.keep(kept).await;
        }
        // Freed first, so that a resend is not told that the request still runs.
        self.claim.free().await;
        let _ = caller.send(Err(failure));
    }

    /// Collects a whole answer, has it kept and gives it to the caller.
    async fn collect(self, mut generation: Generation, mut caller: oneshot::Sender<Answered>) {
        loop {
            match self.unless_gone(generation.next(), caller.closed()).await {
                None => {
                    drop(generation);
                    return self.claim.free().await;
                }
                Some(Err(failure)) => return self.fail(failure, caller).await,
                Some(Ok(StreamEvent::Done)) => break,
                Some(Ok(_)) => {}
            }
        }
        let answer = WholeAnswer::new(&generation.request, &generation.progress);
        drop(generation);
        let body = serde_json::to_vec(&answer).unwrap_or_default();
        let kept = KeptAnswer {
            status: StatusCode::OK.as_u16(),
            content_type: "application/json".to_owned(),
            body: body.clone(),
        };
        self.claim.keep(kept).await;
        let json = HeaderValue::from_static("application/json");
        let _ = caller.send(Ok(bytes_response(StatusCode::OK, json, body)));
    }

    /// Relays a stream while recording it; the caller gets its end once the whole is kept.
    async fn relay(self, mut generation: Generation, caller: oneshot::Sender<Answered>) {
        let (pieces, receiver) = mpsc::channel::<Bytes>(MAX_WAITING_PIECES);
        let body = ReceiverStream::new(receiver).map(Ok::<Bytes, io::Error>);
        let _ = caller.send(Ok(event_stream_response(body)));
        let mut record = Record::default();
        loop {
            let next = next_piece(&mut generation);
            let piece = match self.unless_gone(next, pieces.closed()).await {
                None => {
                    drop(generation);
                    return self.claim.free().await;
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
                    self.claim.keep(record.answer()).await;
                    let _ = pieces.send(bytes).await;
                    return;
                }
                Piece::Failed(failure) => {
                    let _ = pieces.send(bytes).await;
                    drop((generation, pieces));
                    return if self.at_most_once {
                        self.claim.keep(outcome_unknown(&failure)).await;
                    } else {
                        self.claim.free().await;
                    };
                }
            }
        }
    }
}

/// What a resend gets after an at-most-once run whose outcome nobody knows.
fn outcome_unknown(failure: &Failure) -> KeptAnswer {
    let message = format!(
        "the request was started and is not run again: {}",
        failure.message
    );
    kept_failure(&Failure::new(ErrorKind::OutcomeUnknown, message))
}

fn kept_failure(failure: &Failure) -> KeptAnswer {
    KeptAnswer {
        status: failure.kind.answer().status,
        content_type: "application/json".to_owned(),
        body: failure.body().to_string().into_bytes(),
    }
}

/// The bytes of a stream, as long as they are few enough to be kept.
#[derive(Default)]
struct Record {
    bytes: Vec<u8>,
    too_long: bool,
}

impl Record {
    fn add(&mut self, bytes: &[u8]) {
        self.too_long |= self.bytes.len() + bytes.len() > MAX_KEPT_BYTES;
        if self.too_long {
            self.bytes = Vec::new();
        } else {
            self.bytes.extend_from_slice(bytes);
        }
    }

    fn answer(self) -> KeptAnswer {
        if self.too_long {
            let message = "the request ran; its answer was given once and was too long to be kept";
            return kept_failure(
                &Failure::new(ErrorKind::OutcomeUnknown, message).with_executed(Executed::Yes),
            );
        }
        KeptAnswer {
            status: StatusCode::OK.as_u16(),
            content_type: "text/event-stream".to_owned(),
            body: self.bytes,
        }
    }
}
