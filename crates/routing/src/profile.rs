//! Requests to the router and its answers.

use linnethitch_errors::ErrorKind;
use linnethitch_protocol::ids::Timestamp;

use crate::{reason::ReasonCode, view::ReplicaIndex};

/// Tokens per prefix block; prefixes are compared block by block.
pub const PREFIX_BLOCK_TOKENS: u32 = 64;

/// Scheduling class of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Class {
    /// A caller is waiting for the answer.
    Online,
    /// An item of a batch job; yields to online work.
    Batch,
}

/// The target of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target<'a> {
    /// A model.
    Model {
        /// Name of the model.
        name: &'a str,
        /// The requested adapter, if any.
        adapter: Option<&'a str>,
        /// The required version, if any (a stream must be resumed with the same version).
        version: Option<&'a str>,
    },
    /// An application service.
    Service(&'a str),
}

/// Which phases of a request run on the chosen engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// Prefill and decode on one engine.
    #[default]
    PrefillAndDecode,
    /// Prefill only, on an engine of the prefill role.
    Prefill,
    /// Decode only, after a KV import, on an engine of the decode role.
    Decode,
}

/// Properties of a request that the router uses.
#[derive(Clone, Copy, Debug)]
pub struct RequestProfile<'a> {
    /// The target.
    pub target: Target<'a>,
    /// The scheduling class.
    pub class: Class,
    /// The phases to run.
    pub phase: Phase,
    /// Tokens of the prompt; for a resumed stream, including the delivered tokens.
    pub prompt_tokens: u32,
    /// Expected tokens of the answer.
    pub expected_output_tokens: u32,
    /// Hashes of the prompt's prefixes: its first block, its first two blocks, and so on, with
    /// [`PREFIX_BLOCK_TOKENS`] per block.
    pub prefix_hashes: &'a [u64],
    /// Deadline of the first token.
    pub deadline: Timestamp,
    /// Replicas already tried; not chosen again.
    pub exclude: &'a [ReplicaIndex],
}

/// Maximum number of alternatives recorded with a choice for the journal.
pub const MAX_ALTERNATIVES: usize = 3;

/// A replica that was compared but not chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Alternative {
    /// The replica.
    pub replica: ReplicaIndex,
    /// Expected wait for the first token, in milliseconds.
    pub expected_wait_ms: f64,
}

/// The replica chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The replica.
    pub replica: ReplicaIndex,
    /// Expected wait for the first token, in milliseconds.
    pub expected_wait_ms: f64,
    /// Prompt tokens expected to be in the replica's prefix cache.
    pub cached_tokens: u32,
    /// Why this replica was chosen.
    pub reason: ReasonCode,
    /// Other replicas that were compared.
    pub alternatives: [Option<Alternative>; MAX_ALTERNATIVES],
}

/// Refusal of a request that cannot be routed now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoutingRefusal {
    /// The reason.
    pub reason: ReasonCode,
    /// How long to wait before a retry, in milliseconds, if known.
    pub retry_after_ms: Option<u64>,
}

impl RoutingRefusal {
    /// The error kind reported to the caller.
    #[must_use]
    pub const fn kind(&self) -> ErrorKind {
        match self.reason {
            ReasonCode::DeadlineTooClose | ReasonCode::Saturated => ErrorKind::Overloaded,
            _ => ErrorKind::NoBackEnd,
        }
    }
}
