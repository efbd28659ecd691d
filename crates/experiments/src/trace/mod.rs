//! Traces: the online requests and batch jobs of a run, modelled on the deployments.

mod generate;
mod workload;

use linnethitch_emulator::{Time, answer::PromptKey};

pub(crate) use generate::generate;
pub(crate) use workload::{WorkShape, Workload};

/// Prompt and answer length of an online request or a batch item.
#[derive(Clone, Debug)]
pub(crate) struct Prompt {
    /// Unique key of the prompt.
    pub(crate) key: PromptKey,
    /// Length of the prompt, in tokens.
    pub(crate) prompt_tokens: u32,
    /// Length of the answer, in tokens.
    pub(crate) output_tokens: u32,
    /// Chained hashes of the prompt's complete blocks.
    pub(crate) prefix_hashes: Vec<u64>,
}

/// An online request.
#[derive(Clone, Debug)]
pub(crate) struct OnlineRequest {
    /// Time at which the request reaches its gateway.
    pub(crate) at: Time,
    /// Index of the gateway.
    pub(crate) gateway: usize,
    /// Whether the prompt is a long document.
    pub(crate) long: bool,
    /// Prompt of the request.
    pub(crate) prompt: Prompt,
}

/// A batch job: items that arrive together.
#[derive(Clone, Debug)]
pub(crate) struct BatchJob {
    /// Time at which the job is accepted.
    pub(crate) at: Time,
    /// Prompts of the items.
    pub(crate) items: Vec<Prompt>,
}

/// All online requests and batch jobs of one run.
#[derive(Clone, Debug)]
pub(crate) struct Trace {
    /// Online requests in order of arrival.
    pub(crate) online: Vec<OnlineRequest>,
    /// Batch jobs in order of arrival.
    pub(crate) jobs: Vec<BatchJob>,
}
