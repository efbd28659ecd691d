//! Progress of a request in an engine.

use super::request::{EngineRequest, Priority, SequenceId};
use crate::Time;

/// A waiting or running request.
#[derive(Debug)]
pub(super) struct Sequence {
    pub(super) request: EngineRequest,
    /// Sequence number of arrival, the second sort key of scheduling.
    pub(super) arrival: u64,
    /// When the KV import ends; the request can not run earlier.
    pub(super) ready_at: Time,
    /// Index of the next token of the answer.
    pub(super) next_index: u32,
    /// Tokens of the complete answer.
    pub(super) answer_tokens: u32,
    /// Tokens of the context that are in KV memory.
    pub(super) computed_tokens: u32,
    /// Tokens that this engine decoded for the request.
    pub(super) decoded_here: u32,
    /// Tokens found in the prefix cache, summed over all admissions.
    pub(super) cached_tokens: u32,
}

impl Sequence {
    pub(super) fn id(&self) -> SequenceId {
        self.request.id
    }

    pub(super) fn priority(&self) -> Priority {
        self.request.priority
    }

    /// Sort key: the most urgent sequence has the lowest value.
    pub(super) fn urgency(&self) -> (Priority, u64) {
        (self.request.priority, self.arrival)
    }

    /// Prompt tokens and generated tokens, which must be in KV memory to decode.
    pub(super) fn context_tokens(&self) -> u32 {
        self.request.prompt_tokens + self.next_index
    }

    /// Tokens of the context that are not in KV memory.
    pub(super) fn remaining_prefill_tokens(&self) -> u32 {
        self.context_tokens().saturating_sub(self.computed_tokens)
    }
}
