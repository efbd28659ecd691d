//! Errors of calls into the node. A call that returns one of them has appended nothing.

use std::fmt;

use linnethitch_protocol::ids::MemberId;

/// Why a proposal was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposeError {
    /// This member is not the leader.
    NotLeader {
        /// The leader, if known.
        leader: Option<MemberId>,
    },
    /// Too many bytes are uncommitted, or leadership is being transferred; a later
    /// retry can succeed.
    Overloaded,
    /// The payload is larger than [`crate::MAX_ENTRY_BYTES`].
    TooLarge,
}

/// Why a membership change was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipError {
    /// This member is not the leader.
    NotLeader {
        /// The leader, if known.
        leader: Option<MemberId>,
    },
    /// The leader has not yet committed an entry of its own term.
    LeaderNotReady,
    /// An earlier change is not yet committed.
    ChangeInProgress,
    /// The member to add is already a voter or learner.
    AlreadyMember,
    /// The member to promote is not a learner.
    NotLearner,
    /// The member to remove is neither a voter nor a learner.
    NotMember,
    /// The learner has not synced all committed entries.
    NotCaughtUp,
    /// The last voter cannot be removed.
    LastVoter,
    /// Leadership is being transferred.
    TransferInProgress,
}

/// Why a read was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// This member is not the leader.
    NotLeader {
        /// The leader, if known.
        leader: Option<MemberId>,
    },
    /// Too many reads are waiting for confirmation.
    Overloaded,
}

/// Why leadership cannot be transferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferError {
    /// This member is not the leader.
    NotLeader {
        /// The leader, if known.
        leader: Option<MemberId>,
    },
    /// The target is not a voter, or is this member.
    NotAnotherVoter,
}

/// Implements `Error`, and `Display` as the debug output.
macro_rules! impl_error {
    ($($name:ident),+) => { $(
        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{self:?}")
            }
        }

        impl std::error::Error for $name {}
    )+ };
}

impl_error!(ProposeError, MembershipError, ReadError, TransferError);
