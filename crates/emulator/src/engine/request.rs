//! What goes into an engine and what comes out.

use std::fmt;

use crate::{Time, answer::PromptKey};

/// A request inside one engine; the server maps callers' ids to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SequenceId(pub u64);

/// The engine's own priorities, the more urgent first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Priority {
    /// A caller waits; preempts batch.
    #[default]
    Online,
    /// Runs in what online leaves over.
    Batch,
}

/// A KV cache on its way from one engine to another.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct KvHandle {
    /// The prompt that it belongs to.
    pub prompt: PromptKey,
    /// The tokens that it covers.
    pub tokens: u32,
}

/// One request to an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineRequest {
    /// Unique among the engine's unfinished requests.
    pub id: SequenceId,
    /// `name` or `name:adapter`.
    pub model: String,
    /// Its priority.
    pub priority: Priority,
    /// What its answer depends on.
    pub prompt: PromptKey,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Chained hashes of the prompt's whole blocks.
    pub prefix_hashes: Vec<u64>,
    /// Tokens of the whole answer at most; `None` lets the engine end it.
    pub max_tokens: Option<u32>,
    /// Tokens of the whole answer at least, unless `max_tokens` is lower.
    pub min_tokens: u32,
    /// Tokens of the answer that were delivered by an earlier run.
    pub resume_tokens: u32,
    /// KV cache to import in place of the prefill.
    pub kv_import: Option<KvHandle>,
    /// Ends after the prefill and keeps the KV cache for export.
    pub prefill_only: bool,
}

impl EngineRequest {
    /// The length of the whole answer, in tokens.
    #[must_use]
    pub fn answer_tokens(&self) -> u32 {
        let wanted = self.prompt.natural_length().max(self.min_tokens);
        self.max_tokens.map_or(wanted, |most| wanted.min(most))
    }

    /// Why the answer ends where it does.
    #[must_use]
    pub fn finish_reason(&self) -> FinishReason {
        let wanted = self.prompt.natural_length().max(self.min_tokens);
        match self.max_tokens {
            Some(most) if most < wanted => FinishReason::Length,
            _ => FinishReason::Stop,
        }
    }
}

/// Why an engine took no work. Nothing of the request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The engine is dead: no connection would be answered.
    Dead,
    /// It is leaving.
    Leaving,
    /// Its queue is full.
    Full,
    /// It has another model loaded, or not this adapter.
    WrongModel,
    /// It is loading a model.
    Loading,
    /// Its role excludes the request.
    WrongRole,
    /// Prompt and answer do not fit its KV memory.
    TooLong,
    /// The KV handle belongs to another prompt.
    WrongHandle,
    /// The id is in use.
    DuplicateId,
    /// A fault switch says so.
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
            Refusal::Fault => "the engine refuses work by a fault switch",
        })
    }
}

impl std::error::Error for Refusal {}

/// Why an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FinishReason {
    /// The model ended it.
    Stop,
    /// The limit of the request ended it.
    Length,
    /// It was a prefill only.
    Prefilled,
}

/// What happened in an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// A token was decoded.
    Token {
        /// When.
        at: Time,
        /// Of which request.
        id: SequenceId,
        /// Its index in the whole answer.
        index: u32,
    },
    /// A request ended by itself; its last token came before.
    Finished {
        /// When.
        at: Time,
        /// Which request.
        id: SequenceId,
        /// Why.
        reason: FinishReason,
        /// Prompt tokens that the prefix cache saved, in all its runs.
        cached_tokens: u32,
    },
    /// A request lost its place and waits again; its tokens are kept.
    Preempted {
        /// When.
        at: Time,
        /// Which request.
        id: SequenceId,
    },
    /// A request's stream broke by a fault; the engine has dropped it.
    Broken {
        /// When.
        at: Time,
        /// Which request.
        id: SequenceId,
    },
}
