//! The clock goes on while the machine is suspended, and waits notice.

use std::{future::pending, time::Duration};

use linnethitch_clock::{Clock, Instant, sleep_until, testing::suspend_for, timeout_at};

const AN_HOUR: Duration = Duration::from_secs(3_600);

#[test]
fn what_is_counted_includes_the_time_of_a_suspension() {
    let clock = Clock::start();
    let before = Instant::now();
    suspend_for(AN_HOUR);
    assert!(before.elapsed() >= AN_HOUR);
    assert!(clock.now_ms() >= 3_600_000);
    assert_eq!(before - Instant::now(), Duration::ZERO);
}

/// Without a look at the clock these would take an hour.
#[tokio::test]
async fn waits_end_after_a_suspension_that_outlasted_them() {
    let until = Instant::now() + AN_HOUR;
    let waiting = tokio::spawn(async move {
        sleep_until(until).await;
        timeout_at(until, pending::<()>()).await.is_err()
    });
    let bounded = tokio::spawn(timeout_at(until, pending::<()>()));
    tokio::task::yield_now().await;
    suspend_for(AN_HOUR);
    assert!(waiting.await.expect("it ran"));
    assert!(bounded.await.expect("it ran").is_err());
}

#[tokio::test]
async fn a_future_that_is_ready_in_time_is_not_cut_off() {
    let until = Instant::now() + AN_HOUR;
    assert_eq!(timeout_at(until, async { 7 }).await, Ok(7));
    assert_eq!(timeout_at(Instant::now(), async { 7 }).await, Ok(7));
}
