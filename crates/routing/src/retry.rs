//! Rules for retries after a failed attempt, and the retry budget.

use linnethitch_config::fleet::RoutingPolicy;
use linnethitch_errors::{ErrorKind, Executed};
use linnethitch_protocol::ids::Timestamp;

use crate::reason::ReasonCode;

/// Initial balance in retries. The balance also refills over time up to this number, so that a
/// gateway with few requests can retry.
const RESERVE_RETRIES: u32 = 10;

/// Maximum number of retries that can accumulate.
const MAX_RETRIES: u32 = 100;

/// Balance units per retry; each request deposits `retry_budget_percent` units.
const RETRY_COST: u32 = 100;

/// The reserve is refilled by one retry per this interval, in milliseconds.
const RESERVE_REFILL_INTERVAL_MS: u64 = 1_000;

/// Minimum time to the deadline for another attempt, in milliseconds.
const MIN_REMAINING_MS: u64 = 20;

/// Limits retries to a share of the requests, so that failures do not multiply the load.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    balance: u32,
    deposit: u32,
    reserve_refilled_at: Timestamp,
}

impl RetryBudget {
    /// A budget with the limits of the given policy.
    #[must_use]
    pub fn new(now: Timestamp, policy: &RoutingPolicy) -> Self {
        RetryBudget {
            balance: RESERVE_RETRIES * RETRY_COST,
            deposit: policy.retry_budget_percent,
            reserve_refilled_at: now,
        }
    }

    /// Applies the policy of a new configuration.
    pub fn set_policy(&mut self, policy: &RoutingPolicy) {
        self.deposit = policy.retry_budget_percent;
    }

    /// Records the first attempt of a request.
    pub fn on_request(&mut self) {
        self.balance = (self.balance + self.deposit).min(MAX_RETRIES * RETRY_COST);
    }

    /// Takes one retry from the budget; `false` if the budget is used up.
    pub fn try_take(&mut self, now: Timestamp) -> bool {
        self.refill_reserve(now);
        let allowed = self.balance >= RETRY_COST;
        if allowed {
            self.balance -= RETRY_COST;
        }
        allowed
    }

    /// Number of complete retries remaining.
    #[must_use]
    pub fn remaining(&self) -> u32 {
        self.balance / RETRY_COST
    }

    fn refill_reserve(&mut self, now: Timestamp) {
        let intervals =
            now.0.saturating_sub(self.reserve_refilled_at.0) / RESERVE_REFILL_INTERVAL_MS;
        if intervals == 0 {
            return;
        }
        self.reserve_refilled_at =
            Timestamp(self.reserve_refilled_at.0 + intervals * RESERVE_REFILL_INTERVAL_MS);
        if self.deposit == 0 {
            return;
        }
        let reserve = RESERVE_RETRIES * RETRY_COST;
        let added = (intervals.min(u64::from(RESERVE_RETRIES)) as u32) * RETRY_COST;
        if self.balance < reserve {
            self.balance = (self.balance + added).min(reserve);
        }
    }
}

/// What was sent to the back end before the attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Sent {
    /// No bytes.
    Nothing,
    /// At least one byte.
    Some,
}

/// How the attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptFailure {
    /// The connection could not be made.
    Unreachable,
    /// The back end reported that it rejected the request before starting it (full, leaving or not
    /// serving the target).
    RefusedUnstarted,
    /// The connection closed.
    Disconnected,
    /// No response, or no further token, in time.
    TimedOut,
    /// The response violated the protocol.
    BadProtocol,
    /// A server error that does not prove that the request was not started.
    ServerError,
    /// The back end rejected the request as invalid.
    CallerError,
}

/// Which part of the answer the caller has received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Delivered {
    /// Nothing.
    Nothing,
    /// Tokens of a stream that can be resumed.
    Resumable,
    /// Bytes of an answer that cannot be resumed.
    NotResumable,
}

