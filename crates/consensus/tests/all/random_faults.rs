//! Random faults: message loss, duplication and reordering, network partitions, crashes
//! that lose unsynced writes, replaced disks, compaction and membership repair. The
//! invariants of the log are checked after every step, and liveness at the end.

use std::collections::BTreeMap;

use linnethitch_consensus::{
    SafetyOverrides,
    repair::{RepairPolicy, next_change},
};
use linnethitch_protocol::ids::{LogIndex, MemberId};
use proptest::{
    prelude::*,
    test_runner::{Config, TestRng, TestRunner},
};
use rstest::rstest;

use crate::cluster::{Cluster, member_on};

/// Runs of a test, unless `CONSENSUS_RANDOM_RUNS` sets another number.
const DEFAULT_RUNS: u32 = 60;
/// Runs within which the violation of a disabled rule must be found.
const RUNS_FOR_BROKEN_RULES: u32 = 2_000;
/// Maximum attempts to shrink a failing run.
const MAX_SHRINK_STEPS: u32 = 5_000;
/// Maximum steps of one run.
const MAX_STEPS: usize = 500;
/// Ticks within which a cluster without further faults must recover.
const RECOVERY_TICKS: u32 = 3_000;
/// Short time-outs, so that repairs happen within a run.
const POLICY: RepairPolicy = RepairPolicy {
    lost_ticks: 60,
    healthy_ticks: 25,
    voters: 5,
};

/// One step of a run. Numbers select among the members or messages at that moment.
#[derive(Clone, Debug)]
enum Step {
    TickAll,
    Tick(usize),
    Deliver(usize),
    DeliverMany(usize),
    Duplicate(usize),
    Drop(usize),
    Sync(usize),
    Crash(usize),
    Restart(usize),
    Propose(usize),
    Read(usize),
    Compact(usize),
    Cut(usize, usize),
    Heal,
    Transfer(usize, usize),
    ReplaceDisk(usize),
    Repair,
}

fn step() -> impl Strategy<Value = Step> {
    let choice = any::<prop::sample::Index>().prop_map(|index| index.index(1 << 20));
    let two = (choice.clone(), choice.clone());
    prop_oneof![
        10 => Just(Step::TickAll),
        4 => choice.clone().prop_map(Step::Tick),
        20 => choice.clone().prop_map(Step::Deliver),
        12 => choice.clone().prop_map(Step::DeliverMany),
        2 => choice.clone().prop_map(Step::Duplicate),
        3 => choice.clone().prop_map(Step::Drop),
        10 => choice.clone().prop_map(Step::Sync),
        1 => choice.clone().prop_map(Step::Crash),
        3 => choice.clone().prop_map(Step::Restart),
        8 => choice.clone().prop_map(Step::Propose),
        3 => choice.clone().prop_map(Step::Read),
        1 => choice.clone().prop_map(Step::Compact),
        1 => two.clone().prop_map(|(from, to)| Step::Cut(from, to)),
        1 => Just(Step::Heal),
        1 => two.prop_map(|(from, to)| Step::Transfer(from, to)),
        1 => choice.prop_map(Step::ReplaceDisk),
        4 => Just(Step::Repair),
    ]
}

/// A cluster under faults, with the state that the checks need.
struct Run {
    cluster: Cluster,
    proposed: u64,
    reads: u64,
    /// The highest index committed on any member when each read was requested.
    committed_at_read: BTreeMap<u64, LogIndex>,
    disks: u64,
}

impl Run {
    fn new(members: u32, sync_at_once: bool, seed: u64, safety: SafetyOverrides) -> Self {
        let mut cluster = Cluster::with_settings(members, |settings| {
            settings.seed = seed;
            settings.safety = safety;
            settings.max_append_bytes = 40;
            settings.max_inflight_appends = 3;
            settings.snapshot_chunk_bytes = 30;
        });
        cluster.sync_at_once = sync_at_once;
        Run {
            cluster,
            proposed: 0,
            reads: 0,
            committed_at_read: BTreeMap::new(),
            disks: 0,
        }
    }

    fn member(&self, choice: usize) -> MemberId {
        let ids: Vec<MemberId> = self.cluster.members.keys().copied().collect();
        ids[choice % ids.len()]
    }

