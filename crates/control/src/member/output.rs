//! What a member wants its driver to do.

use linnethitch_protocol::{
    attach::{ControlAnswer, PeerMessage},
    ids::{CallId, JobId, LogIndex, MachineId, MemberId, Revision, Term},
};

/// Something for the driver to do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberOutput {
    /// Send to another machine. Messages may be lost; a lost forwarded call is
    /// handed back by [`super::Member::undelivered`].
    Send {
        /// To which machine.
        to: MachineId,
        /// What.
        message: PeerMessage,
    },
    /// The answer to a call; each call is answered exactly once.
    Answer {
        /// Which call.
        call: CallId,
        /// Its answer.
        body: ControlAnswer,
    },
    /// Something changed that others may want to know.
    Notice(MemberNotice),
}

/// A change of a member's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberNotice {
    /// The known leader changed.
    Leader {
        /// In which term.
        term: Term,
        /// Who leads; `None` while nobody is known to.
        leader: Option<MemberId>,
    },
    /// A configuration was committed and applied here.
    Configuration(Revision),
    /// A job was cancelled.
    JobCancelled(JobId),
    /// The first membership of a new cluster was written to this disk.
    ClusterStarted,
    /// This leader proposed a change of the membership.
    MembershipProposed(String),
    /// A snapshot of the state up to this index was stored; the log before it is given back.
    SnapshotStored {
        /// The last index that it covers.
        index: LogIndex,
        /// Bytes of its file.
        bytes: u64,
    },
    /// A snapshot of the leader took the place of the state here.
    SnapshotInstalled(LogIndex),
    /// The log was damaged: it is set aside and fetched anew under a new disk id.
    DamagedLogSetAside(String),
    /// The disk is full; what was received is kept in memory and tried again.
    DiskFull,
}

impl MemberNotice {
    /// The notice's code in logs and in the decision journal.
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
