//! Batch items under whose runs replicas ended.

use linnethitch_registry::{RequestFingerprint, item_pause_ms};
use rstest::rstest;

/// Bound of an item's pause, in milliseconds: it is owed, so it waits for seconds and not minutes.
const MAX_PAUSE_MS: u64 = 10_000;
const MINUTE_MS: u64 = 60_000;
/// Bound of the replicas that an item may end in a minute.
const MAX_ENDS_IN_A_MINUTE: usize = 15;

/// Guards against items that are put aside, and against items that end replica after replica.
#[rstest]
#[case::none(0, 0)]
#[case::one(1, 400)]
#[case::two(2, 5_000)]
#[case::as_many_as_are_recorded(64, 5_000)]
fn an_item_pauses_for_seconds(#[case] ends: usize, #[case] pause_ms: u64) {
    assert_eq!(item_pause_ms(ends), pause_ms);
    assert!(item_pause_ms(ends) <= MAX_PAUSE_MS);
}

#[test]
fn an_item_that_ends_each_replica_ends_few_in_a_minute() {
    let begins = (0..).scan(0, |at_ms, ends| {
        *at_ms += item_pause_ms(ends);
        Some(*at_ms)
    });
    let in_a_minute = begins.take_while(|at_ms| *at_ms < MINUTE_MS).count();
    assert!(in_a_minute <= MAX_ENDS_IN_A_MINUTE, "{in_a_minute}");
}

/// Guards against items whose ends count for each other, or for requests.
#[test]
fn each_item_has_a_fingerprint_of_its_own() {
    let item = RequestFingerprint::of_item("job", 1);
    assert!(item.is_item());
    assert_eq!(item, RequestFingerprint::of_item("job", 1));
    assert_ne!(item, RequestFingerprint::of_item("job", 2));
    assert_ne!(item, RequestFingerprint::of_item("other", 1));
    assert!(!RequestFingerprint::of_part("job", 1).is_item());
    assert!(!RequestFingerprint::of_refused_part("job", 1).is_item());
}
