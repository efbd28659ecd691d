//! Elections and leadership transfers.

use linnethitch_consensus::Role;
use linnethitch_protocol::{
    consensus::{ConsensusBody, ConsensusMessage},
    ids::{LogIndex, Term},
};
use rstest::rstest;

use crate::cluster::{Cluster, member, member_on};

/// Longer than any election timeout, in ticks.
const LONG_TICKS: u32 = 120;

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
#[case(5)]
fn one_leader_is_elected(#[case] count: u32) {
    let mut cluster = Cluster::new(count);
    let leader = cluster.elect();
    cluster.run(100);
    assert_eq!(
        cluster.leader(),
        Some(leader),
        "an idle cluster keeps its leader"
    );
    assert_eq!(cluster.observed.leaders.len(), 1);
    for machine in 1..=count {
        assert_eq!(cluster.node(member(machine)).leader(), Some(leader));
    }
}

#[rstest]
#[case::of_three(3, 1, true)]
#[case::of_three_with_two_down(3, 2, false)]
#[case::of_five(5, 2, true)]
#[case::of_five_with_three_down(5, 3, false)]
fn a_quorum_is_needed(#[case] count: u32, #[case] down: u32, #[case] elected: bool) {
    let mut cluster = Cluster::new(count);
    for machine in 1..=down {
        cluster.crash(member(machine));
    }
    cluster.run(4 * LONG_TICKS);
    assert_eq!(cluster.leader().is_some(), elected);
}

#[test]
fn an_isolated_member_does_not_raise_its_term() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    let other = cluster.follower_of(leader);
    let term = cluster.node(leader).term();
    cluster.isolate(other);
    cluster.run(4 * LONG_TICKS);
    assert_eq!(cluster.node(other).term(), term);
    cluster.heal();
    cluster.run(LONG_TICKS);
    assert_eq!(cluster.leader(), Some(leader));
    assert_eq!(cluster.node(leader).term(), term);
}

#[test]
fn a_leader_without_a_quorum_steps_down() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    cluster.isolate(leader);
    cluster.run(LONG_TICKS);
    assert_ne!(cluster.node(leader).status().role, Role::Leader);
    assert_ne!(cluster.leader(), None, "the others elect another");
}

#[test]
fn a_member_that_receives_nothing_from_the_leader_does_not_depose_it() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    let other = cluster.follower_of(leader);
    cluster.cut.insert((leader, other));
    cluster.run(4 * LONG_TICKS);
    assert_eq!(cluster.leader(), Some(leader));
    assert_eq!(cluster.observed.leaders.len(), 1);
}

#[test]
fn a_follower_of_a_live_leader_refuses_votes() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    let other = cluster.follower_of(leader);
    let term = cluster.node(other).term();
    let request = ConsensusMessage {
        from: member(9),
        to: other,
        term: Term(term.0 + 5),
        body: ConsensusBody::VoteRequest {
            last_index: LogIndex(100),
            last_term: term,
            leadership_transfer: false,
        },
    };
    cluster.deliver(request);
    assert_eq!(cluster.node(other).term(), term);
    assert_eq!(cluster.network.len(), 0, "the request must not be answered");
}

#[test]
fn a_vote_is_answered_only_after_the_sync() {
    let mut cluster = Cluster::new(3);
    cluster.sync_at_once = false;
    let candidate = member(1);
    for _ in 0..60 {
        cluster.tick(candidate);
        cluster.deliver_all_without_sync();
    }
    assert_eq!(cluster.node(candidate).status().role, Role::Candidate);
    assert!(
        cluster.network.is_empty(),
        "requests wait for the candidate's sync"
    );
    cluster.sync(candidate);
    cluster.deliver_all_without_sync();
    assert_eq!(cluster.node(candidate).status().role, Role::Candidate);
    cluster.crash(member(2));
    cluster.sync(member(3));
    cluster.deliver_all_without_sync();
    assert_eq!(cluster.node(candidate).status().role, Role::Leader);
}

#[test]
fn a_synced_vote_survives_a_restart() {
    let mut cluster = Cluster::new(3);
    let voter = member(3);
    let request = |candidate: u32| ConsensusMessage {
        from: member(candidate),
        to: voter,
        term: Term(4),
        body: ConsensusBody::VoteRequest {
            last_index: LogIndex(0),
            last_term: Term(0),
            leadership_transfer: false,
        },
    };
    cluster.deliver(request(1));
    assert!(cluster.vote_granted(member(1)));
    cluster.crash(voter);
    cluster.restart(voter);
    cluster.network.clear();
    cluster.deliver(request(2));
    assert!(!cluster.vote_granted(member(2)));
    cluster.deliver(request(1));
    assert!(
        cluster.vote_granted(member(1)),
        "the same vote may be repeated"
    );
}

#[rstest]
#[case::to_the_lost_disk(member(3), false)]
#[case::to_the_new_disk(member_on(3, 301), false)]
fn a_blank_disk_grants_no_vote(
    #[case] addressed: linnethitch_protocol::ids::MemberId,
    #[case] granted: bool,
) {
    let mut cluster = Cluster::new(3);
    cluster.replace_disk(member(3), member_on(3, 301));
    let request = ConsensusMessage {
        from: member(1),
        to: addressed,
        term: Term(4),
        body: ConsensusBody::VoteRequest {
            last_index: LogIndex(0),
            last_term: Term(0),
            leadership_transfer: false,
        },
    };
    cluster.deliver(request);
    assert_eq!(cluster.vote_granted(member(1)), granted);
}

#[test]
fn a_shorter_log_is_not_elected() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    let behind = cluster.follower_of(leader);
    cluster.isolate(behind);
    cluster.propose(leader, "only on two");
    cluster.settle();
    cluster.heal();
    cluster.crash(leader);
    let successor = cluster.elect_for(4 * LONG_TICKS).expect("two are up");
    assert_ne!(successor, behind);
    assert_eq!(cluster.commands(behind), ["only on two"]);
}

#[rstest]
#[case::up_to_date(false)]
#[case::behind(true)]
fn leadership_is_transferred(#[case] behind: bool) {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    let successor = cluster.follower_of(leader);
    if behind {
        cluster.isolate(successor);
        cluster.propose(leader, "missing on the successor");
        cluster.settle();
        cluster.heal();
    }
    cluster
        .with_node(leader, |node, _| node.transfer_leadership(successor))
        .expect("a voter");
    cluster.run(10);
    assert_eq!(cluster.leader(), Some(successor));
    assert!(!cluster.node(leader).is_leader());
}

#[test]
fn a_transfer_to_a_crashed_member_is_aborted() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    let successor = cluster.follower_of(leader);
    cluster.crash(successor);
    cluster
        .with_node(leader, |node, _| node.transfer_leadership(successor))
        .expect("a voter");
    cluster
        .with_node(leader, |node, _| node.propose(b"refused".to_vec()))
        .expect_err("no proposals during a transfer");
    cluster.run(30);
    cluster.propose(leader, "taken again");
    cluster.settle();
    assert_eq!(cluster.commands(leader), ["taken again"]);
}
