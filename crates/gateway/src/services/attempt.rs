//! Sends a request to a replica and retries on other replicas where a retry is safe.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use linnethitch_errors::{ErrorKind, Executed, Failure};
use linnethitch_protocol::ids::{ReplicaId, RequestId};
use linnethitch_routing::retry::{Delivered, FailedAttempt, RetryDecision, Sent};
use slog::info;

use crate::{
    decisions::{Placement, RoutingRequest, TenantPermit, routing_refused},
    engine::{
        client::{header_is, load_report, refused_before_start},
        fault::AttemptFault,
    },
    observe::RequestSubject,
    online::generation::{RETRY_AFTER, reason_of},
    state::Gateway,
};

/// A request to a service.
pub(super) struct ServiceRequest {
    pub(super) id: RequestId,
    pub(super) method: Method,
    /// Path and query of the request to the replica.
    pub(super) path: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// Whether the request may be sent again after a replica may have started it.
    pub(super) repeatable: bool,
    pub(super) at_most_once: bool,
    pub(super) wanted: RoutingRequest,
}

/// A request and the state of its attempts.
pub(super) struct ServiceCall {
    pub(super) gateway: Arc<Gateway>,
    pub(super) request: ServiceRequest,
    pub(super) pass: TenantPermit,
    subject: RequestSubject,
    tried: Vec<ReplicaId>,
    attempts: u32,
    started: bool,
}

/// A replica's response whose body has not been read.
pub(super) struct ServiceAnswer {
    pub(super) placement: Placement,
    pub(super) response: Response<Incoming>,
}

impl ServiceCall {
    pub(super) fn new(gateway: Arc<Gateway>, request: ServiceRequest, pass: TenantPermit) -> Self {
        ServiceCall {
            subject: RequestSubject {
                request: request.id.clone(),
                tenant: pass.owner.clone(),
            },
            gateway,
            request,
            pass,
            tried: Vec::new(),
            attempts: 0,
            started: false,
        }
    }

    /// Sends the request until a replica responds or no further attempt is allowed.
    pub(super) async fn send(&mut self) -> Result<ServiceAnswer, Failure> {
        let sent = self.send_with_retries().await;
        let now = self.gateway.clock().now();
        let observer = &self.gateway.observer;
        match &sent {
            Ok(answer) => {
                let outcome = format!("status {}", answer.response.status().as_u16());
                observer.finished(now, &self.subject, outcome);
            }
            Err(failure) => observer.failed(now, &self.subject, failure),
        }
        sent
    }

    async fn send_with_retries(&mut self) -> Result<ServiceAnswer, Failure> {
        let mut placement = self.admit().await?;
        loop {
            self.attempts += 1;
            self.tried.push(placement.replica.clone());
            let fault = match self.attempt(&placement).await {
                Ok(response) => {
                    return Ok(ServiceAnswer {
                        placement,
                        response,
                    });
                }
                Err(fault) => fault,
            };
            placement = self.handle_fault(placement, &fault)?;
        }
    }

    async fn admit(&self) -> Result<Placement, Failure> {
        let wanted = Arc::new(self.request.wanted.clone());
        let admitted = self.gateway.decisions.admit(&wanted, &self.pass).await;
        let now = self.gateway.clock().now();
        let observer = &self.gateway.observer;
        let admitted = admitted.map_err(|refused| {
            observer.refused(now, &self.subject, &refused);
            refused.failure
        })?;
        let placement = admitted.placement;
        observer.placed(now, &self.subject, &placement, admitted.waited_ms);
        Ok(placement)
    }

