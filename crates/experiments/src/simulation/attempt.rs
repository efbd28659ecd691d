//! Requests on their way at engines.

use linnethitch_emulator::engine::SequenceId;
use linnethitch_routing::Ticket;

/// The number of an attempt; also its sequence id at the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct AttemptId(pub(super) usize);

impl AttemptId {
    pub(super) fn sequence(self) -> SequenceId {
        SequenceId(self.0 as u64)
    }

    pub(super) fn of(sequence: SequenceId) -> AttemptId {
        AttemptId(sequence.0 as usize)
    }
}

/// What an attempt runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Owner {
    /// The online request with this position in the trace.
    Online(usize),
    /// The batch item with this number.
    Item(usize),
}

/// One run of a request or item at one engine.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) owner: Owner,
    pub(super) engine: usize,
    pub(super) gateway: usize,
    /// Counted in the gateway's view, unless a central scheduler sent it.
    pub(super) ticket: Option<Ticket>,
    /// Tokens delivered by earlier attempts.
    pub(super) resume_tokens: u32,
    /// Whether a token came.
    pub(super) started: bool,
    /// Ended, failed or given up: what still comes of it is dropped.
    pub(super) over: bool,
}
