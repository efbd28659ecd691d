//! Machines of two builds in one group, upgraded in any order while power, disks and links
//! fail. No member receives an entry that it cannot read, no acknowledged command is lost, and
//! the group stores the newest format once every member can read it.
//!
//! A build stops at an entry that it cannot read. Without an agreed stored format, the first
//! entry of a leader with the new build would stop every member with the old build, one after
//! the other.

use linnethitch_protocol::format::Format;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

use crate::support::Cluster;

const MACHINES: [u32; 5] = [11, 12, 13, 14, 15];
/// Changes of one run; each machine is replaced about three times on average.
const CHANGES: usize = 40;
/// Time within which a group elects a leader, in virtual milliseconds.
const RECOVERY_MS: u64 = 15_000;

/// Time within which a blank machine that may join has joined, in virtual milliseconds.
const JOIN_TIMEOUT_MS: u64 = 3_000;

/// An operator's action on a machine, or a fault.
#[derive(Clone, Copy, Debug)]
enum Change {
    /// The machine is restarted with this build, which may be its current one.
    Replace(Format),
    LosePower,
    /// The machine is replaced by one with this build and a blank disk.
    LoseDisk(Format),
    CutOff,
}

fn random_change(random: &mut Pcg64Mcg, newest: Format) -> Change {
    match random.random_range(0..10) {
        0..=4 => Change::Replace(newest),
        // Downgrade.
        5 => Change::Replace(Format::First),
        6 | 7 => Change::LosePower,
        8 if random.random() => Change::LoseDisk(Format::First),
        8 => Change::LoseDisk(newest),
        _ => Change::CutOff,
    }
}

/// Applies a change, and ends its outage. At most one machine is down or isolated at a time.
fn apply_change(cluster: &mut Cluster, machine: u32, change: Change, random: &mut Pcg64Mcg) {
    let outage_ms = random.random_range(0..3_000);
    match change {
        Change::Replace(build) => {
            cluster.lose_power(machine);
            cluster.run_ms(outage_ms);
            cluster.start_build(machine, build);
        }
        Change::LosePower => {
            cluster.lose_power(machine);
            cluster.run_ms(outage_ms);
            cluster.restart(machine);
        }
        Change::LoseDisk(build) => {
            cluster.lose_disk(machine);
            cluster.run_ms(outage_ms);
            cluster.start_build(machine, build);
        }
        Change::CutOff => {
            cluster.isolate(machine);
            cluster.run_ms(outage_ms);
            cluster.heal();
        }
    }
}

fn commit_some(cluster: &mut Cluster, round: usize, random: &mut Pcg64Mcg) {
    for number in 0..random.random_range(1..8) {
        let word = format!("word-{round}-{number}");
        assert!(
            cluster.commit(&word, RECOVERY_MS),
            "{word} was not committed"
        );
    }
}

#[rstest]
fn a_group_survives_any_order_of_replacements(#[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)] seed: u64) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut cluster = Cluster::form_of_build(&MACHINES, Format::First, seed);
    for round in 0..CHANGES {
        commit_some(&mut cluster, round, &mut random);
        let machine = MACHINES[random.random_range(0..MACHINES.len())];
        // In the first third one machine is not upgraded, so that both builds run side by side.
        let newest = if round < CHANGES / 3 && machine == MACHINES[0] {
            Format::First
        } else {
            Format::NEWEST
        };
        let change = random_change(&mut random, newest);
        let was_raised = cluster.is_raised();
        apply_change(&mut cluster, machine, change, &mut random);
        assert!(
            cluster.run_until(RECOVERY_MS, Cluster::all_readers_vote),
            "round {round}: {machine} {change:?}"
        );
        if was_raised && matches!(change, Change::LoseDisk(Format::First)) {
            cluster.run_ms(JOIN_TIMEOUT_MS);
            assert!(
                !cluster.is_member(machine),
                "{machine} joined with a build that cannot read the stored format"
            );
        }
        // A machine downgraded after the raise is refused or receives nothing; the others continue.
        for machine in cluster.outdated_machines() {
            let word = format!("without-{machine}-{round}");
            assert!(
                cluster.commit(&word, RECOVERY_MS),
                "{word} was not committed"
            );
            cluster.lose_power(machine);
            cluster.start_build(machine, Format::NEWEST);
            assert!(cluster.run_until(RECOVERY_MS, Cluster::all_readers_vote));
        }
    }
    for machine in MACHINES {
        cluster.lose_power(machine);
        cluster.start_build(machine, Format::NEWEST);
        assert!(cluster.run_until(RECOVERY_MS, |cluster| cluster.has_voters(&MACHINES)));
    }
    assert!(cluster.run_until(RECOVERY_MS, Cluster::is_raised));
    assert!(cluster.commit("last", RECOVERY_MS));
    cluster.assert_nothing_lost();
    cluster.assert_nothing_written_in_old_format();
}

/// A machine can be downgraded before the raise. After the raise the old build refuses the
/// disk and leaves it unchanged, until the machine is started with a build that can read it.
#[rstest]
fn a_downgrade_is_possible_only_before_the_raise(#[values(1, 2, 3)] seed: u64) {
    let mut cluster = Cluster::form_of_build(&MACHINES, Format::First, seed);
    for machine in &MACHINES[..4] {
        cluster.lose_power(*machine);
        cluster.start_build(*machine, Format::NEWEST);
        assert!(cluster.commit(&format!("word-{machine}"), RECOVERY_MS));
    }
    cluster.lose_power(MACHINES[1]);
    assert!(cluster.start_build(MACHINES[1], Format::First), "before");
    assert!(cluster.commit("back", RECOVERY_MS));
    assert!(!cluster.is_raised());
    for machine in [MACHINES[1], MACHINES[4]] {
        cluster.lose_power(machine);
        cluster.start_build(machine, Format::NEWEST);
    }
    assert!(cluster.run_until(RECOVERY_MS, Cluster::is_raised));
    assert!(cluster.commit("raised", RECOVERY_MS));
    assert!(cluster.run_until(RECOVERY_MS, |cluster| cluster.has_voters(&MACHINES)));
    cluster.lose_power(MACHINES[2]);
    assert!(!cluster.start_build(MACHINES[2], Format::First), "after");
    assert!(cluster.commit("without it", RECOVERY_MS));
    assert!(cluster.start_build(MACHINES[2], Format::NEWEST));
    assert!(cluster.run_until(RECOVERY_MS, |cluster| cluster.has_voters(&MACHINES)));
    cluster.assert_nothing_lost();
}

/// A new leader has not yet applied the raise that the previous leader stored. Commands that
/// it accepts at that point would be stored in the older format, and fields that this format
/// lacks would be lost.
#[rstest]
fn a_new_leader_stores_no_command_in_the_older_format(#[values(1, 2, 3)] seed: u64) {
    let mut cluster = Cluster::form_of_build(&MACHINES, Format::First, seed);
    cluster.run_ms(RECOVERY_MS);
    for machine in MACHINES {
        cluster.lose_power(machine);
        cluster.start_build(machine, Format::NEWEST);
        cluster.run_ms(if machine == MACHINES[4] {
            0
        } else {
            RECOVERY_MS
        });
    }
    assert!(cluster.run_until(RECOVERY_MS, Cluster::is_raised));
    let leader = cluster.leader().expect("a leader");
    // The others do not learn from this leader that the raise is committed.
    cluster.isolate(leader);
    cluster.kill(leader);
    assert!(cluster.commit("after", RECOVERY_MS));
    cluster.assert_nothing_written_in_old_format();
}
