//! Which requests a gateway still accepts while it stops, and when it answers those that have no
//! answer yet.

use std::{
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use http::Response;
use linnethitch_clock::{Clock, Instant, sleep, sleep_until};
use linnethitch_errors::ErrorKind;
use linnethitch_routing::answer_times::{AnswerTimes, StopRequest};
use parking_lot::Mutex;
use slog::info;
use tokio_util::sync::CancellationToken;

use crate::{
    counters::RequestEnd,
    relay::Relay,
    response::{ResponseBody, error_response},
    shared::Shared,
};

/// Time before the end of the process at which requests without an answer are answered, so that
/// their connections do not end without one.
const LAST_ANSWER_TIME: Duration = Duration::from_millis(100);
/// Interval at which waiting requests are checked against the time that remains.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Whether a request can be answered before this process ends. A request that may not is refused
/// at once, while its caller has time to use another gateway; a response that is cut off is lost.
pub(crate) struct PlannedStop {
    stopping: CancellationToken,
    /// Time by which every request must have been answered.
    answers_due: OnceLock<Instant>,
    answer_times: Mutex<AnswerTimes>,
    clock: Clock,
}

impl PlannedStop {
    /// For a process that ends within the given time after it is asked to stop.
    pub(crate) fn new(
        stopping: CancellationToken,
        stop_within: Duration,
        clock: Clock,
    ) -> Arc<Self> {
        let stop = Arc::new(PlannedStop {
            stopping: stopping.clone(),
            answers_due: OnceLock::new(),
            answer_times: Mutex::default(),
            clock,
        });
        let planned = Arc::clone(&stop);
        let answer_within = stop_within.saturating_sub(LAST_ANSWER_TIME);
        tokio::spawn(async move {
            stopping.cancelled().await;
            // The token is cancelled only once.
            let _ = planned.answers_due.set(Instant::now() + answer_within);
        });
        stop
    }

    /// Records how long a response took, from the arrival of the request to its end.
    pub(crate) fn note_answer(&self, answered: &AnsweredRequest<'_>) {
        let took_ms = answered.arrived.elapsed().as_millis() as u64;
        self.answer_times.lock().record(
            answered.route,
            answered.service,
            answered.max_output_tokens,
            took_ms,
            self.clock.now_ms(),
        );
    }

    /// Time until all requests must have been answered; `None` if the process is not stopping.
    pub(crate) fn remaining(&self) -> Option<Duration> {
        let answers_due = self.answers_due.get()?;
        Some(answers_due.saturating_duration_since(Instant::now()))
    }

    /// The time that remains, if that may be too short for a request that begins now.
    pub(crate) fn remaining_if_too_short<'a>(
        &self,
        request: impl FnOnce() -> StopRequest<'a>,
    ) -> Option<Duration> {
        let remaining = self.remaining()?;
        (!self.may_begin(&request(), remaining)).then_some(remaining)
    }

    /// Whether a request may begin again after a delay. It must fit into half of the time that
    /// remains then, since it is expected to take longer if answers are slower until then.
    pub(crate) fn may_begin_again_after<'a>(
        &self,
        delay: Duration,
        request: impl FnOnce() -> StopRequest<'a>,
    ) -> bool {
        let Some(remaining) = self.remaining() else {
            return true;
        };
        let now = request();
        let then = StopRequest {
            limit_ms: now.limit_ms.saturating_sub(delay.as_millis() as u64),
            ..now
        };
        self.may_begin(&then, remaining.saturating_sub(delay) / 2)
    }

    fn may_begin(&self, request: &StopRequest<'_>, remaining: Duration) -> bool {
        let remaining_ms = remaining.as_millis() as u64;
        let now_ms = self.clock.now_ms();
        self.answer_times
            .lock()
            .may_begin(request, remaining_ms, now_ms)
    }

    /// Completes once the time that remains may be too short for a request; its limit is asked for
    /// at each check.
    pub(crate) async fn until_too_short<'a>(&self, request: impl Fn() -> StopRequest<'a>) {
        self.stopping.cancelled().await;
        while self.remaining_if_too_short(&request).is_none() {
            sleep(CHECK_INTERVAL).await;
        }
    }

    /// Completes when requests without an answer must be answered.
    pub(crate) async fn until_answers_due(&self) {
        self.stopping.cancelled().await;
        while self.answers_due.get().is_none() {
            tokio::task::yield_now().await;
        }
        if let Some(answers_due) = self.answers_due.get() {
            sleep_until(*answers_due).await;
        }
    }
}

/// A request that received its complete response.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnsweredRequest<'a> {
    pub(crate) route: &'a str,
    pub(crate) service: &'a str,
    /// Maximum number of tokens that it asked for; 0 if it did not say.
    pub(crate) max_output_tokens: u32,
    pub(crate) arrived: Instant,
}

/// Whether a request may have run at a replica. Clones share the state.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunState(Arc<AtomicBool>);

impl RunState {
    pub(crate) fn set_may_have_run(&self, may_have_run: bool) {
        self.0.store(may_have_run, Ordering::Relaxed);
    }

    pub(crate) fn may_have_run(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

impl Shared {
    /// Refuses a request that may outlast this process; other gateways accept it at once.
    pub(crate) fn refuse_as_stopping(
        &self,
        request: &str,
        route: &str,
        remaining: Duration,
    ) -> Response<ResponseBody> {
        self.counters.request_ended(route, RequestEnd::Stopping);
        info!(self.logger, "request: refused, gateway stops before it could be answered";
            "request" => request, "route" => route, "left_ms" => remaining.as_millis() as u64);
        error_response(ErrorKind::Stopping, Some(Duration::ZERO))
    }

    /// Answers a request that has no answer yet when this process is about to end.
    pub(crate) fn answer_as_stopping(
        &self,
        request: &str,
        route: &str,
        run_state: &RunState,
    ) -> Response<ResponseBody> {
        if !run_state.may_have_run() {
            return self.refuse_as_stopping(request, route, Duration::ZERO);
        }
        self.counters.request_ended(route, RequestEnd::Failed);
        info!(self.logger, "request: not answered before the gateway stops, may have run";
            "request" => request, "route" => route);
        error_response(ErrorKind::StoppedUnanswered, None)
    }
}

impl Relay {
    /// The refusal of a call that takes up to `limit` if this process ends before.
    #[must_use]
    pub fn refusal_as_stopping(
        &self,
        call: &str,
        limit: Duration,
    ) -> Option<Response<ResponseBody>> {
        let remaining = self.shared.stop.remaining()?;
        if limit <= remaining {
            return None;
        }
        info!(self.shared.logger, "call refused, gateway stops before it could be answered";
            "call" => call, "left_ms" => remaining.as_millis() as u64);
        Some(error_response(ErrorKind::Stopping, Some(Duration::ZERO)))
    }
}
