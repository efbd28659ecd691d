//! The member itself: time, messages, calls and the work between two syncs.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use error_stack::Report;
use linnethitch_consensus::{Node, ProposeError, ReadError, Status};
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    consensus::{ConsensusMessage, Entry, Membership},
    ids::{LogIndex, MachineId, MemberId, Term},
};
use linnethitch_storage::{DataFolder, FileSystem};

use crate::{
    log_store::LogStore,
    opening,
    output::{CallFailure, GroupNotice, GroupOutput},
    persist::Unsynced,
    settings::GroupSettings,
    snapshots::SnapshotInProgress,
    state_machine::StateMachine,
};

/// Ticks made up for at once after a pause.
const MAX_TICKS_AT_ONCE: u64 = 25;

/// A member that has not heard its leader for so many ticks, about a second, does not
/// know what is committed: twice the usual silence after which another member may stand
/// for election.
const LEADER_SILENT_TICKS: u32 = 25;

/// A proposal that waits to be applied.
pub(crate) struct PendingProposal {
    pub(crate) term: Term,
    pub(crate) call: u64,
}

/// One member of a replicated group; see the crate's documentation.
pub struct GroupMember<S: StateMachine> {
    pub(crate) settings: GroupSettings,
    pub(crate) folder: DataFolder,
    pub(crate) store: LogStore,
    pub(crate) node: Node,
    pub(crate) state: S,
    /// Entries up to here are in the state.
    pub(crate) applied: LogIndex,
    /// The membership as of `applied`.
    pub(crate) applied_membership: Membership,
    /// Size of the log when the last snapshot was stored or given up, in bytes.
    pub(crate) snapshot_retry_bytes: u64,
    pub(crate) snapshot: Option<SnapshotInProgress<S>>,
    pub(crate) outputs: Vec<GroupOutput<S::Answer>>,
    pub(crate) disk_full: bool,
    pub(crate) unsynced: VecDeque<Unsynced>,
    /// Entries that the log could not take yet, since the disk is full.
    pub(crate) unappended: Vec<Entry>,
    pub(crate) proposals: BTreeMap<LogIndex, PendingProposal>,
    /// Confirmed reads that wait until their index is applied.
    pub(crate) reads: Vec<(LogIndex, u64)>,
    /// Disks that asked to join, and when, in milliseconds.
    pub(crate) joining: BTreeMap<MachineId, (MemberId, u64)>,
    /// Machines that are to be emptied, or that said that they stop for good.
    pub(crate) retiring: BTreeSet<MachineId>,
    pub(crate) now_ms: u64,
    known_leader: Option<MemberId>,
    known_term: Term,
    ticked_ms: u64,
}

impl<S: StateMachine + Default> GroupMember<S> {
    /// Opens the member's data folder, formatting a blank one.
    ///
    /// # Errors
    /// `DataFolderRefused` when the folder is foreign, locked or of another
    /// format, `StorageFull`, `Io`.
    pub fn open(
        settings: GroupSettings,
        file_system: Arc<dyn FileSystem>,
        now_ms: u64,
    ) -> Result<Self, Report<ErrorKind>> {
        let opened = opening::open::<S>(&settings, file_system)?;
        let mut outputs = Vec::new();
        if let Some(damage) = opened.set_aside {
            outputs.push(GroupOutput::Notice(GroupNotice::DamageSetAside(damage)));
        }
        Ok(GroupMember {
            settings,
            folder: opened.folder,
            store: opened.store,
            node: opened.node,
            state: opened.state,
            applied: opened.applied,
            applied_membership: opened.membership,
            snapshot_retry_bytes: 0,
            snapshot: None,
            outputs,
            disk_full: false,
            unsynced: VecDeque::new(),
            unappended: Vec::new(),
            proposals: BTreeMap::new(),
            reads: Vec::new(),
            joining: BTreeMap::new(),
            retiring: BTreeSet::new(),
            now_ms,
            known_leader: None,
            known_term: Term(0),
            ticked_ms: now_ms,
        })
    }
}

impl<S: StateMachine> GroupMember<S> {
    /// Lets time pass; `now_ms` is a steady clock in milliseconds.
    pub fn tick(&mut self, now_ms: u64) {
        self.now_ms = now_ms;
        let tick_ms = self.settings.tick_ms;
        let elapsed = now_ms.saturating_sub(self.ticked_ms) / tick_ms;
        if elapsed == 0 {
            return;
        }
        self.ticked_ms += elapsed * tick_ms;
        if self.is_blocked() {
            return;
        }
        for _ in 0..elapsed.min(MAX_TICKS_AT_ONCE) {
            self.node.tick();
        }
        self.repair_membership();
    }

    /// Takes a consensus message of another member.
    pub fn receive(&mut self, message: ConsensusMessage) {
        if !self.is_blocked() {
            self.node.step(message, &self.store);
        }
    }

    /// Notes that a disk is present and wants to take part.
    pub fn note_present(&mut self, member: MemberId, now_ms: u64) {
        self.joining.insert(member.machine, (member, now_ms));
    }

