//! A cluster of members with in-memory disks and network, in one thread.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use linnethitch_consensus::{LogView, Node, Ready, RestoredState, Role, Settings};
use linnethitch_protocol::{
    consensus::{
        ConsensusBody, ConsensusMessage, Entry, EntryPayload, Membership, MembershipChange,
        SnapshotMeta,
    },
    ids::{DiskId, LogIndex, MachineId, MemberId, Term},
};

use crate::disk::DiskContent;

/// Maximum rounds of messages before a cluster counts as not settling.
const MAX_SETTLE_ROUNDS: usize = 2_000;

/// The first disk of a machine.
pub(crate) fn member(machine: u32) -> MemberId {
    member_on(machine, u64::from(machine) * 100)
}

/// A member by its machine and disk.
pub(crate) fn member_on(machine: u32, disk: u64) -> MemberId {
    MemberId {
        machine: MachineId(machine),
        disk: DiskId(disk),
    }
}

/// The voters of a new cluster.
pub(crate) fn voters(count: u32) -> Membership {
    Membership {
        voters: (1..=count).map(member).collect(),
        learners: Vec::new(),
    }
}

/// Work delayed until the disk is synced.
struct Unsynced {
    number: u64,
    messages: Vec<ConsensusMessage>,
    installed: Option<SnapshotMeta>,
}

/// One member and its machine.
pub(crate) struct Member {
    pub(crate) settings: Settings,
    pub(crate) initial: Membership,
    /// `None` while the process is down.
    pub(crate) node: Option<Node>,
    /// All writes, including unsynced ones.
    pub(crate) disk: DiskContent,
    /// The content that survives a crash.
    pub(crate) synced_disk: DiskContent,
    unsynced: VecDeque<Unsynced>,
    pub(crate) applied: LogIndex,
    /// The commands applied, or restored from a snapshot.
    pub(crate) commands: Vec<Vec<u8>>,
    pub(crate) applied_membership: Membership,
    pub(crate) confirmed_reads: Vec<(u64, LogIndex)>,
    pub(crate) refused_reads: Vec<u64>,
}

/// Leaders and committed entries observed on any member.
#[derive(Default)]
pub(crate) struct Observed {
    pub(crate) leaders: BTreeMap<Term, MemberId>,
    pub(crate) committed: BTreeMap<LogIndex, Entry>,
}

/// How the network delivers a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Delivery {
    /// Delivered once, possibly modified.
    Once,
    /// Lost.
    Lost,
    /// Delivered now, and again after all messages currently in flight.
    Twice,
}

/// A network fault that affects a number of messages.
pub(crate) struct NetworkFault {
    /// How a message is delivered; `None` if the fault does not affect it.
    pub(crate) deliver_as: fn(&mut ConsensusBody) -> Option<Delivery>,
    pub(crate) remaining: u32,
}

/// A cluster under test.
pub(crate) struct Cluster {
    pub(crate) members: BTreeMap<MemberId, Member>,
    pub(crate) network: VecDeque<ConsensusMessage>,
    /// Pairs of sender and receiver between which every message is lost.
    pub(crate) cut: BTreeSet<(MemberId, MemberId)>,
    pub(crate) network_fault: Option<NetworkFault>,
    pub(crate) observed: Observed,
    /// Whether disks are synced as soon as they are written.
    pub(crate) sync_at_once: bool,
    /// The first violated invariant; `check` panics if there is one.
    pub(crate) violation: Option<String>,
}

impl Cluster {
    pub(crate) fn new(count: u32) -> Self {
        Self::with_settings(count, |_| {})
    }

    pub(crate) fn with_settings(count: u32, adjust: impl Fn(&mut Settings)) -> Self {
        let mut cluster = Cluster {
            members: BTreeMap::new(),
            network: VecDeque::new(),
            cut: BTreeSet::new(),
            network_fault: None,
            observed: Observed::default(),
            sync_at_once: true,
            violation: None,
        };
        for machine in 1..=count {
            cluster.add(member(machine), voters(count), &adjust);
        }
        cluster
    }

