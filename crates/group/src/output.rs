//! Outputs of a group member for its driver.

use linnethitch_protocol::{
    consensus::ConsensusMessage,
    ids::{LogIndex, MemberId, Term},
};

/// Reason for which a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// This member is not the leader; nothing was appended.
    NotLeader(Option<MemberId>),
    /// Too many proposals or reads are pending, or leadership is being transferred;
    /// nothing was appended.
    Overloaded,
    /// The command exceeds the limit of an entry; nothing was appended.
    TooLarge,
    /// Another entry was committed at the index of the proposal, which will not be applied.
    Replaced,
    /// The outcome is unknown: the proposal may or may not be applied.
    Unknown,
}

/// An output that the driver must handle, in order.
#[derive(Debug)]
pub enum GroupOutput<Answer> {
    /// A message to be sent to its target machine.
    Send(ConsensusMessage),
    /// A proposal was committed and applied on this member.
    Applied {
        /// The call number chosen by the driver.
        call: u64,
        /// The answer of the state machine.
        answer: Answer,
    },
    /// The state of this member may be read for this call.
    ReadConfirmed {
        /// The call number chosen by the driver.
        call: u64,
    },
    /// A proposal or read failed.
    Failed {
        /// The call number chosen by the driver.
        call: u64,
        /// The reason.
        failure: CallFailure,
    },
    /// An event to be logged.
    Notice(GroupNotice),
}

/// An event to be logged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GroupNotice {
    /// The leader or the term changed.
    Leader {
        /// The term.
        term: Term,
        /// The leader, if one is known.
        leader: Option<MemberId>,
    },
    /// This leader proposed a membership change.
    MembershipProposed(String),
    /// A snapshot up to this index was stored.
    SnapshotStored(LogIndex),
    /// A snapshot received from the leader replaced the state.
    SnapshotInstalled(LogIndex),
    /// The stored state was damaged and set aside; the member starts blank with a new
    /// disk id.
    DamageSetAside(String),
    /// The disk became full (`true`), or has free space again.
    DiskFull(bool),
}
