//! Waits that end on time by the clock, not by the runtime's timers alone.

use std::{future::Future, time::Duration};

use tokio::time::error::Elapsed;

use crate::Instant;

/// Timers stand still while the machine is suspended, so that a long wait looks at
/// the clock this often. A wait costs two wake-ups a second.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);

/// Waits until a point of the clock.
pub async fn sleep_until(until: Instant) {
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return;
        }
        tokio::time::sleep(left.min(LOOK_INTERVAL)).await;
    }
}

/// Waits for so long.
pub async fn sleep(time: Duration) {
    sleep_until(Instant::now() + time).await;
}

/// Waits for a future, but no longer than until a point of the clock.
///
/// # Errors
/// [`Elapsed`] when time was up first.
pub async fn timeout_at<F: Future>(until: Instant, future: F) -> Result<F::Output, Elapsed> {
    let mut future = std::pin::pin!(future);
    loop {
        let left = until.saturating_duration_since(Instant::now());
        let wait = tokio::time::timeout(left.min(LOOK_INTERVAL), future.as_mut()).await;
        match wait {
            Ok(output) => return Ok(output),
            Err(elapsed) if Instant::now() >= until => return Err(elapsed),
            Err(_) => {}
        }
    }
}

/// Waits for a future, but no longer than for so long.
///
/// # Errors
/// [`Elapsed`] when time was up first.
pub async fn timeout<F: Future>(time: Duration, future: F) -> Result<F::Output, Elapsed> {
    timeout_at(Instant::now() + time, future).await
}
