//! What a gateway still takes while it stops.

use std::{
    sync::{Arc, OnceLock},
    time::Duration,
};

use linnethitch_clock::Instant;
use linnethitch_routing::answer_times::AnswerTimes;
use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;

/// Whether a request that comes now can be answered before this process ends. One that can
/// not is refused at once, while its caller has time to go elsewhere: an answer that is cut
/// is lost.
pub(crate) struct PlannedStop {
    ends_at: OnceLock<Instant>,
    answer_times: Mutex<AnswerTimes>,
}

impl PlannedStop {
    /// For a process that ends within a time after it is told to stop.
    pub(crate) fn new(stopping: CancellationToken, stop_within: Duration) -> Arc<Self> {
        let stop = Arc::new(PlannedStop {
            ends_at: OnceLock::new(),
            answer_times: Mutex::default(),
        });
        let told = Arc::clone(&stop);
        tokio::spawn(async move {
            stopping.cancelled().await;
            // It is told to stop once.
            let _ = told.ends_at.set(Instant::now() + stop_within);
        });
        stop
    }

    /// Notes how long an answer took, from its request's arrival to its end.
    pub(crate) fn note_answer(&self, route: &str, took: Duration, now_ms: u64) {
        let took_ms = took.as_millis() as u64;
        self.answer_times.lock().record(route, took_ms, now_ms);
    }

    /// What is left until the end of the process, where that may cut a request with this limit.
    pub(crate) fn too_short_for(
        &self,
        route: &str,
        limit: Duration,
        now_ms: u64,
    ) -> Option<Duration> {
        let left = self
            .ends_at
            .get()?
            .saturating_duration_since(Instant::now());
        let limit_ms = limit.as_millis() as u64;
        let may_take_ms = self
            .answer_times
            .lock()
            .max_expected_ms(route, limit_ms, now_ms);
        (Duration::from_millis(may_take_ms) > left).then_some(left)
    }
}