    fn perform(&mut self, step: &Step) -> Result<(), String> {
        match *step {
            Step::TickAll => self.tick_all(),
            Step::Tick(choice) => self.cluster.tick(self.member(choice)),
            Step::Deliver(choice) => self.deliver(choice),
            Step::DeliverMany(count) => self.deliver_many(count),
            Step::Duplicate(choice) => self.duplicate(choice),
            Step::Drop(choice) => self.drop_message(choice),
            Step::Sync(choice) => self.cluster.sync(self.member(choice)),
            Step::Crash(choice) => self.cluster.crash(self.member(choice)),
            Step::Restart(choice) => self.restart(self.member(choice)),
            Step::Propose(choice) => self.propose(self.member(choice)),
            Step::Read(choice) => self.read(self.member(choice)),
            Step::Compact(choice) => self.compact(self.member(choice)),
            Step::Cut(from, to) => {
                let pair = (self.member(from), self.member(to));
                self.cluster.cut.insert(pair);
            }
            Step::Heal => self.cluster.heal(),
            Step::Transfer(from, to) => self.transfer(self.member(from), self.member(to)),
            Step::ReplaceDisk(choice) => self.replace_disk(self.member(choice)),
            Step::Repair => self.repair(),
        }
        self.check()
    }

    fn tick_all(&mut self) {
        let ids: Vec<MemberId> = self.cluster.members.keys().copied().collect();
        for id in ids {
            self.cluster.tick(id);
        }
    }

    fn deliver(&mut self, choice: usize) {
        if self.cluster.network.is_empty() {
            return;
        }
        let position = choice % self.cluster.network.len();
        if let Some(message) = self.cluster.network.remove(position) {
            self.cluster.deliver(message);
        }
    }

    fn deliver_many(&mut self, count: usize) {
        for _ in 0..count % 16 {
            self.cluster.deliver_next();
        }
    }

    fn duplicate(&mut self, choice: usize) {
        if self.cluster.network.is_empty() {
            return;
        }
        let position = choice % self.cluster.network.len();
        let message = self.cluster.network[position].clone();
        self.cluster.network.push_back(message);
    }

    fn drop_message(&mut self, choice: usize) {
        if !self.cluster.network.is_empty() {
            let position = choice % self.cluster.network.len();
            self.cluster.network.remove(position);
        }
    }

    fn restart(&mut self, id: MemberId) {
        if !self.cluster.is_up(id) {
            self.cluster.restart(id);
        }
    }

    fn propose(&mut self, id: MemberId) {
        if !self.cluster.is_up(id) {
            return;
        }
        self.proposed += 1;
        let command = format!("command {}", self.proposed).into_bytes();
        let _ = self.cluster.with_node(id, |node, _| node.propose(command));
    }

    fn read(&mut self, id: MemberId) {
        if !self.cluster.is_up(id) {
            return;
        }
        self.reads += 1;
        let context = self.reads;
        let committed = self.highest_committed();
        self.committed_at_read.insert(context, committed);
        let _ = self
            .cluster
            .with_node(id, |node, _| node.read_index(context));
    }

    fn highest_committed(&self) -> LogIndex {
        let last = self.cluster.observed.committed.keys().next_back();
        last.copied().unwrap_or_default()
    }

    fn compact(&mut self, id: MemberId) {
        if self.cluster.is_up(id) {
            self.cluster.compact(id);
        }
    }

    fn transfer(&mut self, from: MemberId, to: MemberId) {
        if self.cluster.is_up(from) {
            let _ = self
                .cluster
                .with_node(from, |node, _| node.transfer_leadership(to));
        }
    }

    /// Replaces a disk by a blank one, unless more disks would be lost than the cluster
    /// tolerates.
    fn replace_disk(&mut self, id: MemberId) {
        let memberships: Vec<_> = self.memberships();
        let is_tolerated = memberships.iter().all(|membership| {
            let is_lost =
                |voter: &&MemberId| **voter == id || !self.cluster.members.contains_key(*voter);
            let lost = membership.voters.iter().filter(is_lost).count();
            lost <= membership.voters.len().saturating_sub(1) / 2
        });
        if is_tolerated {
            self.disks += 1;
            let new_id = member_on(id.machine.0, 10_000 + self.disks);
            self.cluster.replace_disk(id, new_id);
        }
    }

    /// All memberships in any log.
    fn memberships(&self) -> Vec<linnethitch_protocol::consensus::Membership> {
        let mut memberships = Vec::new();
        for member in self.cluster.members.values() {
            memberships.push(member.applied_membership.clone());
            for disk in [&member.disk, &member.synced_disk] {
                memberships.extend(disk.memberships());
            }
        }
        memberships
    }

    fn repair(&mut self) {
        let Some(leader) = self.cluster.leader() else {
            return;
        };
        let status = self.cluster.node(leader).status();
        let ids = self.cluster.members.keys().copied();
        let joining: Vec<MemberId> = ids.filter(|id| self.cluster.is_up(*id)).collect();
        if let Some(step) = next_change(&POLICY, &status, &joining) {
            let _ = self
                .cluster
                .with_node(leader, |node, _| node.propose_membership(step.change));
        }
    }

