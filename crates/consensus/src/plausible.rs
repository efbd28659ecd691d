//! Rejects messages with terms or indexes that no correct member can have reached.

use linnethitch_protocol::consensus::{ConsensusBody, ConsensusMessage};

/// Far above any term or index that a cluster reaches, and far enough below the
/// maximum of `u64` that increments cannot overflow.
const MAX_NUMBER: u64 = 1 << 60;

/// Whether the term and indexes of a message can be incremented without overflow.
pub(crate) fn is_plausible(message: &ConsensusMessage) -> bool {
    let highest_index = match &message.body {
        ConsensusBody::SnapshotChunk(chunk) => chunk.meta.index.0.max(chunk.offset),
        ConsensusBody::Append(append) => append.previous_index.0,
        _ => 0,
    };
    message.term.0 <= MAX_NUMBER && highest_index <= MAX_NUMBER
}
