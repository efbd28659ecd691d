//! Support for groups whose machines run two builds.

use std::collections::{BTreeMap, BTreeSet};

use linnethitch_group::{GroupMember, StateMachine, StoredFormat};
use linnethitch_protocol::{
    consensus::{ConsensusBody, ConsensusMessage, EntryPayload, Membership},
    format::Format,
};

use super::Cluster;

/// Time for which a link to a machine that lost power or was isolated still counts as open.
const LINK_IDLE_MS: u64 = 1_500;
/// Prefix of words of the newest format.
pub(super) const NEWEST_MARK: &str = "4:";

/// The builds that the machines run, identified by the newest format that each reads.
#[derive(Default)]
pub(super) struct Builds {
    pub(super) reads: BTreeMap<u32, Format>,
    pub(super) rules: BTreeMap<u32, StoredFormat>,
    /// Format of the link from one machine to another, and the last time the link was open.
    links: BTreeMap<(u32, u32), (Format, u64)>,
    /// Machines whose disks may contain an entry of the second format.
    pub(super) may_store_newest: BTreeSet<u32>,
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

    /// Starts a machine with a build; false if the build refuses the disk, which then stays
    /// unchanged.
    pub(crate) fn start_build(&mut self, machine: u32, build: Format) -> bool {
        let builds = self.builds.as_mut().expect("a cluster of two builds");
        builds.reads.insert(machine, build);
        let is_refused = build == Format::First && builds.may_store_newest.contains(&machine);
        if !is_refused {
            self.start(machine, None);
        }
        !is_refused
    }

    /// Ends a machine's process, which closes its links at once.
    pub(crate) fn kill(&mut self, machine: u32) {
        self.lose_power(machine);
        if let Some(builds) = &mut self.builds {
            builds.links.retain(|(_, to), _| *to != machine);
        }
    }

    /// Starts a machine with its previous build.
    pub(crate) fn restart(&mut self, machine: u32) {
        let builds = self.builds.as_ref().expect("a cluster of two builds");
        let build = builds.reads[&machine];
        self.start_build(machine, build);
    }

    /// Whether the leader's group stores in the newest format.
    pub(crate) fn is_raised(&self) -> bool {
        let leader = self.leader().and_then(|leader| self.members.get(&leader));
        leader.is_some_and(|leader| leader.state().format() == Format::NEWEST)
    }

    /// Machines with a build that cannot read the stored format.
    pub(crate) fn outdated_machines(&self) -> Vec<u32> {
        let reads = self.builds.iter().flat_map(|builds| &builds.reads);
        let older = reads.filter(|(_, reads)| self.is_raised() && **reads < Format::NEWEST);
        older.map(|(machine, _)| *machine).collect()
    }

    /// Whether a machine with its current disk is a voter or learner.
    pub(crate) fn is_member(&self, machine: u32) -> bool {
        let membership = self.membership();
        let own = self.members.get(&machine).map(GroupMember::id);
        let mut members = membership.voters.iter().chain(&membership.learners);
        own.is_some_and(|own| members.any(|member| *member == own))
    }

    /// Whether every machine that can read the stored format is a voter.
    pub(crate) fn all_readers_vote(&self) -> bool {
        let outdated = self.outdated_machines();
        let voters = self.membership().voters;
        let votes = |machine: &u32| {
            let own = self.members.get(machine).map(GroupMember::id);
            own.is_some_and(|own| voters.contains(&own))
        };
        let reads = self.builds.iter().flat_map(|builds| builds.reads.keys());
        let mut readers = reads.filter(|machine| !outdated.contains(machine));
        readers.all(votes)
    }

    /// Asserts that no command written in the older format was acknowledged after the raise.
    pub(crate) fn assert_nothing_written_in_old_format(&self) {
        let words = self.acknowledged.iter();
        let mut since_raise = words.skip_while(|word| !word.starts_with(NEWEST_MARK));
        let in_old_format = since_raise.find(|word| !word.starts_with(NEWEST_MARK));
        assert_eq!(in_old_format, None);
    }

    /// The leader's membership; empty while there is no leader.
    fn membership(&self) -> Membership {
        let leader = self.leader().and_then(|leader| self.members.get(&leader));
        leader.map_or_else(Membership::default, |leader| leader.status().membership)
    }

