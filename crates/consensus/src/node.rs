//! One member of the replicated log.

mod election;
mod follower;
mod handover;
mod leader;
mod leadership;
mod membership_changes;
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

/// Bytes that are read at once when the log is searched for memberships at the start.
const RESTORE_READ_BYTES: usize = 1024 * 1024;

/// A snapshot that was received in part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartialSnapshot {
    /// The member that sends it.
    pub from: MemberId,
    /// What it stands for.
    pub meta: SnapshotMeta,
    /// The next byte wanted; everything before is written and synced.
    pub next_offset: u64,
}

/// What a member found on its disk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RestoredState {
    /// The stored hard state; the default on a blank disk.
    pub hard_state: HardState,
    /// The membership that a new cluster starts from. It counts only until the
    /// log or a snapshot holds another. Empty on a disk that is to join.
    pub membership: Membership,
    /// Set when the log was found damaged and cut: the highest index that may
    /// have been acknowledged. The member neither votes nor stands for
    /// election until a leader has brought its log back up to there.
    pub damaged_up_to: Option<LogIndex>,
    /// A snapshot of which the first part is stored.
    pub partial_snapshot: Option<PartialSnapshot>,
}

/// What a `Ready` that is not yet synced holds.
struct UnsyncedReady {
    number: u64,
    /// The last index of the log once it is synced.
    last_index: LogIndex,
    /// The term in which it holds this member's vote for itself.
    vote_for_self: Option<Term>,
}

/// A snapshot being received.
struct Receiving {
    partial: PartialSnapshot,
    /// Whether all of it has arrived; it waits to be installed.
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
    /// The highest commit index that the present leader told.
    told_commit: LogIndex,
    /// Whether an entry of the present leader's term is known to be committed.
    term_committed: bool,
    synced: LogIndex,
    pending: PendingLog,
    membership: MembershipHistory,
    /// Ticks since the leader was heard of or the election began.
    election_elapsed: u32,
    election_timeout: u32,
    /// Whether a leader was heard of since this member was opened.
    knew_leader: bool,
    /// Answers to this member's (pre-)vote requests.
    votes: BTreeMap<MemberId, bool>,
    /// Whether the vote for itself waits to be handed over.
    vote_for_self_pending: bool,
    /// Set while this member leads.
    leadership: Option<Leadership>,
    receiving: Option<Receiving>,
    /// Ticks for which no snapshot is taken, since the driver refused one.
    snapshot_pause_ticks: u32,
    damaged_up_to: Option<LogIndex>,
    /// Identity under which the current message is answered.
    answers_as: MemberId,
    /// Highest round of this leader that was answered.
    answered_round: u64,
    before_sync: Vec<ConsensusMessage>,
    after_sync: Vec<ConsensusMessage>,
    chunks: Vec<ReceivedChunk>,
    refused_reads: Vec<u64>,
    handed_hard_state: HardState,
    unsynced: VecDeque<UnsyncedReady>,
    ready_number: u64,
    /// Whether anything happened since the last `Ready`.
    touched: bool,
}

impl Node {
    /// Starts a member from what its disk holds.
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
            told_commit: LogIndex(0),
            term_committed: false,
            synced: last_index,
            pending: PendingLog::new(log),
            membership: restore_membership(restored.membership, log),
            election_elapsed: 0,
            election_timeout: 0,
            knew_leader: false,
            votes: BTreeMap::new(),
            vote_for_self_pending: false,
            leadership: None,
            receiving: None,
            snapshot_pause_ticks: 0,
            damaged_up_to: None,
            answers_as: settings.id,
            answered_round: 0,
            before_sync: Vec::new(),
            after_sync: Vec::new(),
            chunks: Vec::new(),
            refused_reads: Vec::new(),
            handed_hard_state: hard_state,
            unsynced: VecDeque::new(),
            ready_number: 0,
            touched: true,
            settings,
        };
        node.membership.compact(commit);
        node.receiving = restored.partial_snapshot.map(|partial| Receiving {
            partial,
            complete: false,
        });
        if let Some(damaged_up_to) = restored.damaged_up_to {
            node.mark_damaged(damaged_up_to);
        }
        node.draw_election_timeout();
        node
    }

    /// Lets one tick of [`crate::TICK_MILLISECONDS`] pass.
    pub fn tick(&mut self) {
        self.touched = true;
        if self.role == Role::Leader {
            self.tick_leader();
        } else {
            self.tick_follower();
        }
    }

    /// Takes a message of another member. Messages that are for another disk,
    /// late, or not well-formed are dropped.
    pub fn step(&mut self, message: ConsensusMessage, log: &dyn LogView) {
        if !self.is_addressed(&message) || !plausible::is_plausible(&message) {
            return;
        }
        self.touched = true;
        self.answers_as = message.to;
        if self.accept_term(&message) {
            self.dispatch(message, log);
        }
        self.answers_as = self.settings.id;
    }

    /// This member at a glance.
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

    /// Whether this member leads.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        self.role == Role::Leader
    }

    /// The leader of the current term, as far as is known.
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
            Some(leadership) => self.is_settled(leadership).then_some(self.commit),
            None => self.term_committed.then_some(self.told_commit),
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

    /// Whether a message is for this disk and not from itself.
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

    fn answer(&self, to: MemberId, term: Term, body: ConsensusBody) -> ConsensusMessage {
        ConsensusMessage {
            from: self.answers_as,
            to,
            term,
            body,
        }
    }

    fn draw_election_timeout(&mut self) {
        let usual = self.settings.election_ticks;
        // A member that has just started asks sooner: where all were restarted,
        // nobody leads, and where somebody does, its voters refuse the question.
        let range = if self.knew_leader {
            usual..usual * 2
        } else {
            (usual / FIRST_ELECTION_PART).max(1)..usual.max(2)
        };
        self.election_timeout = self.random.random_range(range);
    }

    /// A damaged log must not vote. Raising the term makes a leader that
    /// counts on what was lost step down, so that its successor asks anew.
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

/// A member that knows no leader yet stands from this part of the usual silence on.
const FIRST_ELECTION_PART: u32 = 3;

/// Collects the memberships that the log holds above its snapshot.
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
