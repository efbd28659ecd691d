//! `GET /v1/jobs/{tenant}[/{job}]`: batch jobs, for operators.

use gotham::helpers::http::Body;
use http::{Response, StatusCode};
use linnethitch_errors::{ErrorKind, Failure};
use linnethitch_http_server::answer::json_response;
use linnethitch_protocol::{
    ids::{JobId, TenantId},
    query::{JobRecord, JobState, Query, QueryAnswer},
};
use serde::Serialize;

use super::{Operator, OperatorRequest, unexpected};

/// Maximum number of jobs on one page.
const MAX_PAGE_JOBS: u32 = 100;

#[derive(Serialize)]
struct JobBody {
    job: String,
    tenant: String,
    state: &'static str,
    endpoint: String,
    total: u32,
    completed: u32,
    failed: u32,
    created_at_ms: u64,
    deadline_ms: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    finished_at_ms: Option<u64>,
}

#[derive(Serialize)]
struct JobsBody {
    jobs: Vec<JobBody>,
    more: bool,
}

/// Lists a page of a tenant's jobs, newest first; `?after=JOB` returns the page after a job.
pub(super) async fn list(
    operator: &Operator,
    request: OperatorRequest,
) -> Result<Response<Body>, Failure> {
    let query = Query::Jobs {
        tenant: tenant(&request),
        after: request.incoming.head.query("after").map(JobId::from),
        limit: MAX_PAGE_JOBS,
    };
    match operator.query(query).await? {
        QueryAnswer::Jobs { jobs, more } => Ok(json_response(
            StatusCode::OK,
            &JobsBody {
                jobs: jobs.into_iter().map(JobBody::from).collect(),
                more,
            },
        )),
        _ => Err(unexpected()),
    }
}

/// Answers with one job.
pub(super) async fn get(
    operator: &Operator,
    request: OperatorRequest,
) -> Result<Response<Body>, Failure> {
    let job = JobId::from(request.names.job.as_deref().unwrap_or_default());
    match operator.query(Query::Job(tenant(&request), job)).await? {
        QueryAnswer::Job(Some(record)) => Ok(json_response(StatusCode::OK, &JobBody::from(record))),
        QueryAnswer::Job(None) => Err(Failure::new(ErrorKind::NotFound, "no such job")),
        _ => Err(unexpected()),
    }
}

fn tenant(request: &OperatorRequest) -> TenantId {
    TenantId::from(request.names.tenant.as_deref().unwrap_or_default())
}

impl From<JobRecord> for JobBody {
    fn from(record: JobRecord) -> Self {
        JobBody {
            job: record.job.0,
            tenant: record.tenant.0,
            state: state_name(record.state),
            endpoint: record.endpoint,
            total: record.total,
            completed: record.completed,
            failed: record.failed,
            created_at_ms: record.created_at.0,
            deadline_ms: record.deadline.0,
            finished_at_ms: record.finished_at.map(|at| at.0),
        }
    }
}

fn state_name(state: JobState) -> &'static str {
    match state {
        JobState::InProgress => "in_progress",
        JobState::Completed => "completed",
        JobState::Cancelling => "cancelling",
        JobState::Cancelled => "cancelled",
        JobState::Expired => "expired",
    }
}
