//! What operators are told of a member.

use linnethitch_protocol::{
    consensus::Membership,
    ids::{LogIndex, MemberId, Term},
};

/// What a member does at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether it would be elected.
    PreCandidate,
    /// Stands for election.
    Candidate,
    /// Leads.
    Leader,
}

/// How the leader sends to another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum PeerState {
    /// It looks for the point where the logs agree, one message at a time.
    Probe,
    /// It sends without waiting.
    Replicate,
    /// It sends a snapshot.
    Snapshot,
}

/// The leader's knowledge of another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerStatus {
    /// Which.
    pub member: MemberId,
    /// Whether it counts.
    pub voter: bool,
    /// Its log is synced and agrees up to here.
    pub matched: LogIndex,
    /// The next index to send.
    pub next: LogIndex,
    /// How the leader sends to it.
    pub state: PeerState,
    /// Ticks since it was heard of in this leader's term.
    pub ticks_since_contact: u32,
}

/// A member at a glance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// Which.
    pub id: MemberId,
    /// What it does.
    pub role: Role,
    /// Its term.
    pub term: Term,
    /// The leader of that term, as far as is known.
    pub leader: Option<MemberId>,
    /// Ticks since the leader was heard of; 0 on the leader itself.
    pub ticks_since_leader: u32,
    /// Highest index known to be committed.
    pub committed: LogIndex,
    /// What the leader of this term told to be committed, or knows so itself, once an
    /// entry of this term is committed here: whatever was committed in earlier terms is
    /// below it. `None` until then, and while no leader is known.
    pub known_commit: Option<LogIndex>,
    /// Highest index synced here.
    pub synced: LogIndex,
    /// Last index of the log here.
    pub last_index: LogIndex,
    /// Newest membership in the log.
    pub membership: Membership,
    /// Whether that membership is committed.
    pub membership_committed: bool,
    /// Set while this member's log has lost entries that it may have
    /// acknowledged: it does not vote before it has them back.
    pub damaged_up_to: Option<LogIndex>,
    /// The other members, on the leader only, in the order of their ids.
    pub peers: Vec<PeerStatus>,
}
