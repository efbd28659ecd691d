//! Requests to the engine core and the events that it returns.

use std::fmt;

use crate::{Time, answer::PromptKey};

/// Identifies a request inside one engine; the server maps the request ids of callers to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SequenceId(pub u64);

/// The priorities of an engine, most urgent first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Priority {
    /// Interactive requests; preempt batch requests.
    #[default]
    Online,
    /// Batch requests; use the capacity that online requests leave free.
    Batch,
}

/// Handle of an exported KV cache, with which another engine imports it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct KvHandle {
    /// The prompt of the KV cache.
    pub prompt: PromptKey,
    /// Number of tokens in the KV cache.
    pub tokens: u32,
}

/// One request to an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineRequest {
    /// Unique among the engine's unfinished requests.
    pub id: SequenceId,
    /// `name` or `name:adapter`.
    pub model: String,
    /// Scheduling priority.
    pub priority: Priority,
    /// The key of the prompt, which determines the answer.
    pub prompt: PromptKey,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Chained hashes of the complete blocks of the prompt.
    pub prefix_hashes: Vec<u64>,
    /// Maximum number of tokens of the complete answer; `None` sets no limit.
    pub max_tokens: Option<u32>,
    /// Minimum number of tokens of the complete answer, unless `max_tokens` is lower.
    pub min_tokens: u32,
    /// Tokens of the answer that an earlier run delivered.
    pub resume_tokens: u32,
    /// KV cache to import instead of computing the prefill.
    pub kv_import: Option<KvHandle>,
    /// Whether the request ends after the prefill and its KV cache is stored for export.
    pub prefill_only: bool,
}

impl EngineRequest {
    /// The length of the complete answer, in tokens.
    #[must_use]
    pub fn answer_tokens(&self) -> u32 {
        let uncapped = self.prompt.natural_length().max(self.min_tokens);
        self.max_tokens.map_or(uncapped, |max| uncapped.min(max))
    }

    /// Why the answer ends.
    #[must_use]
    pub fn finish_reason(&self) -> FinishReason {
        let uncapped = self.prompt.natural_length().max(self.min_tokens);
        match self.max_tokens {
            Some(max) if max < uncapped => FinishReason::Length,
            _ => FinishReason::Stop,
        }
    }
}

/// Why an engine refused a request. The request was not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The engine is dead; its server would refuse the connection.
    Dead,
    /// The engine is leaving.
    Leaving,
    /// The queue of the request's priority is full.
    Full,
    /// The engine does not have the model or the adapter loaded.
    WrongModel,
    /// The engine is loading a model.
    Loading,
    /// The role of the engine excludes the request.
    WrongRole,
    /// Prompt and answer do not fit into the KV memory.
    TooLong,
    /// The KV handle belongs to another prompt.
    WrongHandle,
    /// An unfinished request has the same id.
    DuplicateId,
    /// The request was withdrawn by its id before it arrived.
    Withdrawn,
    /// The injected [`Fault::Refuse`](super::Fault::Refuse).
    Fault,
}

impl fmt::Display for Refusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Refusal::Dead => "the engine is dead",
            Refusal::Leaving => "the engine is leaving",
            Refusal::Full => "the engine's queue is full",
            Refusal::WrongModel => "the engine does not have the model or adapter loaded",
            Refusal::Loading => "the engine is loading a model",
            Refusal::WrongRole => "the engine's role excludes the request",
            Refusal::TooLong => "prompt and answer do not fit the engine's KV memory",
            Refusal::WrongHandle => "the KV handle belongs to another prompt",
            Refusal::DuplicateId => "the request id is in use",
            Refusal::Withdrawn => "the request was withdrawn",
            Refusal::Fault => "the engine refuses work by a fault switch",
        })
    }
}

impl std::error::Error for Refusal {}

/// Why an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FinishReason {
    /// The model ended the answer.
    Stop,
    /// The answer reached the `max_tokens` of the request.
    Length,
    /// The request was prefill-only.
    Prefilled,
}

/// An event of a request in an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// A token was decoded.
    Token {
        /// When the event happened.
        at: Time,
        /// The request.
        id: SequenceId,
        /// The index of the token in the complete answer.
        index: u32,
    },
    /// A request completed; the event of its last token came before.
    Finished {
        /// When the event happened.
        at: Time,
        /// The request.
        id: SequenceId,
        /// Why the answer ended.
        reason: FinishReason,
        /// Tokens found in the prefix cache, summed over all admissions of the request.
        cached_tokens: u32,
    },
    /// A running request was preempted and waits again; its generated tokens are retained.
    Preempted {
        /// When the event happened.
        at: Time,
        /// The request.
        id: SequenceId,
    },
    /// A fault broke the stream of a request; the engine has removed the request.
    Broken {
        /// When the event happened.
        at: Time,
        /// The request.
        id: SequenceId,
    },
}
