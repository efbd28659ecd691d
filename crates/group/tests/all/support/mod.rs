//! A group of members with virtual disks and a virtual network.

mod builds;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_group::{
    CallFailure, GroupMember, GroupOutput, GroupSettings, SnapshotSource, StateMachine,
    StoredFormat, bootstrap_disk, is_reserved_for_first_member, read_full_snapshot,
};
use linnethitch_protocol::{
    consensus::ConsensusMessage,
    format::Format,
    ids::{DiskId, LogIndex, MachineId, MemberId},
};
use linnethitch_storage::{FolderIdentity, FolderRole, SnapshotReader, VirtualDisk};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use self::builds::{Builds, NEWEST_MARK};

/// Line breaks after each word of a snapshot.
const EMPTY_LINES: usize = 100_000;
/// Length of one step, in virtual milliseconds.
const STEP_MS: u64 = 10;

/// A state machine that records every command in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Words {
    pub(crate) words: Vec<String>,
}

impl StateMachine for Words {
    type Answer = usize;
    type Snapshot = WordsSnapshot;

    fn apply(&mut self, _: LogIndex, command: &[u8]) -> Result<usize, Report<ErrorKind>> {
        self.words
            .push(String::from_utf8_lossy(command).into_owned());
        Ok(self.words.len())
    }

    fn format(&self) -> Format {
        let is_newest = |word: &String| word.starts_with(NEWEST_MARK);
        if self.words.iter().any(is_newest) {
            Format::NEWEST
        } else {
            Format::First
        }
    }

    fn begin_snapshot(&self) -> Result<WordsSnapshot, Report<ErrorKind>> {
        let mut remaining = self.words.clone();
        remaining.reverse();
        Ok(WordsSnapshot { remaining })
    }

    fn from_snapshot(content: SnapshotReader) -> Result<Self, Report<ErrorKind>> {
        let bytes = read_full_snapshot(&content)?;
        let text = String::from_utf8_lossy(&bytes);
        let lines = text.lines().filter(|line| !line.is_empty());
        let words = lines.map(str::to_owned).collect();
        Ok(Words { words })
    }
}

/// The remaining words to be written, in reverse order. Each word is one piece, padded so
/// that a snapshot takes several flushes.
#[derive(Debug)]
pub(crate) struct WordsSnapshot {
    remaining: Vec<String>,
}

impl SnapshotSource for WordsSnapshot {
    fn next_piece(&mut self) -> Result<Option<Vec<u8>>, Report<ErrorKind>> {
        let word = self.remaining.pop();
        Ok(word.map(|word| {
            // Tests of two builds need no long snapshots.
            let has_format = word.as_bytes().get(1) == Some(&b':');
            let empty_lines = "\n".repeat(if has_format { 1 } else { EMPTY_LINES });
            format!("{word}{empty_lines}").into_bytes()
        }))
    }
}

/// The outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Ended {
    Applied(usize),
    Read(Vec<String>),
    Failed(CallFailure),
}

pub(crate) struct Cluster {
    disks: BTreeMap<u32, VirtualDisk>,
    pub(crate) members: BTreeMap<u32, GroupMember<Words>>,
    /// Isolated machines, which neither send nor receive messages.
    cut: BTreeSet<u32>,
    /// Machines that are being drained.
    retiring: BTreeSet<MachineId>,
    network: Vec<ConsensusMessage>,
    pub(crate) now_ms: u64,
    random: Pcg64Mcg,
    max_voters: usize,
    next_call: u64,
    pub(crate) ended: BTreeMap<u64, Ended>,
    /// Words whose proposals were applied.
    pub(crate) acknowledged: Vec<String>,
    proposed: BTreeMap<u64, String>,
    builds: Option<Builds>,
}

impl Cluster {
    /// A new cluster of these machines, all with blank disks.
    pub(crate) fn form(machines: &[u32], max_voters: usize, seed: u64) -> Self {
        let mut cluster = Cluster {
            disks: BTreeMap::new(),
            members: BTreeMap::new(),
            cut: BTreeSet::new(),
            retiring: BTreeSet::new(),
            network: Vec::new(),
            now_ms: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
            max_voters,
            next_call: 0,
            ended: BTreeMap::new(),
            acknowledged: Vec::new(),
            proposed: BTreeMap::new(),
            builds: None,
        };
        cluster.form_members(machines, seed);
        cluster
    }

    fn form_members(&mut self, machines: &[u32], seed: u64) {
        for machine in machines {
            let disk = VirtualDisk::new(seed ^ u64::from(*machine));
            self.disks.insert(*machine, disk);
            self.start(*machine, Some(machines));
        }
    }

