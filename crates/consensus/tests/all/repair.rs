//! Automatic membership repair: single decisions, and complete repairs of a cluster.

use linnethitch_consensus::{
    PeerState, PeerStatus, Role, Status,
    repair::{RepairPolicy, RepairReason, RepairStep, next_change},
};
use linnethitch_protocol::{
    consensus::{Membership, MembershipChange},
    ids::{LogIndex, MemberId, Term},
};
use rstest::rstest;

use crate::cluster::{Cluster, member, member_on, voters};

const COMMITTED: LogIndex = LogIndex(100);
const LOST: u32 = 500;
const POLICY: RepairPolicy = RepairPolicy {
    lost_ticks: LOST,
    healthy_ticks: 25,
    voters: 5,
};

/// A peer of leader 1 with its matched index and ticks without contact.
fn peer(id: MemberId, matched: u64, ticks_since_contact: u32) -> PeerStatus {
    PeerStatus {
        member: id,
        voter: true, // Not used by the decisions.
        matched: LogIndex(matched),
        next: LogIndex(matched + 1),
        state: PeerState::Replicate,
        ticks_since_contact,
    }
}

/// The status of leader 1; `silent` lists members with their ticks without contact.
fn status(membership: Membership, silent: &[(MemberId, u32)], behind: &[MemberId]) -> Status {
    let leader = member(1);
    let others = membership.voters.iter().chain(&membership.learners);
    let peers = others
        .filter(|id| **id != leader)
        .map(|id| {
            let silent_for = silent.iter().find(|(member, _)| member == id);
            let matched = if behind.contains(id) { 50 } else { COMMITTED.0 };
            peer(*id, matched, silent_for.map_or(0, |(_, ticks)| *ticks))
        })
        .collect();
    Status {
        id: leader,
        role: Role::Leader,
        term: Term(3),
        leader: Some(leader),
        ticks_since_leader: 0,
        committed: COMMITTED,
        known_commit: Some(COMMITTED),
        synced: COMMITTED,
        last_index: COMMITTED,
        membership,
        membership_committed: true,
        damaged_up_to: None,
        peers,
    }
}

fn membership(voters: &[MemberId], learners: &[MemberId]) -> Membership {
    Membership {
        voters: voters.to_vec(),
        learners: learners.to_vec(),
    }
}

fn five() -> Vec<MemberId> {
    voters(5).voters
}

fn four() -> Vec<MemberId> {
    voters(4).voters
}

/// Five voters, and the new disk of the fifth machine.
fn six() -> Vec<MemberId> {
    let mut voters = five();
    voters.push(new_disk());
    voters
}

fn new_disk() -> MemberId {
    member_on(5, 501)
}

#[rstest]
#[case::healthy_cluster_needs_no_change(membership(&five(), &[]), &[], &[], &[], None)]
#[case::lost_voter_without_replacement_stays(membership(&five(), &[]), &[(member(5), 9_000)], &[], &[], None)]
#[case::short_silence_changes_nothing(
    membership(&five(), &[]), &[(member(5), LOST - 1)], &[], &[new_disk()], None)]
#[case::spare_is_not_added_to_a_full_cluster(membership(&five(), &[]), &[], &[], &[member(6)], None)]
#[case::new_disk_of_the_machine_joins(
    membership(&five(), &[]), &[(member(5), LOST)], &[], &[new_disk()],
    Some((MembershipChange::AddLearner(new_disk()), RepairReason::ReplacementJoins)))]
#[case::disk_of_same_machine_is_preferred_to_spare(
    membership(&five(), &[]), &[(member(5), LOST)], &[], &[member_on(0, 1), new_disk()],
    Some((MembershipChange::AddLearner(new_disk()), RepairReason::ReplacementJoins)))]
#[case::spare_joins(
    membership(&five(), &[]), &[(member(5), LOST)], &[], &[member(6)],
    Some((MembershipChange::AddLearner(member(6)), RepairReason::ReplacementJoins)))]
#[case::disk_of_another_voters_machine_does_not_join(
    membership(&five(), &[]), &[(member(5), LOST)], &[], &[member_on(4, 401)], None)]
