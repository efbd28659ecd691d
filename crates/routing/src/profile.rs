//! What is asked of the router and what it answers.

use linnethitch_errors::ErrorKind;
use linnethitch_protocol::ids::Timestamp;

use crate::{reason::ReasonCode, view::ReplicaIndex};

/// Tokens of one prefix block; prefixes are compared in whole blocks.
pub const PREFIX_BLOCK_TOKENS: u32 = 64;

/// How urgent a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Class {
    /// A caller waits.
    Online,
    /// An item of a job; steps aside for online work.
    Batch,
}

/// What a request is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target<'a> {
    /// A model.
    Model {
        /// Its name.
        name: &'a str,
        /// The adapter, if one is asked for.
        adapter: Option<&'a str>,
        /// The version, if only one will do (resuming a stream needs the same one).
        version: Option<&'a str>,
    },
    /// An application service.
    Service(&'a str),
}

/// Which part of a request is to run.
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

/// A request as the router sees it.
#[derive(Clone, Copy, Debug)]
pub struct RequestProfile<'a> {
    /// What it is for.
    pub target: Target<'a>,
    /// How urgent it is.
    pub class: Class,
    /// Which part is to run.
    pub phase: Phase,
    /// Tokens of the prompt (with a resume: prompt and delivered tokens).
    pub prompt_tokens: u32,
    /// Tokens that the answer is expected to have.
    pub expected_output_tokens: u32,
    /// Hash of the prompt's first block, first two blocks, and so on, of
    /// [`PREFIX_BLOCK_TOKENS`] each.
    pub prefix_hashes: &'a [u64],
    /// The first token must be there by then.
    pub deadline: Timestamp,
    /// Replicas already tried.
    pub exclude: &'a [ReplicaIndex],
}

/// How many alternatives a choice remembers for the journal.
pub const MAX_ALTERNATIVES: usize = 3;

/// A replica that was compared but not chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Alternative {
    /// Which.
    pub replica: ReplicaIndex,
    /// Its expected wait for the first token, in milliseconds.
    pub expected_wait_ms: f64,
}

/// Where a request should run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The replica.
    pub replica: ReplicaIndex,
    /// Expected wait for the first token, in milliseconds.
    pub expected_wait_ms: f64,
    /// Prompt tokens expected to be in the replica's prefix cache.
    pub cached_tokens: u32,
    /// Why this replica.
    pub reason: ReasonCode,
    /// What else was compared.
    pub alternatives: [Option<Alternative>; MAX_ALTERNATIVES],
}

/// Why a request cannot run now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoutingRefusal {
    /// Why.
    pub reason: ReasonCode,
    /// When it is worth asking again, in milliseconds, where that can be told.
    pub retry_after_ms: Option<u64>,
}

impl RoutingRefusal {
    /// The error kind that a caller is told.
    #[must_use]
    pub const fn kind(&self) -> ErrorKind {
        match self.reason {
            ReasonCode::DeadlineTooClose | ReasonCode::Saturated => ErrorKind::Overloaded,
            _ => ErrorKind::NoBackEnd,
        }
    }
}
