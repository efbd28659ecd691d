//! The result of a run, as a table and as JSON.

use std::{collections::BTreeMap, fmt::Write, time::Duration};

use hdrhistogram::Histogram;
use serde::Serialize;

use super::{
    limits::{LimitedFigures, Limits},
    sources::UNANSWERED,
    tally::{JobResult, Kind, KindTally, Tally},
};

const MICROS_PER_MILLI: f64 = 1_000.0;

/// Percentiles in milliseconds.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Latency {
    count: u64,
    p50_ms: f64,
    p95_ms: f64,
    p99_ms: f64,
    max_ms: f64,
}

impl Latency {
    fn new(histogram: &Histogram<u64>) -> Option<Latency> {
        if histogram.is_empty() {
            return None;
        }
        let quantile = |share| histogram.value_at_quantile(share) as f64 / MICROS_PER_MILLI;
        Some(Latency {
            count: histogram.len(),
            p50_ms: quantile(0.50),
            p95_ms: quantile(0.95),
            p99_ms: quantile(0.99),
            max_ms: histogram.max() as f64 / MICROS_PER_MILLI,
        })
    }
}

/// Figures of one kind of request.
#[derive(Clone, Debug, Serialize)]
struct KindReport {
    kind: Kind,
    served: u64,
    wrong: u64,
    failures: BTreeMap<String, u64>,
    first_token: Option<Latency>,
    between_tokens: Option<Latency>,
    total: Option<Latency>,
}

impl KindReport {
    fn new(kind: Kind, tally: &KindTally) -> KindReport {
        KindReport {
            kind,
            served: tally.served,
            wrong: tally.wrong,
            failures: tally.failures.clone(),
            first_token: Latency::new(&tally.first),
            between_tokens: Latency::new(&tally.between),
            total: Latency::new(&tally.total),
        }
    }
}

/// The result of a run.
#[derive(Clone, Debug, Serialize)]
pub(super) struct LoadReport {
    seconds: f64,
    online_tokens: u64,
    kinds: Vec<KindReport>,
    jobs: Vec<JobResult>,
    /// A sentence for each limit of the command line that was exceeded.
    limits_passed: Vec<String>,
}

impl LoadReport {
    pub(super) fn new(tally: &Tally, elapsed: Duration, limits: &Limits) -> LoadReport {
        LoadReport {
            limits_passed: limits.exceeded(&limited_figures(tally)),
            seconds: elapsed.as_secs_f64(),
            online_tokens: tally.tokens,
            kinds: tally
                .kinds
                .iter()
                .map(|(kind, tally)| KindReport::new(*kind, tally))
                .collect(),
            jobs: tally.jobs.clone(),
        }
    }

    /// Whether all answers are correct and no limit was exceeded.
    pub(super) fn is_good(&self) -> bool {
        self.all_correct() && self.limits_passed.is_empty()
    }

    /// Whether every request was answered, every answer was correct and every job complete.
    /// Refused requests do not count as wrong answers.
    fn all_correct(&self) -> bool {
        let correct =
            |kind: &KindReport| kind.wrong == 0 && !kind.failures.contains_key(UNANSWERED);
        self.kinds.iter().all(correct) && self.jobs.iter().all(JobResult::all_correct)
    }

    /// The result as text.
    pub(super) fn table(&self) -> String {
        let mut table = String::new();
        // Writing to a string cannot fail.
        let _ = writeln!(
            table,
            "{:.1} s, {} tokens of online answers",
            self.seconds, self.online_tokens
        );
        let _ = writeln!(
            table,
            "{:<13} {:>8} {:>6} {:>7}  {:>28}  {:>28}  {:>28}",
            "",
            "served",
            "wrong",
            "failed",
            "first token p50/p99/max ms",
            "between p50/p99/max ms",
            "total p50/p99/max ms"
        );
        for kind in &self.kinds {
            write_kind(&mut table, kind);
        }
        for job in &self.jobs {
            write_job(&mut table, job);
        }
        for limit in &self.limits_passed {
            let _ = writeln!(table, "LIMIT PASSED: {limit}");
        }
        let verdict = if self.all_correct() {
            "every answer was complete and correct"
        } else {
            "NOT every answer was complete and correct"
        };
        table.push_str(verdict);
        table
    }
}

/// The figures that limits apply to.
fn limited_figures(tally: &Tally) -> LimitedFigures {
    let counts = tally.counts();
    let ended = counts.served + counts.failed;
    let short = tally.kinds.get(&Kind::Short);
    let p95 = |histogram| Latency::new(histogram).map(|latency| latency.p95_ms);
    LimitedFigures {
        failed_percent: 100.0 * counts.failed as f64 / ended.max(1) as f64,
        first_token_p95_ms: short.and_then(|short| p95(&short.first)),
        between_tokens_p95_ms: short.and_then(|short| p95(&short.between)),
    }
}

fn write_kind(table: &mut String, kind: &KindReport) {
    let _ = writeln!(
        table,
        "{:<13} {:>8} {:>6} {:>7}  {:>28}  {:>28}  {:>28}",
        kind.kind.name(),
        kind.served,
        kind.wrong,
        kind.failures.values().sum::<u64>(),
        latency_text(kind.first_token.as_ref()),
        latency_text(kind.between_tokens.as_ref()),
        latency_text(kind.total.as_ref()),
    );
    for (code, count) in &kind.failures {
        let _ = writeln!(table, "    {count} x {code}");
    }
}

fn latency_text(latency: Option<&Latency>) -> String {
    latency.map_or_else(
        || "-".to_owned(),
        |latency| {
            format!(
                "{:.1} / {:.1} / {:.1}",
                latency.p50_ms, latency.p99_ms, latency.max_ms
            )
        },
    )
}

fn write_job(table: &mut String, job: &JobResult) {
    let _ = writeln!(
        table,
        "job {}: {} items, {} right, {} failed, {} missing, {} repeated, {} wrong; \
         accepted in {:.2} s, ran {:.2} s",
        job.job,
        job.items,
        job.right,
        job.failed,
        job.missing,
        job.repeated,
        job.wrong,
        job.accept_seconds,
        job.run_seconds,
    );
    if job.created_twice {
        let _ = writeln!(table, "    the resent creation created a second job");
    }
    if !job.failure.is_empty() {
        let _ = writeln!(table, "    failure: {}", job.failure);
    }
}
