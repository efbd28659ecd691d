//! The member: opening, time, messages and the work between two syncs.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use error_stack::Report;
use linnethitch_consensus::{Node, Status, TICK_MILLISECONDS};
use linnethitch_errors::ErrorKind;
use linnethitch_ledger::Ledger;
use linnethitch_protocol::{
    attach::PeerMessage,
    consensus::{Entry, Membership},
    format::Format,
    ids::{DiskId, LogIndex, MachineId, MemberId, Term},
};
use linnethitch_storage::{
    FileSystem, PayloadMark,
    folder::{DataFolder, FolderIdentity, FolderRole},
};

use super::{
    calls::PendingCalls,
    log_store::LogStore,
    opening::{OpenedState, open_state, start_node},
    output::{MemberNotice, MemberOutput},
    persist::Unsynced,
    presence::Presence,
    settings::{MemberSettings, MemberTime},
    snapshots::SnapshotBuild,
};

/// Maximum number of ticks in one call of [`Member::tick`] after a process pause.
const MAX_TICKS_AT_ONCE: u64 = 50;
/// Time between two checks of the membership and of the free space, in milliseconds.
const MAINTENANCE_INTERVAL_MS: u64 = 100;

/// One control member; see the documentation of the module.
pub struct Member {
    pub(super) settings: MemberSettings,
    pub(super) folder: DataFolder,
    pub(super) store: LogStore,
    pub(super) node: Node,
    pub(super) ledger: Ledger,
    pub(super) time: MemberTime,
    pub(super) calls: PendingCalls,
    pub(super) presence: Presence,
    /// Entries up to this index are in the ledger.
    pub(super) applied: LogIndex,
    /// The membership as of `applied`.
    pub(super) applied_membership: Membership,
    pub(super) snapshot_build: Option<SnapshotBuild>,
    /// Checkpoints of the payload store by the index of the stored snapshot they belong to.
    pub(super) payload_marks: BTreeMap<LogIndex, PayloadMark>,
    /// Size of the log when the last snapshot was stored or abandoned, in bytes.
    pub(super) snapshot_retry_bytes: u64,
    pub(super) outputs: Vec<MemberOutput>,
    /// Whether free space has fallen below the reserve.
    pub(super) disk_full: bool,
    pub(super) unsynced: VecDeque<Unsynced>,
    /// Entries that are not yet appended to the log because the disk is full.
    pub(super) unappended: Vec<Entry>,
    /// The newest format that each other machine is known to read.
    pub(super) peer_formats: BTreeMap<MachineId, Format>,
    known_leader: Option<MemberId>,
    ticked_ms: u64,
    pub(super) hello_ms: Option<u64>,
    maintenance_ms: u64,
    /// Whether this disk may take part in starting a new cluster.
    pub(super) may_start_cluster: bool,
}

impl Member {
    /// Opens the member's data folder. A blank folder is formatted with the disk id `new_disk`,
    /// which must never have been used before.
    ///
    /// A log that is damaged before its end is set aside: the member then starts blank with the
    /// disk id `new_disk` and fetches the state from the other members.
    ///
    /// # Errors
    /// `DataFolderRefused` if the folder belongs to another cluster, role or machine, is locked
    /// or has another format; `StorageFull`, `Io`.
    pub fn open(
        settings: MemberSettings,
        file_system: Arc<dyn FileSystem>,
        new_disk: DiskId,
        time: MemberTime,
    ) -> Result<Self, Report<ErrorKind>> {
        let identity = FolderIdentity {
            cluster: settings.cluster.clone(),
            role: FolderRole::Control,
            machine: settings.machine,
        };
        let mut folder = DataFolder::open_or_format(file_system, &identity, new_disk)?;
        let mut outputs = Vec::new();
        let mut may_start_cluster = settings.bootstrap;
        let opened = open_state(&mut folder, new_disk)?;
        if let Some(damage) = opened.set_aside {
            may_start_cluster = false;
            let notice = MemberNotice::DamagedLogSetAside(damage);
            outputs.push(MemberOutput::Notice(notice));
        }
        let OpenedState {
            store,
            mut restored,
            ..
        } = opened;
        restored.ledger.set_safety_overrides(settings.ledger_safety);
        let node = start_node(&settings, &folder, &store)?;
        Ok(Member {
            ticked_ms: time.monotonic_ms,
            maintenance_ms: time.monotonic_ms,
            settings,
            folder,
            store,
            node,
            ledger: restored.ledger,
            time,
            calls: PendingCalls::default(),
            presence: Presence::default(),
            applied: restored.applied,
            applied_membership: restored.membership,
            snapshot_build: None,
            payload_marks: BTreeMap::new(),
            snapshot_retry_bytes: 0,
            outputs,
            disk_full: false,
            unsynced: VecDeque::new(),
            unappended: Vec::new(),
            peer_formats: BTreeMap::new(),
            known_leader: None,
            hello_ms: None,
            may_start_cluster,
        })
    }