    /// Whether a machine's disk may still become one of the first members; `may_reserve` is set
    /// on a first start.
    pub(crate) fn is_reserved(&mut self, machine: u32, may_reserve: bool) -> bool {
        let disk = self
            .disks
            .entry(machine)
            .or_insert_with(|| VirtualDisk::new(u64::from(machine)));
        let identity = FolderIdentity {
            cluster: "test".to_owned(),
            role: FolderRole::Store,
            machine: MachineId(machine),
        };
        is_reserved_for_first_member(Arc::new(disk.clone()), &identity, may_reserve)
            .expect("the folder opens")
    }

    /// Starts a machine; `first` names the first members on a first start.
    pub(crate) fn start(&mut self, machine: u32, first: Option<&[u32]>) {
        let disk = self
            .disks
            .entry(machine)
            .or_insert_with(|| VirtualDisk::new(u64::from(machine)));
        let own = MachineId(machine);
        let new_disk = match first {
            Some(_) => bootstrap_disk(own),
            None => DiskId(self.random.random::<u64>() | 1),
        };
        let mut settings = GroupSettings::new("test", FolderRole::Store, own, new_disk);
        settings.max_voters = self.max_voters;
        settings.snapshot_log_bytes = 2_000;
        settings.seed = self.random.random();
        settings.first_members = first.map(|machines| {
            let members = machines.iter().map(|machine| MemberId {
                machine: MachineId(*machine),
                disk: bootstrap_disk(MachineId(*machine)),
            });
            members.collect()
        });
        let member = GroupMember::open(settings, Arc::new(disk.clone()), self.now_ms)
            .expect("the folder opens");
        self.members.insert(machine, member);
        if let Some(builds) = &mut self.builds {
            let rules = StoredFormat::new(builds.reads[&machine], self.now_ms);
            builds.rules.insert(machine, rules);
        }
    }

    /// The machine loses power: unsynced writes are lost or torn.
    pub(crate) fn lose_power(&mut self, machine: u32) {
        self.members.remove(&machine);
        self.disks[&machine].crash();
        // Messages in flight to a process are lost with it.
        self.network
            .retain(|message| message.to.machine.0 != machine);
    }

    /// The machine loses its disk.
    pub(crate) fn lose_disk(&mut self, machine: u32) {
        self.lose_power(machine);
        self.disks[&machine].wipe();
        if let Some(builds) = &mut self.builds {
            builds.may_store_newest.remove(&machine);
        }
    }

    pub(crate) fn isolate(&mut self, machine: u32) {
        self.cut.insert(machine);
    }

    /// Makes the machine's disk full, or frees it again.
    pub(crate) fn fill_disk(&mut self, machine: u32, full: bool) {
        let disk = &self.disks[&machine];
        let capacity = if full { disk.used_bytes() } else { u64::MAX };
        disk.set_capacity(capacity);
    }

    pub(crate) fn heal(&mut self) {
        self.cut.clear();
    }

    pub(crate) fn retire(&mut self, machine: u32) {
        self.retiring.insert(MachineId(machine));
    }

    /// Advances virtual time.
    pub(crate) fn run_ms(&mut self, duration_ms: u64) {
        for _ in 0..duration_ms / STEP_MS {
            self.step();
        }
    }

    /// Advances virtual time until a condition holds; false if it does not within the limit.
    pub(crate) fn run_until(
        &mut self,
        limit_ms: u64,
        condition: impl Fn(&Cluster) -> bool,
    ) -> bool {
        for _ in 0..limit_ms / STEP_MS {
            if condition(self) {
                return true;
            }
            self.step();
        }
        condition(self)
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        let present: Vec<(u32, MemberId)> = self
            .members
            .iter()
            .filter(|(machine, _)| !self.cut.contains(machine))
            .map(|(machine, member)| (*machine, member.id()))
            .collect();
        self.update_links();
        for message in std::mem::take(&mut self.network) {
            self.deliver(message);
        }
        let machines: Vec<u32> = self.members.keys().copied().collect();
        for machine in machines {
            let is_cut = self.cut.contains(&machine);
            let may_join: Vec<MemberId> = present
                .iter()
                .filter(|(other, _)| *other != machine && !is_cut)
                .filter(|(other, _)| self.may_join(machine, *other))
                .map(|(_, id)| *id)
                .collect();
            let member = self.members.get_mut(&machine).expect("a running member");
            member.set_retiring(self.retiring.clone());
            for id in may_join {
                member.note_present(id, self.now_ms);
            }
            member.tick(self.now_ms);
            self.raise_if_due(machine);
            let member = self.members.get_mut(&machine).expect("a running member");
            member.flush().expect("a virtual disk does not fail");
            self.take_outputs(machine);
            self.assert_can_read_applied(machine);
        }
    }

