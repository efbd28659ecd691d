//! One member of the replicated log.

mod election;
mod follower;
mod leader;
mod leadership;
mod membership_changes;
mod ready;
mod snapshot;

use std::collections::{BTreeMap, VecDeque};

use linnethitch_protocol::{
    consensus::{ConsensusBody, ConsensusMessage, HardState, Membership, SnapshotMeta},
    ids::{LogIndex, MemberId, Term},
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{
    log_view::LogView,
    membership::{self, MembershipHistory},
    pending_log::PendingLog,
    plausible,
    ready::ReceivedChunk,
    settings::Settings,
    status::{PeerStatus, Role, Status},
};
use leadership::Leadership;

/// Bytes of entries read at a time while the log is searched for memberships at start-up.
const RESTORE_READ_BYTES: usize = 1024 * 1024;

/// A partially received snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartialSnapshot {
    /// The member that sends the snapshot.
    pub from: MemberId,
    /// Index, term and membership of the snapshot.
    pub meta: SnapshotMeta,
    /// The next byte expected; all earlier bytes are written and synced.
    pub next_offset: u64,
}

/// State that a member restored from its disk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RestoredState {
    /// The stored hard state; the default if the disk is blank.
    pub hard_state: HardState,
    /// The first membership of a new cluster. It applies only until the log or a
    /// snapshot contains a membership. Empty on a disk that joins an existing cluster.
    pub membership: Membership,
    /// Set when the log was damaged and truncated: the highest index that may have
    /// been acknowledged. The member neither votes nor starts an election until a
    /// leader has restored its log up to this index.
    pub damaged_up_to: Option<LogIndex>,
    /// A partially received snapshot on the disk.
    pub partial_snapshot: Option<PartialSnapshot>,
}

/// Contents of a `Ready` that is not yet synced.
struct UnsyncedReady {
    number: u64,
    /// The last index of the log after the sync.
    last_index: LogIndex,
    /// The term of this member's vote for itself, if the `Ready` contains one.
    vote_for_self: Option<Term>,
}

/// A snapshot being received.
struct IncomingSnapshot {
    partial: PartialSnapshot,
    /// Whether all chunks were received, so that the snapshot waits to be installed.
    complete: bool,
}

/// One member of the replicated log; see the crate's documentation for its use.
pub struct Node {
    settings: Settings,
    random: Pcg64Mcg,
    term: Term,
    vote: Option<MemberId>,
    role: Role,
    leader: Option<MemberId>,
    commit: LogIndex,
    /// The highest commit index received from the current leader.
    leader_commit: LogIndex,
    /// Whether an entry of the current leader's term is known to be committed.
    term_committed: bool,
    synced: LogIndex,
    pending: PendingLog,
    membership: MembershipHistory,
    /// Ticks since the last contact with the leader or the start of the election.
    election_elapsed: u32,
    election_timeout: u32,
    /// Whether any leader sent a message since this member was started.
    has_seen_leader: bool,
    /// Responses to this member's pre-vote or vote requests.
    votes: BTreeMap<MemberId, bool>,
    /// Whether the vote for itself is to be included in the next `Ready`.
    vote_for_self_pending: bool,
    /// Set while this member is the leader.
    leadership: Option<Leadership>,
    incoming_snapshot: Option<IncomingSnapshot>,
    /// Remaining ticks during which snapshot chunks are ignored because the driver
    /// refused a snapshot.
    snapshot_backoff_ticks: u32,
    damaged_up_to: Option<LogIndex>,
    /// Sender identity of replies to the current message.
    reply_identity: MemberId,
    /// The last heartbeat round of the current leader that was answered.
    answered_round: u64,
    before_sync: Vec<ConsensusMessage>,
    after_sync: Vec<ConsensusMessage>,
    chunks: Vec<ReceivedChunk>,
    refused_reads: Vec<u64>,
    last_hard_state: HardState,
    unsynced: VecDeque<UnsyncedReady>,
    ready_number: u64,
    /// Whether the state may have changed since the last `Ready`.
    dirty: bool,
}

