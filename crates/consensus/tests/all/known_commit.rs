//! What a member knows to be committed in the term of the leader that it hears.

use crate::cluster::{Cluster, member};

/// Longer than any election timeout, in ticks.
const LONG_TICKS: u32 = 120;

#[test]
fn every_member_of_a_quiet_cluster_knows_the_newest_commit() {
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
fn a_member_that_is_cut_off_knows_nothing_until_it_is_back() {
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
fn a_leader_that_is_cut_off_knows_nothing_once_it_has_stepped_down() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    cluster.run(LONG_TICKS);
    cluster.isolate(leader);
    cluster.run(LONG_TICKS);
    assert_eq!(cluster.node(leader).status().known_commit, None);
}

/// What an earlier leader committed is not known to be committed before an entry of
/// the new term is.
#[test]
fn a_member_that_was_restarted_knows_nothing_until_it_hears_a_leader() {
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

/// A new leader may not know yet what the one before committed and nobody else was
/// told of. The invariant is checked after each message.
#[test]
fn a_new_leaders_first_words_do_not_count() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    cluster.run(LONG_TICKS);
    let index = cluster.propose(leader, "a");
    while cluster.node(leader).status().committed < index {
        assert!(cluster.deliver_next(), "it is committed");
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
    assert!(known > Some(index), "a new leader has told: {known:?}");
}
