//! State of a member that exists only while it is the leader.

use std::collections::{BTreeMap, VecDeque};

use linnethitch_protocol::{
    consensus::Membership,
    ids::{LogIndex, MemberId},
};

use crate::{membership, progress::Progress, reads::ReadQueue};

/// A leadership transfer in progress.
pub(super) struct Transfer {
    pub(super) to: MemberId,
    pub(super) ticks: u32,
    /// Whether the transferee was sent the request to start an election.
    pub(super) request_sent: bool,
}

struct UncommittedEntry {
    index: LogIndex,
    bytes: usize,
}

/// Uncommitted payload bytes proposed during this leadership.
#[derive(Default)]
pub(super) struct UncommittedSize {
    entries: VecDeque<UncommittedEntry>,
    total: usize,
}

impl UncommittedSize {
    /// Whether a proposal is within the limit. With nothing uncommitted any size is.
    pub(super) fn fits(&self, bytes: usize, limit: usize) -> bool {
        self.total == 0 || self.total + bytes <= limit
    }

    pub(super) fn add(&mut self, index: LogIndex, bytes: usize) {
        self.total += bytes;
        self.entries.push_back(UncommittedEntry { index, bytes });
    }

    pub(super) fn committed(&mut self, commit: LogIndex) {
        let count = self.entries.partition_point(|entry| entry.index <= commit);
        let committed = self.entries.drain(..count);
        self.total -= committed.map(|entry| entry.bytes).sum::<usize>();
    }
}

/// State of a member that exists only while it is the leader.
pub(super) struct Leadership {
    /// The other members.
    pub(super) peers: BTreeMap<MemberId, Progress>,
    /// Index of the first entry of this leadership.
    pub(super) first_index: LogIndex,
    /// Number of the current heartbeat round, from 1.
    pub(super) round: u64,
    pub(super) heartbeat_elapsed: u32,
    pub(super) reads: ReadQueue,
    pub(super) uncommitted: UncommittedSize,
    pub(super) transfer: Option<Transfer>,
}

impl Leadership {
    pub(super) fn new(id: MemberId, latest: &Membership, first_index: LogIndex) -> Self {
        let mut leadership = Leadership {
            peers: BTreeMap::new(),
            first_index,
            round: 1,
            heartbeat_elapsed: 0,
            reads: ReadQueue::default(),
            uncommitted: UncommittedSize::default(),
            transfer: None,
        };
        leadership.update_peers(id, latest, first_index);
        leadership
    }

    /// Adds and removes peers after a membership change; sending to new peers starts at `next`.
    pub(super) fn update_peers(&mut self, id: MemberId, latest: &Membership, next: LogIndex) {
        let is_peer = |member: &MemberId| *member != id;
        self.peers
            .retain(|member, _| membership::members(latest).any(|known| known == *member));
        for member in membership::members(latest).filter(is_peer) {
            self.peers
                .entry(member)
                .or_insert_with(|| Progress::new(next));
        }
    }

    /// Starts a heartbeat round: the next `Ready` includes a message to every peer.
    pub(super) fn start_round(&mut self) {
        self.round += 1;
        self.heartbeat_elapsed = 0;
        for progress in self.peers.values_mut() {
            progress.request_heartbeat();
        }
    }

    /// The highest index that a quorum of voters has synced.
    pub(super) fn quorum_matched(
        &self,
        id: MemberId,
        synced: LogIndex,
        latest: &Membership,
    ) -> LogIndex {
        self.quorum_value(id, synced, latest, |progress| progress.matched)
    }

    /// The highest round that a quorum of voters has answered.
    pub(super) fn quorum_round(&self, id: MemberId, latest: &Membership) -> u64 {
        self.quorum_value(id, self.round, latest, |progress| {
            progress.acknowledged_round
        })
    }

    /// Whether a quorum of voters responded within the last `ticks`.
    pub(super) fn has_quorum(&self, id: MemberId, latest: &Membership, ticks: u32) -> bool {
        self.quorum_value(id, true, latest, |progress| {
            progress.ticks_since_contact < ticks
        })
    }

    /// The highest value that a quorum of voters has reached.
    fn quorum_value<T: Ord + Copy + Default>(
        &self,
        id: MemberId,
        own: T,
        latest: &Membership,
        value: impl Fn(&Progress) -> T,
    ) -> T {
        let value_of = |voter: &MemberId| match self.peers.get(voter) {
            Some(progress) => value(progress),
            None if *voter == id => own,
            None => T::default(),
        };
        let mut values: Vec<T> = latest.voters.iter().map(value_of).collect();
        values.sort_unstable_by(|left, right| right.cmp(left));
        let position = membership::quorum(latest) - 1;
        values.get(position).copied().unwrap_or_default()
    }
}
