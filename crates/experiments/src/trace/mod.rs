//! What callers and jobs send, modelled on the deployments.

mod generate;
mod workload;

use linnethitch_emulator::{Time, answer::PromptKey};

pub(crate) use generate::generate;
pub(crate) use workload::{WorkShape, Workload};

/// What is asked of an engine.
#[derive(Clone, Debug)]
pub(crate) struct Prompt {
    /// Its key; unique.
    pub(crate) key: PromptKey,
    /// Length of the prompt, in tokens.
    pub(crate) prompt_tokens: u32,
    /// Length of the answer, in tokens.
    pub(crate) output_tokens: u32,
    /// Chained hashes of the prompt's whole blocks.
    pub(crate) prefix_hashes: Vec<u64>,
}

/// A request of a waiting caller.
#[derive(Clone, Debug)]
pub(crate) struct OnlineRequest {
    /// When it reaches its gateway.
    pub(crate) at: Time,
    /// The gateway, as a position among the gateways.
    pub(crate) gateway: usize,
    /// Whether its prompt is a long document.
    pub(crate) long: bool,
    /// What it asks.
    pub(crate) prompt: Prompt,
}

/// Batch items that arrive together.
#[derive(Clone, Debug)]
pub(crate) struct Heap {
    /// When.
    pub(crate) at: Time,
    /// The items.
    pub(crate) items: Vec<Prompt>,
}

/// Everything that is asked in one run.
#[derive(Clone, Debug)]
pub(crate) struct Trace {
    /// Online requests in the order of their arrival.
    pub(crate) online: Vec<OnlineRequest>,
    /// Batch heaps in the order of their arrival.
    pub(crate) heaps: Vec<Heap>,
}
