//! For each safety rule, a sequence of events that violates an invariant when the rule
//! is disabled, and does not when it is enabled.

use linnethitch_consensus::{Role, SafetyOverrides};
use linnethitch_protocol::ids::{LogIndex, MemberId};
use rstest::rstest;

use crate::cluster::{Cluster, member, member_on};

const NONE: SafetyOverrides = SafetyOverrides {
    blank_disk_may_vote: false,
    skip_vote_sync: false,
    commit_old_terms_by_count: false,
    skip_append_sync: false,
    skip_read_confirmation: false,
};

/// More ticks than any election timeout.
const LONG_TICKS: u32 = 60;

fn cluster(count: u32, safety: SafetyOverrides) -> Cluster {
    Cluster::with_settings(count, |settings| {
        settings.safety = safety;
        settings.max_append_bytes = 1;
        settings.max_inflight_appends = 1;
    })
}

/// Advances time only on one member until it is elected. The others are restarted
/// first, so that they know of no live leader.
fn lead(cluster: &mut Cluster, id: MemberId) {
    let up = |other: &MemberId| *other != id && cluster.is_up(*other);
    let others: Vec<MemberId> = cluster.members.keys().copied().filter(up).collect();
    for other in others {
        cluster.crash(other);
        cluster.restart(other);
    }
    for _ in 0..4 * LONG_TICKS {
        cluster.tick(id);
        while cluster.node(id).status().role != Role::Leader && cluster.deliver_next() {}
        if cluster.node(id).status().role == Role::Leader {
            return;
        }
    }
    panic!("{id} was not elected");
}

/// A member votes, loses the unsynced vote in a crash and votes again in the same term.
#[rstest]
#[case::rule_holds(NONE, false)]
#[case::rule_off(SafetyOverrides { skip_vote_sync: true, ..NONE }, true)]
fn votes_are_synced(#[case] safety: SafetyOverrides, #[case] broken: bool) {
    let mut cluster = cluster(3, safety);
    cluster.sync_at_once = false;
    let (first, second, voter) = (member(1), member(2), member(3));
    for candidate in [first, second] {
        let other = if candidate == first { second } else { first };
        cluster.isolate(other);
        for _ in 0..LONG_TICKS {
            cluster.tick(candidate);
            cluster.deliver_all_without_sync();
            cluster.sync(candidate);
            cluster.deliver_all_without_sync();
            if cluster.node(candidate).status().role != Role::Follower {
                break;
            }
        }
        cluster.heal();
        cluster.crash(voter);
        cluster.restart(voter);
    }
    assert_eq!(cluster.violation.is_some(), broken);
}

/// A follower acknowledges an entry and loses it in a crash; then the leader is isolated.
#[rstest]
#[case::rule_holds(NONE, false)]
#[case::rule_off(SafetyOverrides { skip_append_sync: true, ..NONE }, true)]
fn acknowledged_entries_are_synced(#[case] safety: SafetyOverrides, #[case] broken: bool) {
    let mut cluster = cluster(3, safety);
    let leader = cluster.elect();
    cluster.run(1);
    let follower = cluster.follower_of(leader);
    let third = (1..=3)
        .map(member)
        .find(|id| ![leader, follower].contains(id));
    let third = third.expect("three members");
    cluster.isolate(third);
    cluster.sync_at_once = false;
    cluster.propose(leader, "acknowledged by one that forgets it");
    cluster.sync(leader);
    cluster.deliver_all_without_sync();
    cluster.crash(follower);
    cluster.heal();
    cluster.isolate(leader);
    cluster.sync_at_once = true;
    cluster.restart(follower);
    cluster.run_unchecked(4 * LONG_TICKS);
    let new = cluster.leader().expect("two can elect");
    cluster.propose(new, "in its place");
    cluster.run_unchecked(1);
    assert_eq!(cluster.violation.is_some(), broken);
}