impl Node {
    /// Starts a member from the state on its disk.
    #[must_use]
    pub fn new(settings: Settings, restored: RestoredState, log: &dyn LogView) -> Self {
        let hard_state = restored.hard_state;
        let random = Pcg64Mcg::seed_from_u64(settings.seed ^ settings.id.disk.0);
        let snapshot_index = log.snapshot_meta().index;
        let last_index = log.last_index();
        let commit = hard_state.commit.max(snapshot_index).min(last_index);
        let mut node = Node {
            random,
            term: hard_state.term,
            vote: hard_state.vote,
            role: Role::Follower,
            leader: None,
            commit,
            leader_commit: LogIndex(0),
            term_committed: false,
            synced: last_index,
            pending: PendingLog::new(log),
            membership: restore_membership(restored.membership, log),
            election_elapsed: 0,
            election_timeout: 0,
            has_seen_leader: false,
            votes: BTreeMap::new(),
            vote_for_self_pending: false,
            leadership: None,
            incoming_snapshot: None,
            snapshot_backoff_ticks: 0,
            damaged_up_to: None,
            reply_identity: settings.id,
            answered_round: 0,
            before_sync: Vec::new(),
            after_sync: Vec::new(),
            chunks: Vec::new(),
            refused_reads: Vec::new(),
            last_hard_state: hard_state,
            unsynced: VecDeque::new(),
            ready_number: 0,
            dirty: true,
            settings,
        };
        node.membership.compact(commit);
        node.incoming_snapshot = restored.partial_snapshot.map(|partial| IncomingSnapshot {
            partial,
            complete: false,
        });
        if let Some(damaged_up_to) = restored.damaged_up_to {
            node.mark_damaged(damaged_up_to);
        }
        node.randomize_election_timeout();
        node
    }

    /// Advances time by one tick of [`crate::TICK_MILLISECONDS`].
    pub fn tick(&mut self) {
        self.dirty = true;
        if self.role == Role::Leader {
            self.tick_leader();
        } else {
            self.tick_follower();
        }
    }

    /// Handles a message of another member. Messages that are addressed to another
    /// disk, outdated or malformed are dropped.
    pub fn step(&mut self, message: ConsensusMessage, log: &dyn LogView) {
        if !self.is_addressed(&message) || !plausible::is_plausible(&message) {
            return;
        }
        self.dirty = true;
        self.reply_identity = message.to;
        if self.accept_term(&message) {
            self.dispatch(message, log);
        }
        self.reply_identity = self.settings.id;
    }

    /// The status of this member.
    #[must_use]
    pub fn status(&self) -> Status {
        let latest = self.membership.latest();
        Status {
            id: self.settings.id,
            role: self.role,
            term: self.term,
            leader: self.leader,
            ticks_since_leader: self.ticks_since_leader(),
            committed: self.commit,
            known_commit: self.known_commit(),
            synced: self.synced,
            last_index: self.pending.last_index(),
            membership: latest.clone(),
            membership_committed: self.membership.latest_index() <= self.commit,
            damaged_up_to: self.damaged_up_to,
            peers: self.peer_status(latest),
        }
    }

