//! Messages of the replicated log.

use rkyv::{Archive, Deserialize, Serialize};

use crate::ids::{LogIndex, MemberId, Term};

/// Members of the consensus group by role.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Membership {
    /// Members whose votes and acknowledgements count, sorted.
    pub voters: Vec<MemberId>,
    /// Members that receive the log without a vote, sorted.
    pub learners: Vec<MemberId>,
}

/// One change of the membership; at most one is uncommitted at any time.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum MembershipChange {
    /// Adds a member without a vote.
    AddLearner(MemberId),
    /// Makes a learner that has synced everything a voter.
    PromoteLearner(MemberId),
    /// Removes a voter or learner.
    Remove(MemberId),
}

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum EntryPayload {
    /// Written by a new leader to commit entries of earlier terms.
    Empty,
    /// An encoded command of the state machine.
    Command(Vec<u8>),
    /// A membership change, with the membership that results.
    Membership(MembershipChange, Membership),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Entry {
    /// The term of the leader that wrote it.
    pub term: Term,
    /// Position in the log.
    pub index: LogIndex,
    /// The content.
    pub payload: EntryPayload,
}

/// State that a member must sync before it answers a message.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct HardState {
    /// The newest term seen.
    pub term: Term,
    /// The member that received this member's vote in that term.
    pub vote: Option<MemberId>,
    /// The highest index known to be committed.
    pub commit: LogIndex,
}

/// The prefix of the log that a snapshot replaces.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct SnapshotMeta {
    /// The last index that the snapshot covers.
    pub index: LogIndex,
    /// The term of that index.
    pub term: Term,
    /// The membership as of that index.
    pub membership: Membership,
}

/// A message between two members.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ConsensusMessage {
    /// The sender.
    pub from: MemberId,
    /// The receiver; a member drops messages that are addressed to another disk.
    pub to: MemberId,
    /// The sender's term; for a pre-vote request, the term in which it would be a candidate.
    pub term: Term,
    /// The message.
    pub body: ConsensusBody,
}

/// Content of a message between members.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum ConsensusBody {
    /// Asks whether the receiver would grant its vote; changes no state of the receiver.
    PreVoteRequest {
        /// Index of the sender's last entry.
        last_index: LogIndex,
        /// Term of the sender's last entry.
        last_term: Term,
    },
    /// Answer to a pre-vote.
    PreVoteResponse {
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Requests a vote.
    VoteRequest {
        /// Index of the sender's last entry.
        last_index: LogIndex,
        /// Term of the sender's last entry.
        last_term: Term,
        /// Whether the leader asked the sender to become a candidate. If so, contact with a live
        /// leader is no reason to refuse the vote.
        leadership_transfer: bool,
    },
    /// Answer to a vote request.
    VoteResponse {
        /// Whether the vote was granted and synced.
        granted: bool,
    },
    /// Entries of the leader, or a heartbeat.
    Append(Append),
    /// Answer to an append.
    AppendResponse(AppendResponse),
    /// A chunk of a snapshot for a member whose next entry is no longer in the leader's log.
    SnapshotChunk(SnapshotChunk),
    /// Answer to a snapshot chunk.
    SnapshotResponse(SnapshotResponse),
    /// The leader asks the receiver to start an election immediately.
    TransferLeadership,
}

/// Entries after `previous_index`; a heartbeat if there are none.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Append {
    /// Index before the first entry.
    pub previous_index: LogIndex,
    /// Term of that index.
    pub previous_term: Term,
    /// The entries.
    pub entries: Vec<Entry>,
    /// The leader's commit index.
    pub commit: LogIndex,
    /// Round number of the leader for reads and check-quorum.
    pub round: u64,
}

/// Answer to an append.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct AppendResponse {
    /// Whether the entries match the log; if so, the log is synced up to `matched`.
    pub accepted: bool,
    /// Highest synced index if accepted, else a hint from which index to continue.
    pub matched: LogIndex,
    /// The round being answered.
    pub round: u64,
}

/// A chunk of a snapshot for a member whose next entry is no longer in the leader's log.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// The prefix of the log that the snapshot replaces.
    pub meta: SnapshotMeta,
    /// Byte offset of this chunk.
    pub offset: u64,
    /// The chunk.
    pub data: Vec<u8>,
    /// Whether this is the last chunk.
    pub last: bool,
    /// Round number of the leader.
    pub round: u64,
}

/// Answer to a snapshot chunk.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct SnapshotResponse {
    /// The snapshot being received.
    pub index: LogIndex,
    /// Offset of the next byte to send.
    pub next_offset: u64,
    /// Whether the snapshot is installed and synced.
    pub installed: bool,
    /// The round being answered.
    pub round: u64,
}
