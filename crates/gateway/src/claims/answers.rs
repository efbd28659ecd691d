//! Answers that are kept under a key, and how a claimed run ends.

use std::future::Future;

use gotham::helpers::http::Body;
use http::{HeaderValue, Response, StatusCode, header};
use linnethitch_errors::{ErrorKind, Executed, Failure};
use linnethitch_protocol::query::KeptAnswer;
use tokio::sync::oneshot;

use crate::{
    claims::Claim,
    http::answer::{EXECUTED_HEADER, bytes_response},
};

/// Largest body that is kept, in bytes.
pub(crate) const MAX_STORED_BYTES: usize = 8 * 1024 * 1024;
/// Header of an answer that was kept from an earlier run.
const REPLAYED_HEADER: &str = "linnethitch-replayed";
const EVENT_STREAM: &str = "text/event-stream";

/// What a caller is answered.
pub(crate) type Answered = Result<Response<Body>, Failure>;

/// The answer of an earlier run.
pub(crate) fn replay(kept: KeptAnswer) -> Response<Body> {
    let status = StatusCode::from_u16(kept.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let content_type = HeaderValue::from_str(&kept.content_type)
        .unwrap_or(HeaderValue::from_static("application/json"));
    let unknown = is_unknown_outcome(&kept);
    let mut response = bytes_response(status, content_type, kept.body);
    let headers = response.headers_mut();
    headers.insert(REPLAYED_HEADER, HeaderValue::from_static("yes"));
    if unknown {
        let executed = HeaderValue::from_static(Executed::Unknown.as_str());
        headers.insert(EXECUTED_HEADER, executed);
        headers.insert("x-should-retry", HeaderValue::from_static("false"));
    }
    if kept.content_type == EVENT_STREAM {
        headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    }
    response
}

/// Content type of kept failures; tells them from an application's own answers.
const KEPT_FAILURE_TYPE: &str = "application/json; profile=linnethitch-error";

fn is_unknown_outcome(kept: &KeptAnswer) -> bool {
    kept.content_type == KEPT_FAILURE_TYPE
}

fn kept_failure(failure: &Failure) -> KeptAnswer {
    KeptAnswer {
        status: failure.kind.answer().status,
        content_type: KEPT_FAILURE_TYPE.to_owned(),
        body: failure.body().to_string().into_bytes(),
    }
}

/// What a resend gets after an at-most-once run whose outcome nobody knows.
pub(crate) fn outcome_unknown(failure: &Failure) -> KeptAnswer {
    let message = format!(
        "the request was started and is not run again: {}",
        failure.message
    );
    kept_failure(&Failure::new(ErrorKind::OutcomeUnknown, message))
}

/// What a resend gets after an answer that was too long to be kept.
pub(crate) fn too_long() -> KeptAnswer {
    let message = "the request ran; its answer was given once and was too long to be kept";
    kept_failure(&Failure::new(ErrorKind::OutcomeUnknown, message).with_executed(Executed::Yes))
}

impl Claim {
    /// Waits for a step of the run. A repeatable run is given up when its caller goes away.
    pub(crate) async fn until_caller_disconnects<T>(
        &self,
        step: impl Future<Output = T>,
        gone: impl Future<Output = ()>,
    ) -> Option<T> {
        if self.at_most_once() {
            return Some(step.await);
        }
        tokio::select! {
            biased;
            done = step => Some(done),
            () = gone => None,
        }
    }

    /// Answers with a failure. What an at-most-once request may have done is never repeated.
    pub(crate) async fn fail(self, failure: Failure, caller: oneshot::Sender<Answered>) {
        if self.at_most_once() && failure.executed() != Executed::No {
            let kept = outcome_unknown(&failure);
            let _ = caller.send(Err(failure));
            return self.store_answer(kept).await;
        }
        // Freed first, so that a resend is not told that the request still runs.
        self.release().await;
        let _ = caller.send(Err(failure));
    }
}

/// The bytes of a stream, as long as they are few enough to be kept.
#[derive(Default)]
pub(crate) struct Record {
    bytes: Vec<u8>,
    too_long: bool,
}

impl Record {
    /// Adds a piece.
    pub(crate) fn add(&mut self, bytes: &[u8]) {
        self.too_long |= self.bytes.len() + bytes.len() > MAX_STORED_BYTES;
        if self.too_long {
            self.bytes = Vec::new();
        } else {
            self.bytes.extend_from_slice(bytes);
        }
    }

    /// The answer that is kept of it.
    pub(crate) fn answer(self) -> KeptAnswer {
        if self.too_long {
            return too_long();
        }
        KeptAnswer {
            status: StatusCode::OK.as_u16(),
            content_type: EVENT_STREAM.to_owned(),
            body: self.bytes,
        }
    }
}