#[case::learner_behind_is_not_promoted_yet(
    membership(&five(), &[new_disk()]), &[(member(5), LOST)], &[new_disk()], &[], None)]
#[case::learner_caught_up_is_promoted_first(
    membership(&five(), &[new_disk()]), &[(member(5), LOST)], &[], &[],
    Some((MembershipChange::PromoteLearner(new_disk()), RepairReason::LearnerCaughtUp)))]
#[case::lost_voter_is_removed_after_promotion(
    membership(&six(), &[]), &[(member(5), LOST)], &[], &[],
    Some((MembershipChange::Remove(member(5)), RepairReason::VoterLost)))]
#[case::voter_that_returns_in_time_stays(
    membership(&five(), &[member(6)]), &[], &[], &[], None)]
#[case::voter_that_returns_too_late_is_removed(
    membership(&six(), &[]), &[], &[], &[],
    Some((MembershipChange::Remove(member(5)), RepairReason::SurplusVoter)))]
#[case::no_promotion_without_a_healthy_quorum(
    membership(&five(), &[new_disk()]),
    &[(member(5), LOST), (member(4), LOST), (member(3), 100)], &[], &[], None)]
#[case::no_removal_below_a_healthy_quorum(
    membership(&six(), &[]),
    &[(member(5), LOST), (member(4), LOST), (member(3), 100), (member(2), 100)], &[], &[], None)]
#[case::two_lost_one_learner(
    membership(&five(), &[new_disk()]), &[(member(5), LOST), (member(4), LOST)], &[], &[],
    Some((MembershipChange::PromoteLearner(new_disk()), RepairReason::LearnerCaughtUp)))]
#[case::at_most_one_surplus_voter(
    membership(&six(), &[member(6)]), &[(member(5), LOST), (member(4), LOST)], &[], &[],
    Some((MembershipChange::Remove(member(4)), RepairReason::VoterLost)))]
#[case::lost_voter_of_a_small_cluster(
    membership(&voters(3).voters, &[member_on(3, 301)]), &[(member(3), LOST)], &[], &[],
    Some((MembershipChange::PromoteLearner(member_on(3, 301)), RepairReason::LearnerCaughtUp)))]
#[case::superseded_voter_of_a_small_cluster(
    membership(&[member(1), member(2), member(3), member_on(3, 301)], &[]),
    &[(member(3), LOST)], &[], &[],
    Some((MembershipChange::Remove(member(3)), RepairReason::VoterLost)))]
#[case::learner_replaces_a_missing_voter(
    membership(&four(), &[new_disk()]), &[], &[], &[],
    Some((MembershipChange::PromoteLearner(new_disk()), RepairReason::LearnerCaughtUp)))]
#[case::learner_behind_is_not_promoted(
    membership(&four(), &[new_disk()]), &[], &[new_disk()], &[], None)]
#[case::silent_learner_is_not_promoted(
    membership(&four(), &[new_disk()]), &[(new_disk(), 100)], &[], &[], None)]
#[case::promotion_needs_a_healthy_quorum(
    membership(&four(), &[new_disk()]),
    &[(member(4), 100), (member(3), 100), (member(2), 100)], &[], &[], None)]
#[case::lost_learner_is_removed_for_another_disk(
    membership(&four(), &[new_disk()]), &[(new_disk(), LOST)], &[], &[member_on(5, 502)],
    Some((MembershipChange::Remove(new_disk()), RepairReason::LearnerLost)))]
#[case::spare_replaces_a_missing_voter(
    membership(&four(), &[]), &[], &[], &[member(6)],
    Some((MembershipChange::AddLearner(member(6)), RepairReason::ReplacementJoins)))]
fn decisions(
    #[case] membership: Membership,
    #[case] silent: &[(MemberId, u32)],
    #[case] behind: &[MemberId],
    #[case] joining: &[MemberId],
    #[case] expected: Option<(MembershipChange, RepairReason)>,
) {
    let status = status(membership, silent, behind);
    let expected = expected.map(|(change, reason)| RepairStep { change, reason });
    assert_eq!(next_change(&POLICY, &status, joining), expected);
}