    /// Starts a member on a blank disk.
    pub(crate) fn add(
        &mut self,
        id: MemberId,
        initial: Membership,
        adjust: impl Fn(&mut Settings),
    ) {
        let mut settings = Settings::new(id, 7);
        adjust(&mut settings);
        let member = Member {
            settings,
            initial,
            node: None,
            disk: DiskContent::default(),
            synced_disk: DiskContent::default(),
            unsynced: VecDeque::new(),
            applied: LogIndex(0),
            commands: Vec::new(),
            applied_membership: Membership::default(),
            confirmed_reads: Vec::new(),
            refused_reads: Vec::new(),
        };
        self.members.insert(id, member);
        self.restart(id);
    }

    pub(crate) fn node(&self, id: MemberId) -> &Node {
        self.members[&id].node.as_ref().expect("the member is up")
    }

    pub(crate) fn is_up(&self, id: MemberId) -> bool {
        self.members[&id].node.is_some()
    }

    /// Stops a process; unsynced writes are lost.
    pub(crate) fn crash(&mut self, id: MemberId) {
        let member = self.members.get_mut(&id).expect("a known member");
        member.node = None;
        member.unsynced.clear();
        member.disk = member.synced_disk.clone();
        self.network.retain(|message| message.to != id);
    }

    /// Starts a process from its disk.
    pub(crate) fn restart(&mut self, id: MemberId) {
        self.restart_damaged(id, None);
    }

    /// Starts a process whose log was damaged and truncated.
    pub(crate) fn restart_damaged(&mut self, id: MemberId, damaged_up_to: Option<LogIndex>) {
        let member = self.members.get_mut(&id).expect("a known member");
        let restored = RestoredState {
            hard_state: member.disk.hard_state.clone(),
            membership: member.initial.clone(),
            damaged_up_to,
            partial_snapshot: member.disk.partial.clone(),
        };
        member.restore_state_machine();
        member.node = Some(Node::new(member.settings.clone(), restored, &member.disk));
    }

    /// Replaces a machine's disk by a blank one under a new identity.
    pub(crate) fn replace_disk(&mut self, old: MemberId, new: MemberId) {
        let lost = self.members.remove(&old).expect("a known member");
        let settings = lost.settings;
        self.network.retain(|message| message.to != old);
        self.add(new, Membership::default(), |new_settings| {
            *new_settings = settings.clone();
            new_settings.id = new;
        });
    }

    /// Calls into a node, then handles its `Ready`s.
    pub(crate) fn with_node<T>(
        &mut self,
        id: MemberId,
        call: impl FnOnce(&mut Node, &DiskContent) -> T,
    ) -> T {
        let member = self.members.get_mut(&id).expect("a known member");
        let node = member.node.as_mut().expect("the member is up");
        let result = call(node, &member.disk);
        self.drive(id);
        result
    }

    /// Handles all `Ready`s of a node.
    pub(crate) fn drive(&mut self, id: MemberId) {
        for _ in 0..MAX_SETTLE_ROUNDS {
            let member = self.members.get_mut(&id).expect("a known member");
            let Some(node) = &mut member.node else {
                return;
            };
            if !node.has_ready() {
                return;
            }
            let ready = node.ready(&member.disk);
            self.handle_ready(id, ready);
        }
        panic!("member {id} does not stop producing work");
    }

    fn handle_ready(&mut self, id: MemberId, ready: Ready) {
        let member = self.members.get_mut(&id).expect("a known member");
        let installed = member.disk.write(&ready);
        member.unsynced.push_back(Unsynced {
            number: ready.number,
            messages: ready.messages_after_sync,
            installed,
        });
        let reads = ready.confirmed_reads.iter();
        member
            .confirmed_reads
            .extend(reads.map(|read| (read.context, read.index)));
        member.refused_reads.extend(ready.refused_reads);
        self.network.extend(ready.messages_before_sync);
        self.observe_leader(id);
        self.apply(id, ready.committed);
        let nothing_else_unsynced = self.members[&id].unsynced.len() == 1;
        if self.sync_at_once || (nothing_else_unsynced && !ready.must_sync) {
            self.sync(id);
        }
    }

