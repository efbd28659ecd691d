//! One generation over as many attempts as it takes.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use linnethitch_errors::{ErrorKind, Executed, Failure};
use linnethitch_protocol::ids::{ReplicaId, Timestamp};
use linnethitch_routing::{
    ReasonCode,
    retry::{FailedAttempt, Next, Sent, Started},
};
use slog::info;

use crate::{
    decisions::{Placement, TenantPass, Wanted, no_choice},
    engine::{
        client::{EngineRequest, load_of, says},
        fault::AttemptFault,
        stream::{EngineStream, Progress, StreamEvent},
    },
    observe::{ONLINE, ReasonLabel, RequestSubject},
    online::request::CompletionRequest,
    state::Gateway,
};

/// When a caller should come back after a failure that a retry can help.
pub(crate) const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A running generation. Dropping it cancels the run at the engine.
pub(crate) struct Generation {
    gateway: Arc<Gateway>,
    pub(crate) request: CompletionRequest,
    pub(crate) progress: Progress,
    wanted: Arc<Wanted>,
    pass: TenantPass,
    attempt: Option<Attempt>,
    tried: Vec<ReplicaId>,
    attempts: u32,
    /// Whether any attempt may have run.
    started: bool,
    subject: RequestSubject,
    began: Instant,
    /// Whether the caller has got, or is being told, the end of it.
    ended: bool,
    deadline: Timestamp,
    /// How the last attempt failed.
    last_fault: Option<AttemptFault>,
    /// The first event, read before the answer's status was decided.
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
    /// Starts a generation and waits for its first event, so that a failure before it
    /// can still be answered with a status of its own.
    pub(crate) async fn start(
        gateway: Arc<Gateway>,
        request: CompletionRequest,
        pass: TenantPass,
    ) -> Result<Self, Failure> {
        let running = &gateway.observer.metrics.running;
        running.get_or_create(&ONLINE).inc();
        let mut generation = Generation {
            subject: RequestSubject {
                request: request.id.clone(),
                tenant: pass.owner.clone(),
            },
            began: Instant::now(),
            ended: false,
            deadline: request.deadline,
            wanted: Arc::new(request.wanted()),
            gateway,
            request,
            pass,
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

    /// The next event of the answer.
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
            None => observer.finished(now, &self.subject, self.told_tokens()),
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

    /// Whether everything that the caller asked for has come.
    fn is_complete(&self) -> bool {
        let usage_due = self.request.stream && self.request.include_usage;
        self.progress.finish_reason.is_some() && (!usage_due || self.progress.usage.is_some())
    }

    fn told_tokens(&self) -> String {
        format!("{} tokens", self.progress.tokens)
    }

    /// Opens an attempt if there is none, and reads one event of it.
    async fn receive_once(&mut self) -> Result<StreamEvent, Step> {
        let mut attempt = match self.attempt.take() {
            Some(attempt) => attempt,
            None => self.open().await?,
        };
        let left = self.time_left()?;
        let timeouts = self.gateway.timeouts;
        let first = self.progress.tokens == attempt.tokens_before;
        let limit = if first {
            timeouts.first_token
        } else {
            timeouts.between_tokens
        };
        let event = attempt
            .stream
            .next(&mut self.progress, limit.min(left))
            .await;
        self.pass.used_tokens = self
            .wanted
            .prompt_tokens
            .saturating_add(self.progress.tokens);
        match event {
            Err(AttemptFault::Hung(_)) if left <= limit => Err(self.out_of_time()),
            Err(fault) if self.is_complete() => {
                // Only the end of the stream is missing.
                self.gateway.learn(attempt.placement, &fault);
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
        let seconds = self.began.elapsed().as_secs_f64();
        let metrics = &self.gateway.observer.metrics;
        metrics
            .first_token_seconds
            .get_or_create(&ONLINE)
            .observe(seconds);
    }

    fn time_left(&self) -> Result<Duration, Step> {
        let left = self.gateway.clock().until(self.deadline);
        if left.is_zero() {
            Err(self.out_of_time())
        } else {
            Ok(left)
        }
    }

    fn out_of_time(&self) -> Step {
        let kind = if self.started {
            ErrorKind::DeadlineExceeded
        } else {
            ErrorKind::DeadlineBeforeStart
        };
        Step::Final(Failure::new(kind, "the request's deadline passed"))
    }

    async fn open(&mut self) -> Result<Attempt, Step> {
        let placement = self.place().await?;
        let left = self.time_left()?;
        self.tried.push(placement.replica.clone());
        self.attempts += 1;
        let request = EngineRequest {
            address: placement.address.clone(),
            path: self.request.kind.path(),
            id: self.request.id.0.clone(),
            priority: self.request.priority,
            deadline: left,
            body: self
                .request
                .engine_body(&self.progress)
                .map_err(Step::Final)?,
        };
        let limit = self.gateway.timeouts.first_token.min(left);
        let sent = tokio::time::timeout(limit, self.gateway.back_ends.generate(request)).await;
        let response = match sent {
            Ok(Ok(response)) => response,
            Ok(Err(fault)) => return Err(Step::Fault(fault, Some(Box::new(placement)))),
            Err(_) => {
                return Err(Step::Fault(
                    AttemptFault::Hung(limit),
                    Some(Box::new(placement)),
                ));
            }
        };
        self.started = true;
        let decisions = &self.gateway.decisions;
        if let Some(load) = load_of(response.headers(), "x-engine-load") {
            decisions.on_seen_load(&placement.replica, load);
        }
        if says(response.headers(), "x-engine-leaving", "yes") {
            decisions.on_leaving(&placement.replica);
        }
        Ok(Attempt {
            stream: EngineStream::new(response, self.request.id.0.clone()),
            placement,
            tokens_before: self.progress.tokens,
        })
    }

    /// A place at a replica: through the queue at first, at once when trying again.
    async fn place(&mut self) -> Result<Placement, Step> {
        let decisions = &self.gateway.decisions;
        let observer = &self.gateway.observer;
        let Some(fault) = &self.last_fault else {
            let admitted = decisions.admit(&self.wanted, &self.pass).await;
            let now = self.gateway.clock().now();
            let admitted = admitted.map_err(|refused| {
                observer.refused(now, &self.subject, &refused);
                Step::Final(refused.failure)
            })?;
            observer.placed(now, &self.subject, &admitted.placement, admitted.waited_ms);
            return Ok(admitted.placement);
        };
        let elsewhere = decisions.choose_again(&self.wanted, &self.tried);
        let placed = match elsewhere {
            // The only replica may well finish a stream that merely broke.
            Err(_) if !fault.not_started() => decisions.choose_again(&self.wanted, &[]),
            placed => placed,
        };
        let placed = placed.map_err(|none| {
            let refused = no_choice(&none);
            let attempt = self.failed_attempt(fault);
            Step::Final(match attempt.answer(none.reason) {
                Next::Answer { kind, executed, .. } => self.final_failure(kind, executed, fault),
                _ => refused.failure,
            })
        })?;
        let now = self.gateway.clock().now();
        observer.placed(now, &self.subject, &placed, None);
        Ok(placed)
    }

    fn failed_attempt(&self, fault: &AttemptFault) -> FailedAttempt {
        FailedAttempt {
            sent: match fault {
                AttemptFault::Connect(_) => Sent::Nothing,
                _ => Sent::Some,
            },
            at_most_once: self.request.at_most_once,
            failure: fault.as_attempt_failure(),
            started: match (self.progress.tokens, self.progress.not_resumable) {
                (0, _) => Started::Nothing,
                (_, false) => Started::Resumable,
                (_, true) => Started::NotResumable,
            },
        }
    }

    /// Decides whether another attempt may follow; an error is final.
    fn after_fault(
        &mut self,
        fault: AttemptFault,
        placement: Option<Box<Placement>>,
    ) -> Result<(), Failure> {
        let replica = placement
            .as_ref()
            .map(|placement| placement.replica.to_string());
        let ejected = placement.and_then(|placement| self.gateway.learn(*placement, &fault));
        self.started |= !fault.not_started();
        let attempt = self.failed_attempt(&fault);
        let next = self
            .gateway
            .decisions
            .after_failure(&attempt, self.attempts, self.deadline);
        info!(self.gateway.logger, "attempt failed";
            "request" => %self.request.id,
            "replica" => &replica,
            "tokens" => self.progress.tokens,
            "ejected" => ejected.map(ReasonCode::as_str),
            "reason" => reason_of(&next).as_str(),
            "fault" => %fault);
        self.gateway.observer.attempt_failed(
            self.gateway.clock().now(),
            &self.subject,
            replica.as_deref().unwrap_or_default(),
            reason_of(&next),
            &fault.to_string(),
        );
        match next {
            Next::Retry(_) | Next::Resume(_) => {
                self.last_fault = Some(fault);
                Ok(())
            }
            Next::Answer { kind, executed, .. } => Err(self.final_failure(kind, executed, &fault)),
        }
    }

    fn final_failure(&self, kind: ErrorKind, executed: Executed, fault: &AttemptFault) -> Failure {
        if let AttemptFault::Rejected { status, message } = fault {
            return rejected(*status, message);
        }
        // A hung engine is not the caller's deadline, and an earlier attempt may have run
        // although the last one did not.
        let hung = matches!(fault, AttemptFault::Hung(_)) && kind == ErrorKind::DeadlineExceeded;
        let (kind, executed) = if hung {
            (ErrorKind::BackEndFailed, executed)
        } else if self.started && executed == Executed::No {
            (ErrorKind::BackEndFailed, Executed::Unknown)
        } else {
            (kind, executed)
        };
        let message = match kind {
            ErrorKind::OutcomeUnknown => {
                format!("the request was sent to a back end and is not sent again: {fault}")
            }
            _ => format!("no back end completed the request; the last attempt: {fault}"),
        };
        let failure = Failure::new(kind, message).with_executed(executed);
        if !kind.answer().retryable {
            return failure;
        }
        failure.with_retry_after(fault.retry_after().unwrap_or(RETRY_AFTER))
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
            observer.caller_gone(now, &self.subject, self.told_tokens());
        }
    }
}

pub(crate) fn reason_of(next: &Next) -> ReasonCode {
    match next {
        Next::Retry(reason) | Next::Resume(reason) | Next::Answer { reason, .. } => *reason,
    }
}

/// An engine found the request itself wrong: the caller has to change it.
pub(crate) fn rejected(status: u16, message: &str) -> Failure {
    let kind = match status {
        404 => ErrorKind::UnknownModel,
        413 => ErrorKind::BodyTooLarge,
        _ => ErrorKind::InvalidValue,
    };
    Failure::new(
        kind,
        format!("the back end rejected the request: {message}"),
    )
}