/// A failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// What was sent to the back end.
    pub sent: Sent,
    /// Whether the request must run at most once.
    pub at_most_once: bool,
    /// How the attempt failed.
    pub failure: AttemptFailure,
    /// Which part of the answer the caller has received.
    pub delivered: Delivered,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send the request again to another back end.
    Retry(ReasonCode),
    /// Resume the request at another back end after the tokens delivered so far.
    Resume(ReasonCode),
    /// Return this error to the caller.
    Answer {
        /// The error kind.
        kind: ErrorKind,
        /// Whether the request was executed, if known.
        executed: Executed,
        /// Why the request is not retried.
        reason: ReasonCode,
    },
}

impl FailedAttempt {
    /// Whether it is certain that no back end started the request.
    #[must_use]
    pub fn unstarted(&self) -> bool {
        self.delivered == Delivered::Nothing
            && (self.sent == Sent::Nothing
                || matches!(
                    self.failure,
                    AttemptFailure::Unreachable | AttemptFailure::RefusedUnstarted
                ))
    }

    /// The decision by the rules alone, before attempts, deadline and budget are checked.
    #[must_use]
    pub fn allowed(&self) -> RetryDecision {
        if self.failure == AttemptFailure::CallerError {
            return self.answer(ReasonCode::FinalAnswer);
        }
        if self.unstarted() {
            return RetryDecision::Retry(ReasonCode::RetriedUnstarted);
        }
        if self.at_most_once {
            return self.answer(ReasonCode::AtMostOnce);
        }
        match self.delivered {
            Delivered::Nothing => RetryDecision::Retry(ReasonCode::RetriedRepeatable),
            Delivered::Resumable => RetryDecision::Resume(ReasonCode::ResumedElsewhere),
            Delivered::NotResumable => self.answer(ReasonCode::PartlyDelivered),
        }
    }

    /// The final error, with the given reason.
    #[must_use]
    pub fn answer(&self, reason: ReasonCode) -> RetryDecision {
        let executed = if self.unstarted() {
            Executed::No
        } else {
            Executed::Unknown
        };
        RetryDecision::Answer {
            kind: self.kind(executed),
            executed,
            reason,
        }
    }

    fn kind(&self, executed: Executed) -> ErrorKind {
        if self.failure == AttemptFailure::CallerError {
            return ErrorKind::InvalidValue;
        }
        if executed == Executed::No {
            return ErrorKind::NoBackEnd;
        }
        if self.at_most_once {
            return ErrorKind::OutcomeUnknown;
        }
        match (self.delivered, self.failure) {
            (Delivered::Nothing, AttemptFailure::TimedOut) => ErrorKind::DeadlineExceeded,
            (Delivered::Nothing, AttemptFailure::BadProtocol) => ErrorKind::BackEndProtocol,
            (Delivered::Nothing, _) => ErrorKind::BackEndFailed,
            _ => ErrorKind::StreamBroken,
        }
    }
}

/// Decides how to proceed after a failed attempt: first by the rules, then by attempts, deadline
/// and budget.
///
/// A retry is taken from the budget only if all other checks allow it.
pub fn after_failure(
    now: Timestamp,
    attempt: &FailedAttempt,
    attempts_made: u32,
    deadline: Timestamp,
    policy: &RoutingPolicy,
    budget: &mut RetryBudget,
) -> RetryDecision {
    let next = attempt.allowed();
    if matches!(next, RetryDecision::Answer { .. }) {
        return next;
    }
    if attempts_made >= policy.max_attempts {
        return attempt.answer(ReasonCode::AttemptsUsedUp);
    }
    if deadline.0.saturating_sub(now.0) < MIN_REMAINING_MS {
        return attempt.answer(ReasonCode::DeadlinePassed);
    }
    if !budget.try_take(now) {
        return attempt.answer(ReasonCode::RetryBudgetEmpty);
    }
    next
}