    fn deliver(&mut self, message: ConsensusMessage) {
        let (from, to) = (message.from.machine.0, message.to.machine.0);
        if self.cut.contains(&from) || self.cut.contains(&to) {
            return;
        }
        if self.members.contains_key(&to) {
            self.check_entries(&message);
        }
        if let Some(member) = self.members.get_mut(&to) {
            member.receive(message);
        }
    }

    fn take_outputs(&mut self, machine: u32) {
        let member = self.members.get_mut(&machine).expect("a running member");
        let outputs = member.take_outputs();
        let words = member.state().words.clone();
        for output in outputs {
            match output {
                GroupOutput::Send(message) => {
                    if self.can_be_sent(&message) {
                        self.network.push(message);
                    }
                }
                GroupOutput::Applied { call, answer } => {
                    if let Some(word) = self.proposed.remove(&call) {
                        self.acknowledged.push(word);
                    }
                    self.ended.insert(call, Ended::Applied(answer));
                }
                GroupOutput::ReadConfirmed { call } => {
                    self.ended.insert(call, Ended::Read(words.clone()));
                }
                GroupOutput::Failed { call, failure } => {
                    self.ended.insert(call, Ended::Failed(failure));
                }
                GroupOutput::Notice(_) => {}
            }
        }
    }

    /// The leader of the highest term.
    pub(crate) fn leader(&self) -> Option<u32> {
        let leaders = self.members.iter().filter(|(_, member)| member.is_leader());
        leaders
            .max_by_key(|(_, member)| member.status().term)
            .map(|(machine, _)| *machine)
    }

    /// Proposes a word at a machine.
    pub(crate) fn propose_at(&mut self, machine: u32, word: &str) -> u64 {
        self.next_call += 1;
        let word = &self.encode_word(machine, word);
        self.proposed.insert(self.next_call, word.to_owned());
        let member = self.members.get_mut(&machine).expect("a running member");
        member.propose(self.next_call, word.as_bytes().to_vec());
        self.next_call
    }

    /// Proposes on the current leader until a proposal is applied; false if none is in time.
    pub(crate) fn commit(&mut self, word: &str, limit_ms: u64) -> bool {
        let until_ms = self.now_ms + limit_ms;
        while self.now_ms < until_ms {
            let Some(leader) = self.leader().filter(|leader| !self.cut.contains(leader)) else {
                self.step();
                continue;
            };
            if !self.is_settled(leader) {
                self.step();
                continue;
            }
            let call = self.propose_at(leader, word);
            let has_ended = |cluster: &Cluster| cluster.ended.contains_key(&call);
            if self.run_until(1_000, has_ended)
                && matches!(self.ended.get(&call), Some(Ended::Applied(_)))
            {
                return true;
            }
        }
        false
    }

    /// Reads on the current leader.
    pub(crate) fn read(&mut self, limit_ms: u64) -> Option<Vec<String>> {
        let until_ms = self.now_ms + limit_ms;
        while self.now_ms < until_ms {
            let Some(leader) = self.leader().filter(|leader| !self.cut.contains(leader)) else {
                self.step();
                continue;
            };
            self.next_call += 1;
            let call = self.next_call;
            self.members.get_mut(&leader)?.read(call);
            self.run_until(1_000, |cluster| cluster.ended.contains_key(&call));
            if let Some(Ended::Read(words)) = self.ended.get(&call) {
                return Some(words.clone());
            }
        }
        None
    }

    /// Machines of the voters in the leader's membership.
    pub(crate) fn voters(&self) -> Vec<u32> {
        let Some(leader) = self.leader() else {
            return Vec::new();
        };
        let status = self.members[&leader].status();
        let voters = status.membership.voters.iter();
        voters.map(|voter| voter.machine.0).collect()
    }

    /// Whether exactly these machines, with their current disks, are the voters.
    pub(crate) fn has_voters(&self, machines: &[u32]) -> bool {
        let Some(leader) = self.leader() else {
            return false;
        };
        let status = self.members[&leader].status();
        let expected: BTreeSet<MemberId> = machines
            .iter()
            .filter_map(|machine| self.members.get(machine))
            .map(GroupMember::id)
            .collect();
        let voters: BTreeSet<MemberId> = status.membership.voters.iter().copied().collect();
        expected.len() == machines.len() && voters == expected && status.membership_committed
    }

    /// Asserts that every acknowledged word is read back.
    pub(crate) fn assert_nothing_lost(&mut self) {
        let words = self.read(10_000).expect("a read is answered");
        for word in &self.acknowledged {
            assert!(words.contains(word), "{word} was acknowledged and is lost");
        }
    }
}
