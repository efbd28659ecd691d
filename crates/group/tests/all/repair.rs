//! Machines that are lost, added or drained.

use rstest::rstest;

use crate::support::Cluster;

const MACHINES: [u32; 3] = [11, 12, 13];
const SPARE: u32 = 21;

#[rstest]
fn a_spare_machine_replaces_a_lost_one(
    #[values(11, 12, 13)] lost: u32,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut cluster = Cluster::form(&MACHINES, 3, seed);
    assert!(cluster.commit("before", 5_000));
    cluster.lose_power(lost);
    cluster.run_ms(1_000);
    cluster.start(SPARE, None);
    let mut expected: Vec<u32> = MACHINES.into_iter().filter(|m| *m != lost).collect();
    expected.push(SPARE);
    assert!(cluster.run_until(4_700, |cluster| cluster.has_voters(&expected)));
    cluster.assert_nothing_lost();
}

#[rstest]
fn an_added_machine_becomes_a_voter_only_within_the_limit(
    #[values((3, 3), (5, 4))] limit_and_voters: (usize, usize),
    #[values(1, 2)] seed: u64,
) {
    let (limit, voters) = limit_and_voters;
    let mut cluster = Cluster::form(&MACHINES, limit, seed);
    assert!(cluster.commit("before", 5_000));
    cluster.start(SPARE, None);
    cluster.run_ms(3_000);
    assert_eq!(cluster.voters().len(), voters);
}

#[rstest]
fn a_drained_machine_is_removed_only_after_its_replacement_has_caught_up(
    #[values(11, 12, 13)] drained: u32,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut cluster = Cluster::form(&MACHINES, 3, seed);
    for number in 0..30 {
        assert!(cluster.commit(&format!("word-{number}"), 5_000));
    }
    cluster.start(SPARE, None);
    cluster.run_ms(500);
    cluster.retire(drained);
    let mut expected: Vec<u32> = MACHINES.into_iter().filter(|m| *m != drained).collect();
    expected.push(SPARE);
    assert!(cluster.run_until(5_000, |cluster| cluster.has_voters(&expected)));
    // The drained machine is shut down with its disk, and another disk is lost right after.
    cluster.lose_disk(drained);
    cluster.lose_disk(expected[0]);
    cluster.run_ms(1_000);
    cluster.start(expected[0], None);
    assert!(cluster.commit("after", 8_000));
    cluster.assert_nothing_lost();
}

#[rstest]
fn a_machine_is_not_removed_without_a_replacement(#[values(1, 2)] seed: u64) {
    let mut cluster = Cluster::form(&MACHINES, 3, seed);
    assert!(cluster.commit("before", 5_000));
    cluster.retire(12);
    cluster.run_ms(4_000);
    assert_eq!(cluster.voters(), MACHINES);
    assert!(cluster.commit("after", 5_000));
    cluster.assert_nothing_lost();
}