    /// Replaces the set of machines that are to leave the group.
    pub fn set_retiring(&mut self, machines: BTreeSet<MachineId>) {
        self.retiring = machines;
    }

    /// Proposes a command; the answer comes as an output under this number.
    pub fn propose(&mut self, call: u64, command: Vec<u8>) {
        match self.node.propose(command) {
            Ok(index) => {
                let term = self.node.term();
                let replaced = self.proposals.insert(index, PendingProposal { term, call });
                if let Some(replaced) = replaced {
                    self.fail(replaced.call, CallFailure::Replaced);
                }
            }
            Err(ProposeError::NotLeader { leader }) => {
                self.fail(call, CallFailure::NotLeader(leader));
            }
            Err(ProposeError::Overloaded) => self.fail(call, CallFailure::Overloaded),
            Err(ProposeError::TooLarge) => self.fail(call, CallFailure::TooLarge),
        }
    }

    /// Asks whether the state may be read for a call; a linearizable read.
    pub fn read(&mut self, call: u64) {
        match self.node.read_index(call) {
            Ok(()) => {}
            Err(ReadError::NotLeader { leader }) => {
                self.fail(call, CallFailure::NotLeader(leader));
            }
            Err(ReadError::Overloaded) => self.fail(call, CallFailure::Overloaded),
        }
    }

    /// Writes, syncs, sends and applies whatever has come up.
    ///
    /// # Errors
    /// `Io` or `Corrupted` when the disk failed. The member must not be used
    /// any more then. A full disk is not an error: what waits is tried again.
    pub fn flush(&mut self) -> Result<(), Report<ErrorKind>> {
        loop {
            if !self.unsynced.is_empty() && !self.sync()? {
                return Ok(());
            }
            if !self.node.has_ready() {
                break;
            }
            let ready = self.node.ready(&self.store);
            self.store.check_reads()?;
            self.carry_out(ready)?;
        }
        self.apply_committed()?;
        self.answer_reads();
        self.note_leader();
        self.snapshot_if_due()
    }

    /// Asks the member with the longest log to lead instead of this one.
    pub fn transfer_leadership(&mut self) {
        let status = self.node.status();
        let own = status.id;
        let peers = status.peers.iter();
        let successor = peers
            .filter(|peer| peer.voter && peer.member != own)
            .filter(|peer| !self.retiring.contains(&peer.member.machine))
            .max_by_key(|peer| (peer.matched, Reverse(peer.ticks_since_contact)));
        if let Some(peer) = successor {
            // A refusal means that this member no longer leads.
            let _ = self.node.transfer_leadership(peer.member);
        }
    }

    /// What the driver has to do, in order.
    pub fn take_outputs(&mut self) -> Vec<GroupOutput<S::Answer>> {
        std::mem::take(&mut self.outputs)
    }

    /// The state up to [`GroupMember::applied`].
    #[must_use]
    pub fn state(&self) -> &S {
        &self.state
    }

    /// The last index that the state holds.
    #[must_use]
    pub fn applied(&self) -> LogIndex {
        self.applied
    }

    /// Whether committed entries wait to be applied: the next flush goes on with them.
    #[must_use]
    pub fn has_unapplied(&self) -> bool {
        self.applied < self.appliable()
    }

    /// Whether the state holds what the leader, which was heard lately, told to be
    /// committed. A member that is cut off, whose disk is full, or that catches up may
    /// hold something older.
    #[must_use]
    pub fn is_current(&self) -> bool {
        let status = self.node.status();
        let hears_leader =
            status.leader.is_some() && status.ticks_since_leader < LEADER_SILENT_TICKS;
        let commit = status.known_commit;
        let holds_all = commit.is_some_and(|commit| self.applied >= commit);
        hears_leader && holds_all && !self.is_blocked()
    }

    /// This member: its machine and disk.
    #[must_use]
    pub fn id(&self) -> MemberId {
        self.folder.member()
    }

    /// The consensus node at a glance.
    #[must_use]
    pub fn status(&self) -> Status {
        self.node.status()
    }

    /// Whether this member leads.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        self.node.is_leader()
    }

    /// The leader, as far as is known.
    #[must_use]
    pub fn leader(&self) -> Option<MemberId> {
        self.node.leader()
    }

    /// The membership as of [`GroupMember::applied`].
    #[must_use]
    pub fn membership(&self) -> &Membership {
        &self.applied_membership
    }

    pub(crate) fn fail(&mut self, call: u64, failure: CallFailure) {
        self.outputs.push(GroupOutput::Failed { call, failure });
    }

    pub(crate) fn notice(&mut self, notice: GroupNotice) {
        self.outputs.push(GroupOutput::Notice(notice));
    }

    fn note_leader(&mut self) {
        let (leader, term) = (self.node.leader(), self.node.term());
        if leader == self.known_leader && term == self.known_term {
            return;
        }
        if leader != self.known_leader || leader.is_some() {
            self.notice(GroupNotice::Leader { term, leader });
        }
        self.known_leader = leader;
        self.known_term = term;
    }
}
