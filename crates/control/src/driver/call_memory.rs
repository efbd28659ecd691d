//! Limits the memory of calls that wait for an answer.

use std::sync::Arc;

use linnethitch_protocol::{
    attach::ControlCall,
    command::{CommandBody, ItemHead, JobResults},
};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bytes of one unit of memory.
const UNIT_BYTES: usize = 1024;
/// Maximum number of units of all calls together: 64 MiB.
const MAX_UNITS: usize = 64 * 1024;
/// Approximate bytes of a call without its payload.
const CALL_OVERHEAD_BYTES: usize = 512;

/// Admits calls while there is memory for them. Clones share the limit.
#[derive(Clone)]
pub(super) struct CallMemory {
    units: Arc<Semaphore>,
}

impl CallMemory {
    pub(super) fn new() -> Self {
        CallMemory {
            units: Arc::new(Semaphore::new(MAX_UNITS)),
        }
    }

    /// Waits for the memory of a call, which is released when the permit is dropped.
    pub(super) async fn acquire(&self, call: &ControlCall) -> Option<OwnedSemaphorePermit> {
        let units = (CALL_OVERHEAD_BYTES + payload_bytes(call))
            .div_ceil(UNIT_BYTES)
            .min(MAX_UNITS);
        let units = u32::try_from(units).unwrap_or(u32::MAX);
        Arc::clone(&self.units).acquire_many_owned(units).await.ok()
    }
}

/// Approximate bytes of a call's variable parts.
fn payload_bytes(call: &ControlCall) -> usize {
    let ControlCall::Propose(command) = call else {
        return 0;
    };
    match command {
        CommandBody::ApplyConfiguration { content, .. } => content.len(),
        CommandBody::AppendFile { data, .. } => data.len(),
        CommandBody::IndexFile { items, .. } | CommandBody::FinishFile { items, .. } => {
            items.iter().map(head_bytes).sum()
        }
        CommandBody::CompleteItems { results, .. } => results.iter().map(result_bytes).sum(),
        CommandBody::FinishClaim { answer, .. } => {
            answer.as_ref().map_or(0, |answer| answer.body.len())
        }
        CommandBody::CreateJob(job) => job.metadata.len(),
        _ => 0,
    }
}

fn head_bytes(head: &ItemHead) -> usize {
    size_of::<ItemHead>() + head.model.0.len() + head.endpoint.len() + head.custom_id.len()
}

fn result_bytes(results: &JobResults) -> usize {
    let outcomes = results.outcomes.iter();
    outcomes.map(|(_, outcome)| outcome.body.len()).sum()
}
