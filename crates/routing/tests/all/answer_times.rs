//! Expected answer times from recent answers.

use linnethitch_routing::answer_times::AnswerTimes;
use rstest::rstest;

const LIMIT_MS: u64 = 8_000;

#[rstest]
#[case::no_answers(&[], 10_000, LIMIT_MS)]
#[case::longest_answer_with_safety_factor(&[(1_000, 400), (2_000, 2_000), (3_000, 40)], 4_000, 2_500)]
#[case::never_over_the_limit(&[(1_000, 7_900)], 2_000, LIMIT_MS)]
#[case::answer_of_the_previous_window_counts(&[(29_000, 2_000), (31_000, 40)], 59_000, 2_500)]
#[case::older_answers_do_not_count(&[(1_000, 2_000), (31_000, 40)], 61_000, 50)]
#[case::no_recent_answers(&[(1_000, 2_000)], 61_000, LIMIT_MS)]
fn the_maximum_expected_time_follows_the_longest_recent_answer(
    #[case] answers: &[(u64, u64)],
    #[case] now_ms: u64,
    #[case] expected_ms: u64,
) {
    let mut times = AnswerTimes::default();
    for (at_ms, took_ms) in answers {
        times.record("route", *took_ms, *at_ms);
    }
    times.record("other", 5, now_ms);
    assert_eq!(
        times.max_expected_ms("route", LIMIT_MS, now_ms),
        expected_ms
    );
}