#[rstest]
#[case::follower(|status: &mut Status| status.leader = Some(member(2)))]
#[case::change_under_way(|status: &mut Status| status.membership_committed = false)]
fn no_change_is_proposed(#[case] adjust: fn(&mut Status)) {
    let mut status = status(membership(&four(), &[new_disk()]), &[], &[]);
    adjust(&mut status);
    assert_eq!(next_change(&POLICY, &status, &[]), None);
}

/// Repairs the membership on the leader for some ticks, with every disk requesting to join.
pub(crate) fn repair_for(cluster: &mut Cluster, ticks: u32) {
    for _ in 0..ticks {
        cluster.run(1);
        let Some(leader) = cluster.leader() else {
            continue;
        };
        let status = cluster.node(leader).status();
        let joining: Vec<MemberId> = cluster.members.keys().copied().collect();
        if let Some(step) = next_change(&POLICY, &status, &joining) {
            let _ = cluster.with_node(leader, |node, _| node.propose_membership(step.change));
        }
    }
}

#[test]
fn a_lost_disk_is_replaced_without_an_operator() {
    let mut cluster = Cluster::new(5);
    let leader = cluster.elect();
    cluster.propose(leader, "acknowledged");
    cluster.settle();
    let lost = cluster.follower_of(leader);
    let replacement = member_on(lost.machine.0, 999);
    cluster.replace_disk(lost, replacement);
    repair_for(&mut cluster, 2 * LOST);
    let membership = cluster.node(leader).status().membership;
    assert!(membership.voters.contains(&replacement));
    assert_eq!(membership.voters.len(), 5);
    assert_eq!(membership.learners, []);
    assert_eq!(cluster.commands(replacement), ["acknowledged"]);
}

#[rstest]
#[case::two_followers(false)]
#[case::with_the_leader(true)]
fn two_disks_lost_at_once_are_replaced(#[case] with_leader: bool) {
    let mut cluster = Cluster::new(5);
    let leader = cluster.elect();
    cluster.propose(leader, "acknowledged");
    cluster.settle();
    let others = (1..=5).map(member).filter(|id| *id != leader);
    let mut lost: Vec<MemberId> = others.take(2).collect();
    if with_leader {
        lost[0] = leader;
    }
    for id in &lost {
        cluster.replace_disk(*id, member_on(id.machine.0, 999));
    }
    repair_for(&mut cluster, 4 * LOST);
    let leader = cluster.leader().expect("three members remain");
    let membership = cluster.node(leader).status().membership;
    assert_eq!(membership.voters.len(), 5);
    for id in &lost {
        let replacement = member_on(id.machine.0, 999);
        assert!(membership.voters.contains(&replacement));
        assert_eq!(cluster.commands(replacement), ["acknowledged"]);
    }
}

/// A second disk is lost at different points of the repair of the first.
#[rstest]
fn a_second_disk_lost_during_a_repair(
    #[values(1, 480, 500, 501, 502, 503, 504, 505, 506, 508, 510, 520, 600)] after_ticks: u32,
    #[values(false, true)] loses_replacement: bool,
) {
    let mut cluster = Cluster::new(5);
    let leader = cluster.elect();
    cluster.propose(leader, "acknowledged");
    cluster.settle();
    let lost = cluster.follower_of(leader);
    let replacement = member_on(lost.machine.0, 999);
    cluster.replace_disk(lost, replacement);
    repair_for(&mut cluster, after_ticks);
    let leader = cluster.leader().expect("four members remain");
    cluster.propose(leader, "during the repair");
    cluster.settle();
    let second = if loses_replacement {
        replacement
    } else {
        leader
    };
    cluster.replace_disk(second, member_on(second.machine.0, 1_999));
    repair_for(&mut cluster, 5 * LOST);
    let leader = cluster.leader().expect("a quorum remains");
    let membership = cluster.node(leader).status().membership;
    assert_eq!(membership.voters.len(), 5, "{membership:?}");
    for id in &membership.voters {
        assert_eq!(
            cluster.commands(*id),
            ["acknowledged", "during the repair"],
            "{id}"
        );
    }
}
