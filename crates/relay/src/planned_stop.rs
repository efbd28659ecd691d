//! Which requests a gateway still accepts while it stops.

use std::{
    sync::{Arc, OnceLock},
    time::Duration,
};

use linnethitch_clock::Instant;
use linnethitch_routing::answer_times::AnswerTimes;
use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;

/// Whether a request that arrives now can be answered before this process ends. A request that
/// cannot is refused at once, while its caller has time to use another gateway; a response that
/// is cut off is lost.
pub(crate) struct PlannedStop {
    ends_at: OnceLock<Instant>,
    answer_times: Mutex<AnswerTimes>,
}

impl PlannedStop {
    /// For a process that ends within the given time after it is asked to stop.
    pub(crate) fn new(stopping: CancellationToken, stop_within: Duration) -> Arc<Self> {
        let stop = Arc::new(PlannedStop {
            ends_at: OnceLock::new(),
            answer_times: Mutex::default(),
        });
        let planned = Arc::clone(&stop);
        tokio::spawn(async move {
            stopping.cancelled().await;
            // The token is cancelled only once.
            let _ = planned.ends_at.set(Instant::now() + stop_within);
        });
        stop
    }

    /// Records how long a response took, from the arrival of the request to the end of the
    /// response.
    pub(crate) fn note_answer(&self, route: &str, took: Duration, now_ms: u64) {
        let took_ms = took.as_millis() as u64;
        self.answer_times.lock().record(route, took_ms, now_ms);
    }

    /// Time remaining until the process ends, if that may be too short for a request with this
    /// time limit.
    pub(crate) fn remaining_if_too_short(
        &self,
        route: &str,
        limit: Duration,
        now_ms: u64,
    ) -> Option<Duration> {
        let remaining = self
            .ends_at
            .get()?
            .saturating_duration_since(Instant::now());
        let limit_ms = limit.as_millis() as u64;
        let may_take_ms = self
            .answer_times
            .lock()
            .max_expected_ms(route, limit_ms, now_ms);
        (Duration::from_millis(may_take_ms) > remaining).then_some(remaining)
    }
}
