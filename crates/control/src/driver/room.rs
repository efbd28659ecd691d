//! Memory for calls that wait for an answer.

use std::sync::Arc;

use linnethitch_protocol::{
    attach::ControlCall,
    command::{CommandBody, ItemHead, JobResults},
};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bytes of one unit of room.
const UNIT_BYTES: usize = 1024;
/// Units of all calls together: 64 MiB.
const UNITS: usize = 64 * 1024;
/// Bytes that a call takes besides its payload, about.
const CALL_BYTES: usize = 512;

/// Lets calls in while there is room for them. Clones share the room.
#[derive(Clone)]
pub(super) struct CallRoom {
    units: Arc<Semaphore>,
}

impl CallRoom {
    pub(super) fn new() -> Self {
        CallRoom {
            units: Arc::new(Semaphore::new(UNITS)),
        }
    }

    /// Waits for room for a call; it is given back when the permit is dropped.
    pub(super) async fn enter(&self, call: &ControlCall) -> Option<OwnedSemaphorePermit> {
        let units = (CALL_BYTES + payload_bytes(call))
            .div_ceil(UNIT_BYTES)
            .min(UNITS);
        let units = u32::try_from(units).unwrap_or(u32::MAX);
        Arc::clone(&self.units).acquire_many_owned(units).await.ok()
    }
}

/// Bytes of a call's variable parts, about.
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
