//! `GET /v1/explain/{id}`: records of this member's decision journal.

use gotham::helpers::http::Body;
use http::{Response, StatusCode};
use linnethitch_errors::{ErrorKind, Failure};
use linnethitch_http_server::answer::json_response;
use linnethitch_observability::journal::JournalRecord;
use serde::Serialize;

use super::{Operator, OperatorRequest};

#[derive(Serialize)]
struct Explanation {
    records: Vec<JournalRecord>,
}

/// Answers with all records about a job, item, replica, tenant or revision.
pub(super) async fn explain(
    operator: &Operator,
    request: OperatorRequest,
) -> Result<Response<Body>, Failure> {
    let id = request.names.id.as_deref().unwrap_or_default().join("/");
    let recorder = operator.recorder.clone();
    let lookup = tokio::task::spawn_blocking(move || recorder.lookup(&id)).await;
    match lookup {
        Ok(Ok(records)) => Ok(json_response(StatusCode::OK, &Explanation { records })),
        Ok(Err(error)) => Err(Failure::new(ErrorKind::Io, error.to_string())),
        Err(error) => Err(Failure::new(ErrorKind::Internal, error.to_string())),
    }
}
