//! How long answers may take, from those that were given.

use linnethitch_routing::answer_times::AnswerTimes;
use rstest::rstest;

const LIMIT_MS: u64 = 8_000;

#[rstest]
#[case::nothing_is_known(&[], 10_000, LIMIT_MS)]
#[case::the_longest_counts_and_a_reserve(&[(1_000, 400), (2_000, 2_000), (3_000, 40)], 4_000, 2_500)]
#[case::never_beyond_the_limit(&[(1_000, 7_900)], 2_000, LIMIT_MS)]
#[case::one_of_the_window_before_counts(&[(29_000, 2_000), (31_000, 40)], 59_000, 2_500)]
#[case::older_ones_do_not(&[(1_000, 2_000), (31_000, 40)], 61_000, 50)]
#[case::after_a_long_rest_nothing_is_known(&[(1_000, 2_000)], 61_000, LIMIT_MS)]
fn an_answer_may_take_as_long_as_the_longest_of_late(
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
