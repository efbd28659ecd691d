//! Checks of jobs and their items.

use std::collections::{BTreeMap, BTreeSet};

use linnethitch_errors::{ErrorKind, Executed};
use linnethitch_ledger::Ledger;
use linnethitch_protocol::{
    ids::{FileId, ItemNumber, JobId, TenantId},
    query::{JobRecord, JobState, Query, QueryAnswer},
};
use serde::Deserialize;

use super::{Checker, Invariant};
use crate::actors::fleet_text::TENANT;

/// Grace period after a confirmed cancellation, in milliseconds, in which an unreachable
/// executor may still start items: the lease time of its session and its clock skew.
const CANCEL_GRACE_MS: u64 = 20_000;
/// Maximum number of bytes per read of a file.
const READ_BYTES: u32 = 64 * 1024;
/// Time after the end of a job in which its results are checked, in milliseconds. Results are
/// retained for two hours.
const RESULTS_CHECKED_MS: u64 = 90 * 60 * 1_000;

/// A line of an output file or error file.
#[derive(Debug, Deserialize)]
struct ResultLine {
    custom_id: String,
    error: Option<ResultError>,
}

/// The error of a failed item.
#[derive(Debug, Deserialize)]
struct ResultError {
    code: String,
}

/// The observations of a job.
#[derive(Clone, Debug, Default)]
struct ObservedJob {
    items: u32,
    completed: u32,
    failed: u32,
    cancelled_at_ms: Option<u64>,
    ended: Option<EndedJob>,
}

/// The state and the results of an ended job, which must not change.
#[derive(Clone, Debug, PartialEq, Eq)]
struct EndedJob {
    at_ms: u64,
    state: JobState,
    output: Vec<u8>,
    errors: Vec<u8>,
}

/// Observed jobs, and the starts of their items at engines.
#[derive(Default)]
pub(crate) struct JobRecords {
    jobs: BTreeMap<JobId, ObservedJob>,
    refused: BTreeSet<JobId>,
    starts: BTreeMap<(JobId, ItemNumber), u32>,
    pub(crate) executions: u64,
}

/// The custom id of an item.
pub(crate) fn custom_id(item: u32) -> String {
    format!("item-{item}")
}

impl Checker {
    /// Checks and records that an engine starts an item.
    pub(crate) fn on_item_start(&mut self, job: &JobId, item: ItemNumber, at_most_once: bool) {
        self.jobs.executions += 1;
        let count = self.jobs.starts.entry((job.clone(), item)).or_default();
        *count += 1;
        let repeated = at_most_once && *count > 1;
        self.require(!repeated, Invariant::AtMostOnce, || {
            format!("the at-most-once item {item} of {job} was started again")
        });
        let seen = self.jobs.jobs.get(job);
        let cancelled_at = seen.and_then(|seen| seen.cancelled_at_ms);
        let late = cancelled_at.is_some_and(|at_ms| self.now_ms > at_ms + CANCEL_GRACE_MS);
        self.require(!late, Invariant::CancelStops, || {
            format!("item {item} of {job} was started long after its cancel was confirmed")
        });
    }

    /// Records that a job was acknowledged as accepted.
    pub(crate) fn on_job_accepted(&mut self, record: &JobRecord, items: u32) {
        self.acknowledged += 1;
        self.require(record.total == items, Invariant::JobWhole, || {
            format!("{} has {} items, not {items}", record.job, record.total)
        });
        let seen = self.jobs.jobs.entry(record.job.clone()).or_default();
        seen.items = items;
    }

    /// Records that a job that was sent only once was refused as not executed.
    pub(crate) fn on_job_refused(&mut self, job: &JobId) {
        self.jobs.refused.insert(job.clone());
    }

    /// Records that the cancellation of a job was confirmed.
    pub(crate) fn on_job_cancelled(&mut self, record: &JobRecord) {
        self.acknowledged += 1;
        self.on_job_read(record);
        let now_ms = self.now_ms;
        if let Some(seen) = self.jobs.jobs.get_mut(&record.job) {
            seen.cancelled_at_ms.get_or_insert(now_ms);
        }
    }

    /// Checks a job record: the counts of results never decrease, and do not change after a
    /// confirmed cancellation.
    pub(crate) fn on_job_read(&mut self, record: &JobRecord) {
        let Some(seen) = self.jobs.jobs.get(&record.job).cloned() else {
            return;
        };
        let counts = (record.completed, record.failed);
        let before = (seen.completed, seen.failed);
        let does_not_decrease = counts.0 >= before.0 && counts.1 >= before.1;
        self.require(does_not_decrease, Invariant::AcknowledgedKept, || {
            format!("{} went from {before:?} results to {counts:?}", record.job)
        });
        let unchanged_if_cancelled = seen.cancelled_at_ms.is_none() || counts == before;
        self.require(unchanged_if_cancelled, Invariant::CancelStops, || {
            format!(
                "{} got results after its cancel: {before:?}, then {counts:?}",
                record.job
            )
        });
        let within_total = counts.0 + counts.1 <= seen.items;
        self.require(within_total, Invariant::ExactlyOnce, || {
            format!(
                "{} has {counts:?} results of {} items",
                record.job, seen.items
            )
        });
        if let Some(seen) = self.jobs.jobs.get_mut(&record.job) {
            (seen.completed, seen.failed) = counts;
        }
    }

