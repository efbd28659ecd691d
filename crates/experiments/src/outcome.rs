//! What a run is measured by.

use hdrhistogram::Histogram;
use linnethitch_emulator::Time;

/// Longest duration that is told apart, in microseconds.
const MOST_MICROS: u64 = 600_000_000;

/// Significant digits of recorded durations.
const DIGITS: u8 = 3;

const MICROS_PER_MILLI: f64 = 1_000.0;

/// Durations of one kind.
#[derive(Clone, Debug)]
pub(crate) struct Durations {
    histogram: Histogram<u64>,
}

impl Default for Durations {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MOST_MICROS, DIGITS);
        Durations {
            histogram: histogram.expect("constant bounds are valid"),
        }
    }
}

impl Durations {
    pub(crate) fn record(&mut self, micros: u64) {
        self.histogram.saturating_record(micros.max(1));
    }

    /// The cumulative distribution as pairs of milliseconds and share.
    pub(crate) fn distribution(&self) -> Vec<(f64, f64)> {
        const STEPS: u32 = 500;
        (1..STEPS)
            .map(|step| f64::from(step) / f64::from(STEPS))
            .map(|share| (self.percentile_ms(share * 100.0), share))
            .collect()
    }

    /// A percentile, in milliseconds.
    pub(crate) fn percentile_ms(&self, percentile: f64) -> f64 {
        self.histogram.value_at_percentile(percentile) as f64 / MICROS_PER_MILLI
    }
}

/// What was measured in one run, after its warm-up.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    /// First-token times of online requests.
    pub(crate) first_token: Durations,
    /// Of these, of requests without a long prompt.
    pub(crate) short_first_token: Durations,
    /// Times between the tokens of online requests.
    pub(crate) between_tokens: Durations,
    /// Online requests that ended with their whole answer.
    pub(crate) online_finished: u64,
    /// Online requests that were refused before they ran.
    pub(crate) online_refused: u64,
    /// Online requests that failed after they were sent.
    pub(crate) online_failed: u64,
    /// Batch tokens delivered, each once.
    pub(crate) batch_tokens: u64,
    /// Batch items that ended.
    pub(crate) batch_items: u64,
    /// Batch runs cancelled to step aside.
    pub(crate) yields: u64,
    /// Batch runs preempted by an engine.
    pub(crate) preemptions: u64,
    /// Online requests sent again after a failure, or gone on elsewhere.
    pub(crate) retries: u64,
    /// Batch tokens delivered in each second of the run.
    pub(crate) batch_timeline: Vec<u64>,
    /// Measured time, in seconds.
    pub(crate) seconds: f64,
}

impl Outcome {
    /// Batch tokens per second.
    pub(crate) fn batch_rate(&self) -> f64 {
        self.batch_tokens as f64 / self.seconds
    }

    /// The 99th percentile of first-token times relative to a run without batch.
    pub(crate) fn first_token_harm(&self, alone: &Outcome) -> f64 {
        self.first_token.percentile_ms(99.0) / alone.first_token.percentile_ms(99.0)
    }

    /// The 99th percentile of times between tokens relative to a run without batch.
    pub(crate) fn between_tokens_harm(&self, alone: &Outcome) -> f64 {
        self.between_tokens.percentile_ms(99.0) / alone.between_tokens.percentile_ms(99.0)
    }

    /// Records an online request's wait for its first token.
    pub(crate) fn on_first_token(&mut self, micros: u64, long: bool) {
        self.first_token.record(micros);
        if !long {
            self.short_first_token.record(micros);
        }
    }

    /// Counts a batch token in the timeline.
    pub(crate) fn on_batch_second(&mut self, at: Time) {
        const MICROS_PER_SECOND: u64 = 1_000_000;
        let second = (at.0 / MICROS_PER_SECOND) as usize;
        if self.batch_timeline.len() <= second {
            self.batch_timeline.resize(second + 1, 0);
        }
        self.batch_timeline[second] += 1;
    }
}
