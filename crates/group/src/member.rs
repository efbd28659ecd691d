//! The group member: ticks, messages, calls, and the work between two syncs.

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

/// Maximum number of ticks processed in one call after a pause.
const MAX_TICKS_AT_ONCE: u64 = 25;

/// After this many ticks, about one second, without contact with the leader a member no
/// longer knows what is committed. This is about twice the default minimum election
/// timeout.
const LEADER_CONTACT_TICKS: u32 = 25;

/// A proposal waiting to be applied.
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
    /// The last index applied to the state.
    pub(crate) applied: LogIndex,
    /// The membership at `applied`.
    pub(crate) applied_membership: Membership,
    /// Size of the log in bytes when the last snapshot was stored or abandoned.
    pub(crate) snapshot_retry_bytes: u64,
    pub(crate) snapshot: Option<SnapshotInProgress<S>>,
    pub(crate) outputs: Vec<GroupOutput<S::Answer>>,
    pub(crate) disk_full: bool,
    pub(crate) unsynced: VecDeque<Unsynced>,
    /// Entries that could not be appended yet because the disk is full.
    pub(crate) unappended: Vec<Entry>,
    pub(crate) proposals: BTreeMap<LogIndex, PendingProposal>,
    /// Confirmed reads that wait for their index to be applied, with their calls.
    pub(crate) reads: Vec<(LogIndex, u64)>,
    /// Disks that reported their presence, and the time of the last report, in
    /// milliseconds.
    pub(crate) joining: BTreeMap<MachineId, (MemberId, u64)>,
    /// Machines that are being drained, or that announced that they stop permanently.
    pub(crate) retiring: BTreeSet<MachineId>,
    pub(crate) now_ms: u64,
    known_leader: Option<MemberId>,
    known_term: Term,
    ticked_ms: u64,
}

impl<S: StateMachine + Default> GroupMember<S> {
    /// Opens the member's data folder, and formats it if it is blank.
    ///
    /// # Errors
    /// `DataFolderRefused` if the folder belongs to another member, is locked or has
    /// another format, `StorageFull`, `Io`.
    pub fn open(
        settings: GroupSettings,
        file_system: Arc<dyn FileSystem>,
        now_ms: u64,
    ) -> Result<Self, Report<ErrorKind>> {
        let opened = opening::open::<S>(&settings, file_system)?;
        let mut outputs = Vec::new();
        if let Some(damage) = opened.set_aside_damage {
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
    /// Advances time to `now_ms`, milliseconds of a monotonic clock.
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

    /// Handles a consensus message of another member.
    pub fn receive(&mut self, message: ConsensusMessage) {
        if !self.is_blocked() {
            self.node.step(message, &self.store);
        }
    }

    /// Records that a disk is present and may join the group.
    pub fn note_present(&mut self, member: MemberId, now_ms: u64) {
        self.joining.insert(member.machine, (member, now_ms));
    }

    /// Replaces the set of machines that are to be removed from the group.
    pub fn set_retiring(&mut self, machines: BTreeSet<MachineId>) {
        self.retiring = machines;
    }

    /// Proposes a command. The outcome is returned as an output with this call number.
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

    /// Requests a linearizable read. The outcome is returned as an output with this
    /// call number.
    pub fn read(&mut self, call: u64) {
        match self.node.read_index(call) {
            Ok(()) => {}
            Err(ReadError::NotLeader { leader }) => {
                self.fail(call, CallFailure::NotLeader(leader));
            }
            Err(ReadError::Overloaded) => self.fail(call, CallFailure::Overloaded),
        }
    }

    /// Writes, syncs, sends and applies all pending work.
    ///
    /// # Errors
    /// `Io` or `Corrupted` if the disk failed; the member must not be used after
    /// that. A full disk is not an error: the pending work is retried.
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
            self.handle_ready(ready)?;
        }
        self.apply_committed()?;
        self.answer_reads();
        self.notify_leader_change();
        self.snapshot_if_due()
    }

    /// Transfers leadership to the voter with the highest matched index whose machine is not
    /// being drained; the most recent contact decides between equals.
    pub fn transfer_leadership(&mut self) {
        let status = self.node.status();
        let own = status.id;
        let peers = status.peers.iter();
        let successor = peers
            .filter(|peer| peer.voter && peer.member != own)
            .filter(|peer| !self.retiring.contains(&peer.member.machine))
            .max_by_key(|peer| (peer.matched, Reverse(peer.ticks_since_contact)));
        if let Some(peer) = successor {
            // An error means that this member is no longer the leader.
            let _ = self.node.transfer_leadership(peer.member);
        }
    }

    /// Removes and returns the outputs for the driver, in order.
    pub fn take_outputs(&mut self) -> Vec<GroupOutput<S::Answer>> {
        std::mem::take(&mut self.outputs)
    }

    /// The state at [`GroupMember::applied`].
    #[must_use]
    pub fn state(&self) -> &S {
        &self.state
    }

    /// The last index applied to the state.
    #[must_use]
    pub fn applied(&self) -> LogIndex {
        self.applied
    }

    /// Whether committed entries wait to be applied by the next flush.
    #[must_use]
    pub fn has_unapplied(&self) -> bool {
        self.applied < self.appliable()
    }

    /// Whether there was recent contact with the leader and the state includes all
    /// entries that the leader reported as committed. The state may be older on a
    /// member that is isolated, has a full disk or is still catching up.
    #[must_use]
    pub fn is_current(&self) -> bool {
        let status = self.node.status();
        let has_recent_leader =
            status.leader.is_some() && status.ticks_since_leader < LEADER_CONTACT_TICKS;
        let commit = status.known_commit;
        let has_applied_all = commit.is_some_and(|commit| self.applied >= commit);
        has_recent_leader && has_applied_all && !self.is_blocked()
    }

    /// This member: its machine and disk.
    #[must_use]
    pub fn id(&self) -> MemberId {
        self.folder.member()
    }

    /// The status of the consensus node.
    #[must_use]
    pub fn status(&self) -> Status {
        self.node.status()
    }

    /// Whether this member is the leader.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        self.node.is_leader()
    }

    /// The leader, if known.
    #[must_use]
    pub fn leader(&self) -> Option<MemberId> {
        self.node.leader()
    }

    /// The membership at [`GroupMember::applied`].
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

    fn notify_leader_change(&mut self) {
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
