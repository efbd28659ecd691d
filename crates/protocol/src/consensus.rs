//! Messages of the replicated log.

use rkyv::{Archive, Deserialize, Serialize};

use crate::ids::{LogIndex, MemberId, Term};

/// Who takes part in the log, and how.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Membership {
    /// Members whose votes and acknowledgements count, sorted.
    pub voters: Vec<MemberId>,
    /// Members that receive the log but do not count, sorted.
    pub learners: Vec<MemberId>,
}

/// One change of the membership; at most one is uncommitted at any time.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum MembershipChange {
    /// Adds a member that does not count yet.
    AddLearner(MemberId),
    /// Makes a learner that has synced everything a voter.
    PromoteLearner(MemberId),
    /// Removes a voter or learner.
    Remove(MemberId),
}

/// What a log entry holds.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum EntryPayload {
    /// Written by a new leader to commit what earlier terms left.
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
    /// Its position.
    pub index: LogIndex,
    /// What it holds.
    pub payload: EntryPayload,
}

/// What a member must have synced before it answers anybody.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct HardState {
    /// The newest term seen.
    pub term: Term,
    /// Who got this member's vote in that term.
    pub vote: Option<MemberId>,
    /// The highest index known to be committed.
    pub commit: LogIndex,
}

/// Which prefix of the log a snapshot stands for.
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
    /// The receiver; a member drops what is not for its own disk.
    pub to: MemberId,
    /// The sender's term (for a pre-vote request, the term it would stand in).
    pub term: Term,
    /// What is said.
    pub body: ConsensusBody,
}

/// What members say to each other.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum ConsensusBody {
    /// Would you vote for me? Changes nothing on the receiver.
    PreVoteRequest {
        /// Index of the sender's last entry.
        last_index: LogIndex,
        /// Term of the sender's last entry.
        last_term: Term,
    },
    /// Answer to a pre-vote.
    PreVoteResponse {
        /// Whether the vote would be given.
        granted: bool,
    },
    /// Vote for me.
    VoteRequest {
        /// Index of the sender's last entry.
        last_index: LogIndex,
        /// Term of the sender's last entry.
        last_term: Term,
        /// Whether the leader asked the sender to stand; then a live leader is no reason to refuse.
        leadership_transfer: bool,
    },
    /// Answer to a vote request.
    VoteResponse {
        /// Whether the vote was given (and synced).
        granted: bool,
    },
    /// Entries of the leader, or its heartbeat.
    Append(Append),
    /// Answer to an append.
    AppendResponse(AppendResponse),
    /// A piece of a snapshot for a member that is behind the log's start.
    SnapshotChunk(SnapshotChunk),
    /// Answer to a snapshot piece.
    SnapshotResponse(SnapshotResponse),
    /// The leader asks the receiver to stand for election at once.
    TransferLeadership,
}

/// Entries after `previous_index`; none makes it a heartbeat.
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
    /// Whether the entries fit; if so they are synced up to `matched`.
    pub accepted: bool,
    /// Synced up to here (accepted), or a hint where to go on (refused).
    pub matched: LogIndex,
    /// The round being answered.
    pub round: u64,
}

/// A piece of a snapshot for a member that is behind the log's start.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// What the snapshot stands for.
    pub meta: SnapshotMeta,
    /// Byte offset of this piece.
    pub offset: u64,
    /// The piece.
    pub data: Vec<u8>,
    /// Whether this is the last piece.
    pub last: bool,
    /// Round number of the leader.
    pub round: u64,
}

/// Answer to a snapshot piece.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct SnapshotResponse {
    /// The snapshot being received.
    pub index: LogIndex,
    /// The next byte wanted.
    pub next_offset: u64,
    /// Whether the snapshot is installed and synced.
    pub installed: bool,
    /// The round being answered.
    pub round: u64,
}
