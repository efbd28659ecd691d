//! A group whose machines run two builds.

use std::collections::{BTreeMap, BTreeSet};

use linnethitch_group::{GroupMember, StateMachine, StoredFormat};
use linnethitch_protocol::{
    consensus::{ConsensusBody, ConsensusMessage, EntryPayload, Membership},
    format::Format,
};

use super::Cluster;

/// A link to a machine that lost its power, or was cut off, is taken for alive this long.
const LINK_IDLE_MS: u64 = 1_500;
/// What words of the second format begin with.
pub(super) const SECOND_MARK: &str = "2:";

/// Which builds the machines run, by the newest format that each reads.
#[derive(Default)]
pub(super) struct Builds {
    pub(super) reads: BTreeMap<u32, Format>,
    pub(super) rules: BTreeMap<u32, StoredFormat>,
    /// What links speak, from one machine to another, and when that was last so.
    links: BTreeMap<(u32, u32), (Format, u64)>,
    /// Machines whose disks may hold an entry of the second format.
    pub(super) hold_second: BTreeSet<u32>,
}

impl Cluster {
    /// A new cluster whose machines all run the build that reads this format.
    pub(crate) fn form_of_build(machines: &[u32], build: Format, seed: u64) -> Self {
        let mut cluster = Cluster::form(&[], machines.len(), seed);
        let reads = machines.iter().map(|machine| (*machine, build));
        cluster.builds = Some(Builds {
            reads: reads.collect(),
            ..Builds::default()
        });
        cluster.form_members(machines, seed);
        cluster
    }

    /// Starts a machine with a build; false where that refuses the disk, which stays as it is.
    pub(crate) fn start_build(&mut self, machine: u32, build: Format) -> bool {
        let builds = self.builds.as_mut().expect("a cluster of two builds");
        builds.reads.insert(machine, build);
        let is_refused = build == Format::First && builds.hold_second.contains(&machine);
        if !is_refused {
            self.start(machine, None);
        }
        !is_refused
    }

    /// A machine's process ends, which its links show at once.
    pub(crate) fn kill(&mut self, machine: u32) {
        self.lose_power(machine);
        if let Some(builds) = &mut self.builds {
            builds.links.retain(|(_, to), _| *to != machine);
        }
    }

    /// Starts a machine with the build that it had.
    pub(crate) fn start_again(&mut self, machine: u32) {
        let builds = self.builds.as_ref().expect("a cluster of two builds");
        let build = builds.reads[&machine];
        self.start_build(machine, build);
    }

    /// Whether the leader's group stores in the newest format.
    pub(crate) fn is_raised(&self) -> bool {
        let leader = self.leader().and_then(|leader| self.members.get(&leader));
        leader.is_some_and(|leader| leader.state().format() == Format::NEWEST)
    }

    /// Machines with a build that does not read what the group stores.
    pub(crate) fn left_behind(&self) -> Vec<u32> {
        let reads = self.builds.iter().flat_map(|builds| &builds.reads);
        let older = reads.filter(|(_, reads)| self.is_raised() && **reads < Format::NEWEST);
        older.map(|(machine, _)| *machine).collect()
    }

    /// Whether a machine, with the disk that it has, votes or learns.
    pub(crate) fn is_member(&self, machine: u32) -> bool {
        let membership = self.membership();
        let own = self.members.get(&machine).map(GroupMember::id);
        let mut members = membership.voters.iter().chain(&membership.learners);
        own.is_some_and(|own| members.any(|member| *member == own))
    }

    /// Whether every machine votes that reads what the group stores.
    pub(crate) fn is_whole_but_left_behind(&self) -> bool {
        let left_behind = self.left_behind();
        let voters = self.membership().voters;
        let votes = |machine: &u32| {
            let own = self.members.get(machine).map(GroupMember::id);
            own.is_some_and(|own| voters.contains(&own))
        };
        let reads = self.builds.iter().flat_map(|builds| builds.reads.keys());
        let mut wanted = reads.filter(|machine| !left_behind.contains(machine));
        wanted.all(votes)
    }

    /// After the raise nothing is acknowledged that was written in the format before.
    pub(crate) fn assert_nothing_left_out(&self) {
        let words = self.acknowledged.iter();
        let mut since_raise = words.skip_while(|word| !word.starts_with(SECOND_MARK));
        let left_out = since_raise.find(|word| !word.starts_with(SECOND_MARK));
        assert_eq!(left_out, None);
    }

    /// The members as the leader knows them; none while nobody leads.
    fn membership(&self) -> Membership {
        let leader = self.leader().and_then(|leader| self.members.get(&leader));
        leader.map_or_else(Membership::default, |leader| leader.status().membership)
    }

