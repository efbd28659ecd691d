//! The attempts of a generation: placement, retries and final failures.

use std::time::Duration;

use linnethitch_errors::{ErrorKind, Executed, Failure};
use linnethitch_protocol::ids::ReplicaId;
use linnethitch_routing::{
    ReasonCode,
    retry::{Delivered, FailedAttempt, RetryDecision, Sent},
};
use slog::info;

use super::{Attempt, Generation, Step};
use crate::{
    decisions::{Placement, routing_refused},
    engine::fault::AttemptFault,
};

/// When a caller may retry after a retryable failure for which the back end named no time.
pub(crate) const RETRY_AFTER: Duration = Duration::from_secs(1);

impl Generation {
    /// Places the request and opens a stream.
    pub(super) async fn open(&mut self) -> Result<Attempt, Step> {
        let placement = self.place().await?;
        let remaining = self.remaining_time()?;
        self.tried.push(placement.replica.clone());
        self.attempts += 1;
        let request = self
            .request
            .for_engine(&placement.address, remaining, &self.progress)
            .map_err(Step::Final)?;
        let limit = self.gateway.timeouts.first_token.min(remaining);
        let opened = self.gateway.open_stream(request, &placement, limit).await;
        let stream = match opened {
            Ok(stream) => stream,
            Err(fault) => return Err(Step::Fault(fault, Some(Box::new(placement)))),
        };
        self.started = true;
        Ok(Attempt {
            stream,
            placement,
            tokens_before: self.progress.tokens,
        })
    }

    /// Places the request on a replica. The first attempt goes through the queue, a retry does not.
    async fn place(&mut self) -> Result<Placement, Step> {
        let decisions = &self.gateway.decisions;
        let observer = &self.gateway.observer;
        let Some(fault) = &self.last_fault else {
            let admitted = decisions.admit(&self.routing_request, &self.permit).await;
            let now = self.gateway.clock().now();
            let admitted = admitted.map_err(|refused| {
                observer.refused(now, &self.subject, &refused);
                Step::Final(refused.failure)
            })?;
            observer.placed(now, &self.subject, &admitted.placement, admitted.waited_ms);
            return Ok(admitted.placement);
        };
        let other_software = self.replicas_of_other_software();
        let tried_or_other = [self.tried.as_slice(), other_software.as_slice()].concat();
        let other_replica = decisions.choose_again(&self.routing_request, &tried_or_other);
        let placed = match other_replica {
            // When no other replica is available, one whose stream broke may complete the request.
            Err(_) if !fault.not_started() => {
                decisions.choose_again(&self.routing_request, &other_software)
            }
            placed => placed,
        };
        let placed = placed.map_err(|refusal| {
            let refused = routing_refused(&refusal);
            let attempt = self.failed_attempt(fault);
            Step::Final(match attempt.answer(refusal.reason) {
                RetryDecision::Answer { kind, executed, .. } => {
                    self.final_failure(kind, executed, fault)
                }
                _ => refused.failure,
            })
        })?;
        let now = self.gateway.clock().now();
        observer.placed(now, &self.subject, &placed, None);
        Ok(placed)
    }

    /// Replicas that cannot continue the tokens received so far.
    fn replicas_of_other_software(&self) -> Vec<ReplicaId> {
        let software = self.progress.software.as_deref();
        software.map_or_else(Vec::new, |software| {
            self.gateway.engine_software.others(software)
        })
    }

    fn failed_attempt(&self, fault: &AttemptFault) -> FailedAttempt {
        FailedAttempt {
            sent: match fault {
                AttemptFault::Connect(_) => Sent::Nothing,
                _ => Sent::Some,
            },
            at_most_once: self.request.at_most_once,
            failure: fault.as_attempt_failure(),
            delivered: match (self.progress.tokens, self.progress.not_resumable) {
                (0, _) => Delivered::Nothing,
                (_, false) => Delivered::Resumable,
                (_, true) => Delivered::NotResumable,
            },
        }
    }

    /// Decides whether another attempt follows. An error is final.
    pub(super) fn after_fault(
        &mut self,
        fault: AttemptFault,
        placement: Option<Box<Placement>>,
    ) -> Result<(), Failure> {
        let replica = placement
            .as_ref()
            .map(|placement| placement.replica.to_string());
        let ejected = placement.and_then(|placement| self.gateway.record_fault(*placement, &fault));
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
            RetryDecision::Retry(_) | RetryDecision::Resume(_) => {
                self.last_fault = Some(fault);
                Ok(())
            }
            RetryDecision::Answer { kind, executed, .. } => {
                Err(self.final_failure(kind, executed, &fault))
            }
        }
    }

    fn final_failure(&self, kind: ErrorKind, executed: Executed, fault: &AttemptFault) -> Failure {
        if let AttemptFault::Rejected { status, message } = fault {
            return rejected(*status, message);
        }
        // A hung engine is reported as a back-end failure, not as the caller's deadline. An
        // earlier attempt may have run although the last one did not start.
        let hung =
            matches!(fault, AttemptFault::TimedOut(_)) && kind == ErrorKind::DeadlineExceeded;
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

pub(crate) fn reason_of(next: &RetryDecision) -> ReasonCode {
    match next {
        RetryDecision::Retry(reason)
        | RetryDecision::Resume(reason)
        | RetryDecision::Answer { reason, .. } => *reason,
    }
}

/// The failure of a request that an engine rejected as invalid; the caller has to change it.
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
