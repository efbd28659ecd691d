//! Acknowledged commands survive faults, and other calls are never reported as applied.

use linnethitch_group::CallFailure;
use rstest::rstest;

use crate::support::{Cluster, Ended};

const MACHINES: [u32; 3] = [11, 12, 13];

#[rstest]
fn a_cluster_bootstraps_without_exchanging_disk_ids(#[values(1, 2, 3, 4)] seed: u64) {
    let mut cluster = Cluster::form(&MACHINES, 3, seed);
    assert!(cluster.commit("first", 5_000));
    assert_eq!(cluster.voters(), MACHINES);
    cluster.assert_nothing_lost();
}

/// Faults that occur right after an acknowledgement.
#[derive(Clone, Copy, Debug)]
enum Fault {
    LeaderLosesPower,
    AllLosePower,
    LeaderLosesDisk,
    LeaderLosesDiskOthersLosePower,
    FollowerLosesDiskOthersLosePower,
}

#[rstest]
fn acknowledged_commands_survive(
    #[values(
        Fault::LeaderLosesPower,
        Fault::AllLosePower,
        Fault::LeaderLosesDisk,
        Fault::LeaderLosesDiskOthersLosePower,
        Fault::FollowerLosesDiskOthersLosePower
    )]
    fault: Fault,
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
) {
    let mut cluster = Cluster::form(&MACHINES, 3, seed);
    for number in 0..20 {
        assert!(cluster.commit(&format!("word-{number}"), 5_000));
    }
    let leader = cluster.leader().expect("a leader");
    let follower = MACHINES.into_iter().find(|machine| *machine != leader);
    let follower = follower.expect("a follower");
    let (wiped, powered_off): (Option<u32>, Vec<u32>) = match fault {
        Fault::LeaderLosesPower => (None, vec![leader]),
        Fault::AllLosePower => (None, MACHINES.to_vec()),
        Fault::LeaderLosesDisk => (Some(leader), vec![leader]),
        Fault::LeaderLosesDiskOthersLosePower => (Some(leader), MACHINES.to_vec()),
        Fault::FollowerLosesDiskOthersLosePower => (Some(follower), MACHINES.to_vec()),
    };
    for machine in &powered_off {
        if wiped == Some(*machine) {
            cluster.lose_disk(*machine);
        } else {
            cluster.lose_power(*machine);
        }
    }
    for machine in powered_off {
        cluster.start(machine, None);
    }
    assert!(cluster.commit("after", 10_000));
    cluster.assert_nothing_lost();
    assert!(cluster.run_until(5_000, |cluster| cluster.has_voters(&MACHINES)));
}

#[rstest]
fn each_disk_may_be_lost_in_turn(#[values(1, 2, 3, 4)] seed: u64) {
    let mut cluster = Cluster::form(&MACHINES, 3, seed);
    for (round, machine) in MACHINES.into_iter().enumerate() {
        for number in 0..10 {
            assert!(cluster.commit(&format!("word-{round}-{number}"), 8_000));
        }
        cluster.lose_disk(machine);
        cluster.run_ms(1_000);
        cluster.start(machine, None);
        // The next disk may be lost this long after the machine has restarted.
        let is_restored = cluster.run_until(4_700, |cluster| cluster.has_voters(&MACHINES));
        assert!(
            is_restored,
            "the disk of machine {machine} was not replaced in time"
        );
    }
    cluster.assert_nothing_lost();
}

#[rstest]
fn an_isolated_member_acknowledges_nothing(#[values(1, 2, 3)] seed: u64) {
    let mut cluster = Cluster::form(&MACHINES, 3, seed);
    assert!(cluster.commit("before", 5_000));
    let old = cluster.leader().expect("a leader");
    cluster.isolate(old);
    let lost = cluster.propose_at(old, "lost");
    cluster.run_ms(3_000);
    assert!(!matches!(cluster.ended.get(&lost), Some(Ended::Applied(_))));
    assert!(cluster.commit("meanwhile", 5_000));
    cluster.heal();
    cluster.run_ms(3_000);
    assert_eq!(
        cluster.ended.get(&lost),
        Some(&Ended::Failed(CallFailure::Replaced))
    );
    let words = cluster.read(5_000).expect("a read");
    assert!(!words.contains(&"lost".to_owned()));
    assert!(words.contains(&"meanwhile".to_owned()));
}

#[rstest]
fn a_read_at_an_isolated_member_is_never_answered(#[values(1, 2, 3)] seed: u64) {
    let mut cluster = Cluster::form(&MACHINES, 3, seed);
    assert!(cluster.commit("before", 5_000));
    let old = cluster.leader().expect("a leader");
    cluster.isolate(old);
    cluster
        .members
        .get_mut(&old)
        .expect("the member runs")
        .read(9_999);
    assert!(cluster.commit("newer", 5_000));
    cluster.run_ms(2_000);
    assert!(!matches!(cluster.ended.get(&9_999), Some(Ended::Read(_))));
}

#[rstest]
fn a_refusal_by_a_follower_names_the_leader(#[values(1, 2)] seed: u64) {
    let mut cluster = Cluster::form(&MACHINES, 3, seed);
    assert!(cluster.commit("before", 5_000));
    cluster.run_ms(500);
    let leader = cluster.leader().expect("a leader");
    let follower = MACHINES.into_iter().find(|machine| *machine != leader);
    let call = cluster.propose_at(follower.expect("a follower"), "elsewhere");
    cluster.run_ms(50);
    let Some(Ended::Failed(CallFailure::NotLeader(Some(reported)))) = cluster.ended.get(&call)
    else {
        panic!("not refused: {:?}", cluster.ended.get(&call));
    };
    assert_eq!(reported.machine.0, leader);
}
