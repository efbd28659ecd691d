//! Whether a member knows that its state includes all committed entries.

use rstest::rstest;

use crate::support::Cluster;

const MACHINES: [u32; 3] = [11, 12, 13];
const SPARE: u32 = 21;
/// Longer than any election, in virtual milliseconds.
const LONG_MS: u64 = 3_000;

/// A condition that prevents a member from taking part in consensus.
#[derive(Clone, Copy, Debug)]
enum Hindrance {
    CutOff,
    FullDisk,
}

#[rstest]
fn a_hindered_member_is_not_current(
    #[values(Hindrance::CutOff, Hindrance::FullDisk)] hindrance: Hindrance,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut cluster = Cluster::form(&MACHINES, 3, seed);
    assert!(cluster.commit("before", 5_000));
    cluster.run_ms(LONG_MS);
    for machine in MACHINES {
        assert!(cluster.members[&machine].is_current(), "{machine}");
    }
    let leader = cluster.leader();
    let hindered = MACHINES
        .into_iter()
        .find(|machine| Some(*machine) != leader);
    let hindered = hindered.expect("a follower");
    match hindrance {
        Hindrance::CutOff => cluster.isolate(hindered),
        Hindrance::FullDisk => cluster.fill_disk(hindered, true),
    }
    for number in 0..20 {
        assert!(cluster.commit(&format!("word-{number}"), 5_000));
    }
    cluster.run_ms(LONG_MS);
    assert!(!cluster.members[&hindered].is_current());
    cluster.heal();
    cluster.fill_disk(hindered, false);
    let is_current = |cluster: &Cluster| cluster.members[&hindered].is_current();
    assert!(cluster.run_until(2 * LONG_MS, is_current));
}

/// A member that joins is current only when it has all entries committed before.
#[rstest]
fn a_joining_member_is_not_current_before_it_has_caught_up(#[values(1, 2, 3)] seed: u64) {
    const WORDS: usize = 60;
    let mut cluster = Cluster::form(&MACHINES, 5, seed);
    for number in 0..WORDS {
        assert!(cluster.commit(&format!("word-{number}"), 5_000));
    }
    cluster.start(SPARE, None);
    let is_current = |cluster: &Cluster| cluster.members[&SPARE].is_current();
    assert!(cluster.run_until(4_700, is_current));
    assert_eq!(cluster.members[&SPARE].state().words.len(), WORDS);
}
