//! Jobs as batch objects of the OpenAI interface, and the calls that read and cancel them.

use std::sync::Arc;

use gotham::helpers::http::Body;
use http::{Response, StatusCode};
use linnethitch_errors::{ErrorKind, Failure};
use linnethitch_protocol::{
    command::{CommandBody, Outcome},
    ids::{JobId, TenantId, Timestamp},
    query::{JobRecord, JobState, Query, QueryAnswer},
};
use serde::Serialize;
use serde_json::Value;

use crate::{
    control::client::unexpected,
    http::{
        RequestHead,
        answer::json_response,
        page::{Page, list_response},
    },
    state::Gateway,
};

/// Position of the id in `/v1/batches/{id}`.
const JOB_SEGMENT: usize = 2;
const MS_PER_SECOND: u64 = 1_000;
const MS_PER_HOUR: u64 = 3_600 * MS_PER_SECOND;

/// A job as callers see it.
#[derive(Debug, Serialize)]
pub(super) struct BatchObject {
    id: String,
    object: &'static str,
    endpoint: String,
    errors: Option<()>,
    input_file_id: String,
    completion_window: String,
    status: &'static str,
    output_file_id: Option<String>,
    error_file_id: Option<String>,
    created_at: u64,
    in_progress_at: Option<u64>,
    expires_at: Option<u64>,
    finalizing_at: Option<u64>,
    completed_at: Option<u64>,
    failed_at: Option<u64>,
    expired_at: Option<u64>,
    cancelling_at: Option<u64>,
    cancelled_at: Option<u64>,
    request_counts: RequestCounts,
    metadata: Option<Value>,
}

#[derive(Debug, Serialize)]
struct RequestCounts {
    total: u32,
    completed: u32,
    failed: u32,
}

fn seconds(time: Timestamp) -> u64 {
    time.0 / MS_PER_SECOND
}

impl From<JobRecord> for BatchObject {
    fn from(job: JobRecord) -> Self {
        let ended = !matches!(job.state, JobState::InProgress | JobState::Cancelling);
        let finished_in = |state| {
            (job.state == state)
                .then_some(job.finished_at)
                .flatten()
                .map(seconds)
        };
        BatchObject {
            object: "batch",
            errors: None,
            completion_window: window_text(job.deadline.0.saturating_sub(job.created_at.0)),
            status: status(job.state),
            output_file_id: (ended && job.completed > 0).then(|| job.output.0.clone()),
            error_file_id: (ended && job.failed > 0).then(|| job.errors.0.clone()),
            created_at: seconds(job.created_at),
            in_progress_at: Some(seconds(job.created_at)),
            expires_at: Some(seconds(job.deadline)),
            finalizing_at: finished_in(JobState::Completed),
            completed_at: finished_in(JobState::Completed),
            failed_at: None,
            expired_at: finished_in(JobState::Expired),
            cancelling_at: None,
            cancelled_at: finished_in(JobState::Cancelled),
            request_counts: RequestCounts {
                total: job.total,
                completed: job.completed,
                failed: job.failed,
            },
            metadata: serde_json::from_str(&job.metadata).ok(),
            id: job.job.0,
            endpoint: job.endpoint,
            input_file_id: job.input.0,
        }
    }
}

fn status(state: JobState) -> &'static str {
    match state {
        JobState::InProgress => "in_progress",
        JobState::Completed => "completed",
        JobState::Cancelling => "cancelling",
        JobState::Cancelled => "cancelled",
        JobState::Expired => "expired",
    }
}

/// A window in whole hours, else in seconds.
fn window_text(window_ms: u64) -> String {
    if window_ms > 0 && window_ms.is_multiple_of(MS_PER_HOUR) {
        format!("{}h", window_ms / MS_PER_HOUR)
    } else {
        format!("{}s", window_ms / MS_PER_SECOND)
    }
}

pub(super) fn batch_response(job: JobRecord) -> Response<Body> {
    json_response(StatusCode::OK, &BatchObject::from(job))
}

fn job_not_found(job: &JobId) -> Failure {
    let shown: String = job.0.chars().take(128).collect();
    Failure::new(
        ErrorKind::NotFound,
        format!("no batch has the id {shown:?}"),
    )
}

/// `GET /v1/batches`
pub(crate) async fn list(
    gateway: &Arc<Gateway>,
    head: &RequestHead,
) -> Result<Response<Body>, Failure> {
    let (_, tenant) = gateway.authenticate(head)?;
    let page = Page::of(head)?;
    let query = Query::Jobs {
        tenant: TenantId(tenant.name.clone()),
        after: page.after.map(JobId),
        limit: page.limit,
    };
    let QueryAnswer::Jobs { jobs, more } = gateway.control.query(query).await? else {
        return Err(unexpected());
    };
    let objects = jobs.into_iter().map(BatchObject::from).collect();
    Ok(list_response(objects, more, |job: &BatchObject| &job.id))
}

/// `GET /v1/batches/{id}`
pub(crate) async fn get(
    gateway: &Arc<Gateway>,
    head: &RequestHead,
) -> Result<Response<Body>, Failure> {
    let (_, tenant) = gateway.authenticate(head)?;
    let job = JobId::from(head.segment(JOB_SEGMENT));
    let query = Query::Job(TenantId(tenant.name.clone()), job.clone());
    match gateway.control.query(query).await? {
        QueryAnswer::Job(Some(record)) => Ok(batch_response(record)),
        QueryAnswer::Job(None) => Err(job_not_found(&job)),
        _ => Err(unexpected()),
    }
}

/// `POST /v1/batches/{id}/cancel`
pub(crate) async fn cancel(
    gateway: &Arc<Gateway>,
    head: &RequestHead,
) -> Result<Response<Body>, Failure> {
    let (_, tenant) = gateway.authenticate(head)?;
    let job = JobId::from(head.segment(JOB_SEGMENT));
    let command = CommandBody::CancelJob {
        tenant: TenantId(tenant.name.clone()),
        job: job.clone(),
    };
    match gateway.control.propose(command).await {
        Ok(Outcome::Job(record)) => Ok(batch_response(record)),
        Ok(_) => Err(unexpected()),
        Err(failure) if failure.kind == ErrorKind::NotFound => Err(job_not_found(&job)),
        Err(failure) => Err(failure),
    }
}
