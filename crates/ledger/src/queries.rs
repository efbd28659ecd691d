//! Queries of callers and operators.

use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    command::Refusal,
    ids::{FileId, JobId, TenantId},
    query::{FileRecord, FleetStatus, JobRecord, Query, QueryAnswer},
};

use crate::{
    files::FilePhase,
    job::{Job, JobNumber, ResultFile},
    ledger::Ledger,
    limits::{MAX_CONTENT_BYTES, MAX_PAGE_JOBS},
    refusal::{Rejection, refuse},
};

const RESULT_PURPOSE: &str = "batch_output";

/// The file that a file id refers to.
enum FoundFile<'a> {
    Input(&'a crate::files::InputFile),
    Result(&'a Job, ResultFile),
}

impl Ledger {
    /// Answers a query from the current state.
    ///
    /// Members, gateways and replicas in [`QueryAnswer::Status`] remain empty.
    ///
    /// # Errors
    /// `NotFound` if the tenant has no such file; `Corrupted` or `Io` when this member's
    /// payload store fails. The query can then be sent to another member.
    pub fn query(&self, query: &Query) -> Result<QueryAnswer, Refusal> {
        self.answer(query).map_err(|rejection| match rejection {
            Rejection::Refused(refusal) => refusal,
            Rejection::Fatal(report) => {
                Refusal::new(*report.current_context(), "the payload store failed")
            }
        })
    }

    fn answer(&self, query: &Query) -> Result<QueryAnswer, Rejection> {
        Ok(match query {
            Query::Configuration => QueryAnswer::Configuration {
                revision: self.configuration.state.revision,
                content: self.configuration.state.content.to_string(),
            },
            Query::Change(change) => {
                QueryAnswer::Change(self.configuration.accepted_change(change))
            }
            Query::Job(tenant, job) => {
                QueryAnswer::Job(self.visible_job(tenant, job).map(|(_, job)| job.record()))
            }
            Query::Jobs {
                tenant,
                after,
                limit,
            } => self.job_page(tenant, after.as_ref(), *limit),
            Query::File(tenant, file) => QueryAnswer::File(self.file_record(tenant, file)),
            Query::Files {
                tenant,
                after,
                limit,
            } => self.file_page(tenant, after.as_ref(), *limit),
            Query::FileContent {
                tenant,
                file,
                cursor,
                limit,
            } => self.file_content(tenant, file, *cursor, *limit)?,
            Query::Claim(tenant, key) => QueryAnswer::Claim(self.claim_record(tenant, key)?),
            Query::Status => QueryAnswer::Status(self.status()),
        })
    }

    fn job_page(&self, tenant: &TenantId, after: Option<&JobId>, limit: u32) -> QueryAnswer {
        let before = after
            .and_then(|job| self.visible_job(tenant, job))
            .map(|(number, _)| number);
        let first = (tenant.clone(), JobNumber(0));
        let last = (tenant.clone(), before.unwrap_or(JobNumber(u64::MAX)));
        let limit = limit.clamp(1, MAX_PAGE_JOBS) as usize;
        let numbers = self
            .tenant_jobs
            .range(first..last)
            .rev()
            .map(|(_, number)| number);
        let visible = numbers
            .filter_map(|number| self.state.jobs.get(number))
            .filter(|job| !job.is_dropping());
        let mut jobs: Vec<JobRecord> = visible.take(limit + 1).map(|job| job.record()).collect();
        let more = jobs.len() > limit;
        jobs.truncate(limit);
        QueryAnswer::Jobs { jobs, more }
    }

    /// Scans all files of the ledger, of which there are a few thousand.
    fn file_page(&self, tenant: &TenantId, after: Option<&FileId>, limit: u32) -> QueryAnswer {
        let mut records: Vec<FileRecord> = self
            .state
            .files
            .iter()
            .filter(|(_, file)| file.tenant == *tenant)
            .filter_map(|(id, file)| file.finished_record(id))
            .collect();
        records.sort_by(|one, other| {
            (other.created_at, &other.file).cmp(&(one.created_at, &one.file))
        });
        let start = after.map_or(0, |id| {
            records
                .iter()
                .position(|record| record.file == *id)
                .map_or(records.len(), |position| position + 1)
        });
        let limit = limit.clamp(1, MAX_PAGE_JOBS) as usize;
        let more = records.len() > start + limit;
        let files = records.into_iter().skip(start).take(limit).collect();
        QueryAnswer::Files { files, more }
    }

    fn find_file(&self, tenant: &TenantId, file: &FileId) -> Option<FoundFile<'_>> {
        if let Some(input) = self.state.files.get(file) {
            let is_visible =
                input.tenant == *tenant && matches!(input.phase, FilePhase::Finished(_));
            return is_visible.then_some(FoundFile::Input(input));
        }
        let (job, kind) = ResultFile::parse(file)?;
        let (_, job) = self.visible_job(tenant, &job)?;
        Some(FoundFile::Result(job, kind))
    }

    fn file_record(&self, tenant: &TenantId, file: &FileId) -> Option<FileRecord> {
        match self.find_file(tenant, file)? {
            FoundFile::Input(input) => input.finished_record(file),
            FoundFile::Result(job, kind) => Some(FileRecord {
                file: file.clone(),
                tenant: tenant.clone(),
                purpose: RESULT_PURPOSE.to_owned(),
                filename: format!("{file}.jsonl"),
                bytes: job.results(kind).len(),
                lines: job.results(kind).lines,
                created_at: job.finished_at.unwrap_or(job.created_at),
            }),
        }
    }

    /// Reads a page of a file's content. The cursor is a byte offset.
    fn file_content(
        &self,
        tenant: &TenantId,
        file: &FileId,
        cursor: u64,
        limit: u32,
    ) -> Result<QueryAnswer, Rejection> {
        let limit = limit.clamp(1, MAX_CONTENT_BYTES) as usize;
        let payloads = self.payloads.as_ref();
        let (data, length) = match self.find_file(tenant, file) {
            Some(FoundFile::Input(input)) => (
                input.content.read(payloads, cursor, limit)?,
                input.content.len(),
            ),
            Some(FoundFile::Result(job, kind)) => {
                let results = job.results(kind);
                (results.read(payloads, cursor, limit)?, results.len())
            }
            None => return refuse(ErrorKind::NotFound, "no such file"),
        };
        let next = cursor.saturating_add(data.len() as u64);
        Ok(QueryAnswer::FileContent {
            data,
            next: (next < length).then_some(next),
        })
    }

    fn status(&self) -> FleetStatus {
        let fleet = self.fleet();
        let evacuated = fleet.iter().flat_map(|fleet| fleet.evacuated_zones());
        FleetStatus {
            evacuated_zones: evacuated.map(str::to_owned).collect(),
            revision: self.configuration.state.revision,
            open_jobs: self.open_jobs as u64,
            pending_items: self.scheduler.pending().map(|(_, count)| count).sum(),
            leased_items: self.sessions.leased_items(),
            ..FleetStatus::default()
        }
    }
}