    /// Links end where a process does, or are found out to be dead after a while.
    pub(super) fn keep_links(&mut self) {
        let Some(builds) = &mut self.builds else {
            return;
        };
        let now_ms = self.now_ms;
        let reaches =
            |machine: &u32| self.members.contains_key(machine) && !self.cut.contains(machine);
        for from in self.members.keys().filter(|from| reaches(from)) {
            for to in self.members.keys().filter(|to| reaches(to)) {
                let spoken = builds.reads[from].min(builds.reads[to]);
                builds.links.insert((*from, *to), (spoken, now_ms));
            }
        }
        builds.links.retain(|(from, _), (_, at_ms)| {
            self.members.contains_key(from) && now_ms < *at_ms + LINK_IDLE_MS
        });
    }

    fn spoken(&self, from: u32, to: u32) -> Option<Format> {
        let links = &self.builds.as_ref()?.links;
        links.get(&(from, to)).map(|(spoken, _)| *spoken)
    }

    pub(super) fn may_join(&self, machine: u32, other: u32) -> bool {
        let stored = self.members[&machine].state().format();
        let rules = self.builds.as_ref().map(|builds| builds.rules[&machine]);
        rules.is_none_or(|rules| rules.may_join(stored, self.spoken(machine, other)))
    }

    /// Whether a leader may leave out what its format lacks.
    pub(super) fn is_settled(&self, leader: u32) -> bool {
        let member = &self.members[&leader];
        let stored = member.state().format();
        let rules = self.builds.as_ref().map(|builds| builds.rules[&leader]);
        rules.is_none_or(|rules| {
            let spoken = self.spoken_with_others(leader);
            rules.is_settled(stored, member.is_current(), spoken.into_iter(), self.now_ms)
        })
    }

    fn spoken_with_others(&self, machine: u32) -> Vec<Option<Format>> {
        let membership = self.members[&machine].status().membership;
        let members = membership.voters.iter().chain(&membership.learners);
        let others = members.map(|member| member.machine.0);
        let others = others.filter(|other| *other != machine);
        others.map(|other| self.spoken(machine, other)).collect()
    }

    pub(super) fn raise_if_due(&mut self, machine: u32) {
        let member = &self.members[&machine];
        let (stored, is_leader) = (member.state().format(), member.is_leader());
        let spoken = self.spoken_with_others(machine);
        let Some(builds) = &mut self.builds else {
            return;
        };
        let rules = builds.rules.get_mut(&machine).expect("it runs");
        if !is_leader {
            rules.clear_proposed();
        } else if rules.raise(stored, spoken.into_iter()).is_some() {
            self.propose_at(machine, "raise");
        }
    }

    pub(super) fn can_be_sent(&self, message: &ConsensusMessage) -> bool {
        let stores = matches!(
            message.body,
            ConsensusBody::Append(_) | ConsensusBody::SnapshotChunk(_)
        );
        let (from, to) = (message.from.machine.0, message.to.machine.0);
        let stored = self.members[&from].state().format();
        let rules = self.builds.as_ref().map(|builds| builds.rules[&from]);
        !stores || rules.is_none_or(|rules| rules.can_be_sent(stored, self.spoken(from, to)))
    }

    /// A member that cannot read an entry must not get it, whether it is committed or not.
    pub(super) fn note_entries(&mut self, message: &ConsensusMessage) {
        let ConsensusBody::Append(append) = &message.body else {
            return;
        };
        let Some(builds) = &mut self.builds else {
            return;
        };
        let is_second = append.entries.iter().any(|entry| match &entry.payload {
            EntryPayload::Command(word) => word.starts_with(SECOND_MARK.as_bytes()),
            _ => false,
        });
        if is_second {
            let to = message.to.machine.0;
            assert_eq!(builds.reads[&to], Format::Second, "{to} cannot read it");
            builds.hold_second.insert(to);
        }
    }

    pub(super) fn assert_reads_what_it_holds(&mut self, machine: u32) {
        let Some(builds) = &mut self.builds else {
            return;
        };
        let holds = self.members[&machine].state().format();
        let reads = builds.reads[&machine];
        assert!(holds <= reads, "{machine} applied what it cannot read");
        if holds == Format::Second {
            builds.hold_second.insert(machine);
        }
    }

    /// A word as the machine writes it if it leads.
    pub(super) fn written(&mut self, machine: u32, word: &str) -> String {
        let stored = self.members[&machine].state().format();
        let Some(builds) = &mut self.builds else {
            return word.to_owned();
        };
        let format = builds.rules[&machine].write_format(stored);
        if format == Format::Second {
            builds.hold_second.insert(machine);
        }
        format!("{format}:{word}")
    }
}
