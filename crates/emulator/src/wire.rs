//! JSON bodies of the HTTP interfaces.

use linnethitch_protocol::{fleet::LoadReport, ids::Timestamp};
use serde::Serialize;

/// An engine's load report.
#[derive(Serialize)]
pub(crate) struct EngineLoadBody {
    measured_at_ms: u64,
    running_online: u32,
    running_batch: u32,
    waiting: u32,
    queued_prefill_tokens: u32,
    waiting_batch: u32,
    queued_batch_prefill_tokens: u32,
    kv_used_tokens: u32,
    kv_capacity_tokens: u32,
    max_running: u32,
}

impl EngineLoadBody {
    pub(crate) fn new(report: &LoadReport, measured_at: Timestamp) -> EngineLoadBody {
        EngineLoadBody {
            measured_at_ms: measured_at.0,
            running_online: report.running_online,
            running_batch: report.running_batch,
            waiting: report.waiting,
            queued_prefill_tokens: report.queued_prefill_tokens,
            waiting_batch: report.waiting_batch,
            queued_batch_prefill_tokens: report.queued_batch_prefill_tokens,
            kv_used_tokens: report.kv_used_tokens,
            kv_capacity_tokens: report.kv_capacity_tokens,
            max_running: report.max_running,
        }
    }
}

/// An application replica's load report.
#[derive(Serialize)]
pub(crate) struct ApplicationLoadBody {
    pub(crate) measured_at_ms: u64,
    pub(crate) running: u32,
    pub(crate) waiting: u32,
    pub(crate) max_running: u32,
}

/// The reply to a query for executions.
#[derive(Serialize)]
pub(crate) struct ExecutionsBody {
    /// Number of starts of the requested key, or of all requests if the query names none.
    pub(crate) started: u64,
}
