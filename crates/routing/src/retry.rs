//! What may be tried again after a failed attempt, and how often.

use linnethitch_config::fleet::RoutingPolicy;
use linnethitch_errors::{ErrorKind, Executed};
use linnethitch_protocol::ids::Timestamp;

use crate::reason::ReasonCode;

/// Retries that are always allowed to collect, so that a quiet gateway can retry.
const MIN_RETRIES: u32 = 10;

/// Most retries that can collect.
const MAX_RETRIES: u32 = 100;

/// A retry costs this much of the balance; a request deposits its percentage.
const RETRY_COST: u32 = 100;

/// The reserve grows by one retry in this time, in milliseconds.
const RESERVE_MS: u64 = 1_000;

/// Least time to the deadline that makes another attempt worth it, in milliseconds.
const MIN_TIME_LEFT_MS: u64 = 20;

/// Bounds retries to a share of requests, so that failures never multiply load.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    balance: u32,
    deposit: u32,
    reserve_at: Timestamp,
}

impl RetryBudget {
    /// A budget by the given rules.
    #[must_use]
    pub fn new(now: Timestamp, policy: &RoutingPolicy) -> Self {
        RetryBudget {
            balance: MIN_RETRIES * RETRY_COST,
            deposit: policy.retry_budget_percent,
            reserve_at: now,
        }
    }

    /// Takes over the rules of a new configuration.
    pub fn set_policy(&mut self, policy: &RoutingPolicy) {
        self.deposit = policy.retry_budget_percent;
    }

    /// Counts a first attempt.
    pub fn on_request(&mut self) {
        self.balance = (self.balance + self.deposit).min(MAX_RETRIES * RETRY_COST);
    }

    /// Takes one retry, if there is one.
    pub fn try_take(&mut self, now: Timestamp) -> bool {
        self.grow_reserve(now);
        let allowed = self.balance >= RETRY_COST;
        if allowed {
            self.balance -= RETRY_COST;
        }
        allowed
    }

    /// Whole retries left.
    #[must_use]
    pub fn remaining(&self) -> u32 {
        self.balance / RETRY_COST
    }

    fn grow_reserve(&mut self, now: Timestamp) {
        let grown = now.0.saturating_sub(self.reserve_at.0) / RESERVE_MS;
        if grown == 0 {
            return;
        }
        self.reserve_at = Timestamp(self.reserve_at.0 + grown * RESERVE_MS);
        if self.deposit == 0 {
            return;
        }
        let reserve = MIN_RETRIES * RETRY_COST;
        let added = (grown.min(u64::from(MIN_RETRIES)) as u32) * RETRY_COST;
        if self.balance < reserve {
            self.balance = (self.balance + added).min(reserve);
        }
    }
}

/// What had gone to the back end when the attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Sent {
    /// Not a byte.
    Nothing,
    /// At least one byte.
    Some,
}

/// How the attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptFailure {
    /// No connection.
    Unreachable,
    /// The back end said that it refused before starting (full, leaving or not serving this).
    RefusedUnstarted,
    /// The connection ended.
    Disconnected,
    /// No answer or no next token in time.
    TimedOut,
    /// The answer was not the protocol's.
    BadProtocol,
    /// A server error without the proof that nothing delivered.
    ServerError,
    /// The back end refused the request as the caller's mistake.
    CallerError,
}

/// What of the answer the caller has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Delivered {
    /// Nothing.
    Nothing,
    /// Tokens of a stream that can be resumed after them.
    Resumable,
    /// Bytes of an answer that cannot be resumed.
    NotResumable,
}

/// A failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// What had gone to the back end.
    pub sent: Sent,
    /// Whether the request must run at most once.
    pub at_most_once: bool,
    /// How it failed.
    pub failure: AttemptFailure,
    /// What the caller has got.
    pub delivered: Delivered,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send the request again to another back end.
    Retry(ReasonCode),
    /// Send it again with the tokens delivered so far, to go on after them.
    Resume(ReasonCode),
    /// Give the caller this answer at once.
    Answer {
        /// The error kind.
        kind: ErrorKind,
        /// Whether the request ran, as far as is known.
        executed: Executed,
        /// Why it is not tried again.
        reason: ReasonCode,
    },
}

impl FailedAttempt {
    /// Whether it is proved that no back end started the request.
    #[must_use]
    pub fn unstarted(&self) -> bool {
        self.delivered == Delivered::Nothing
            && (self.sent == Sent::Nothing
                || matches!(
                    self.failure,
                    AttemptFailure::Unreachable | AttemptFailure::RefusedUnstarted
                ))
    }

    /// What the rules allow, before attempts, deadline and budget are asked.
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

    /// The final answer, given for this reason.
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

/// Decides what follows a failed attempt: the rules first, then attempts, deadline and budget.
///
/// A retry is taken from the budget only when everything else allows it.
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
    if deadline.0.saturating_sub(now.0) < MIN_TIME_LEFT_MS {
        return attempt.answer(ReasonCode::DeadlinePassed);
    }
    if !budget.try_take(now) {
        return attempt.answer(ReasonCode::RetryBudgetEmpty);
    }
    next
}
