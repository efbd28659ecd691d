//! Outputs of a member, to be carried out by its driver.

use linnethitch_protocol::{
    attach::{ControlAnswer, PeerMessage},
    ids::{CallId, JobId, LogIndex, MachineId, MemberId, Revision, Term},
};

/// One output; the driver carries outputs out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberOutput {
    /// Send a message to another machine. Messages may be lost; a message that was certainly not
    /// sent is passed to [`super::Member::undelivered`].
    Send {
        /// The receiving machine.
        to: MachineId,
        /// The message.
        message: PeerMessage,
    },
    /// The answer to a call; each call is answered exactly once.
    Answer {
        /// Id of the call.
        call: CallId,
        /// The answer.
        body: ControlAnswer,
    },
    /// Report a change of the member's state.
    Notice(MemberNotice),
}

/// A change of a member's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberNotice {
    /// The known leader changed.
    Leader {
        /// The current term.
        term: Term,
        /// The leader; `None` while no leader is known.
        leader: Option<MemberId>,
    },
    /// A configuration was committed and applied by this member.
    Configuration(Revision),
    /// A job was cancelled.
    JobCancelled(JobId),
    /// The first membership of a new cluster was written to this disk.
    ClusterStarted,
    /// This leader proposed a change of the membership.
    MembershipProposed(String),
    /// A snapshot of the state was stored, so that the log before it can be compacted.
    SnapshotStored {
        /// The last index that it covers.
        index: LogIndex,
        /// Size of its file, in bytes.
        bytes: u64,
    },
    /// A snapshot of the leader, up to this index, replaced the state of this member.
    SnapshotInstalled(LogIndex),
    /// The log was damaged and set aside; the member fetches the state again under a new disk id.
    DamagedLogSetAside(String),
    /// The disk is full; received entries remain in memory and their write is retried.
    DiskFull,
}

impl MemberNotice {
    /// The reason code of the notice in logs and in the decision journal.
    #[must_use]
    pub fn reason(&self) -> &'static str {
        match self {
            MemberNotice::Leader { .. } => "leader_changed",
            MemberNotice::Configuration(_) => "configuration_committed",
            MemberNotice::JobCancelled(_) => "job_cancelled",
            MemberNotice::ClusterStarted => "cluster_started",
            MemberNotice::MembershipProposed(_) => "membership_proposed",
            MemberNotice::SnapshotStored { .. } => "snapshot_stored",
            MemberNotice::SnapshotInstalled(_) => "snapshot_installed",
            MemberNotice::DamagedLogSetAside(_) => "damaged_log",
            MemberNotice::DiskFull => "disk_full",
        }
    }
}
