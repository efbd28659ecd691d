//! The properties of a request on which the router and the queue decide, in owned form.

use linnethitch_protocol::ids::Timestamp;
use linnethitch_routing::{Class, Phase, ReplicaIndex, RequestProfile, costs::Work};

/// The model or service that a request is for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum RequestTarget {
    /// A model, with or without an adapter.
    Model {
        /// The pool's name.
        name: String,
        /// The adapter.
        adapter: Option<String>,
    },
    /// An application service.
    Service(String),
}

/// A request as the router and the queue see it.
#[derive(Clone, Debug)]
pub(crate) struct RoutingRequest {
    /// The model or service.
    pub(crate) target: RequestTarget,
    /// Online or batch.
    pub(crate) class: Class,
    /// Tokens of the prompt, including those already generated.
    pub(crate) prompt_tokens: u32,
    /// Expected tokens of the answer.
    pub(crate) output_tokens: u32,
    /// Hashes of the prompt's prefixes.
    pub(crate) prefix_hashes: Vec<u64>,
    /// Time by which the request must be answered.
    pub(crate) deadline: Timestamp,
}

impl RoutingRequest {
    pub(super) fn profile<'a>(&'a self, exclude: &'a [ReplicaIndex]) -> RequestProfile<'a> {
        RequestProfile {
            target: self.target.as_target(),
            class: self.class,
            phase: Phase::PrefillAndDecode,
            prompt_tokens: self.prompt_tokens,
            expected_output_tokens: self.output_tokens,
            prefix_hashes: &self.prefix_hashes,
            deadline: self.deadline,
            exclude,
        }
    }

    pub(super) fn work(&self, cached_tokens: u32) -> Work {
        Work {
            class: self.class,
            prefill_tokens: self.prompt_tokens.saturating_sub(cached_tokens),
            output_tokens: self.output_tokens,
        }
    }
}
