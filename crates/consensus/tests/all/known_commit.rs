//! The known commit index: what a member knows to be committed in the current leader's term.

use crate::cluster::{Cluster, member};

/// Longer than any election timeout, in ticks.
const LONG_TICKS: u32 = 120;

#[test]
fn every_member_of_an_idle_cluster_knows_the_newest_commit() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    let index = cluster.propose(leader, "a");
    cluster.run(LONG_TICKS);
    for machine in 1..=3 {
        let status = cluster.node(member(machine)).status();
        assert_eq!(status.known_commit, Some(index), "{status:?}");
        assert_eq!(status.committed, index);
    }
}

#[test]
fn an_isolated_member_has_no_known_commit_until_it_reconnects() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    cluster.run(LONG_TICKS);
    let other = cluster.follower_of(leader);
    cluster.isolate(other);
    let index = cluster.propose(leader, "a");
    cluster.run(LONG_TICKS);
    assert_eq!(cluster.node(other).status().known_commit, None);
    cluster.heal();
    cluster.run(LONG_TICKS);
    assert_eq!(cluster.node(other).status().known_commit, Some(index));
}

#[test]
fn an_isolated_leader_has_no_known_commit_after_it_steps_down() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    cluster.run(LONG_TICKS);
    cluster.isolate(leader);
    cluster.run(LONG_TICKS);
    assert_eq!(cluster.node(leader).status().known_commit, None);
}

/// Entries of an earlier leader are not known to be committed before an entry of the
/// new term is committed.
#[test]
fn a_restarted_member_has_no_known_commit_until_a_leader_contacts_it() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    cluster.propose(leader, "a");
    cluster.run(LONG_TICKS);
    for machine in 1..=3 {
        cluster.crash(member(machine));
    }
    for machine in 1..=3 {
        cluster.restart(member(machine));
        assert_eq!(cluster.node(member(machine)).status().known_commit, None);
    }
    let leader = cluster.elect();
    cluster.run(LONG_TICKS);
    let committed = cluster.node(leader).status().committed;
    for machine in 1..=3 {
        let status = cluster.node(member(machine)).status();
        assert_eq!(status.known_commit, Some(committed), "{status:?}");
    }
}

/// The previous leader may have committed an entry without reporting that to any other
/// member, so that a new leader does not know of it yet. The invariant is checked after
/// each message.
#[test]
fn the_commit_index_of_a_new_leader_counts_only_in_its_own_term() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    cluster.run(LONG_TICKS);
    let index = cluster.propose(leader, "a");
    while cluster.node(leader).status().committed < index {
        assert!(cluster.deliver_next(), "the entry must be committed");
    }
    let other = cluster.follower_of(leader);
    assert!(cluster.node(other).status().committed < index);
    cluster.isolate(leader);
    for _ in 0..LONG_TICKS {
        for machine in 1..=3 {
            cluster.tick(member(machine));
        }
        while cluster.deliver_next() {
            cluster.check();
        }
    }
    let known = cluster.node(other).status().known_commit;
    assert!(
        known > Some(index),
        "no commit index of a new leader: {known:?}"
    );
}
