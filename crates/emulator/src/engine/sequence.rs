//! One request's progress inside an engine.

use super::request::{EngineRequest, Priority, SequenceId};
use crate::Time;

/// A waiting or running request.
#[derive(Debug)]
pub(super) struct Sequence {
    pub(super) request: EngineRequest,
    /// Order of arrival.
    pub(super) arrival: u64,
    /// It can not run earlier (KV import under way).
    pub(super) ready_at: Time,
    /// Index of the next token of the answer.
    pub(super) next_index: u32,
    /// Tokens of the whole answer.
    pub(super) answer_tokens: u32,
    /// Tokens of the context whose KV is in memory.
    pub(super) computed_tokens: u32,
    /// Tokens decoded since it was submitted here.
    pub(super) decoded_here: u32,
    /// Prompt tokens that the prefix cache saved.
    pub(super) cached_tokens: u32,
}

impl Sequence {
    pub(super) fn id(&self) -> SequenceId {
        self.request.id
    }

    pub(super) fn priority(&self) -> Priority {
        self.request.priority
    }

    /// Sorts the most urgent first.
    pub(super) fn urgency(&self) -> (Priority, u64) {
        (self.request.priority, self.arrival)
    }

    /// Prompt and produced tokens: what must be in KV memory to decode.
    pub(super) fn context_tokens(&self) -> u32 {
        self.request.prompt_tokens + self.next_index
    }

    /// Tokens still to prefill.
    pub(super) fn prefill_left(&self) -> u32 {
        self.context_tokens().saturating_sub(self.computed_tokens)
    }
}
