//! Waits that follow this clock in addition to the runtime's timers.

use std::{future::Future, time::Duration};

use tokio::time::error::Elapsed;

use crate::Instant;

/// Interval at which a long wait checks the clock, because the runtime's timers stop while the
/// machine is suspended. Each wait costs two wake-ups per second.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Waits until a point in time.
pub async fn sleep_until(until: Instant) {
    loop {
        let remaining = until.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return;
        }
        tokio::time::sleep(remaining.min(CHECK_INTERVAL)).await;
    }
}

/// Waits for a duration.
pub async fn sleep(time: Duration) {
    sleep_until(Instant::now() + time).await;
}

/// Waits for a future, at most until a point in time.
///
/// # Errors
/// [`Elapsed`] when the time passed before the future completed.
pub async fn timeout_at<F: Future>(until: Instant, future: F) -> Result<F::Output, Elapsed> {
    let mut future = std::pin::pin!(future);
    loop {
        let remaining = until.saturating_duration_since(Instant::now());
        let wait = tokio::time::timeout(remaining.min(CHECK_INTERVAL), future.as_mut()).await;
        match wait {
            Ok(output) => return Ok(output),
            Err(elapsed) if Instant::now() >= until => return Err(elapsed),
            Err(_) => {}
        }
    }
}

/// Waits for a future, at most for a duration.
///
/// # Errors
/// [`Elapsed`] when the time passed before the future completed.
pub async fn timeout<F: Future>(time: Duration, future: F) -> Result<F::Output, Elapsed> {
    timeout_at(Instant::now() + time, future).await
}