    async fn attempt(&mut self, placement: &Placement) -> Result<Response<Incoming>, AttemptFault> {
        let limit = self.gateway.clock().until(self.request.wanted.deadline);
        let message = self.message(placement)?;
        let sent = tokio::time::timeout(limit, self.gateway.back_ends.send(message)).await;
        let response = sent.map_err(|_| AttemptFault::TimedOut(limit))??;
        let decisions = &self.gateway.decisions;
        let headers = response.headers();
        if let Some(load) = load_report(headers, "x-application-load") {
            decisions.on_observed_load(&placement.replica, load);
        }
        let leaving = header_is(headers, "x-application-leaving", "yes");
        if leaving {
            let now = self.gateway.clock().now();
            self.gateway
                .observer
                .leaving(now, placement.replica.as_str());
            decisions.on_leaving(&placement.replica);
        }
        if header_is(headers, "x-application-started", "no") {
            return Err(refused_before_start(response, leaving).await);
        }
        self.started = true;
        Ok(response)
    }

    fn message(&self, placement: &Placement) -> Result<Request<Full<Bytes>>, AttemptFault> {
        let mut builder = Request::builder()
            .method(self.request.method.clone())
            .uri(format!("http://{}{}", placement.address, self.request.path));
        if let Some(headers) = builder.headers_mut() {
            headers.clone_from(&self.request.headers);
            let remaining = self.gateway.clock().until(self.request.wanted.deadline);
            let remaining_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
            headers.insert("x-deadline-ms", HeaderValue::from(remaining_ms));
        }
        builder
            .body(Full::new(self.request.body.clone()))
            .map_err(|error| AttemptFault::Connect(error.to_string()))
    }

    /// Records a failed attempt; returns the placement of the next attempt or the final failure.
    fn handle_fault(
        &mut self,
        placement: Placement,
        fault: &AttemptFault,
    ) -> Result<Placement, Failure> {
        let decisions = &self.gateway.decisions;
        let replica = placement.replica.to_string();
        self.gateway.record_fault(placement, fault);
        self.started |= !fault.not_started();
        let attempt = FailedAttempt {
            sent: match fault {
                AttemptFault::Connect(_) => Sent::Nothing,
                _ => Sent::Some,
            },
            at_most_once: !self.request.repeatable || self.request.at_most_once,
            failure: fault.as_attempt_failure(),
            delivered: Delivered::Nothing,
        };
        let deadline = self.request.wanted.deadline;
        let next = decisions.after_failure(&attempt, self.attempts, deadline);
        info!(self.gateway.logger, "attempt failed";
            "request" => %self.request.id, "replica" => &replica, "fault" => %fault);
        let now = self.gateway.clock().now();
        let observer = &self.gateway.observer;
        let reason = reason_of(&next);
        observer.attempt_failed(now, &self.subject, &replica, reason, &fault.to_string());
        if let RetryDecision::Answer { kind, executed, .. } = next {
            return Err(self.final_failure(kind, executed, fault));
        }
        let placement = decisions
            .choose_again(&self.request.wanted, &self.tried)
            .map_err(|none| match attempt.answer(none.reason) {
                RetryDecision::Answer { kind, executed, .. } => {
                    self.final_failure(kind, executed, fault)
                }
                _ => routing_refused(&none).failure,
            })?;
        observer.placed(now, &self.subject, &placement, None);
        Ok(placement)
    }

    /// The failure for the caller after the last attempt. An earlier attempt may have run even if
    /// the last attempt did not.
    pub(super) fn final_failure(
        &self,
        kind: ErrorKind,
        executed: Executed,
        fault: &AttemptFault,
    ) -> Failure {
        let executed = if self.started {
            Executed::Unknown
        } else {
            executed
        };
        let kind = match (kind, executed, fault) {
            (_, Executed::No, _) => kind,
            _ if self.request.at_most_once => ErrorKind::OutcomeUnknown,
            (_, _, AttemptFault::TimedOut(_)) => ErrorKind::DeadlineExceeded,
            _ => ErrorKind::BackEndFailed,
        };
        let message = format!("no replica completed the request; the last attempt: {fault}");
        let failure = Failure::new(kind, message).with_executed(executed);
        if kind.answer().retryable {
            return failure.with_retry_after(fault.retry_after().unwrap_or(RETRY_AFTER));
        }
        failure
    }
}
