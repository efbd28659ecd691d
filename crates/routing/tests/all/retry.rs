//! The closed rules on retries and the budget that bounds them.

use linnethitch_config::fleet::RoutingPolicy;
use linnethitch_errors::{ErrorKind, Executed};
use linnethitch_routing::{
    ReasonCode, RetryBudget,
    retry::{
        AttemptFailure::{self, *},
        FailedAttempt, Next, Sent, Started, after_failure,
    },
};
use rstest::rstest;

use crate::fixture::{NOW, later};

fn retry_unstarted() -> Next {
    Next::Retry(ReasonCode::RetriedUnstarted)
}

fn retry_repeatable() -> Next {
    Next::Retry(ReasonCode::RetriedRepeatable)
}

fn resume() -> Next {
    Next::Resume(ReasonCode::ResumedElsewhere)
}

fn answer(kind: ErrorKind, executed: Executed, reason: ReasonCode) -> Next {
    Next::Answer {
        kind,
        executed,
        reason,
    }
}

fn unknown_outcome() -> Next {
    answer(
        ErrorKind::OutcomeUnknown,
        Executed::Unknown,
        ReasonCode::AtMostOnce,
    )
}

fn partly(kind: ErrorKind) -> Next {
    answer(kind, Executed::Unknown, ReasonCode::PartlyDelivered)
}

fn final_answer(executed: Executed) -> Next {
    answer(ErrorKind::InvalidValue, executed, ReasonCode::FinalAnswer)
}

const REPEATABLE: bool = false;
const ONCE: bool = true;

#[rstest]
// Nothing was sent: always safe, at-most-once or not.
#[case(
    Sent::Nothing,
    REPEATABLE,
    Unreachable,
    Started::Nothing,
    retry_unstarted()
)]
#[case(Sent::Nothing, ONCE, Unreachable, Started::Nothing, retry_unstarted())]
#[case(Sent::Nothing, ONCE, Disconnected, Started::Nothing, retry_unstarted())]
#[case(Sent::Nothing, ONCE, TimedOut, Started::Nothing, retry_unstarted())]
// The back end's own word that it did not start.
#[case(
    Sent::Some,
    REPEATABLE,
    RefusedUnstarted,
    Started::Nothing,
    retry_unstarted()
)]
#[case(
    Sent::Some,
    ONCE,
    RefusedUnstarted,
    Started::Nothing,
    retry_unstarted()
)]
// Something was sent and it may have run.
#[case(
    Sent::Some,
    REPEATABLE,
    Disconnected,
    Started::Nothing,
    retry_repeatable()
)]
#[case(Sent::Some, REPEATABLE, TimedOut, Started::Nothing, retry_repeatable())]
#[case(
    Sent::Some,
    REPEATABLE,
    BadProtocol,
    Started::Nothing,
    retry_repeatable()
)]
#[case(
    Sent::Some,
    REPEATABLE,
    ServerError,
    Started::Nothing,
    retry_repeatable()
)]
#[case(Sent::Some, ONCE, Disconnected, Started::Nothing, unknown_outcome())]
#[case(Sent::Some, ONCE, TimedOut, Started::Nothing, unknown_outcome())]
#[case(Sent::Some, ONCE, BadProtocol, Started::Nothing, unknown_outcome())]
#[case(Sent::Some, ONCE, ServerError, Started::Nothing, unknown_outcome())]
// Part of the answer went out.
#[case(Sent::Some, REPEATABLE, Disconnected, Started::Resumable, resume())]
#[case(Sent::Some, REPEATABLE, TimedOut, Started::Resumable, resume())]
#[case(Sent::Some, ONCE, Disconnected, Started::Resumable, unknown_outcome())]
#[case(
    Sent::Some,
    ONCE,
    RefusedUnstarted,
    Started::Resumable,
    unknown_outcome()
)]
#[case(
    Sent::Some,
    REPEATABLE,
    Disconnected,
    Started::NotResumable,
    partly(ErrorKind::StreamBroken)
)]
#[case(
    Sent::Some,
    ONCE,
    Disconnected,
    Started::NotResumable,
    unknown_outcome()
)]
// The caller's mistake stays one.
#[case(
    Sent::Some,
    REPEATABLE,
    CallerError,
    Started::Nothing,
    final_answer(Executed::Unknown)
)]
#[case(
    Sent::Some,
    ONCE,
    CallerError,
    Started::Nothing,
    final_answer(Executed::Unknown)
)]
fn the_rules(
    #[case] sent: Sent,
    #[case] at_most_once: bool,
    #[case] failure: AttemptFailure,
    #[case] started: Started,
    #[case] expected: Next,
) {
    let attempt = FailedAttempt {
        sent,
        at_most_once,
        failure,
        started,
    };
    assert_eq!(attempt.allowed(), expected);
}

/// Over every combination: what must never happen.
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
            for started in [Started::Nothing, Started::Resumable, Started::NotResumable] {
                let attempt = FailedAttempt {
                    sent,
                    at_most_once: true,
                    failure,
                    started,
                };
                let again = !matches!(attempt.allowed(), Next::Answer { .. });
                assert!(!again || attempt.unstarted(), "{attempt:?}");
                if let Next::Answer { executed, .. } = attempt.answer(ReasonCode::AttemptsUsedUp) {
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
    started: Started::Nothing,
};

#[rstest]
#[case::allowed(1, 10_000, 5, retry_unstarted())]
#[case::attempts_used_up(3, 10_000, 5, no_back_end(ReasonCode::AttemptsUsedUp))]
#[case::deadline_passed(1, 10, 5, no_back_end(ReasonCode::DeadlinePassed))]
#[case::budget_empty(1, 10_000, 0, no_back_end(ReasonCode::RetryBudgetEmpty))]
fn a_retry_needs_attempts_time_and_budget(
    #[case] attempts_made: u32,
    #[case] time_left_ms: u64,
    #[case] retries_left: u32,
    #[case] expected: Next,
) {
    let policy = RoutingPolicy::default();
    let mut budget = RetryBudget::new(NOW, &policy);
    while budget.left() > retries_left {
        assert!(budget.try_take(NOW));
    }
    let next = after_failure(
        NOW,
        &UNSTARTED,
        attempts_made,
        later(time_left_ms),
        &policy,
        &mut budget,
    );
    assert_eq!(next, expected);
    let taken = u32::from(expected == retry_unstarted());
    assert_eq!(budget.left(), retries_left - taken);
}

fn no_back_end(reason: ReasonCode) -> Next {
    answer(ErrorKind::NoBackEnd, Executed::No, reason)
}

#[test]
fn retries_stay_a_share_of_requests() {
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
fn a_quiet_gateway_gets_a_reserve_of_retries_back() {
    let policy = RoutingPolicy::default();
    let mut budget = RetryBudget::new(NOW, &policy);
    while budget.try_take(NOW) {}
    assert!(!budget.try_take(later(999)));
    assert!(budget.try_take(later(1_000)));
    assert!(!budget.try_take(later(1_000)));
    assert!(budget.try_take(later(100_000)));
    assert_eq!(budget.left(), 9);
}

#[test]
fn zero_percent_means_no_retry_beyond_the_first_reserve() {
    let policy = RoutingPolicy {
        retry_budget_percent: 0,
        ..RoutingPolicy::default()
    };
    let mut budget = RetryBudget::new(NOW, &policy);
    while budget.try_take(NOW) {}
    budget.on_request();
    assert!(!budget.try_take(later(60_000)));
}
