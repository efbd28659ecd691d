//! The retry rules and the retry budget.

use linnethitch_config::fleet::RoutingPolicy;
use linnethitch_errors::{ErrorKind, Executed};
use linnethitch_routing::{
    ReasonCode, RetryBudget,
    retry::{
        AttemptFailure::{self, *},
        Delivered, FailedAttempt, RetryDecision, Sent, after_failure,
    },
};
use rstest::rstest;

use crate::fixture::{NOW, later};

fn retry_unstarted() -> RetryDecision {
    RetryDecision::Retry(ReasonCode::RetriedUnstarted)
}

fn retry_repeatable() -> RetryDecision {
    RetryDecision::Retry(ReasonCode::RetriedRepeatable)
}

fn resume() -> RetryDecision {
    RetryDecision::Resume(ReasonCode::ResumedElsewhere)
}

fn answer(kind: ErrorKind, executed: Executed, reason: ReasonCode) -> RetryDecision {
    RetryDecision::Answer {
        kind,
        executed,
        reason,
    }
}

fn unknown_outcome() -> RetryDecision {
    answer(
        ErrorKind::OutcomeUnknown,
        Executed::Unknown,
        ReasonCode::AtMostOnce,
    )
}

fn partly_delivered(kind: ErrorKind) -> RetryDecision {
    answer(kind, Executed::Unknown, ReasonCode::PartlyDelivered)
}

fn final_answer(executed: Executed) -> RetryDecision {
    answer(ErrorKind::InvalidValue, executed, ReasonCode::FinalAnswer)
}

const REPEATABLE: bool = false;
const ONCE: bool = true;

#[rstest]
// Nothing was sent: a retry is safe, also for at-most-once requests.
#[case(
    Sent::Nothing,
    REPEATABLE,
    Unreachable,
    Delivered::Nothing,
    retry_unstarted()
)]
#[case(
    Sent::Nothing,
    ONCE,
    Unreachable,
    Delivered::Nothing,
    retry_unstarted()
)]
#[case(
    Sent::Nothing,
    ONCE,
    Disconnected,
    Delivered::Nothing,
    retry_unstarted()
)]
#[case(Sent::Nothing, ONCE, TimedOut, Delivered::Nothing, retry_unstarted())]
// The back end reported that it did not start the request.
#[case(
    Sent::Some,
    REPEATABLE,
    RefusedUnstarted,
    Delivered::Nothing,
    retry_unstarted()
)]
#[case(
    Sent::Some,
    ONCE,
    RefusedUnstarted,
    Delivered::Nothing,
    retry_unstarted()
)]
// Something was sent, so the request may have run.
#[case(
    Sent::Some,
    REPEATABLE,
    Disconnected,
    Delivered::Nothing,
    retry_repeatable()
)]
#[case(
    Sent::Some,
    REPEATABLE,
    TimedOut,
    Delivered::Nothing,
    retry_repeatable()
)]
#[case(
    Sent::Some,
    REPEATABLE,
    BadProtocol,
    Delivered::Nothing,
    retry_repeatable()
)]
#[case(
    Sent::Some,
    REPEATABLE,
    ServerError,
    Delivered::Nothing,
    retry_repeatable()
)]
#[case(Sent::Some, ONCE, Disconnected, Delivered::Nothing, unknown_outcome())]
#[case(Sent::Some, ONCE, TimedOut, Delivered::Nothing, unknown_outcome())]
#[case(Sent::Some, ONCE, BadProtocol, Delivered::Nothing, unknown_outcome())]
#[case(Sent::Some, ONCE, ServerError, Delivered::Nothing, unknown_outcome())]
// Part of the answer was delivered.
#[case(Sent::Some, REPEATABLE, Disconnected, Delivered::Resumable, resume())]
#[case(Sent::Some, REPEATABLE, TimedOut, Delivered::Resumable, resume())]
#[case(
    Sent::Some,
    ONCE,
    Disconnected,
    Delivered::Resumable,
    unknown_outcome()
)]
#[case(
    Sent::Some,
    ONCE,
    RefusedUnstarted,
    Delivered::Resumable,
    unknown_outcome()
)]
#[case(
    Sent::Some,
    REPEATABLE,
    Disconnected,
    Delivered::NotResumable,
    partly_delivered(ErrorKind::StreamBroken)
)]
#[case(
    Sent::Some,
    ONCE,
    Disconnected,
    Delivered::NotResumable,
    unknown_outcome()
)]
// The request is invalid; a retry does not help.
#[case(
    Sent::Some,
    REPEATABLE,
    CallerError,
    Delivered::Nothing,
    final_answer(Executed::Unknown)
)]
#[case(
    Sent::Some,
    ONCE,
    CallerError,
    Delivered::Nothing,
    final_answer(Executed::Unknown)
)]
fn retry_rules(
    #[case] sent: Sent,
    #[case] at_most_once: bool,
    #[case] failure: AttemptFailure,
    #[case] delivered: Delivered,
    #[case] expected: RetryDecision,
) {
    let attempt = FailedAttempt {
        sent,
        at_most_once,
        failure,
        delivered,
    };
    assert_eq!(attempt.allowed(), expected);
}

