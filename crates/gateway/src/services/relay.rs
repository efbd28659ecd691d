//! Returns a replica's response to the caller.

use std::{io, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::stream;
use gotham::helpers::http::Body;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header, response::Parts};
use http_body::{Body as _, Frame};
use http_body_util::{BodyExt, Limited, StreamBody};
use hyper::body::Incoming;
use linnethitch_clock::Instant;
use linnethitch_errors::{ErrorKind, Executed, Failure};
use linnethitch_protocol::query::StoredAnswer;
use linnethitch_response::{BrokenAt, Ending, ProcessState, ResponseEnd, probe};
use linnethitch_routing::view::FailureKind;
use tokio::sync::oneshot;

use crate::{
    claims::{Answered, Claim, MAX_STORED_BYTES},
    decisions::{Placement, TenantPermit},
    engine::fault::AttemptFault,
    http::answer::complete_body,
    services::{
        attempt::{ServiceAnswer, ServiceCall},
        headers::response_headers,
    },
    state::Gateway,
};

/// Sends a request and streams the response to the caller.
pub(super) async fn respond(mut call: ServiceCall) -> Answered {
    let ServiceAnswer {
        placement,
        response,
    } = call.send().await?;
    let (head, body) = response.into_parts();
    let remaining = call.gateway.clock().until(call.request.wanted.deadline);
    let relayed = RelayedBody {
        end: ResponseEnd::of_stream(&head.headers, body.is_end_stream()),
        body,
        status: head.status,
        deadline: Instant::now() + remaining,
        limit: remaining,
        placement: Some(placement),
        _pass: call.pass,
    };
    let frames = stream::unfold(relayed, RelayedBody::next);
    let mut answer = Response::new(Body::new(StreamBody::new(frames)));
    *answer.status_mut() = head.status;
    *answer.headers_mut() = response_headers(&head.headers);
    if let Some(length) = head.headers.get(header::CONTENT_LENGTH) {
        answer
            .headers_mut()
            .insert(header::CONTENT_LENGTH, length.clone());
    }
    Ok(answer)
}

/// A response body that is streamed to the caller. The request counts as running at the replica
/// until the body ends.
struct RelayedBody {
    body: Incoming,
    end: ResponseEnd,
    status: StatusCode,
    deadline: Instant,
    limit: Duration,
    placement: Option<Placement>,
    _pass: TenantPermit,
}

impl RelayedBody {
    async fn next(mut self) -> Option<(Result<Frame<Bytes>, io::Error>, Self)> {
        let address = self.placement.as_ref()?.address.clone();
        let fault = match linnethitch_clock::timeout_at(self.deadline, self.body.frame()).await {
            Ok(Some(Ok(frame))) => {
                if let Some(data) = frame.data_ref() {
                    self.end.push(data);
                }
                if !self.end.is_in_unmarked_chunks() {
                    return Some((Ok(frame), self));
                }
                AttemptFault::Protocol(format!("the response is broken {}", BrokenAt::Head))
            }
            Ok(None) => match early_end(&self.end, &address).await {
                None => {
                    end_placement(self.placement.take(), self.status);
                    return None;
                }
                Some(fault) => fault,
            },
            Ok(Some(Err(error))) => AttemptFault::Interrupted(error.to_string()),
            Err(_) => AttemptFault::TimedOut(self.limit),
        };
        if let (Some(placement), Some(kind)) = (self.placement.take(), fault.as_failure_kind()) {
            placement.failed(kind);
        }
        // Breaks the connection, so that the caller does not take a truncated body for a complete
        // one.
        Some((Err(io::Error::other(fault.to_string())), self))
    }
}

/// How a body that stopped without an error broke off; `None` if it was whole.
async fn early_end(end: &ResponseEnd, address: &str) -> Option<AttemptFault> {
    let reason = match end.ending() {
        Ending::Complete => return None,
        Ending::Broken(at) => format!("the response ended {at}"),
        Ending::Unproven => match probe(address).await {
            ProcessState::Listens(_) => return None,
            ProcessState::Ended => "the process of the replica ended".to_owned(),
            ProcessState::Silent => "the machine of the replica does not answer".to_owned(),
        },
    };
    Some(AttemptFault::Interrupted(reason))
}

/// Ends the placement of a completely received response; a server error counts as a failure of
/// the replica.
fn end_placement(placement: Option<Placement>, status: StatusCode) {
    let Some(placement) = placement else {
        return;
    };
    if status.is_server_error() {
        placement.failed(FailureKind::BadAnswer);
    } else {
        placement.finished();
    }
}

/// Sends a request with an idempotency key; the response is stored before the caller receives it.
pub(super) async fn respond_claimed(
    gateway: &Arc<Gateway>,
    claim: Claim,
    call: ServiceCall,
) -> Answered {
    let (caller, answered) = oneshot::channel();
    gateway.spawn_tracked(run_claimed(claim, call, caller));
    answered
        .await
        .unwrap_or_else(|_| Err(Failure::from(ErrorKind::Internal)))
}

async fn run_claimed(claim: Claim, mut call: ServiceCall, mut caller: oneshot::Sender<Answered>) {
    let collected = claim
        .until_caller_disconnects(collect(&mut call), caller.closed())
        .await;
    match collected {
        None => claim.release().await,
        Some(Err(failure)) => claim.fail(failure, caller).await,
        Some(Ok((headers, stored))) => {
            claim.store_answer(stored.clone()).await;
            let mut answer = Response::new(complete_body(stored.body));
            *answer.status_mut() =
                StatusCode::from_u16(stored.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
            *answer.headers_mut() = headers;
            let _ = caller.send(Ok(answer));
        }
    }
}

/// Reads a complete response, up to the maximum size that can be stored.
async fn collect(call: &mut ServiceCall) -> Result<(HeaderMap, StoredAnswer), Failure> {
    let ServiceAnswer {
        placement,
        response,
    } = call.send().await?;
    let (head, body) = response.into_parts();
    let remaining = call.gateway.clock().until(call.request.wanted.deadline);
    let mut end = ResponseEnd::of_document(&head.headers, body.is_end_stream());
    let collecting = Limited::new(body, MAX_STORED_BYTES).collect();
    let fault = match tokio::time::timeout(remaining, collecting).await {
        Ok(Ok(collected)) => {
            let bytes = collected.to_bytes();
            end.push(&bytes);
            match early_end(&end, &placement.address).await {
                None => {
                    end_placement(Some(placement), head.status);
                    return Ok(stored(&head, &bytes));
                }
                Some(fault) => fault,
            }
        }
        Ok(Err(error)) => AttemptFault::Interrupted(error.to_string()),
        Err(_) => AttemptFault::TimedOut(remaining),
    };
    call.gateway.record_fault(placement, &fault);
    Err(call.final_failure(ErrorKind::BackEndFailed, Executed::Unknown, &fault))
}

/// A complete response as it is stored, with its headers for the caller.
fn stored(head: &Parts, body: &[u8]) -> (HeaderMap, StoredAnswer) {
    let headers = response_headers(&head.headers);
    let stored = StoredAnswer {
        status: head.status.as_u16(),
        content_type: content_type(&headers),
        body: body.to_vec(),
    };
    (headers, stored)
}

fn content_type(headers: &HeaderMap) -> String {
    headers
        .get(header::CONTENT_TYPE)
        .and_then(|value: &HeaderValue| value.to_str().ok())
        .unwrap_or("application/octet-stream")
        .to_owned()
}
