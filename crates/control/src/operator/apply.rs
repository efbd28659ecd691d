//! `PUT /v1/configuration`: applies one change and optionally waits until it is in force.

use std::time::Duration;

use gotham::helpers::http::Body;
use http::{Response, StatusCode};
use linnethitch_clock::{Instant, sleep};
use linnethitch_errors::{ErrorKind, Failure};
use linnethitch_http_server::{IncomingRequest, RequestHead, answer::json_response};
use linnethitch_protocol::{
    command::{ApplyOutcome, CommandBody, Outcome},
    ids::{ChangeId, Revision},
    query::{Query, QueryAnswer},
};
use serde::Serialize;

use super::{
    Operator,
    request::{read_text, required_header},
    unexpected,
};

/// Header with the id of the change, generated once by the operator's tool.
const CHANGE_HEADER: &str = "linnethitch-change";
/// Header with the revision on which the change is based.
const EXPECTED_HEADER: &str = "linnethitch-expected-revision";
/// Query parameter: maximum time in milliseconds to wait until every live gateway has confirmed
/// the change.
const WAIT_PARAMETER: &str = "wait_ms";
/// Maximum length of a change id, in bytes.
const MAX_CHANGE_ID_BYTES: usize = 128;
/// Maximum time to wait for confirmations.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Time between two queries of the revisions in force.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Serialize)]
struct AcceptedBody {
    revision: u64,
    /// Whether every live gateway has confirmed the revision; absent if the request does not wait.
    #[serde(skip_serializing_if = "Option::is_none")]
    in_force: Option<bool>,
}

/// Applies a complete fleet file.
pub(super) async fn apply(
    operator: &Operator,
    request: IncomingRequest,
) -> Result<Response<Body>, Failure> {
    let change = change_id(&request.head)?;
    let expected = expected_revision(&request.head)?;
    let wait = wait_limit(&request.head)?;
    let content = read_text(request).await?;
    let command = CommandBody::ApplyConfiguration {
        change,
        expected,
        content,
    };
    let revision = match operator.propose(command).await? {
        Outcome::Configuration(outcome) => accepted_revision(outcome)?,
        _ => return Err(unexpected()),
    };
    let in_force = match wait {
        Some(limit) => Some(wait_until_in_force(operator, revision, limit).await),
        None => None,
    };
    Ok(json_response(
        StatusCode::OK,
        &AcceptedBody {
            revision: revision.0,
            in_force,
        },
    ))
}

fn change_id(head: &RequestHead) -> Result<ChangeId, Failure> {
    let id = required_header(head, CHANGE_HEADER)?;
    if id.len() > MAX_CHANGE_ID_BYTES {
        let message = format!("a change id has at most {MAX_CHANGE_ID_BYTES} bytes");
        return Err(Failure::new(ErrorKind::InvalidValue, message).with_param(CHANGE_HEADER));
    }
    Ok(ChangeId::from(id))
}

fn expected_revision(head: &RequestHead) -> Result<Revision, Failure> {
    let text = required_header(head, EXPECTED_HEADER)?;
    let number = text.parse().map_err(|_| {
        Failure::new(
            ErrorKind::InvalidValue,
            "the expected revision must be a number",
        )
        .with_param(EXPECTED_HEADER)
    })?;
    Ok(Revision(number))
}

fn wait_limit(head: &RequestHead) -> Result<Option<Duration>, Failure> {
    let Some(text) = head.query(WAIT_PARAMETER) else {
        return Ok(None);
    };
    let milliseconds = text.parse().map_err(|_| {
        Failure::new(
            ErrorKind::InvalidValue,
            "the wait must be a number of milliseconds",
        )
        .with_param(WAIT_PARAMETER)
    })?;
    Ok(Some(Duration::from_millis(milliseconds).min(MAX_WAIT)))
}

fn accepted_revision(outcome: ApplyOutcome) -> Result<Revision, Failure> {
    match outcome {
        ApplyOutcome::Accepted(revision) => Ok(revision),
        ApplyOutcome::Conflict(current) => Err(Failure::new(
            ErrorKind::RevisionConflict,
            format!("the revision in force is {current}"),
        )),
        ApplyOutcome::Invalid(message) => {
            Err(Failure::new(ErrorKind::InvalidConfiguration, message))
        }
        ApplyOutcome::ChangeIdReused => Err(Failure::new(
            ErrorKind::ChangeConflict,
            "the change id was used before with other content",
        )),
    }
}

/// Waits until every live gateway has confirmed a revision; returns `false` after the limit.
async fn wait_until_in_force(operator: &Operator, revision: Revision, limit: Duration) -> bool {
    let deadline = Instant::now() + limit;
    loop {
        // A failed query, such as during an election, is retried until the deadline.
        if let Ok(QueryAnswer::Status(status)) = operator.query(Query::Status).await
            && status.lowest_in_force >= revision
        {
            return true;
        }
        if Instant::now() >= deadline {
            return false;
        }
        sleep(POLL_INTERVAL).await;
    }
}
