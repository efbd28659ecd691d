//! Measured results of a run.

use hdrhistogram::Histogram;
use linnethitch_emulator::Time;

/// Longest recorded duration, in microseconds; longer ones are recorded as this value.
const MAX_MICROS: u64 = 600_000_000;

/// Significant decimal digits of recorded durations.
const SIGNIFICANT_DIGITS: u8 = 3;

const MICROS_PER_MILLI: f64 = 1_000.0;

/// Histogram of durations of one kind.
#[derive(Clone, Debug)]
pub(crate) struct Durations {
    histogram: Histogram<u64>,
}

impl Default for Durations {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_MICROS, SIGNIFICANT_DIGITS);
        Durations {
            histogram: histogram.expect("constant bounds are valid"),
        }
    }
}

impl Durations {
    pub(crate) fn record(&mut self, micros: u64) {
        self.histogram.saturating_record(micros.max(1));
    }

    /// The cumulative distribution as pairs of a duration in milliseconds and the share
    /// of durations up to it.
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

/// Results of one run, measured after its warm-up.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    /// Times from arrival to first token of online requests.
    pub(crate) first_token: Durations,
    /// The same for requests without a long prompt only.
    pub(crate) short_first_token: Durations,
    /// Times between the tokens of online requests.
    pub(crate) between_tokens: Durations,
    /// Online requests with a complete answer.
    pub(crate) online_finished: u64,
    /// Online requests that were refused before they were sent to an engine.
    pub(crate) online_refused: u64,
    /// Online requests that failed after they were sent.
    pub(crate) online_failed: u64,
    /// Batch tokens delivered, each counted once.
    pub(crate) batch_tokens: u64,
    /// Batch items that finished.
    pub(crate) batch_items: u64,
    /// Batch attempts cancelled to yield to online requests.
    pub(crate) yields: u64,
    /// Batch attempts preempted by an engine.
    pub(crate) preemptions: u64,
    /// Online requests retried or resumed on another engine after a failure.
    pub(crate) retries: u64,
    /// Batch tokens delivered in each second of the run, including the warm-up.
    pub(crate) batch_timeline: Vec<u64>,
    /// Length of the measured part of the run, in seconds.
    pub(crate) seconds: f64,
}

impl Outcome {
    /// Batch tokens per second.
    pub(crate) fn batch_rate(&self) -> f64 {
        self.batch_tokens as f64 / self.seconds
    }

    /// Harm to first tokens: the 99th percentile of first-token times relative to a run
    /// without batch work.
    pub(crate) fn first_token_harm(&self, online_only: &Outcome) -> f64 {
        self.first_token.percentile_ms(99.0) / online_only.first_token.percentile_ms(99.0)
    }

    /// Harm between tokens: the 99th percentile of times between tokens relative to a run
    /// without batch work.
    pub(crate) fn between_tokens_harm(&self, online_only: &Outcome) -> f64 {
        self.between_tokens.percentile_ms(99.0) / online_only.between_tokens.percentile_ms(99.0)
    }

    /// Records the time from arrival to first token of an online request.
    pub(crate) fn record_first_token(&mut self, micros: u64, long: bool) {
        self.first_token.record(micros);
        if !long {
            self.short_first_token.record(micros);
        }
    }

    /// Counts a batch token in the timeline.
    pub(crate) fn record_batch_token(&mut self, at: Time) {
        const MICROS_PER_SECOND: u64 = 1_000_000;
        let second = (at.0 / MICROS_PER_SECOND) as usize;
        if self.batch_timeline.len() <= second {
            self.batch_timeline.resize(second + 1, 0);
        }
        self.batch_timeline[second] += 1;
    }
}
