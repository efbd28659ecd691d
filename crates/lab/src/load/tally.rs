//! Counts and latencies of the observations.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use serde::Serialize;

use super::client::Failed;

/// Maximum duration that the histograms record, in microseconds: ten minutes.
const MAX_MICROS: u64 = 600_000_000;
/// Significant digits of the histograms.
const DIGITS: u8 = 3;

/// The kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Kind {
    /// A stream after a short prompt.
    Short,
    /// A stream after a long document.
    Long,
    /// A complete answer in one piece.
    Whole,
    /// A call of an application service.
    Service,
}

impl Kind {
    pub(super) fn name(self) -> &'static str {
        match self {
            Kind::Short => "short stream",
            Kind::Long => "long stream",
            Kind::Whole => "whole answer",
            Kind::Service => "service call",
        }
    }
}

/// An answer that ended without an error.
#[derive(Clone, Debug)]
pub(super) struct Served {
    due: Instant,
    /// From the due time to the first token.
    pub(super) first: Option<Duration>,
    /// Between tokens.
    pub(super) between: Vec<Duration>,
    /// From the due time to the end.
    pub(super) total: Duration,
    /// Whether the answer is complete and correct, with nothing lost or repeated.
    pub(super) correct: bool,
    pub(super) tokens: u32,
    last: Option<Instant>,
}

impl Served {
    /// An answer that ends now.
    pub(super) fn new(due: Instant) -> Served {
        Served {
            due,
            first: None,
            between: Vec::new(),
            total: due.elapsed(),
            correct: false,
            tokens: 0,
            last: None,
        }
    }

    /// Records a received token.
    pub(super) fn record_token(&mut self, at: Instant) {
        self.tokens += 1;
        match self.last {
            None => self.first = Some(at.saturating_duration_since(self.due)),
            Some(last) => self.between.push(at.saturating_duration_since(last)),
        }
        self.last = Some(at);
    }

    /// Records the end of the answer.
    pub(super) fn record_end(&mut self, at: Instant) {
        self.total = at.saturating_duration_since(self.due);
    }
}

/// The result of a batch job.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct JobResult {
    /// The job's id; empty when it was not accepted.
    pub(super) job: String,
    pub(super) items: u32,
    /// Items with a complete and correct result.
    pub(super) right: u32,
    /// Items with an error as result.
    pub(super) failed: u32,
    /// Items without a result.
    pub(super) missing: u32,
    /// Results in excess of one per item.
    pub(super) repeated: u32,
    /// Results that are not the item's answer.
    pub(super) wrong: u32,
    /// Whether the resent creation created a second job.
    pub(super) created_twice: bool,
    /// Seconds from the upload to the acceptance of the job.
    pub(super) accept_seconds: f64,
    /// Seconds from the acceptance to the end.
    pub(super) run_seconds: f64,
    /// Why the job could not be run to its end; empty otherwise.
    pub(super) failure: String,
}

impl JobResult {
    /// Whether each item has exactly one result, which is correct.
    pub(super) fn all_correct(&self) -> bool {
        self.right == self.items && self.repeated == 0 && !self.created_twice
    }
}

/// The result of a request or job, as reported to the tally.
pub(super) enum Observation {
    Served(Kind, Served),
    Failed(Kind, Failed),
    Job(JobResult),
}

/// Figures of one kind of request.
pub(super) struct KindTally {
    pub(super) served: u64,
    pub(super) wrong: u64,
    pub(super) failures: BTreeMap<String, u64>,
    pub(super) first: Histogram<u64>,
    pub(super) between: Histogram<u64>,
    pub(super) total: Histogram<u64>,
}

impl Default for KindTally {
    fn default() -> Self {
        KindTally {
            served: 0,
            wrong: 0,
            failures: BTreeMap::new(),
            first: histogram(),
            between: histogram(),
            total: histogram(),
        }
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_MICROS, DIGITS).expect("the bounds are valid")
}

fn record(histogram: &mut Histogram<u64>, duration: Duration) {
    histogram.saturating_record(u64::try_from(duration.as_micros()).unwrap_or(MAX_MICROS));
}

/// Everything observed so far.
#[derive(Default)]
pub(super) struct Tally {
    pub(super) kinds: BTreeMap<Kind, KindTally>,
    pub(super) jobs: Vec<JobResult>,
    pub(super) tokens: u64,
}

impl Tally {
    pub(super) fn add(&mut self, observation: Observation) {
        match observation {
            Observation::Served(kind, served) => self.add_served(kind, &served),
            Observation::Failed(kind, failed) => {
                let tally = self.kinds.entry(kind).or_default();
                let name = if failed.executed.is_empty() {
                    failed.code
                } else {
                    format!("{} (executed: {})", failed.code, failed.executed)
                };
                *tally.failures.entry(name).or_default() += 1;
            }
            Observation::Job(result) => self.jobs.push(result),
        }
    }

    fn add_served(&mut self, kind: Kind, served: &Served) {
        let tally = self.kinds.entry(kind).or_default();
        tally.served += 1;
        tally.wrong += u64::from(!served.correct);
        if let Some(first) = served.first {
            record(&mut tally.first, first);
        }
        for between in &served.between {
            record(&mut tally.between, *between);
        }
        record(&mut tally.total, served.total);
        self.tokens += u64::from(served.tokens);
    }

    /// Requests that ended, and those of them that failed or were wrong.
    pub(super) fn counts(&self) -> Counts {
        let mut counts = Counts::default();
        for tally in self.kinds.values() {
            counts.served += tally.served;
            counts.wrong += tally.wrong;
            counts.failed += tally.failures.values().sum::<u64>();
        }
        counts
    }
}

/// Numbers of requests by result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Counts {
    pub(super) served: u64,
    pub(super) wrong: u64,
    pub(super) failed: u64,
}
