//! Waits between attempts.

use std::time::Duration;

use linnethitch_transport::Backoff;

#[test]
fn waits_double_up_to_the_longest_and_are_jittered() {
    let first = Duration::from_millis(100);
    let longest = Duration::from_secs(2);
    let mut backoff = Backoff::new(first, longest, 7);
    let mut ceiling = first;
    for _ in 0..10 {
        let wait = backoff.next_delay();
        assert!(
            wait >= ceiling / 2 && wait <= ceiling,
            "{wait:?} of {ceiling:?}"
        );
        ceiling = (ceiling * 2).min(longest);
    }
    backoff.reset();
    assert!(backoff.next_delay() <= first);
}

#[test]
fn many_clients_do_not_come_back_at_once() {
    let waits: Vec<Duration> = (0..410)
        .map(|seed| Backoff::new(Duration::from_secs(1), Duration::from_secs(4), seed).next_delay())
        .collect();
    for tenth in 0..10 {
        let from = Duration::from_millis(500 + 50 * tenth);
        let to = from + Duration::from_millis(50);
        let count = waits
            .iter()
            .filter(|wait| (from..to).contains(wait))
            .count();
        assert!(
            (20..=70).contains(&count),
            "{count} of 410 between {from:?} and {to:?}"
        );
    }
}