    /// Syncs a disk and completes the work that waited for the sync.
    pub(crate) fn sync(&mut self, id: MemberId) {
        let member = self.members.get_mut(&id).expect("a known member");
        member.synced_disk = member.disk.clone();
        let Some(node) = &mut member.node else {
            return;
        };
        let mut installed = None;
        for unsynced in member.unsynced.drain(..) {
            self.network.extend(unsynced.messages);
            node.advance(unsynced.number, &member.disk);
            installed = unsynced.installed.or(installed);
        }
        if let Some(meta) = installed {
            self.install(id, &meta);
        }
        if self.sync_at_once {
            return;
        }
        self.drive(id);
    }

    fn install(&mut self, id: MemberId, meta: &SnapshotMeta) {
        let member = self.members.get_mut(&id).expect("a known member");
        if decode_commands(&member.disk.partial_data).is_none() {
            member.disk.discard_partial();
            member.synced_disk.discard_partial();
            let node = member.node.as_mut().expect("the member is up");
            node.report_snapshot_refused();
            return;
        }
        member.disk.install(meta);
        member.synced_disk = member.disk.clone();
        member.restore_state_machine();
        let node = member.node.as_mut().expect("the member is up");
        node.report_snapshot_installed(meta, &member.disk);
    }

    /// Takes a snapshot of the applied commands of a member and compacts its log.
    pub(crate) fn compact(&mut self, id: MemberId) {
        let member = self.members.get_mut(&id).expect("a known member");
        let index = member.applied;
        if index <= member.disk.start {
            return;
        }
        let meta = SnapshotMeta {
            index,
            term: member
                .disk
                .term(index)
                .expect("applied entries are in the log"),
            membership: member.applied_membership.clone(),
        };
        let data = encode_commands(&member.commands);
        member.disk.compact(&meta, data.clone());
        // On a real disk the snapshot is synced separately from the log's unsynced tail.
        let tail = member.synced_disk.last_index();
        if tail >= index {
            member.synced_disk.compact(&meta, data);
        }
    }

    fn apply(&mut self, id: MemberId, committed: LogIndex) {
        let member = self.members.get_mut(&id).expect("a known member");
        while member.applied < committed {
            let index = LogIndex(member.applied.0 + 1);
            let entry = member
                .disk
                .entry(index)
                .expect("committed entries are in the log")
                .clone();
            member.applied = index;
            match &entry.payload {
                EntryPayload::Command(command) => member.commands.push(command.clone()),
                EntryPayload::Membership(_, result) => {
                    member.applied_membership = result.clone();
                }
                EntryPayload::Empty => {}
            }
            let known = self
                .observed
                .committed
                .entry(index)
                .or_insert(entry.clone());
            if *known != entry {
                let reason = format!("index {index} was committed as {known:?} and {entry:?}");
                self.violation.get_or_insert(reason);
            }
        }
    }

    fn observe_leader(&mut self, id: MemberId) {
        let status = self.node(id).status();
        if status.role != Role::Leader {
            return;
        }
        let known = *self.observed.leaders.entry(status.term).or_insert(id);
        if known != id {
            let reason = format!("{known} and {id} both led in term {}", status.term);
            self.violation.get_or_insert(reason);
        }
    }

    /// Panics if an invariant is violated.
    pub(crate) fn check(&self) {
        assert_eq!(self.violation, None);
        self.check_logs_match();
        self.check_leader_completeness();
        self.check_known_commits();
    }

    /// The known commit index of a member covers everything committed in earlier terms.
    fn check_known_commits(&self) {
        let nodes = self
            .members
            .values()
            .filter_map(|member| member.node.as_ref());
        for status in nodes.map(Node::status) {
            let Some(known) = status.known_commit else {
                continue;
            };
            let committed = self.observed.committed.iter();
            let earlier = committed.filter(|(_, entry)| entry.term < status.term);
            let newest = earlier.map(|(index, _)| *index).next_back();
            assert!(
                newest <= Some(known),
                "{newest:?} was committed earlier: {status:?}"
            );
        }
    }

    /// Logs with an entry of equal index and term are equal up to that entry.
    fn check_logs_match(&self) {
        let disks: Vec<&DiskContent> = self.members.values().map(|member| &member.disk).collect();
        for (position, left) in disks.iter().enumerate() {
            for right in &disks[position + 1..] {
                check_pair_matches(left, right);
            }
        }
    }

