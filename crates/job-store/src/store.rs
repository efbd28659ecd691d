//! The replicated state of the job store.

use std::collections::{BTreeMap, BTreeSet};

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_group::StateMachine;
use linnethitch_protocol::{format::Format, ids::LogIndex};
use linnethitch_storage::SnapshotReader;

use crate::{
    call::{ItemResult, QueueBound, ResultsPage},
    command::{ItemOutcome, ItemRef, StoreAnswer, StoreCommand},
    job::{Job, JobSpec, ListedState},
    progress::{ProgressTable, RunProgress},
    snapshot::{self, JobStoreSnapshot},
};

/// All accepted jobs that are not dropped yet.
#[derive(Default)]
pub struct JobStore {
    pub(crate) jobs: BTreeMap<String, Job>,
    /// Jobs with items that may still run.
    pub(crate) open: BTreeSet<String>,
    pub(crate) accepted: u64,
    /// The newest stored snapshot, which contains older texts.
    pub(crate) snapshot: Option<SnapshotReader>,
    /// Events of unfinished items.
    pub(crate) progress: ProgressTable,
    /// The newest format among the applied entries; all members read this format.
    pub(crate) format: Format,
}

impl JobStore {
    /// The job with an id.
    #[must_use]
    pub fn job(&self, id: &str) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// Jobs with items that may still run.
    pub fn open_jobs(&self) -> impl Iterator<Item = &Job> {
        self.open.iter().filter_map(|id| self.jobs.get(id))
    }

    /// Number of jobs accepted so far, including dropped jobs.
    #[must_use]
    pub fn accepted(&self) -> u64 {
        self.accepted
    }

    /// Removes a job from the open jobs if it is no longer open.
    fn update_open(&mut self, id: &str) {
        if !self.jobs.get(id).is_some_and(Job::is_open) {
            self.open.remove(id);
        }
    }

    /// Number of stored jobs.
    #[must_use]
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether no job is stored.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Bytes of the texts in memory, which no stored snapshot contains yet.
    #[must_use]
    pub fn in_memory_text_bytes(&self) -> usize {
        let results = self.jobs.values().flat_map(|job| &job.results);
        results.map(|listed| listed.text.in_memory_bytes()).sum()
    }

    /// Tokens of the unlisted items of open jobs that count towards a bound.
    #[must_use]
    pub fn waiting_tokens(&self, bound: &QueueBound) -> u64 {
        let jobs = self
            .open_jobs()
            .filter(|job| bound.concerns(&job.spec.host, &job.spec.path, job.tenant.as_deref()));
        jobs.map(|job| job.waiting_tokens).sum()
    }

    /// Memory of the items of all jobs, in bytes.
    #[must_use]
    pub fn item_bytes(&self) -> u64 {
        self.jobs.values().map(|job| job.item_bytes).sum()
    }

    /// Bytes of the stored event texts of unfinished items.
    #[must_use]
    pub fn progress_bytes(&self) -> u64 {
        self.progress.bytes()
    }

    /// Whether an item may still run.
    #[must_use]
    pub fn is_item_open(&self, item: &ItemRef) -> bool {
        let job = self.jobs.get(&item.job);
        job.is_some_and(|job| job.is_item_open(item.item))
    }

    /// Whether the job exists and the caller may see it.
    #[must_use]
    pub fn is_visible(&self, job: &str, caller: Option<&str>) -> bool {
        let job = self.jobs.get(job);
        job.is_some_and(|job| job.is_visible_to(caller))
    }

    /// Results from a position on: up to `max_bytes` of text, but at least one result if there
    /// is any. `None` if there is no such job.
    ///
    /// # Errors
    /// `Corrupted` or `Io` when a stored text cannot be read.
    pub fn results(
        &self,
        job: &str,
        since: u32,
        max_bytes: u32,
    ) -> Result<Option<ResultsPage>, Report<ErrorKind>> {
        let Some(job) = self.jobs.get(job) else {
            return Ok(None);
        };
        let listed = job.results.iter().skip(since as usize);
        let mut bytes = 0;
        let mut results = Vec::new();
        for entry in listed {
            bytes += entry.text.bytes();
            if !results.is_empty() && bytes > max_bytes as usize {
                break;
            }
            results.push(ItemResult {
                id: job.items[entry.item as usize].spec.id.clone(),
                state: entry.state,
                text: entry.text.read(self.snapshot.as_ref())?,
            });
        }
        Ok(Some(ResultsPage {
            total: job.items.len() as u32,
            results,
        }))
    }

    /// Number of items of a job and of its listed items; `None` if there is no such job.
    #[must_use]
    pub fn listed(&self, job: &str) -> Option<(u32, u32)> {
        let job = self.jobs.get(job)?;
        Some((job.items.len() as u32, job.results.len() as u32))
    }

    /// The body of an unlisted item of a job that has not been ended.
    #[must_use]
    pub fn body(&self, job: &str, item: &str) -> Option<&[u8]> {
        let job = self.jobs.get(job).filter(|job| !job.ended)?;
        let mut items = job.items.iter();
        let found = items.find(|stored| stored.spec.id == item && !stored.listed)?;
        Some(&found.spec.body)
    }

    fn submit(&mut self, spec: JobSpec, tenant: Option<String>) -> StoreAnswer {
        if let Some(existing) = self.jobs.get(&spec.id) {
            return if existing.tenant == tenant {
                StoreAnswer::Done
            } else {
                StoreAnswer::OtherTenant
            };
        }
        self.accepted += 1;
        let id = spec.id.clone();
        self.open.insert(id.clone());
        let job = Job::new(spec, tenant, self.accepted);
        self.jobs.insert(id.clone(), job);
        self.update_open(&id);
        StoreAnswer::Done
    }

