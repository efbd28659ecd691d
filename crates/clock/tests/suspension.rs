//! The clock advances while the machine is suspended, and waits take that into account.

use std::{future::pending, time::Duration};

use linnethitch_clock::{Clock, Instant, sleep_until, testing::suspend_for, timeout_at};

const ONE_HOUR: Duration = Duration::from_secs(3_600);

#[test]
fn elapsed_time_includes_a_suspension() {
    let clock = Clock::start();
    let before = Instant::now();
    suspend_for(ONE_HOUR);
    assert!(before.elapsed() >= ONE_HOUR);
    assert!(clock.now_ms() >= 3_600_000);
    assert_eq!(before - Instant::now(), Duration::ZERO);
}

/// Waits that do not check the clock would take an hour here.
#[tokio::test]
async fn waits_end_after_a_longer_suspension() {
    let until = Instant::now() + ONE_HOUR;
    let waiting = tokio::spawn(async move {
        sleep_until(until).await;
        timeout_at(until, pending::<()>()).await.is_err()
    });
    let bounded = tokio::spawn(timeout_at(until, pending::<()>()));
    tokio::task::yield_now().await;
    suspend_for(ONE_HOUR);
    assert!(waiting.await.expect("task completed"));
    assert!(bounded.await.expect("task completed").is_err());
}

#[tokio::test]
async fn a_future_that_is_ready_in_time_does_not_time_out() {
    let until = Instant::now() + ONE_HOUR;
    assert_eq!(timeout_at(until, async { 7 }).await, Ok(7));
    assert_eq!(timeout_at(Instant::now(), async { 7 }).await, Ok(7));
}