    /// The leader of the highest term has all entries committed in earlier terms.
    fn check_leader_completeness(&self) {
        let leaders = self.members.values().filter_map(|member| {
            let status = member.node.as_ref()?.status();
            (status.role == Role::Leader).then_some((status.term, member))
        });
        let Some((term, leader)) = leaders.max_by_key(|(term, _)| *term) else {
            return;
        };
        for (index, entry) in &self.observed.committed {
            if entry.term >= term || *index <= leader.disk.start {
                continue;
            }
            assert_eq!(
                leader.disk.entry(*index),
                Some(entry),
                "a committed entry is lost"
            );
        }
    }

    /// Delivers the oldest message, unless the link is cut or the receiver is down.
    pub(crate) fn deliver_next(&mut self) -> bool {
        let Some(message) = self.network.pop_front() else {
            return false;
        };
        self.deliver(message);
        true
    }

    pub(crate) fn deliver(&mut self, mut message: ConsensusMessage) {
        if self.cut.contains(&(message.from, message.to)) {
            return;
        }
        match self.delivery_of(&mut message.body) {
            Delivery::Once => {}
            Delivery::Lost => return,
            Delivery::Twice => self.network.push_back(message.clone()),
        }
        let receiver = self.receiver_of(&message);
        if let Some(id) = receiver.filter(|id| self.is_up(*id)) {
            self.with_node(id, |node, disk| node.step(message, disk));
        }
    }

    fn delivery_of(&mut self, body: &mut ConsensusBody) -> Delivery {
        let fault = self
            .network_fault
            .as_mut()
            .filter(|fault| fault.remaining > 0);
        let Some((fault, delivery)) = fault.and_then(|fault| {
            let delivery = (fault.deliver_as)(body)?;
            Some((fault, delivery))
        }) else {
            return Delivery::Once;
        };
        fault.remaining -= 1;
        delivery
    }

    /// Messages are routed to machines; the node itself checks the disk.
    fn receiver_of(&self, message: &ConsensusMessage) -> Option<MemberId> {
        if self.members.contains_key(&message.to) {
            return Some(message.to);
        }
        let same_machine = |id: &&MemberId| id.machine == message.to.machine;
        self.members.keys().find(same_machine).copied()
    }

    /// Delivers messages until none remain, and checks the invariants.
    pub(crate) fn settle(&mut self) {
        self.settle_unchecked();
        self.check();
    }

    fn settle_unchecked(&mut self) {
        let all: Vec<MemberId> = self.members.keys().copied().collect();
        for id in all {
            self.drive(id);
        }
        for _ in 0..MAX_SETTLE_ROUNDS * 100 {
            if !self.deliver_next() {
                return;
            }
        }
        panic!("the members do not stop sending messages");
    }

    pub(crate) fn tick(&mut self, id: MemberId) {
        if self.is_up(id) {
            self.with_node(id, |node, _| node.tick());
        }
    }

    /// Ticks all members, delivering all messages after each tick.
    pub(crate) fn run(&mut self, ticks: u32) {
        for _ in 0..ticks {
            self.run_unchecked(1);
            self.check();
        }
    }

    /// Like `run`, without checking invariants.
    pub(crate) fn run_unchecked(&mut self, ticks: u32) {
        let all: Vec<MemberId> = self.members.keys().copied().collect();
        for _ in 0..ticks {
            for id in &all {
                self.tick(*id);
            }
            self.settle_unchecked();
        }
    }

    /// Ticks until there is a leader.
    pub(crate) fn elect(&mut self) -> MemberId {
        for _ in 0..1_000 {
            if let Some(leader) = self.leader() {
                return leader;
            }
            self.run(1);
        }
        panic!("no leader was elected");
    }

    /// Ticks until there is a leader, but at most this many ticks.
    pub(crate) fn elect_for(&mut self, ticks: u32) -> Option<MemberId> {
        for _ in 0..ticks {
            if self.leader().is_some() {
                break;
            }
            self.run(1);
        }
        self.leader()
    }

    /// A member that is up and is not the leader.
    pub(crate) fn follower_of(&self, leader: MemberId) -> MemberId {
        let mut others = self.members.keys().copied();
        others
            .rfind(|id| *id != leader && self.is_up(*id))
            .expect("another member")
    }

