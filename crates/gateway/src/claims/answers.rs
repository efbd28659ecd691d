//! Answers stored under an idempotency key, and the end of a claimed run.

use std::future::Future;

use gotham::helpers::http::Body;
use http::{HeaderValue, Response, StatusCode, header};
use linnethitch_errors::{ErrorKind, Executed, Failure};
use linnethitch_protocol::query::StoredAnswer;
use tokio::sync::oneshot;

use crate::{
    claims::Claim,
    http::answer::{EXECUTED_HEADER, bytes_response},
};

/// Largest body that is stored, in bytes.
pub(crate) const MAX_STORED_BYTES: usize = 8 * 1024 * 1024;
/// Header of an answer stored by an earlier run.
const REPLAYED_HEADER: &str = "linnethitch-replayed";
const EVENT_STREAM: &str = "text/event-stream";

/// The answer to a caller.
pub(crate) type Answered = Result<Response<Body>, Failure>;

/// The response with the stored answer of an earlier run.
pub(crate) fn replay(stored: StoredAnswer) -> Response<Body> {
    let status = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let content_type = HeaderValue::from_str(&stored.content_type)
        .unwrap_or(HeaderValue::from_static("application/json"));
    let unknown = is_unknown_outcome(&stored);
    let mut response = bytes_response(status, content_type, stored.body);
    let headers = response.headers_mut();
    headers.insert(REPLAYED_HEADER, HeaderValue::from_static("yes"));
    if unknown {
        let executed = HeaderValue::from_static(Executed::Unknown.as_str());
        headers.insert(EXECUTED_HEADER, executed);
        headers.insert("x-should-retry", HeaderValue::from_static("false"));
    }
    if stored.content_type == EVENT_STREAM {
        headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    }
    response
}

/// Content type of stored failures, which distinguishes them from answers of applications.
const STORED_FAILURE_TYPE: &str = "application/json; profile=linnethitch-error";

fn is_unknown_outcome(stored: &StoredAnswer) -> bool {
    stored.content_type == STORED_FAILURE_TYPE
}

fn stored_failure(failure: &Failure) -> StoredAnswer {
    StoredAnswer {
        status: failure.kind.answer().status,
        content_type: STORED_FAILURE_TYPE.to_owned(),
        body: failure.body().to_string().into_bytes(),
    }
}

/// The stored answer to resends after an at-most-once run with an unknown outcome.
pub(crate) fn outcome_unknown(failure: &Failure) -> StoredAnswer {
    let message = format!(
        "the request was started and is not run again: {}",
        failure.message
    );
    stored_failure(&Failure::new(ErrorKind::OutcomeUnknown, message))
}

/// The stored answer to resends after an answer that was too long to store.
pub(crate) fn too_long() -> StoredAnswer {
    let message = "the request ran; its answer was given once and was too long to be kept";
    stored_failure(&Failure::new(ErrorKind::OutcomeUnknown, message).with_executed(Executed::Yes))
}

impl Claim {
    /// Waits for a step of the run. Returns `None` when the run is repeatable and its caller
    /// disconnects first.
    pub(crate) async fn until_caller_disconnects<T>(
        &self,
        step: impl Future<Output = T>,
        disconnected: impl Future<Output = ()>,
    ) -> Option<T> {
        if self.at_most_once() {
            return Some(step.await);
        }
        tokio::select! {
            biased;
            done = step => Some(done),
            () = disconnected => None,
        }
    }

    /// Answers with a failure. An at-most-once request that may have run is never run again.
    pub(crate) async fn fail(self, failure: Failure, caller: oneshot::Sender<Answered>) {
        if self.at_most_once() && failure.executed() != Executed::No {
            let stored = outcome_unknown(&failure);
            let _ = caller.send(Err(failure));
            return self.store_answer(stored).await;
        }
        // Released first, so that a resend is not refused because the request still runs.
        self.release().await;
        let _ = caller.send(Err(failure));
    }
}

/// The bytes of a stream, recorded while they do not exceed the largest stored body.
#[derive(Default)]
pub(crate) struct StreamRecord {
    bytes: Vec<u8>,
    too_long: bool,
}

impl StreamRecord {
    /// Adds a piece.
    pub(crate) fn add(&mut self, bytes: &[u8]) {
        self.too_long |= self.bytes.len() + bytes.len() > MAX_STORED_BYTES;
        if self.too_long {
            self.bytes = Vec::new();
        } else {
            self.bytes.extend_from_slice(bytes);
        }
    }

    /// The answer to store.
    pub(crate) fn answer(self) -> StoredAnswer {
        if self.too_long {
            return too_long();
        }
        StoredAnswer {
            status: StatusCode::OK.as_u16(),
            content_type: EVENT_STREAM.to_owned(),
            body: self.bytes,
        }
    }
}