    /// Advances time; to be called about every [`TICK_MILLISECONDS`], after the arrived messages
    /// are passed to [`Member::receive`].
    pub fn tick(&mut self, time: MemberTime) {
        self.time = time;
        let elapsed = time.monotonic_ms.saturating_sub(self.ticked_ms) / TICK_MILLISECONDS;
        self.ticked_ms += elapsed * TICK_MILLISECONDS;
        if !self.is_blocked() {
            for _ in 0..elapsed.min(MAX_TICKS_AT_ONCE) {
                self.node.tick();
            }
        }
        for due in self.calls.take_expired(time.monotonic_ms) {
            self.answer(due.origin, due.body);
        }
        self.send_hello_if_due();
        if time.monotonic_ms >= self.maintenance_ms + MAINTENANCE_INTERVAL_MS {
            self.maintenance_ms = time.monotonic_ms;
            self.run_maintenance();
        }
    }

    /// Takes a message of another machine.
    pub fn receive(&mut self, from: MachineId, message: PeerMessage) {
        match message {
            PeerMessage::Consensus(message) if message.from.machine == from => {
                if !self.is_blocked() {
                    self.node.step(message, &self.store);
                }
            }
            PeerMessage::Hello {
                member,
                formatted,
                attach_address,
            } if member.machine == from => {
                let now_ms = self.time.monotonic_ms;
                self.presence
                    .record_hello(member, formatted, attach_address, now_ms);
            }
            PeerMessage::Forward { call, body } => self.receive_forwarded(from, call, body),
            PeerMessage::Forwarded { call, body } => self.receive_answer(call, body),
            // The driver handles soft state. A message whose sender is not `from` is dropped.
            PeerMessage::Digest(_)
            | PeerMessage::Broadcast(_)
            | PeerMessage::Consensus(_)
            | PeerMessage::Hello { .. } => {}
        }
    }

    /// Writes, syncs, sends and applies all pending work.
    ///
    /// # Errors
    /// `Io` or `Corrupted` if the disk failed. The member must not be used after such an error
    /// but may be opened again. A full disk is not an error: the next flush retries the pending
    /// writes.
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

    /// Transfers leadership to the voter with the longest log, for use before a planned stop.
    /// Does nothing if this member does not lead.
    pub fn transfer_leadership(&mut self) {
        let status = self.node.status();
        let voters = status.peers.iter().filter(|peer| peer.voter);
        let successor = voters.max_by_key(|peer| (peer.matched, Reverse(peer.ticks_since_contact)));
        if let Some(peer) = successor {
            // An error means that this member no longer leads.
            let _ = self.node.transfer_leadership(peer.member);
        }
    }

    /// Removes and returns the outputs for the driver, to be carried out in order.
    pub fn take_outputs(&mut self) -> Vec<MemberOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// This member's machine and disk.
    #[must_use]
    pub fn id(&self) -> MemberId {
        self.folder.member()
    }

    /// Status of the consensus node.
    #[must_use]
    pub fn status(&self) -> Status {
        self.node.status()
    }

    /// Whether this member leads.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        self.node.is_leader()
    }

    /// The state machine with all entries up to [`Member::applied`].
    #[must_use]
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// The index of the last entry applied to the ledger.
    #[must_use]
    pub fn applied(&self) -> LogIndex {
        self.applied
    }

    /// Bytes of the log on disk.
    #[must_use]
    pub fn log_bytes(&self) -> u64 {
        self.store.log.disk_bytes()
    }

    /// Addresses for gateways of this member and of the members whose hello was received.
    #[must_use]
    pub fn attach_addresses(&self) -> Vec<String> {
        let own = std::iter::once(self.settings.attach_address.as_str());
        own.chain(self.presence.attach_addresses())
            .filter(|address| !address.is_empty())
            .map(str::to_owned)
            .collect()
    }

    pub(super) fn send(&mut self, to: MachineId, message: PeerMessage) {
        self.outputs.push(MemberOutput::Send { to, message });
    }

    pub(super) fn notice(&mut self, notice: MemberNotice) {
        self.outputs.push(MemberOutput::Notice(notice));
    }

    fn notify_leader_change(&mut self) {
        let leader = self.node.leader();
        if leader == self.known_leader {
            return;
        }
        self.known_leader = leader;
        let term: Term = self.node.term();
        self.notice(MemberNotice::Leader { term, leader });
        for due in self
            .calls
            .leader_changed(leader.map(|member| member.machine))
        {
            self.answer(due.origin, due.body);
        }
        self.retry_waiting();
    }
}