    /// Delivers messages until the remaining work waits for syncs.
    pub(crate) fn deliver_all_without_sync(&mut self) {
        while self.deliver_next() {}
    }

    /// Whether a granted vote to a member is in flight; removes it from the network.
    pub(crate) fn vote_granted(&mut self, to: MemberId) -> bool {
        let granted = |message: &ConsensusMessage| {
            message.to == to && message.body == ConsensusBody::VoteResponse { granted: true }
        };
        let before = self.network.len();
        self.network.retain(|message| !granted(message));
        self.network.len() < before
    }

    /// The leader of the highest term among the members that are up.
    pub(crate) fn leader(&self) -> Option<MemberId> {
        let statuses = self
            .members
            .values()
            .filter_map(|member| Some(member.node.as_ref()?.status()));
        statuses
            .filter(|status| status.role == Role::Leader)
            .max_by_key(|status| status.term)
            .map(|status| status.id)
    }

    pub(crate) fn propose(&mut self, id: MemberId, command: &str) -> LogIndex {
        self.with_node(id, |node, _| node.propose(command.as_bytes().to_vec()))
            .expect("the proposal is accepted")
    }

    /// Proposes a membership change and delivers messages until it is committed.
    pub(crate) fn change_membership(&mut self, id: MemberId, change: MembershipChange) {
        self.with_node(id, |node, _| node.propose_membership(change))
            .expect("the change is accepted");
        self.settle();
    }

    pub(crate) fn commands(&self, id: MemberId) -> Vec<String> {
        let commands = self.members[&id].commands.iter();
        commands
            .map(|command| String::from_utf8_lossy(command).into_owned())
            .collect()
    }

    /// All commands observed as committed, in order.
    pub(crate) fn committed_commands(&self) -> Vec<Vec<u8>> {
        let entries = self.observed.committed.values();
        entries
            .filter_map(|entry| match &entry.payload {
                EntryPayload::Command(command) => Some(command.clone()),
                _ => None,
            })
            .collect()
    }

    /// Cuts the links between a member and all others, in both directions.
    pub(crate) fn isolate(&mut self, id: MemberId) {
        let others: Vec<MemberId> = self.members.keys().copied().collect();
        for other in others {
            self.cut.insert((id, other));
            self.cut.insert((other, id));
        }
    }

    pub(crate) fn heal(&mut self) {
        self.cut.clear();
    }
}

impl Member {
    /// Resets the state machine to the stored snapshot.
    fn restore_state_machine(&mut self) {
        let snapshot = &self.disk.snapshot;
        self.applied = LogIndex(snapshot.meta.index);
        self.commands =
            decode_commands(&snapshot.data).expect("the snapshot was checked when received");
        self.applied_membership = if snapshot.meta.index == 0 {
            self.initial.clone()
        } else {
            snapshot.meta.to_meta().membership
        };
    }
}

fn check_pair_matches(left: &DiskContent, right: &DiskContent) {
    let start = left.start.max(right.start).0 + 1;
    let end = left.last_index().min(right.last_index()).0;
    let last_match = (start..=end)
        .rev()
        .find(|index| left.term(LogIndex(*index)) == right.term(LogIndex(*index)));
    for index in start..=last_match.unwrap_or(0) {
        let index = LogIndex(index);
        assert_eq!(
            left.entry(index),
            right.entry(index),
            "logs differ at {index}"
        );
    }
}

fn encode_commands(commands: &[Vec<u8>]) -> Vec<u8> {
    let mut data = Vec::new();
    for command in commands {
        data.extend_from_slice(&(command.len() as u32).to_le_bytes());
        data.extend_from_slice(command);
    }
    data
}

/// `None` if the data is not a valid snapshot.
fn decode_commands(mut data: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut commands = Vec::new();
    while let Some((length, remaining)) = data.split_first_chunk::<4>() {
        let length = u32::from_le_bytes(*length) as usize;
        let (command, remaining) = remaining.split_at_checked(length)?;
        commands.push(command.to_vec());
        data = remaining;
    }
    data.is_empty().then_some(commands)
}
