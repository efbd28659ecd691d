//! One line of a batch input file.

use linnethitch_config::fleet::Fleet;
use linnethitch_errors::{ErrorKind, Failure};
use linnethitch_protocol::{command::ItemHead, ids::RequestId};
use serde::Deserialize;
use serde_json::{Map, Value};

use crate::online::request::{CompletionKind, CompletionRequest};

/// Longest `custom_id`, in bytes.
const MAX_CUSTOM_ID_BYTES: usize = 512;

/// Whether an item may be run again after a failure.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum RunMode {
    /// May run again after a failure.
    #[default]
    Repeatable,
    /// Never runs twice.
    AtMostOnce,
}

/// A parsed line of a batch input file.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct BatchLine {
    /// The caller's identifier of the item.
    pub(crate) custom_id: String,
    method: String,
    url: String,
    /// The request body.
    pub(crate) body: Map<String, Value>,
    #[serde(default)]
    run: RunMode,
}

impl BatchLine {
    /// Parses a line.
    pub(crate) fn parse(line: &[u8]) -> Result<Self, Failure> {
        serde_json::from_slice(line).map_err(|error| {
            let reason = error.to_string();
            // The parser's position is relative to this line, not to the file, so it is dropped.
            let reason = reason.split(" at line ").next().unwrap_or_default();
            Failure::new(ErrorKind::InvalidBatchLine, reason)
        })
    }

    /// The completion endpoint of the line.
    pub(crate) fn kind(&self) -> Result<CompletionKind, Failure> {
        CompletionKind::of_path(&self.url).ok_or_else(|| {
            let shown: String = self.url.chars().take(128).collect();
            Failure::new(
                ErrorKind::InvalidBatchLine,
                format!("the url {shown:?} cannot be run as batch"),
            )
        })
    }

    /// Checks the line against the configuration in force.
    pub(crate) fn check(self, fleet: &Fleet, bytes: usize) -> Result<ItemHead, Failure> {
        let invalid = |message: &str| Failure::new(ErrorKind::InvalidBatchLine, message);
        if self.custom_id.is_empty() || self.custom_id.len() > MAX_CUSTOM_ID_BYTES {
            return Err(invalid("`custom_id` must have 1 to 512 bytes"));
        }
        if self.method != "POST" {
            return Err(invalid("`method` must be POST"));
        }
        let kind = self.kind()?;
        if self.body.get("stream").and_then(Value::as_bool) == Some(true) {
            return Err(invalid("`stream` is not possible in a batch"));
        }
        let request = CompletionRequest::from_body(kind, RequestId::default(), self.body, fleet)?;
        let batch_allowed = fleet
            .models
            .iter()
            .any(|pool| pool.name == request.pool() && pool.batch);
        if !batch_allowed {
            return Err(invalid("the model takes no batch work"));
        }
        Ok(ItemHead {
            bytes: u32::try_from(bytes).unwrap_or(u32::MAX),
            model: request.model.as_str().into(),
            endpoint: kind.path().to_owned(),
            at_most_once: self.run == RunMode::AtMostOnce,
            custom_id: self.custom_id,
        })
    }
}
