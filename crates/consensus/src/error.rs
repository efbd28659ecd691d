//! Why a call into the node was refused. Nothing was appended in any of these cases.

use std::fmt;

use linnethitch_protocol::ids::MemberId;

/// Why a proposal was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposeError {
    /// This member does not lead.
    NotLeader {
        /// Who does, as far as is known.
        leader: Option<MemberId>,
    },
    /// Too much is uncommitted, or leadership is being transferred; a retry can help.
    Overloaded,
    /// The payload is larger than [`crate::MAX_ENTRY_BYTES`].
    TooLarge,
}

/// Why a membership change was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipError {
    /// This member does not lead.
    NotLeader {
        /// Who does, as far as is known.
        leader: Option<MemberId>,
    },
    /// The leader has not yet committed an entry of its own term.
    LeaderNotReady,
    /// An earlier change is not yet committed.
    ChangeInProgress,
    /// The member to add takes part already.
    AlreadyMember,
    /// The member to promote is not a learner.
    NotLearner,
    /// The member to remove does not take part.
    NotMember,
    /// The learner has not synced everything that is committed.
    NotCaughtUp,
    /// The last voter cannot be removed.
    LastVoter,
    /// Leadership is being transferred.
    TransferInProgress,
}

/// Why a read was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// This member does not lead.
    NotLeader {
        /// Who does, as far as is known.
        leader: Option<MemberId>,
    },
    /// Too many reads wait for confirmation.
    Overloaded,
}

/// Why leadership cannot be transferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferError {
    /// This member does not lead.
    NotLeader {
        /// Who does, as far as is known.
        leader: Option<MemberId>,
    },
    /// The member named is not a voter, or is this member.
    NotAnotherVoter,
}

/// Implements `Display` by the debug form, and `Error`.
macro_rules! plain_error {
    ($($name:ident),+) => { $(
        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{self:?}")
            }
        }

        impl std::error::Error for $name {}
    )+ };
}

plain_error!(ProposeError, MembershipError, ReadError, TransferError);
