//! Machines whose process ends before the group's first members know each other.

use rstest::rstest;

use crate::support::Cluster;

const MACHINES: [u32; 3] = [11, 12, 13];

#[test]
fn a_disk_is_reserved_until_it_stores_the_first_membership() {
    let mut cluster = Cluster::form(&[], 3, 1);
    assert!(!cluster.is_reserved(11, false), "the disk is blank");
    assert!(cluster.is_reserved(11, true));
    assert!(
        cluster.is_reserved(11, false),
        "the reservation survives a restart"
    );
    cluster.start(11, Some(&MACHINES));
    cluster.lose_power(11);
    assert!(!cluster.is_reserved(11, false), "the member may have voted");
}

#[test]
fn a_lost_disk_or_one_that_joined_later_is_not_reserved() {
    let mut cluster = Cluster::form(&[], 3, 1);
    assert!(cluster.is_reserved(11, true));
    cluster.lose_disk(11);
    assert!(!cluster.is_reserved(11, false), "the disk was lost");
    cluster.start(11, None);
    cluster.lose_power(11);
    assert!(!cluster.is_reserved(11, true), "the disk has another id");
}

/// The process of one machine ends before it knows the other first members and is started
/// again, then the disk of another machine is lost. Two of three disks must still have the
/// acknowledged commands.
#[rstest]
fn a_group_tolerates_a_lost_disk_after_an_early_restart_of_a_member(
    #[values(12, 13)] lost: u32,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut cluster = Cluster::form(&[], 3, seed);
    for machine in MACHINES {
        assert!(cluster.is_reserved(machine, true));
    }
    // The others know of the machine and form the group while its process is down.
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