    /// Updates the links: a link closes with its process, or after the idle time-out.
    pub(super) fn update_links(&mut self) {
        let Some(builds) = &mut self.builds else {
            return;
        };
        let now_ms = self.now_ms;
        let is_connected =
            |machine: &u32| self.members.contains_key(machine) && !self.cut.contains(machine);
        for from in self.members.keys().filter(|from| is_connected(from)) {
            for to in self.members.keys().filter(|to| is_connected(to)) {
                let link_format = builds.reads[from].min(builds.reads[to]);
                builds.links.insert((*from, *to), (link_format, now_ms));
            }
        }
        builds.links.retain(|(from, _), (_, at_ms)| {
            self.members.contains_key(from) && now_ms < *at_ms + LINK_IDLE_MS
        });
    }

    fn link_format(&self, from: u32, to: u32) -> Option<Format> {
        let links = &self.builds.as_ref()?.links;
        links.get(&(from, to)).map(|(link_format, _)| *link_format)
    }

    pub(super) fn may_join(&self, machine: u32, other: u32) -> bool {
        let stored = self.members[&machine].state().format();
        let rules = self.builds.as_ref().map(|builds| builds.rules[&machine]);
        rules.is_none_or(|rules| rules.may_join(stored, self.link_format(machine, other)))
    }

    /// Whether a leader may accept commands, since its format cannot be raised at present.
    pub(super) fn is_settled(&self, leader: u32) -> bool {
        let member = &self.members[&leader];
        let stored = member.state().format();
        let rules = self.builds.as_ref().map(|builds| builds.rules[&leader]);
        rules.is_none_or(|rules| {
            let link_formats = self.link_formats(leader);
            rules.is_settled(
                stored,
                member.is_current(),
                link_formats.into_iter(),
                self.now_ms,
            )
        })
    }

    fn link_formats(&self, machine: u32) -> Vec<Option<Format>> {
        let membership = self.members[&machine].status().membership;
        let members = membership.voters.iter().chain(&membership.learners);
        let others = members.map(|member| member.machine.0);
        let others = others.filter(|other| *other != machine);
        others
            .map(|other| self.link_format(machine, other))
            .collect()
    }

    pub(super) fn raise_if_due(&mut self, machine: u32) {
        let member = &self.members[&machine];
        let (stored, is_leader) = (member.state().format(), member.is_leader());
        let link_formats = self.link_formats(machine);
        let Some(builds) = &mut self.builds else {
            return;
        };
        let rules = builds.rules.get_mut(&machine).expect("the machine runs");
        if !is_leader {
            rules.clear_proposed();
        } else if rules.raise(stored, link_formats.into_iter()).is_some() {
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
        !stores || rules.is_none_or(|rules| rules.can_be_sent(stored, self.link_format(from, to)))
    }

    /// Asserts that no member receives an entry that it cannot read, committed or not.
    pub(super) fn check_entries(&mut self, message: &ConsensusMessage) {
        let ConsensusBody::Append(append) = &message.body else {
            return;
        };
        let Some(builds) = &mut self.builds else {
            return;
        };
        let is_newest = append.entries.iter().any(|entry| match &entry.payload {
            EntryPayload::Command(word) => word.starts_with(NEWEST_MARK.as_bytes()),
            _ => false,
        });
        if is_newest {
            let to = message.to.machine.0;
            assert_eq!(
                builds.reads[&to],
                Format::NEWEST,
                "{to} cannot read the entry"
            );
            builds.may_store_newest.insert(to);
        }
    }

    pub(super) fn assert_can_read_applied(&mut self, machine: u32) {
        let Some(builds) = &mut self.builds else {
            return;
        };
        let applied = self.members[&machine].state().format();
        let reads = builds.reads[&machine];
        assert!(
            applied <= reads,
            "{machine} applied an entry that it cannot read"
        );
        if applied == Format::NEWEST {
            builds.may_store_newest.insert(machine);
        }
    }

    /// A word in the form in which the machine writes it as leader.
    pub(super) fn encode_word(&mut self, machine: u32, word: &str) -> String {
        let stored = self.members[&machine].state().format();
        let Some(builds) = &mut self.builds else {
            return word.to_owned();
        };
        let format = builds.rules[&machine].write_format(stored);
        if format == Format::NEWEST {
            builds.may_store_newest.insert(machine);
        }
        format!("{format}:{word}")
    }
}