/// Checks every combination of failure, sent bytes and delivered answer.
#[test]
fn an_at_most_once_request_is_never_sent_again_after_it_may_have_started() {
    let failures = [
        Unreachable,
        RefusedUnstarted,
        Disconnected,
        TimedOut,
        BadProtocol,
        ServerError,
        CallerError,
    ];
    for failure in failures {
        for sent in [Sent::Nothing, Sent::Some] {
            for delivered in [
                Delivered::Nothing,
                Delivered::Resumable,
                Delivered::NotResumable,
            ] {
                let attempt = FailedAttempt {
                    sent,
                    at_most_once: true,
                    failure,
                    delivered,
                };
                let is_retried = !matches!(attempt.allowed(), RetryDecision::Answer { .. });
                assert!(!is_retried || attempt.unstarted(), "{attempt:?}");
                if let RetryDecision::Answer { executed, .. } =
                    attempt.answer(ReasonCode::AttemptsUsedUp)
                {
                    assert_eq!(executed == Executed::No, attempt.unstarted(), "{attempt:?}");
                }
            }
        }
    }
}

const UNSTARTED: FailedAttempt = FailedAttempt {
    sent: Sent::Nothing,
    at_most_once: false,
    failure: Unreachable,
    delivered: Delivered::Nothing,
};

#[rstest]
#[case::allowed(1, 10_000, 5, retry_unstarted())]
#[case::attempts_used_up(3, 10_000, 5, no_back_end(ReasonCode::AttemptsUsedUp))]
#[case::deadline_passed(1, 10, 5, no_back_end(ReasonCode::DeadlinePassed))]
#[case::budget_empty(1, 10_000, 0, no_back_end(ReasonCode::RetryBudgetEmpty))]
fn a_retry_needs_attempts_time_and_budget(
    #[case] attempts_made: u32,
    #[case] remaining_ms: u64,
    #[case] remaining_retries: u32,
    #[case] expected: RetryDecision,
) {
    let policy = RoutingPolicy::default();
    let mut budget = RetryBudget::new(NOW, &policy);
    while budget.remaining() > remaining_retries {
        assert!(budget.try_take(NOW));
    }
    let next = after_failure(
        NOW,
        &UNSTARTED,
        attempts_made,
        later(remaining_ms),
        &policy,
        &mut budget,
    );
    assert_eq!(next, expected);
    let taken = u32::from(expected == retry_unstarted());
    assert_eq!(budget.remaining(), remaining_retries - taken);
}

fn no_back_end(reason: ReasonCode) -> RetryDecision {
    answer(ErrorKind::NoBackEnd, Executed::No, reason)
}

#[test]
fn retries_are_limited_to_a_share_of_requests() {
    let policy = RoutingPolicy::default();
    let mut budget = RetryBudget::new(NOW, &policy);
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.on_request();
        while budget.try_take(NOW) {
            retries += 1;
        }
    }
    assert_eq!(retries, 10 + 200);
}

#[test]
fn the_reserve_of_retries_refills_without_requests() {
    let policy = RoutingPolicy::default();
    let mut budget = RetryBudget::new(NOW, &policy);
    while budget.try_take(NOW) {}
    assert!(!budget.try_take(later(999)));
    assert!(budget.try_take(later(1_000)));
    assert!(!budget.try_take(later(1_000)));
    assert!(budget.try_take(later(100_000)));
    assert_eq!(budget.remaining(), 9);
}

#[test]
fn with_zero_percent_only_the_initial_reserve_allows_retries() {
    let policy = RoutingPolicy {
        retry_budget_percent: 0,
        ..RoutingPolicy::default()
    };
    let mut budget = RetryBudget::new(NOW, &policy);
    while budget.try_take(NOW) {}
    budget.on_request();
    assert!(!budget.try_take(later(60_000)));
}
