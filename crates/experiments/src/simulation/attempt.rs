//! Attempts to run a request or item on an engine.

use linnethitch_emulator::engine::SequenceId;
use linnethitch_routing::Ticket;

/// Index of an attempt; also its sequence id at the engine.
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

/// The online request or batch item of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Owner {
    /// Index of an online request in the trace.
    Online(usize),
    /// Index of a batch item.
    Item(usize),
}

/// One attempt to run a request or item on one engine.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) owner: Owner,
    pub(super) engine: usize,
    pub(super) gateway: usize,
    /// Ticket from the gateway's view; `None` when a central scheduler sent the attempt or
    /// the ticket has been returned to the view.
    pub(super) ticket: Option<Ticket>,
    /// Tokens delivered by earlier attempts.
    pub(super) resume_tokens: u32,
    /// Whether the engine has sent a token.
    pub(super) started: bool,
    /// Whether the attempt has finished, failed or been cancelled; its later engine events
    /// are ignored.
    pub(super) ended: bool,
}