    /// Records that an acknowledged job was not found.
    pub(crate) fn on_job_missing(&mut self, job: &JobId) {
        self.violate(
            Invariant::AcknowledgedKept,
            format!("{job} was accepted and is not found"),
        );
    }

    /// Checks and records the complete results of an ended job.
    pub(crate) fn on_job_ended(&mut self, record: &JobRecord, output: Vec<u8>, errors: Vec<u8>) {
        self.on_job_read(record);
        let mut items = BTreeSet::new();
        let succeeded = self.check_lines(record, &output, &mut items);
        let failed = self.check_lines(record, &errors, &mut items);
        let counts_match = (succeeded, failed) == (record.completed, record.failed);
        self.require(counts_match, Invariant::ExactlyOnce, || {
            format!(
                "{} has {succeeded} and {failed} lines, its record says {} and {}",
                record.job, record.completed, record.failed
            )
        });
        let missing = record.state == JobState::Completed && items.len() as u32 != record.total;
        self.require(!missing, Invariant::ExactlyOnce, || {
            format!(
                "{} has {} of {} results",
                record.job,
                items.len(),
                record.total
            )
        });
        let ended = EndedJob {
            at_ms: self.now_ms,
            state: record.state,
            output,
            errors,
        };
        if let Some(seen) = self.jobs.jobs.get_mut(&record.job) {
            seen.ended = Some(ended);
        }
    }

    /// Checks the lines of a result file and returns their number.
    fn check_lines(
        &mut self,
        record: &JobRecord,
        content: &[u8],
        items: &mut BTreeSet<String>,
    ) -> u32 {
        let mut count = 0;
        for line in content
            .split(|byte| *byte == b'\n')
            .filter(|line| !line.is_empty())
        {
            count += 1;
            let Ok(line) = serde_json::from_slice::<ResultLine>(line) else {
                let detail = format!("{} has a line that is not a result", record.job);
                self.violate(Invariant::ExactlyOnce, detail);
                continue;
            };
            let item_number = (0..record.total).find(|item| custom_id(*item) == line.custom_id);
            let first_result = item_number.is_some() && items.insert(line.custom_id.clone());
            self.require(first_result, Invariant::ExactlyOnce, || {
                format!(
                    "{} has {} twice, or the line is not an item of the job",
                    record.job, line.custom_id
                )
            });
            if let (Some(item), Some(error)) = (item_number, &line.error) {
                self.check_never_ran(&record.job, ItemNumber(item), &error.code);
            }
        }
        count
    }

    /// Checks that an item that ended with `executed: no` was not started.
    fn check_never_ran(&mut self, job: &JobId, item: ItemNumber, code: &str) {
        let kind = ErrorKind::from_code(code);
        let refused = kind.is_some_and(|kind| kind.answer().executed == Executed::No);
        // A request that the engine rejects was sent to the engine, but counts as not executed.
        let rejected = kind == Some(ErrorKind::ContextTooLong);
        let started = self.jobs.starts.contains_key(&(job.clone(), item));
        self.require(
            !refused || rejected || !started,
            Invariant::RefusedNeverRan,
            || format!("item {item} of {job} ended with {code} and was started"),
        );
    }

    /// Checks all jobs against a converged state.
    pub(crate) fn check_jobs(&mut self, ledger: &Ledger) {
        for job in self.jobs.refused.clone() {
            let found = find_job(ledger, &job);
            self.require(found.is_none(), Invariant::RefusedNeverRan, || {
                format!("{job} was refused with executed: no and exists")
            });
        }
        let now_ms = self.now_ms;
        self.jobs.jobs.retain(|_, seen| {
            let ended = seen.ended.as_ref();
            ended.is_none_or(|ended| now_ms < ended.at_ms + RESULTS_CHECKED_MS)
        });
        for (job, seen) in self.jobs.jobs.clone() {
            let Some(record) = find_job(ledger, &job) else {
                self.on_job_missing(&job);
                continue;
            };
            self.on_job_read(&record);
            if let Some(ended) = seen.ended {
                let now = EndedJob {
                    at_ms: ended.at_ms,
                    state: record.state,
                    output: read_file(ledger, &record.output),
                    errors: read_file(ledger, &record.errors),
                };
                self.require(now == ended, Invariant::AcknowledgedKept, || {
                    format!("the results of {job} changed after it ended")
                });
            }
        }
    }
}

fn find_job(ledger: &Ledger, job: &JobId) -> Option<JobRecord> {
    match ledger.query(&Query::Job(TenantId::from(TENANT), job.clone())) {
        Ok(QueryAnswer::Job(record)) => record,
        _ => None,
    }
}

fn read_file(ledger: &Ledger, file: &FileId) -> Vec<u8> {
    let mut content = Vec::new();
    let mut cursor = Some(0);
    while let Some(position) = cursor {
        let query = Query::FileContent {
            tenant: TenantId::from(TENANT),
            file: file.clone(),
            cursor: position,
            limit: READ_BYTES,
        };
        let Ok(QueryAnswer::FileContent { data, next }) = ledger.query(&query) else {
            break;
        };
        content.extend(data);
        cursor = next;
    }
    content
}