/// Figure 8 of the Raft paper: an entry of an earlier term is on a quorum, but a member
/// without the entry can still be elected.
#[rstest]
#[case::rule_holds(NONE, false)]
#[case::rule_off(SafetyOverrides { commit_old_terms_by_count: true, ..NONE }, true)]
fn old_terms_are_not_committed_by_count(#[case] safety: SafetyOverrides, #[case] broken: bool) {
    let mut cluster = cluster(3, safety);
    let (first, second, third) = (member(1), member(2), member(3));
    lead(&mut cluster, first);
    cluster.settle();
    // `first` appends an entry that no other member receives.
    cluster.isolate(first);
    let index = cluster.propose(first, "of the first leader");
    cluster.settle();
    cluster.crash(first);
    // `third` is elected with the vote of `second`; its entry is not received either.
    lead(&mut cluster, third);
    cluster.network.clear();
    cluster.crash(third);
    // `first` is elected again and replicates only its old entry to `second`.
    cluster.heal();
    cluster.restart(first);
    lead(&mut cluster, first);
    while cluster.members[&second].disk.entry(index).is_none() {
        assert!(cluster.deliver_next(), "the entry must be in flight");
    }
    while let Some(message) = cluster.network.pop_front() {
        if message.to == first {
            cluster.deliver(message);
            break;
        }
    }
    cluster.network.clear();
    cluster.crash(first);
    // `third` is elected because its last term is higher, and overwrites the entry.
    cluster.restart(third);
    cluster.run_unchecked(4 * LONG_TICKS);
    assert_eq!(cluster.leader(), Some(third));
    cluster.propose(third, "of the third leader");
    cluster.run_unchecked(10);
    assert_eq!(cluster.violation.is_some(), broken);
}

/// A member with a blank disk votes under the identity of the lost disk and elects a
/// member that lacks an acknowledged entry.
#[rstest]
#[case::rule_holds(NONE, false)]
#[case::rule_off(SafetyOverrides { blank_disk_may_vote: true, ..NONE }, true)]
fn blank_disks_do_not_vote(#[case] safety: SafetyOverrides, #[case] broken: bool) {
    let mut cluster = cluster(3, safety);
    let (first, second, third) = (member(1), member(2), member(3));
    lead(&mut cluster, first);
    cluster.settle();
    cluster.isolate(third);
    cluster.propose(first, "on two disks");
    cluster.run(10);
    cluster.heal();
    cluster.crash(first);
    cluster.replace_disk(second, member_on(2, 201));
    cluster.run_unchecked(10 * LONG_TICKS);
    if let Some(leader) = cluster.leader() {
        cluster.propose(leader, "in its place");
        cluster.run_unchecked(10);
    }
    cluster.restart(first);
    cluster.run_unchecked(10 * LONG_TICKS);
    assert_eq!(cluster.violation.is_some(), broken);
}

/// A leader that does not know that it was deposed answers a read.
#[rstest]
#[case::rule_holds(NONE, false)]
#[case::rule_off(SafetyOverrides { skip_read_confirmation: true, ..NONE }, true)]
fn reads_are_confirmed(#[case] safety: SafetyOverrides, #[case] broken: bool) {
    let mut cluster = cluster(3, safety);
    let (old, new) = (member(1), member(2));
    lead(&mut cluster, old);
    cluster.settle();
    cluster.isolate(old);
    // No time passes on the old leader, as on a paused machine.
    for _ in 0..4 * LONG_TICKS {
        cluster.tick(new);
        cluster.tick(member(3));
        cluster.settle();
    }
    let leader = cluster.leader().expect("two can elect");
    let written = cluster.propose(leader, "not known to the old leader");
    cluster.settle();
    cluster
        .with_node(old, |node, _| node.read_index(1))
        .expect("the old leader still considers itself leader");
    cluster.settle();
    let stale = |(_, index): &(u64, LogIndex)| *index < written;
    let reads = &cluster.members[&old].confirmed_reads;
    assert_eq!(reads.iter().any(stale), broken);
}
