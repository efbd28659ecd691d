//! Results, stored as lines of a job's output and error files.

use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    ids::{ItemNumber, JobId},
    query::ItemOutcome,
};
use linnethitch_storage::{Payloads, StorageResult};
use rkyv::{Archive, Deserialize, Serialize};
use serde_json::{json, value::RawValue};

use crate::stored_bytes::StoredBytes;

/// A result file: written blocks, and buffered lines of the next block.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub(crate) struct ResultStream {
    /// Written blocks.
    pub(crate) stored: StoredBytes,
    /// Lines not yet written to the payload store.
    pub(crate) tail: Vec<u8>,
    /// Total number of lines.
    pub(crate) lines: u32,
}

impl ResultStream {
    /// Total length in bytes.
    pub(crate) fn len(&self) -> u64 {
        self.stored.len() + self.tail.len() as u64
    }

    /// Adds a line. The buffered lines are written once they reach `block_bytes`.
    pub(crate) fn push(
        &mut self,
        payloads: &mut dyn Payloads,
        line: &[u8],
        block_bytes: usize,
    ) -> StorageResult<()> {
        self.tail.extend_from_slice(line);
        self.lines += 1;
        if self.tail.len() >= block_bytes {
            self.flush(payloads)?;
        }
        Ok(())
    }

    /// Writes the buffered lines.
    pub(crate) fn flush(&mut self, payloads: &mut dyn Payloads) -> StorageResult<()> {
        self.stored.append(payloads, &self.tail)?;
        self.tail = Vec::new();
        Ok(())
    }

    /// Reads up to `limit` bytes from `offset`; fewer only at the end.
    pub(crate) fn read(
        &self,
        payloads: &dyn Payloads,
        offset: u64,
        limit: usize,
    ) -> StorageResult<Vec<u8>> {
        let mut data = self.stored.read(payloads, offset, limit)?;
        let position = offset + data.len() as u64;
        if let Some(start) = position.checked_sub(self.stored.len()) {
            let start = (start as usize).min(self.tail.len());
            let end = start
                .saturating_add(limit - data.len())
                .min(self.tail.len());
            data.extend_from_slice(&self.tail[start..end]);
        }
        Ok(data)
    }
}

/// Whether a result counts as failed.
pub(crate) fn is_failure(outcome: &ItemOutcome) -> bool {
    !outcome.error_code.is_empty()
}

/// A failed result of an item without an answer from a back end.
pub(crate) fn failure(item: ItemNumber, kind: ErrorKind) -> ItemOutcome {
    ItemOutcome {
        item,
        status: 0,
        error_code: kind.answer().code.to_owned(),
        body: kind.description().trim().as_bytes().to_vec(),
    }
}

/// The line of the output or error file, including the line feed.
pub(crate) fn render(job: &JobId, custom_id: &str, outcome: &ItemOutcome) -> Vec<u8> {
    let id = format!("batch_req_{job}_{}", outcome.item);
    let request_id = format!("req_{job}_{}", outcome.item);
    let mut line = Vec::with_capacity(outcome.body.len() + 192);
    line.extend_from_slice(format!("{{\"id\":{}", json!(id)).as_bytes());
    line.extend_from_slice(format!(",\"custom_id\":{}", json!(custom_id)).as_bytes());
    line.extend_from_slice(b",\"response\":");
    if outcome.status == 0 {
        line.extend_from_slice(b"null");
    } else {
        let head = format!(
            "{{\"status_code\":{},\"request_id\":{},\"body\":",
            outcome.status,
            json!(request_id)
        );
        line.extend_from_slice(head.as_bytes());
        if is_failure(outcome) {
            line.extend_from_slice(b"null");
        } else {
            push_body(&mut line, &outcome.body);
        }
        line.push(b'}');
    }
    line.extend_from_slice(b",\"error\":");
    if is_failure(outcome) {
        let message = String::from_utf8_lossy(&outcome.body);
        let error = json!({"code": outcome.error_code, "message": message});
        line.extend_from_slice(error.to_string().as_bytes());
    } else {
        line.extend_from_slice(b"null");
    }
    line.extend_from_slice(b"}\n");
    line
}

/// Writes a body as JSON on one line. A body that is not JSON is written as a JSON string.
fn push_body(line: &mut Vec<u8>, body: &[u8]) {
    let is_json = serde_json::from_slice::<&RawValue>(body).is_ok();
    if !is_json {
        line.extend_from_slice(json!(String::from_utf8_lossy(body)).to_string().as_bytes());
    } else if body.contains(&b'\n') || body.contains(&b'\r') {
        // In valid JSON, line breaks occur only between tokens.
        line.extend(body.iter().filter(|byte| !matches!(byte, b'\n' | b'\r')));
    } else {
        line.extend_from_slice(body);
    }
}