    /// Whether this member is the leader.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        self.role == Role::Leader
    }

    /// The leader of the current term, if known.
    #[must_use]
    pub fn leader(&self) -> Option<MemberId> {
        self.leader
    }

    /// The current term.
    #[must_use]
    pub fn term(&self) -> Term {
        self.term
    }

    fn ticks_since_leader(&self) -> u32 {
        if self.role == Role::Leader {
            0
        } else {
            self.election_elapsed
        }
    }

    fn known_commit(&self) -> Option<LogIndex> {
        match &self.leadership {
            Some(leadership) => self
                .has_committed_own_term(leadership)
                .then_some(self.commit),
            None => self.term_committed.then_some(self.leader_commit),
        }
    }

    fn peer_status(&self, latest: &Membership) -> Vec<PeerStatus> {
        let Some(leadership) = &self.leadership else {
            return Vec::new();
        };
        let peers = leadership.peers.iter();
        peers
            .map(|(member, progress)| PeerStatus {
                member: *member,
                voter: membership::is_voter(latest, *member),
                matched: progress.matched,
                next: progress.next,
                state: progress.peer_state(),
                ticks_since_contact: progress.ticks_since_contact,
            })
            .collect()
    }

    /// Whether a message is addressed to this disk and sent by another.
    fn is_addressed(&self, message: &ConsensusMessage) -> bool {
        let id = self.settings.id;
        let same_machine = message.to.machine == id.machine;
        let accepted_identity =
            message.to == id || (same_machine && self.settings.safety.blank_disk_may_vote);
        accepted_identity && message.from != id
    }

    fn dispatch(&mut self, message: ConsensusMessage, log: &dyn LogView) {
        let (from, term) = (message.from, message.term);
        match message.body {
            ConsensusBody::PreVoteRequest {
                last_index,
                last_term,
            } => self.on_pre_vote_request(from, term, last_index, last_term),
            ConsensusBody::PreVoteResponse { granted } => {
                self.on_pre_vote_response(from, term, granted);
            }
            ConsensusBody::VoteRequest {
                last_index,
                last_term,
                leadership_transfer: _,
            } => self.on_vote_request(from, last_index, last_term),
            ConsensusBody::VoteResponse { granted } => self.on_vote_response(from, granted),
            ConsensusBody::Append(append) => self.on_append(from, append, log),
            ConsensusBody::AppendResponse(response) => {
                self.on_append_response(from, &response, log);
            }
            ConsensusBody::SnapshotChunk(chunk) => self.on_snapshot_chunk(from, chunk),
            ConsensusBody::SnapshotResponse(response) => {
                self.on_snapshot_response(from, &response, log);
            }
            ConsensusBody::TransferLeadership => self.on_transfer_request(from),
        }
    }

    fn new_message(&self, to: MemberId, term: Term, body: ConsensusBody) -> ConsensusMessage {
        ConsensusMessage {
            from: self.reply_identity,
            to,
            term,
            body,
        }
    }

    fn randomize_election_timeout(&mut self) {
        let election_ticks = self.settings.election_ticks;
        // A member that has just started uses a shorter timeout: after a restart of
        // all members nobody leads, and where there is a leader, the voters that are
        // in contact with it refuse the pre-vote.
        let range = if self.has_seen_leader {
            election_ticks..election_ticks * 2
        } else {
            (election_ticks / FIRST_ELECTION_DIVISOR).max(1)..election_ticks.max(2)
        };
        self.election_timeout = self.random.random_range(range);
    }

    /// A member with a damaged log must not vote. Raising the term makes a leader
    /// that has counted the lost entries as acknowledged step down, so that the next
    /// leader determines the acknowledged entries again.
    fn mark_damaged(&mut self, damaged_up_to: LogIndex) {
        self.damaged_up_to = Some(damaged_up_to);
        self.term = Term(self.term.0 + 1);
        self.vote = None;
    }

    fn current_hard_state(&self) -> HardState {
        HardState {
            term: self.term,
            vote: self.vote,
            commit: self.commit.min(self.synced),
        }
    }
}

/// Before the first contact with a leader the election timeout is divided by this.
const FIRST_ELECTION_DIVISOR: u32 = 3;

/// Collects the memberships in the log above its snapshot.
fn restore_membership(initial: Membership, log: &dyn LogView) -> MembershipHistory {
    let snapshot = log.snapshot_meta();
    let base = if snapshot.index.0 == 0 {
        initial
    } else {
        snapshot.membership
    };
    let mut history = MembershipHistory::new(snapshot.index, base);
    let end = LogIndex(log.last_index().0 + 1);
    let mut next = log.first_index().max(LogIndex(snapshot.index.0 + 1));
    while next < end {
        let entries = log.entries(next, end, RESTORE_READ_BYTES);
        let Some(last) = entries.last() else {
            break;
        };
        next = LogIndex(last.index.0 + 1);
        for entry in &entries {
            history.record(entry);
        }
    }
    history
}
