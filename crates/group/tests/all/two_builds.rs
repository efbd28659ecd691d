//! Machines of two builds in one group, replaced in any order, beside losses of power, disks
//! and links: nothing that a member cannot read gets to it, nothing acknowledged is lost, and
//! the group stores in the newest format once every member reads it.
//!
//! A build that cannot read an entry stops at it. Before the format of what is stored was
//! agreed, the first entry of a new leader would have stopped every member of the build
//! before, one after the other.

use linnethitch_protocol::format::Format;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

use crate::support::Cluster;

const MACHINES: [u32; 5] = [11, 12, 13, 14, 15];
/// Changes of one run; each machine is replaced some three times on average.
const CHANGES: usize = 40;
/// Time in which a group has a leader again, in virtual milliseconds.
const LED_WITHIN_MS: u64 = 15_000;

/// A blank machine that may join does so sooner, in virtual milliseconds.
const MAY_JOIN_AFTER_MS: u64 = 3_000;

/// One thing that an operator, or fate, does to a machine.
#[derive(Clone, Copy, Debug)]
enum Change {
    /// It comes back with the other build, or with the one it has.
    Replace(Format),
    LosePower,
    /// Another machine takes its place, with this build and a blank disk.
    LoseDisk(Format),
    CutOff,
}

fn drawn(random: &mut Pcg64Mcg, newest: Format) -> Change {
    match random.random_range(0..10) {
        0..=4 => Change::Replace(newest),
        // The way back.
        5 => Change::Replace(Format::First),
        6 | 7 => Change::LosePower,
        8 if random.random() => Change::LoseDisk(Format::First),
        8 => Change::LoseDisk(newest),
        _ => Change::CutOff,
    }
}

/// Makes a change, and undoes what is undone by itself. At most one machine is away at a time.
fn carry_out(cluster: &mut Cluster, machine: u32, change: Change, random: &mut Pcg64Mcg) {
    let away_ms = random.random_range(0..3_000);
    match change {
        Change::Replace(build) => {
            cluster.lose_power(machine);
            cluster.run_ms(away_ms);
            cluster.start_build(machine, build);
        }
        Change::LosePower => {
            cluster.lose_power(machine);
            cluster.run_ms(away_ms);
            cluster.start_again(machine);
        }
        Change::LoseDisk(build) => {
            cluster.lose_disk(machine);
            cluster.run_ms(away_ms);
            cluster.start_build(machine, build);
        }
        Change::CutOff => {
            cluster.cut_off(machine);
            cluster.run_ms(away_ms);
            cluster.heal();
        }
    }
}

fn commit_some(cluster: &mut Cluster, round: usize, random: &mut Pcg64Mcg) {
    for number in 0..random.random_range(1..8) {
        let word = format!("word-{round}-{number}");
        assert!(cluster.commit(&word, LED_WITHIN_MS), "{word} was not held");
    }
}

#[rstest]
fn any_order_of_replacements_is_survived(#[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)] seed: u64) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut cluster = Cluster::form_of_build(&MACHINES, Format::First, seed);
    for round in 0..CHANGES {
        commit_some(&mut cluster, round, &mut random);
        let machine = MACHINES[random.random_range(0..MACHINES.len())];
        // In the first third one machine is kept back, so that two builds work for long.
        let newest = if round < CHANGES / 3 && machine == MACHINES[0] {
            Format::First
        } else {
            Format::NEWEST
        };
        let change = drawn(&mut random, newest);
        let was_raised = cluster.is_raised();
        carry_out(&mut cluster, machine, change, &mut random);
        assert!(
            cluster.run_until(LED_WITHIN_MS, Cluster::is_whole_but_left_behind),
            "round {round}: {machine} {change:?}"
        );
        if was_raised && matches!(change, Change::LoseDisk(Format::First)) {
            cluster.run_ms(MAY_JOIN_AFTER_MS);
            assert!(
                !cluster.is_member(machine),
                "{machine} reads less and joined"
            );
        }
        // One that went back after the raise is refused or told nothing; the others go on.
        for machine in cluster.left_behind() {
            let word = format!("without-{machine}-{round}");
            assert!(cluster.commit(&word, LED_WITHIN_MS), "{word} was not held");
            cluster.lose_power(machine);
            cluster.start_build(machine, Format::NEWEST);
            assert!(cluster.run_until(LED_WITHIN_MS, Cluster::is_whole_but_left_behind));
        }
    }
    for machine in MACHINES {
        cluster.lose_power(machine);
        cluster.start_build(machine, Format::NEWEST);
        assert!(cluster.run_until(LED_WITHIN_MS, |cluster| cluster.is_whole(&MACHINES)));
    }
    assert!(cluster.run_until(LED_WITHIN_MS, Cluster::is_raised));
    assert!(cluster.commit("last", LED_WITHIN_MS));
    cluster.assert_nothing_lost();
    cluster.assert_nothing_left_out();
}

/// A machine that goes back is taken before the raise; afterwards its disk is refused and
/// stays as it was, until it comes back with a build that reads it.
#[rstest]
fn the_way_back_ends_with_the_raise(#[values(1, 2, 3)] seed: u64) {
    let mut cluster = Cluster::form_of_build(&MACHINES, Format::First, seed);
    for machine in &MACHINES[..4] {
        cluster.lose_power(*machine);
        cluster.start_build(*machine, Format::NEWEST);
        assert!(cluster.commit(&format!("word-{machine}"), LED_WITHIN_MS));
    }
    cluster.lose_power(MACHINES[1]);
    assert!(cluster.start_build(MACHINES[1], Format::First), "before");
    assert!(cluster.commit("back", LED_WITHIN_MS));
    assert!(!cluster.is_raised());
    for machine in [MACHINES[1], MACHINES[4]] {
        cluster.lose_power(machine);
        cluster.start_build(machine, Format::NEWEST);
    }
    assert!(cluster.run_until(LED_WITHIN_MS, Cluster::is_raised));
    assert!(cluster.commit("raised", LED_WITHIN_MS));
    assert!(cluster.run_until(LED_WITHIN_MS, |cluster| cluster.is_whole(&MACHINES)));
    cluster.lose_power(MACHINES[2]);
    assert!(!cluster.start_build(MACHINES[2], Format::First), "after");
    assert!(cluster.commit("without it", LED_WITHIN_MS));
    assert!(cluster.start_build(MACHINES[2], Format::NEWEST));
    assert!(cluster.run_until(LED_WITHIN_MS, |cluster| cluster.is_whole(&MACHINES)));
    cluster.assert_nothing_lost();
}

/// A new leader has not applied the raise that the one before it stored. What it takes then
/// would be held in the format before, and what that lacks stay lost.
#[rstest]
fn a_new_leader_leaves_nothing_out(#[values(1, 2, 3)] seed: u64) {
    let mut cluster = Cluster::form_of_build(&MACHINES, Format::First, seed);
    cluster.run_ms(LED_WITHIN_MS);
    for machine in MACHINES {
        cluster.lose_power(machine);
        cluster.start_build(machine, Format::NEWEST);
        cluster.run_ms(if machine == MACHINES[4] {
            0
        } else {
            LED_WITHIN_MS
        });
    }
    assert!(cluster.run_until(LED_WITHIN_MS, Cluster::is_raised));
    let leader = cluster.leader().expect("a leader");
    // The others do not hear from it that the raise is committed.
    cluster.cut_off(leader);
    cluster.kill(leader);
    assert!(cluster.commit("after", LED_WITHIN_MS));
    cluster.assert_nothing_left_out();
}