    fn report(&mut self, item: &ItemRef, outcome: ItemOutcome) -> StoreAnswer {
        let Some(job) = self.jobs.get_mut(&item.job) else {
            return StoreAnswer::UnknownJob;
        };
        match outcome {
            ItemOutcome::Succeeded(text) => {
                job.list(item.item, ListedState::Succeeded, text);
            }
            ItemOutcome::Unprocessable | ItemOutcome::RouteRemoved => {
                job.list(item.item, ListedState::GivenUp, String::new());
            }
            ItemOutcome::Failed { failures_before } => {
                count_failure(job, item.item, failures_before);
            }
        }
        if !job.is_item_open(item.item) {
            self.progress.remove(item);
        }
        self.update_open(&item.job);
        StoreAnswer::Done
    }

    /// Lists an item whose last events were reported. If the events before them are not stored,
    /// the gateway has to send the complete text.
    fn finish(&mut self, last: RunProgress) -> StoreAnswer {
        let item = last.progress.item.clone();
        if !self.jobs.contains_key(&item.job) {
            return StoreAnswer::UnknownJob;
        }
        if !self.is_item_open(&item) {
            return StoreAnswer::Done;
        }
        match self.progress.get(&item).complete_text(last) {
            Some(text) => self.report(&item, ItemOutcome::Succeeded(text)),
            None => StoreAnswer::ReportAgain(vec![item]),
        }
    }

    fn end(&mut self, id: &str, caller: Option<&str>) -> StoreAnswer {
        let found = self.jobs.get_mut(id);
        let Some(job) = found.filter(|job| job.is_visible_to(caller)) else {
            return StoreAnswer::UnknownJob;
        };
        job.end();
        self.progress.remove_job(id);
        self.update_open(id);
        StoreAnswer::Done
    }

    fn record_progress(&mut self, reports: impl IntoIterator<Item = RunProgress>) -> StoreAnswer {
        let mut incomplete = Vec::new();
        for report in reports {
            let item = report.progress.item.clone();
            if self.is_item_open(&item) && !self.progress.record(report) {
                incomplete.push(item);
            }
        }
        if incomplete.is_empty() {
            StoreAnswer::Done
        } else {
            StoreAnswer::ReportAgain(incomplete)
        }
    }

    fn advance_time(&mut self, elapsed_ms: u64, retention_ms: u64) -> StoreAnswer {
        for job in self.jobs.values_mut() {
            job.age_ms += elapsed_ms;
            if job.is_open() && job.age_ms > job.spec.give_up_ms {
                give_up_all(job);
                self.progress.remove_job(&job.spec.id);
            }
        }
        self.jobs
            .retain(|_, job| job.is_open() || job.age_ms <= retention_ms);
        let jobs = &self.jobs;
        self.open
            .retain(|id| jobs.get(id).is_some_and(Job::is_open));
        StoreAnswer::Done
    }
}

fn give_up_all(job: &mut Job) {
    for item in 0..job.items.len() as u32 {
        job.list(item, ListedState::GivenUp, String::new());
    }
}

fn count_failure(job: &mut Job, item: u32, failures_before: u32) {
    let max_attempts = job.spec.max_attempts;
    let Some(stored) = job.items.get_mut(item as usize) else {
        return;
    };
    if stored.failures != failures_before {
        return;
    }
    stored.failures += 1;
    if stored.failures >= max_attempts {
        job.list(item, ListedState::GivenUp, String::new());
    }
}

impl StateMachine for JobStore {
    type Answer = StoreAnswer;
    type Snapshot = JobStoreSnapshot;

    fn apply(&mut self, _: LogIndex, command: &[u8]) -> Result<Self::Answer, Report<ErrorKind>> {
        let parsed = StoreCommand::from_stored(command)?;
        self.format = self.format.max(StoreCommand::format_of(command));
        Ok(match parsed {
            StoreCommand::Submit(job) => self.submit(job, None),
            StoreCommand::SubmitFor(submitted) => {
                self.submit(submitted.job, Some(submitted.tenant))
            }
            StoreCommand::Report { item, outcome } => self.report(&item, outcome),
            StoreCommand::End { job } => self.end(&job, None),
            StoreCommand::EndFor { job, tenant } => self.end(&job, Some(&tenant)),
            StoreCommand::Progress(progress) => {
                self.record_progress(progress.into_iter().map(RunProgress::without_run_id))
            }
            StoreCommand::Finish(last) => self.finish(RunProgress::without_run_id(last)),
            StoreCommand::KeepProgress(progress) => self.record_progress(progress),
            StoreCommand::FinishRun(last) => self.finish(*last),
            StoreCommand::Pass {
                elapsed_ms,
                kept_ms,
            } => self.advance_time(elapsed_ms, kept_ms),
        })
    }

    fn begin_snapshot(&self) -> Result<JobStoreSnapshot, Report<ErrorKind>> {
        JobStoreSnapshot::capture(self)
    }

    fn snapshot_stored(&mut self, snapshot: JobStoreSnapshot, content: SnapshotReader) {
        snapshot.release_texts(&mut self.jobs);
        self.snapshot = Some(content);
    }

    fn from_snapshot(content: SnapshotReader) -> Result<Self, Report<ErrorKind>> {
        snapshot::restore(content)
    }

    fn format(&self) -> Format {
        self.format
    }
}
