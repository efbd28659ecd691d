//! Retry delays of the backoff.

use std::time::Duration;

use linnethitch_transport::Backoff;

#[test]
fn delays_double_up_to_the_maximum_with_jitter() {
    let initial = Duration::from_millis(100);
    let max = Duration::from_secs(2);
    let mut backoff = Backoff::new(initial, max, 7);
    let mut ceiling = initial;
    for _ in 0..10 {
        let delay = backoff.next_delay();
        assert!(
            delay >= ceiling / 2 && delay <= ceiling,
            "{delay:?} of {ceiling:?}"
        );
        ceiling = (ceiling * 2).min(max);
    }
    backoff.reset();
    assert!(backoff.next_delay() <= initial);
}

#[test]
fn delays_of_many_clients_are_evenly_distributed() {
    let delays: Vec<Duration> = (0..410)
        .map(|seed| Backoff::new(Duration::from_secs(1), Duration::from_secs(4), seed).next_delay())
        .collect();
    for tenth in 0..10 {
        let from = Duration::from_millis(500 + 50 * tenth);
        let to = from + Duration::from_millis(50);
        let count = delays
            .iter()
            .filter(|delay| (from..to).contains(delay))
            .count();
        assert!(
            (20..=70).contains(&count),
            "{count} of 410 between {from:?} and {to:?}"
        );
    }
}