    /// Checks that each term has one leader, that committed entries agree, and that reads
    /// include everything committed before them.
    fn check(&self) -> Result<(), String> {
        if let Some(violation) = &self.cluster.violation {
            return Err(violation.clone());
        }
        for member in self.cluster.members.values() {
            for (context, index) in &member.confirmed_reads {
                let required = self.committed_at_read[context];
                if *index < required {
                    return Err(format!("read {context} at {index} misses {required}"));
                }
            }
        }
        Ok(())
    }

    /// Ends all faults; the cluster must then converge to one state.
    fn recover(&mut self) -> Result<(), String> {
        self.cluster.heal();
        self.cluster.sync_at_once = true;
        let ids: Vec<MemberId> = self.cluster.members.keys().copied().collect();
        for id in ids {
            self.restart(id);
            self.cluster.sync(id);
        }
        for _ in 0..RECOVERY_TICKS {
            self.cluster.run_unchecked(1);
            self.check()?;
            self.repair();
            if self.has_converged() {
                return self.check_nothing_lost();
            }
        }
        Err("the cluster does not recover".to_owned())
    }

    fn has_converged(&self) -> bool {
        let Some(leader) = self.cluster.leader() else {
            return false;
        };
        let status = self.cluster.node(leader).status();
        let voters = &status.membership.voters;
        let all_present = voters
            .iter()
            .all(|id| self.cluster.members.contains_key(id));
        let caught_up = |id: &MemberId| self.cluster.members[id].applied == status.last_index;
        all_present && status.membership_committed && voters.iter().all(caught_up)
    }

    fn check_nothing_lost(&self) -> Result<(), String> {
        self.cluster.check();
        let leader = self.cluster.leader().ok_or("no leader")?;
        let status = self.cluster.node(leader).status();
        if status.committed < self.highest_committed() {
            return Err("committed entries are lost".to_owned());
        }
        let commands = self.cluster.committed_commands();
        for id in &status.membership.voters {
            if self.cluster.members[id].commands != commands {
                return Err(format!("{id} applied other commands"));
            }
        }
        Ok(())
    }
}

fn runs() -> u32 {
    let requested = std::env::var("CONSENSUS_RANDOM_RUNS").ok();
    requested
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_RUNS)
}

/// Runs with a fixed seed, or the one in `CONSENSUS_RANDOM_SEED`.
fn runner(cases: u32, max_shrink_iters: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters,
        ..Config::default()
    };
    let algorithm = config.rng_algorithm;
    let seed = std::env::var("CONSENSUS_RANDOM_SEED")
        .ok()
        .and_then(|text| text.parse::<u64>().ok())
        .unwrap_or(1);
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    TestRunner::new_with_rng(config, TestRng::from_seed(algorithm, &bytes))
}

/// Runs random steps and the recovery; a failing run is shrunk.
fn run_random(
    mut runner: TestRunner,
    members: u32,
    sync_at_once: bool,
    safety: SafetyOverrides,
) -> Result<(), String> {
    let steps = prop::collection::vec(step(), 1..MAX_STEPS);
    let outcome = runner.run(&(steps, any::<u64>()), |(steps, seed)| {
        let mut run = Run::new(members, sync_at_once, seed, safety);
        let performed = steps.iter().try_for_each(|step| run.perform(step));
        let result = performed.and_then(|()| run.recover());
        result.map_err(TestCaseError::fail)
    });
    outcome.map_err(|failure| failure.to_string())
}

#[rstest]
#[case::three_that_sync_at_once(3, true)]
#[case::three_with_delayed_sync(3, false)]
#[case::five_that_sync_at_once(5, true)]
#[case::five_with_delayed_sync(5, false)]
fn invariants_hold_under_random_faults(#[case] members: u32, #[case] sync_at_once: bool) {
    let result = run_random(
        runner(runs(), MAX_SHRINK_STEPS),
        members,
        sync_at_once,
        SafetyOverrides::default(),
    );
    assert_eq!(result, Ok(()));
}

/// The same faults reveal a disabled rule: two leaders in a term, diverging commits, or a
/// cluster that depends on lost data and does not recover.
#[rstest]
#[case::append_sync(SafetyOverrides { skip_append_sync: true, ..SafetyOverrides::default() })]
#[case::blank_disk(SafetyOverrides { blank_disk_may_vote: true, ..SafetyOverrides::default() })]
fn disabled_rules_are_detected(#[case] safety: SafetyOverrides) {
    let result = run_random(runner(RUNS_FOR_BROKEN_RULES, 0), 3, false, safety);
    let failure = result.expect_err("the disabled rule was not detected");
    let known = ["both led in term", "was committed as", "does not recover"];
    assert!(known.iter().any(|text| failure.contains(text)), "{failure}");
}
