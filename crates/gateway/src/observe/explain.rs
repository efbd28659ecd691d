//! `GET /v1/explain/{id}` and `GET /metrics`.

use std::{borrow::Cow, sync::Arc};

use gotham::helpers::http::Body;
use http::{HeaderValue, Response, StatusCode};
use linnethitch_errors::{ErrorKind, Failure};
use linnethitch_observability::{journal::JournalRecord, metrics::CONTENT_TYPE};
use percent_encoding::percent_decode_str;
use serde::Serialize;

use crate::{
    http::{
        RequestHead,
        answer::{bytes_response, json_response},
    },
    state::Gateway,
    tenants::has_key_with_hash,
};

/// Prefix of the path before the id.
const PATH_PREFIX: &str = "/v1/explain/";

#[derive(Debug, Serialize)]
struct Explanation {
    object: &'static str,
    id: String,
    records: Vec<JournalRecord>,
}

/// Returns the journal records about a request, job, item (`JOB/NUMBER`), replica or revision.
/// An operator sees all records; a tenant sees the records of its own requests and those that
/// belong to no tenant.
pub(crate) async fn explain(
    gateway: &Arc<Gateway>,
    head: &RequestHead,
) -> Result<Response<Body>, Failure> {
    let requester = requester(gateway, head)?;
    let id = requested_id(head)?;
    let journal = gateway.observer.journal.clone();
    let requested = id.clone();
    let found = tokio::task::spawn_blocking(move || journal.lookup(&requested)).await;
    let mut records = match found {
        Ok(Ok(records)) => records,
        Ok(Err(error)) => return Err(Failure::new(ErrorKind::Io, error.to_string())),
        Err(_) => return Err(Failure::from(ErrorKind::Internal)),
    };
    records.retain(|record| requester.may_see(record));
    let explanation = Explanation {
        object: "explanation",
        id,
        records,
    };
    Ok(json_response(StatusCode::OK, &explanation))
}

/// Who requests the explanation.
enum Requester {
    Operator,
    Tenant(String),
}

impl Requester {
    fn may_see(&self, record: &JournalRecord) -> bool {
        match (self, record.subject.tenant.as_deref()) {
            (Requester::Operator, _) | (Requester::Tenant(_), None) => true,
            (Requester::Tenant(name), Some(owner)) => owner == name,
        }
    }
}

fn requester(gateway: &Gateway, head: &RequestHead) -> Result<Requester, Failure> {
    let operators = gateway.settings.operator_key_sha256.as_deref();
    if operators.is_some_and(|hash| has_key_with_hash(&head.headers, hash)) {
        return Ok(Requester::Operator);
    }
    let (_, tenant) = gateway.authenticate(head)?;
    Ok(Requester::Tenant(tenant.name.clone()))
}

fn requested_id(head: &RequestHead) -> Result<String, Failure> {
    let path = head.uri.path();
    let encoded = path.strip_prefix(PATH_PREFIX).unwrap_or_default();
    percent_decode_str(encoded)
        .decode_utf8()
        .ok()
        .map(Cow::into_owned)
        .filter(|id| !id.is_empty())
        .ok_or_else(|| Failure::new(ErrorKind::InvalidValue, "the path must end with an id"))
}

/// `GET /metrics`: the metrics in text format.
pub(crate) fn metrics(gateway: &Gateway) -> Response<Body> {
    let observer = &gateway.observer;
    let metrics = &observer.metrics;
    let losses = observer.journal.losses();
    metrics
        .journal_records_lost
        .set(to_gauge(losses.dropped + losses.failed));
    metrics
        .queue_length
        .set(to_gauge(gateway.decisions.queue_length() as u64));
    let attached = gateway.control.is_attached();
    metrics.control_attached.set(i64::from(attached));
    let text = gateway.ingress.metrics_after(&observer.registry.text());
    bytes_response(StatusCode::OK, HeaderValue::from_static(CONTENT_TYPE), text)
}

fn to_gauge(number: u64) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}
