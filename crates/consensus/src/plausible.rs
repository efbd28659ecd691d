//! Drops messages whose numbers no working member can have reached.

use linnethitch_protocol::consensus::{ConsensusBody, ConsensusMessage};

/// Far above what a cluster reaches, far below where counting overflows.
const MAX_NUMBER: u64 = 1 << 60;

/// Whether the numbers of a message leave room to count on from.
pub(crate) fn is_plausible(message: &ConsensusMessage) -> bool {
    let highest_index = match &message.body {
        ConsensusBody::SnapshotChunk(chunk) => chunk.meta.index.0.max(chunk.offset),
        ConsensusBody::Append(append) => append.previous_index.0,
        _ => 0,
    };
    message.term.0 <= MAX_NUMBER && highest_index <= MAX_NUMBER
}
