//! `POST /v1/batches`: a job is accepted completely or refused.

use std::{collections::BTreeMap, sync::Arc};

use gotham::helpers::http::Body;
use http::Response;
use linnethitch_config::fleet::Fleet;
use linnethitch_errors::{ErrorKind, Failure};
use linnethitch_protocol::{
    command::{CommandBody, NewJob, Outcome},
    ids::{FileId, TenantId},
};
use serde::Deserialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    batches::object::batch_response,
    claims::idempotency_key,
    control::client::unexpected,
    http::{IncomingRequest, body::read_complete},
    identifiers::new_job_id,
    online::{checks::invalid, request::CompletionKind},
    state::Gateway,
};

/// Maximum entries of `metadata`.
const MAX_METADATA_ENTRIES: usize = 16;
/// Longest key and value of `metadata`, in bytes.
const MAX_METADATA_KEY_BYTES: usize = 64;
const MAX_METADATA_VALUE_BYTES: usize = 512;
const MS_PER_SECOND: u64 = 1_000;
const MS_PER_HOUR: u64 = 3_600 * MS_PER_SECOND;

#[derive(Debug, Deserialize)]
struct CreateBatch {
    input_file_id: String,
    endpoint: String,
    completion_window: Option<String>,
    metadata: Option<BTreeMap<String, String>>,
}

/// Creates a job.
pub(crate) async fn create(
    gateway: &Arc<Gateway>,
    incoming: IncomingRequest,
) -> Result<Response<Body>, Failure> {
    let (active, tenant) = gateway.authenticate(&incoming.head)?;
    let key = idempotency_key(&incoming.head.headers)?;
    let bytes = read_complete(
        &incoming.connection,
        &incoming.head.headers,
        incoming.body,
        active.document_limits(),
    )
    .await?;
    let requested: CreateBatch = serde_json::from_slice(&bytes)
        .map_err(|error| Failure::new(ErrorKind::MalformedRequest, error.to_string()))?;
    requested.check()?;
    let window_ms = requested.window_ms(&active.fleet)?;
    let job = NewJob {
        job: new_job_id(),
        tenant: TenantId(tenant.name.clone()),
        content_digest: requested.digest(window_ms),
        metadata: requested.metadata_text(),
        input: FileId(requested.input_file_id),
        endpoint: requested.endpoint,
        window_ms,
        idempotency: key,
    };
    match gateway.control.propose(CommandBody::CreateJob(job)).await? {
        Outcome::Job(record) => Ok(batch_response(record)),
        _ => Err(unexpected()),
    }
}

impl CreateBatch {
    fn check(&self) -> Result<(), Failure> {
        if CompletionKind::of_path(&self.endpoint).is_none() {
            return Err(invalid("endpoint", "the endpoint cannot be run as batch"));
        }
        let entries = self.metadata.iter().flatten();
        let too_long = entries.clone().any(|(key, value)| {
            key.len() > MAX_METADATA_KEY_BYTES || value.len() > MAX_METADATA_VALUE_BYTES
        });
        if too_long || entries.count() > MAX_METADATA_ENTRIES {
            return Err(invalid(
                "metadata",
                "metadata may have 16 entries, with keys of 64 and values of 512 bytes",
            ));
        }
        Ok(())
    }

    fn window_ms(&self, fleet: &Fleet) -> Result<u64, Failure> {
        let Some(text) = &self.completion_window else {
            return Ok(u64::from(fleet.batch.default_window_hours) * MS_PER_HOUR);
        };
        parse_window(text).ok_or_else(|| {
            invalid(
                "completion_window",
                "the window must be a number of hours such as 24h, or of days, minutes or seconds",
            )
        })
    }

    fn metadata_text(&self) -> String {
        self.metadata
            .as_ref()
            .and_then(|metadata| serde_json::to_string(metadata).ok())
            .unwrap_or_default()
    }

    /// Digest of the job's content, to distinguish a resend from another job under the same key.
    fn digest(&self, window_ms: u64) -> u64 {
        let content = format!(
            "{}\n{}\n{window_ms}\n{}",
            self.input_file_id,
            self.endpoint,
            self.metadata_text()
        );
        xxh3_64(content.as_bytes())
    }
}

/// A window such as `24h`, in milliseconds.
fn parse_window(text: &str) -> Option<u64> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let unit_ms = match unit {
        "s" => MS_PER_SECOND,
        "m" => 60 * MS_PER_SECOND,
        "h" => MS_PER_HOUR,
        "d" => 24 * MS_PER_HOUR,
        _ => return None,
    };
    let number: u64 = number.parse().ok()?;
    number.checked_mul(unit_ms).filter(|window| *window > 0)
}
