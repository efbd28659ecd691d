//! One generation, over one or more attempts.

mod attempts;

use std::{sync::Arc, time::Duration};

use linnethitch_clock::Instant;
use linnethitch_errors::{ErrorKind, Failure};
use linnethitch_protocol::ids::{ReplicaId, Timestamp};

use crate::{
    decisions::{Placement, RoutingRequest, TenantPermit},
    engine::{
        fault::AttemptFault,
        stream::{EngineStream, Progress, StreamEvent},
    },
    observe::{ONLINE, ReasonLabel, RequestSubject},
    online::request::CompletionRequest,
    state::Gateway,
};

pub(crate) use attempts::{RETRY_AFTER, reason_of, rejected};

/// A running generation. Dropping it cancels the run at the engine.
pub(crate) struct Generation {
    gateway: Arc<Gateway>,
    pub(crate) request: CompletionRequest,
    pub(crate) progress: Progress,
    routing_request: Arc<RoutingRequest>,
    permit: TenantPermit,
    attempt: Option<Attempt>,
    tried: Vec<ReplicaId>,
    attempts: u32,
    /// Whether any attempt may have run.
    started: bool,
    subject: RequestSubject,
    started_at: Instant,
    /// Whether the end of the generation was returned. A drop before that counts as a disconnect of
    /// the caller.
    ended: bool,
    deadline: Timestamp,
    /// How the last attempt failed.
    last_fault: Option<AttemptFault>,
    /// The first event, read before the status of the answer was decided.
    first: Option<StreamEvent>,
}

struct Attempt {
    placement: Placement,
    stream: EngineStream,
    tokens_before: u32,
}

enum Step {
    /// The attempt failed; another may follow.
    Fault(AttemptFault, Option<Box<Placement>>),
    /// The request failed.
    Final(Failure),
}

impl Generation {
    /// Starts a generation and waits for its first event, so that a failure before that event
    /// is answered with its own status.
    pub(crate) async fn start(
        gateway: Arc<Gateway>,
        request: CompletionRequest,
        permit: TenantPermit,
    ) -> Result<Self, Failure> {
        let running = &gateway.observer.metrics.running;
        running.get_or_create(&ONLINE).inc();
        let mut generation = Generation {
            subject: RequestSubject {
                request: request.id.clone(),
                tenant: permit.owner.clone(),
            },
            started_at: Instant::now(),
            ended: false,
            deadline: request.deadline,
            routing_request: Arc::new(request.routing_request()),
            gateway,
            request,
            permit,
            progress: Progress::default(),
            attempt: None,
            tried: Vec::new(),
            attempts: 0,
            started: false,
            last_fault: None,
            first: None,
        };
        let first = generation.receive().await?;
        generation.first = Some(first);
        Ok(generation)
    }

    /// Returns the next event of the answer.
    pub(crate) async fn next(&mut self) -> Result<StreamEvent, Failure> {
        match self.first.take() {
            Some(event) => Ok(event),
            None => self.receive().await,
        }
    }

    async fn receive(&mut self) -> Result<StreamEvent, Failure> {
        let received = self.receive_with_retries().await;
        if matches!(received, Ok(StreamEvent::Done) | Err(_)) {
            self.ended = true;
            self.record_end(received.as_ref().err());
        }
        received
    }

    fn record_end(&self, failure: Option<&Failure>) {
        let now = self.gateway.clock().now();
        let observer = &self.gateway.observer;
        match failure {
            None => observer.finished(now, &self.subject, self.token_count_text()),
            Some(failure) => observer.failed(now, &self.subject, failure),
        }
    }

    async fn receive_with_retries(&mut self) -> Result<StreamEvent, Failure> {
        loop {
            match self.receive_once().await {
                Ok(event) => return Ok(event),
                Err(Step::Fault(fault, placement)) => self.after_fault(fault, placement)?,
                Err(Step::Final(failure)) => return Err(failure),
            }
        }
    }

    /// Whether everything that the caller requested was received.
    fn is_complete(&self) -> bool {
        let usage_due = self.request.stream && self.request.include_usage;
        self.progress.finish_reason.is_some() && (!usage_due || self.progress.usage.is_some())
    }

    fn token_count_text(&self) -> String {
        format!("{} tokens", self.progress.tokens)
    }

    /// Opens an attempt if none is open, and reads one event from it.
    async fn receive_once(&mut self) -> Result<StreamEvent, Step> {
        let mut attempt = match self.attempt.take() {
            Some(attempt) => attempt,
            None => self.open().await?,
        };
        let remaining = self.remaining_time()?;
        let timeouts = self.gateway.timeouts;
        let first = self.progress.tokens == attempt.tokens_before;
        let limit = if first {
            timeouts.first_token
        } else {
            timeouts.between_tokens
        };
        let event = attempt
            .stream
            .next(&mut self.progress, limit.min(remaining))
            .await;
        self.permit.used_tokens = self
            .routing_request
            .prompt_tokens
            .saturating_add(self.progress.tokens);
        match event {
            Err(AttemptFault::TimedOut(_)) if remaining <= limit => Err(self.deadline_passed()),
            Err(fault) if self.is_complete() => {
                // Only the end of the stream was not received.
                self.gateway.record_fault(attempt.placement, &fault);
                Ok(StreamEvent::Done)
            }
            Err(fault) => Err(Step::Fault(fault, Some(Box::new(attempt.placement)))),
            Ok(StreamEvent::Done) => {
                attempt.placement.finished();
                Ok(StreamEvent::Done)
            }
            Ok(event) => {
                if matches!(event, StreamEvent::Token(_)) {
                    attempt.placement.on_token(first);
                    if first && attempt.tokens_before == 0 {
                        self.observe_first_token();
                    }
                }
                self.attempt = Some(attempt);
                Ok(event)
            }
        }
    }

    /// Counts an answer that ends with an error after its status was sent.
    pub(crate) fn count_broken(&self, failure: &Failure) {
        let metrics = &self.gateway.observer.metrics;
        let label = ReasonLabel {
            reason: failure.kind.answer().code,
        };
        metrics.broken_answers.get_or_create(&label).inc();
    }

    fn observe_first_token(&self) {
        let seconds = self.started_at.elapsed().as_secs_f64();
        let metrics = &self.gateway.observer.metrics;
        metrics
            .first_token_seconds
            .get_or_create(&ONLINE)
            .observe(seconds);
    }

    fn remaining_time(&self) -> Result<Duration, Step> {
        let remaining = self.gateway.clock().until(self.deadline);
        if remaining.is_zero() {
            Err(self.deadline_passed())
        } else {
            Ok(remaining)
        }
    }

    fn deadline_passed(&self) -> Step {
        let kind = if self.started {
            ErrorKind::DeadlineExceeded
        } else {
            ErrorKind::DeadlineBeforeStart
        };
        Step::Final(Failure::new(kind, "the request's deadline passed"))
    }
}

impl Drop for Generation {
    fn drop(&mut self) {
        let observer = &self.gateway.observer;
        let metrics = &observer.metrics;
        metrics.running.get_or_create(&ONLINE).dec();
        let tokens = u64::from(self.progress.tokens);
        metrics.tokens.get_or_create(&ONLINE).inc_by(tokens);
        if !self.ended {
            let now = self.gateway.clock().now();
            observer.caller_gone(now, &self.subject, self.token_count_text());
        }
    }
}
