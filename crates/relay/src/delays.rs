//! Detects delays of this process, shorter ones than a pause too.
//!
//! What a process observes after a delay may have changed meanwhile: another process may listen at
//! an address, for example.

use std::{sync::Arc, time::Duration};

use linnethitch_clock::{Instant, sleep};
use parking_lot::Mutex;

/// Interval at which the process records that it is running.
const RECORD_INTERVAL: Duration = Duration::from_millis(25);
/// A record that is later than this shows a delay.
const DELAY_THRESHOLD: Duration = Duration::from_millis(100);

/// The end of the last delay of this process.
#[derive(Clone, Default)]
pub(crate) struct Delays {
    last: Arc<Mutex<Option<Instant>>>,
}

impl Delays {
    /// Records delays until the process ends.
    pub(crate) async fn record(self) {
        loop {
            let began = Instant::now();
            sleep(RECORD_INTERVAL).await;
            if began.elapsed() > RECORD_INTERVAL + DELAY_THRESHOLD {
                *self.last.lock() = Some(Instant::now());
            }
        }
    }

    /// Whether a delay ended within this time.
    pub(crate) fn ended_within(&self, time: Duration) -> bool {
        self.last.lock().is_some_and(|last| last.elapsed() < time)
    }
}
