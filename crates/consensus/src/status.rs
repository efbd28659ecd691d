//! Status of a member, for drivers and operators.

use linnethitch_protocol::{
    consensus::Membership,
    ids::{LogIndex, MemberId, Term},
};

/// Raft role of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Runs a pre-vote.
    PreCandidate,
    /// Runs an election.
    Candidate,
    /// Leader of its term.
    Leader,
}

/// Replication state of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum PeerState {
    /// The leader searches for the last matching entry, one message at a time.
    Probe,
    /// The leader sends appends without waiting for acknowledgements.
    Replicate,
    /// The leader sends a snapshot.
    Snapshot,
}

/// The leader's view of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerStatus {
    /// The peer.
    pub member: MemberId,
    /// Whether the peer is a voter.
    pub voter: bool,
    /// The peer's log is synced and matches the leader's up to this index.
    pub matched: LogIndex,
    /// The next index to send to the peer.
    pub next: LogIndex,
    /// Replication state of the peer.
    pub state: PeerState,
    /// Ticks since the last response in this leader's term.
    pub ticks_since_contact: u32,
}

/// Status of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// This member.
    pub id: MemberId,
    /// Its role.
    pub role: Role,
    /// Its current term.
    pub term: Term,
    /// The leader of that term, if known.
    pub leader: Option<MemberId>,
    /// Ticks since the last contact with the leader; 0 on the leader itself.
    pub ticks_since_leader: u32,
    /// Highest index known to be committed.
    pub committed: LogIndex,
    /// The commit index of the leader of this term, as received from the leader or, on
    /// the leader, its own. It is set once an entry of this term is committed here, and
    /// then covers everything committed in earlier terms. `None` until then, and while
    /// no leader is known.
    pub known_commit: Option<LogIndex>,
    /// Highest index synced on this member's disk.
    pub synced: LogIndex,
    /// Last index of this member's log.
    pub last_index: LogIndex,
    /// Newest membership in the log.
    pub membership: Membership,
    /// Whether that membership is committed.
    pub membership_committed: bool,
    /// Set while this member's log lacks entries that it lost and may have
    /// acknowledged. The member does not vote until they are restored.
    pub damaged_up_to: Option<LogIndex>,
    /// The other members, ordered by id; empty except on the leader.
    pub peers: Vec<PeerStatus>,
}
