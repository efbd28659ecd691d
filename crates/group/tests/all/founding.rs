//! Machines that end before the group's first members know each other.

use rstest::rstest;

use crate::support::Cluster;

const MACHINES: [u32; 3] = [11, 12, 13];

#[test]
fn a_disk_that_was_set_aside_is_so_until_it_knows_the_first_members() {
    let mut cluster = Cluster::form(&[], 3, 1);
    assert!(!cluster.is_reserved(11, false), "it is blank");
    assert!(cluster.is_reserved(11, true));
    assert!(
        cluster.is_reserved(11, false),
        "its process ended meanwhile"
    );
    cluster.start(11, Some(&MACHINES));
    cluster.lose_power(11);
    assert!(!cluster.is_reserved(11, false), "it may have voted");
}

#[test]
fn a_disk_that_was_lost_or_joined_later_is_no_first_member() {
    let mut cluster = Cluster::form(&[], 3, 1);
    assert!(cluster.is_reserved(11, true));
    cluster.lose_disk(11);
    assert!(!cluster.is_reserved(11, false), "its disk was lost");
    cluster.start(11, None);
    cluster.lose_power(11);
    assert!(!cluster.is_reserved(11, true), "its disk has another id");
}

/// One machine ends before it knows the others and is back, then another one's disk is lost:
/// two of three have what the group acknowledged.
#[rstest]
fn a_group_whose_member_ended_before_it_knew_the_others_bears_a_lost_disk(
    #[values(12, 13)] lost: u32,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut cluster = Cluster::form(&[], 3, seed);
    for machine in MACHINES {
        assert!(cluster.is_reserved(machine, true));
    }
    // The others know of the machine and form the group while it is away.
    cluster.start(12, Some(&MACHINES));
    cluster.start(13, Some(&MACHINES));
    cluster.run_ms(500);
    let first = cluster.is_reserved(11, false).then_some(&MACHINES[..]);
    cluster.start(11, first);
    cluster.run_ms(500);
    cluster.lose_disk(lost);
    cluster.start(lost, None);
    assert!(cluster.commit("after", 5_000));
    cluster.assert_nothing_lost();
}
