//! Log replication, snapshots, reads and membership changes.

use linnethitch_consensus::{LogView, MembershipError, ProposeError, ReadError};
use linnethitch_protocol::{
    consensus::{AppendResponse, ConsensusBody, MembershipChange, SnapshotResponse},
    ids::LogIndex,
};
use rstest::rstest;

use crate::cluster::{Cluster, Delivery, NetworkFault, member, member_on};

fn numbered(range: std::ops::Range<u32>) -> Vec<String> {
    range.map(|number| format!("command {number}")).collect()
}

fn propose_numbered(
    cluster: &mut Cluster,
    leader: linnethitch_protocol::ids::MemberId,
    range: std::ops::Range<u32>,
) {
    for command in numbered(range) {
        cluster.propose(leader, &command);
    }
}

#[rstest]
#[case(1)]
#[case(3)]
#[case(5)]
fn commands_reach_every_member(#[case] count: u32) {
    let mut cluster = Cluster::new(count);
    let leader = cluster.elect();
    propose_numbered(&mut cluster, leader, 0..20);
    cluster.settle();
    for machine in 1..=count {
        assert_eq!(cluster.commands(member(machine)), numbered(0..20));
    }
}

#[rstest]
#[case::small_messages(1, 1)]
#[case::narrow_window(40, 2)]
#[case::wide_window(100_000, 64)]
fn a_crashed_member_catches_up(#[case] append_bytes: usize, #[case] window: usize) {
    let mut cluster = Cluster::with_settings(3, |settings| {
        settings.max_append_bytes = append_bytes;
        settings.max_inflight_appends = window;
    });
    let leader = cluster.elect();
    let lagging = cluster.follower_of(leader);
    cluster.crash(lagging);
    propose_numbered(&mut cluster, leader, 0..100);
    cluster.settle();
    cluster.restart(lagging);
    cluster.run(10);
    assert_eq!(cluster.commands(lagging), numbered(0..100));
}

#[test]
fn proposals_before_one_ready_share_a_message() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    cluster.settle();
    cluster.with_node(leader, |node, _| {
        for number in 0..50 {
            node.propose(vec![number]).expect("the node is the leader");
        }
    });
    assert_eq!(cluster.network.len(), 2, "one append to each follower");
}

#[test]
fn uncommitted_entries_of_an_old_leader_are_replaced() {
    let mut cluster = Cluster::new(3);
    let old = cluster.elect();
    cluster.isolate(old);
    cluster.propose(old, "never committed");
    cluster.run(200);
    let new = cluster.leader().expect("the others elect");
    cluster.propose(new, "committed");
    cluster.settle();
    cluster.heal();
    cluster.run(10);
    assert_eq!(cluster.commands(old), ["committed"]);
}

#[test]
fn the_leaders_own_entries_count_only_after_its_sync() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    cluster.settle();
    let others: Vec<_> = (1..=3).map(member).filter(|id| *id != leader).collect();
    cluster.crash(others[0]);
    cluster.sync_at_once = false;
    let index = cluster.propose(leader, "waits for the leader's disk");
    cluster.deliver_all_without_sync();
    cluster.sync(others[1]);
    cluster.deliver_all_without_sync();
    assert!(cluster.node(leader).status().committed < index);
    cluster.sync(leader);
    cluster.deliver_all_without_sync();
    assert_eq!(cluster.node(leader).status().committed, index);
}

#[test]
fn back_pressure_bounds_uncommitted_bytes() {
    let mut cluster = Cluster::with_settings(3, |settings| settings.max_uncommitted_bytes = 1_000);
    let leader = cluster.elect();
    cluster.settle();
    let mut accepted = 0;
    let refused = loop {
        let proposed = cluster.with_node(leader, |node, _| node.propose(vec![0; 100]));
        match proposed {
            Ok(_) => accepted += 1,
            Err(error) => break error,
        }
    };
    assert_eq!(refused, ProposeError::Overloaded);
    assert_eq!(accepted, 10);
    cluster.settle();
    cluster.propose(leader, "room again");
}

#[test]
fn an_entry_above_the_limit_is_refused() {
    let mut cluster = Cluster::new(1);
    let leader = cluster.elect();
    let huge = vec![0; linnethitch_consensus::MAX_ENTRY_BYTES + 1];
    let refused = cluster.with_node(leader, |node, _| node.propose(huge));
    assert_eq!(refused, Err(ProposeError::TooLarge));
}

#[test]
fn a_refusal_by_a_follower_names_the_leader() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    let other = cluster.follower_of(leader);
    let refused = cluster.with_node(other, |node, _| node.propose(Vec::new()));
    let expected = ProposeError::NotLeader {
        leader: Some(leader),
    };
    assert_eq!(refused, Err(expected));
    let refused = cluster.with_node(other, |node, _| node.read_index(1));
    let expected = ReadError::NotLeader {
        leader: Some(leader),
    };
    assert_eq!(refused, Err(expected));
}

#[test]
fn a_read_waits_for_a_heartbeat_round() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    cluster.propose(leader, "written");
    cluster.settle();
    let committed = cluster.node(leader).status().committed;
    cluster
        .with_node(leader, |node, _| node.read_index(7))
        .expect("the node is the leader");
    assert!(cluster.members[&leader].confirmed_reads.is_empty());
    cluster.settle();
    assert_eq!(cluster.members[&leader].confirmed_reads, [(7, committed)]);
}

#[test]
fn a_deposed_leader_confirms_no_read() {
    let mut cluster = Cluster::new(3);
    let old = cluster.elect();
    cluster.isolate(old);
    cluster
        .with_node(old, |node, _| node.read_index(7))
        .expect("the old leader does not know of the election");
    cluster.run(200);
    assert!(cluster.members[&old].confirmed_reads.is_empty());
    assert_eq!(cluster.members[&old].refused_reads, [7]);
}

#[rstest]
#[case::everything_at_once(1_000_000, 64)]
#[case::in_small_chunks(7, 64)]
#[case::after_a_lost_window_of_appends(7, 2)]
fn a_member_behind_the_start_of_the_log_receives_a_snapshot(
    #[case] chunk_bytes: usize,
    #[case] window: usize,
) {
    let mut cluster = Cluster::with_settings(3, |settings| {
        settings.snapshot_chunk_bytes = chunk_bytes;
        settings.max_inflight_appends = window;
    });
    let leader = cluster.elect();
    let lagging = cluster.follower_of(leader);
    cluster.crash(lagging);
    propose_numbered(&mut cluster, leader, 0..30);
    cluster.settle();
    cluster.compact(leader);
    propose_numbered(&mut cluster, leader, 30..40);
    cluster.settle();
    cluster.restart(lagging);
    cluster.run(10);
    assert_eq!(cluster.commands(lagging), numbered(0..40));
    assert!(cluster.members[&lagging].disk.first_index() > LogIndex(1));
}

#[test]
fn a_snapshot_transfer_resumes_after_the_receiver_restarts() {
    let mut cluster = Cluster::with_settings(3, |settings| settings.snapshot_chunk_bytes = 10);
    let leader = cluster.elect();
    let lagging = cluster.follower_of(leader);
    cluster.crash(lagging);
    propose_numbered(&mut cluster, leader, 0..30);
    cluster.settle();
    cluster.compact(leader);
    cluster.restart(lagging);
    cluster.tick(leader);
    cluster.tick(leader);
    cluster.tick(leader);
    for _ in 0..40 {
        cluster.deliver_next();
    }
    let received = cluster.members[&lagging].disk.partial.clone();
    let received = received.expect("some chunks have arrived").next_offset;
    assert!(received > 0);
    cluster.crash(lagging);
    cluster.restart(lagging);
    cluster.network.clear();
    cluster.run(60);
    assert_eq!(cluster.commands(lagging), numbered(0..30));
}

fn drop_append(body: &mut ConsensusBody) -> Option<Delivery> {
    let is_affected = matches!(body, ConsensusBody::Append(append) if !append.entries.is_empty());
    is_affected.then_some(Delivery::Lost)
}

fn drop_rejection(body: &mut ConsensusBody) -> Option<Delivery> {
    let is_affected = matches!(
        body,
        ConsensusBody::AppendResponse(AppendResponse {
            accepted: false,
            ..
        })
    );
    is_affected.then_some(Delivery::Lost)
}

fn duplicate_rejection(body: &mut ConsensusBody) -> Option<Delivery> {
    drop_rejection(body).map(|_| Delivery::Twice)
}

fn drop_first_chunk(body: &mut ConsensusBody) -> Option<Delivery> {
    let is_affected = matches!(body, ConsensusBody::SnapshotChunk(chunk) if chunk.offset == 0);
    is_affected.then_some(Delivery::Lost)
}

fn drop_last_chunk(body: &mut ConsensusBody) -> Option<Delivery> {
    let is_affected = matches!(body, ConsensusBody::SnapshotChunk(chunk) if chunk.last);
    is_affected.then_some(Delivery::Lost)
}

fn duplicate_chunk(body: &mut ConsensusBody) -> Option<Delivery> {
    let is_affected = matches!(body, ConsensusBody::SnapshotChunk(_));
    is_affected.then_some(Delivery::Twice)
}

fn truncate_last_chunk(body: &mut ConsensusBody) -> Option<Delivery> {
    match body {
        ConsensusBody::SnapshotChunk(chunk) if chunk.last => {
            chunk.data.truncate(chunk.data.len() / 2);
            Some(Delivery::Once)
        }
        _ => None,
    }
}

fn drop_snapshot_response(body: &mut ConsensusBody) -> Option<Delivery> {
    let is_affected = matches!(body, ConsensusBody::SnapshotResponse(_));
    is_affected.then_some(Delivery::Lost)
}

fn drop_installed_response(body: &mut ConsensusBody) -> Option<Delivery> {
    let is_affected = matches!(
        body,
        ConsensusBody::SnapshotResponse(SnapshotResponse {
            installed: true,
            ..
        })
    );
    is_affected.then_some(Delivery::Lost)
}

/// A restarted member catches up by the log or a snapshot although messages are lost,
/// duplicated or damaged; the leader does not change.
#[rstest]
#[case::appends_lost(drop_append, 12, false)]
#[case::rejections_lost(drop_rejection, 5, false)]
#[case::rejections_duplicated(duplicate_rejection, 5, false)]
#[case::appends_lost_before_a_snapshot(drop_append, 12, true)]
#[case::first_chunk_lost(drop_first_chunk, 3, true)]
#[case::last_chunk_lost(drop_last_chunk, 3, true)]
#[case::chunks_duplicated(duplicate_chunk, 20, true)]
#[case::last_chunk_damaged(truncate_last_chunk, 2, true)]
#[case::snapshot_responses_lost(drop_snapshot_response, 4, true)]
#[case::installed_response_lost(drop_installed_response, 2, true)]
fn a_member_catches_up_over_a_faulty_network(
    #[case] deliver_as: fn(&mut ConsensusBody) -> Option<Delivery>,
    #[case] remaining: u32,
    #[case] compact: bool,
    #[values(2, 64)] window: usize,
) {
    let mut cluster = Cluster::with_settings(3, |settings| {
        settings.max_inflight_appends = window;
        settings.max_append_bytes = 100;
        settings.snapshot_chunk_bytes = 40;
    });
    let leader = cluster.elect();
    let lagging = cluster.follower_of(leader);
    cluster.crash(lagging);
    propose_numbered(&mut cluster, leader, 0..30);
    cluster.settle();
    if compact {
        cluster.compact(leader);
    }
    propose_numbered(&mut cluster, leader, 30..40);
    cluster.settle();
    cluster.restart(lagging);
    cluster.network_fault = Some(NetworkFault {
        deliver_as,
        remaining,
    });
    cluster.run(300);
    let fault = cluster.network_fault.take().expect("it was set");
    assert_eq!(fault.remaining, 0, "the fault affected too few messages");
    assert_eq!(cluster.commands(lagging), numbered(0..40));
    assert_eq!(cluster.leader(), Some(leader));
    propose_numbered(&mut cluster, leader, 40..50);
    cluster.run(5);
    assert_eq!(cluster.commands(lagging), numbered(0..50));
}

/// Snapshot chunks are read and sent only to members that are reachable.
#[test]
fn a_member_that_is_down_is_sent_no_snapshot() {
    const MANY: u32 = 1_000;
    let mut cluster = Cluster::with_settings(3, |settings| settings.max_inflight_appends = 2);
    let leader = cluster.elect();
    let lagging = cluster.follower_of(leader);
    cluster.crash(lagging);
    propose_numbered(&mut cluster, leader, 0..30);
    cluster.settle();
    cluster.run(100);
    cluster.compact(leader);
    cluster.network_fault = Some(NetworkFault {
        deliver_as: drop_first_chunk,
        remaining: MANY,
    });
    cluster.run(200);
    let fault = cluster.network_fault.take().expect("it was set");
    assert_eq!(fault.remaining, MANY, "chunks were sent");
    cluster.restart(lagging);
    cluster.run(10);
    assert_eq!(cluster.commands(lagging), numbered(0..30));
}

/// A member that cannot store a snapshot does not receive it continuously.
#[test]
fn a_refused_snapshot_is_sent_again_after_a_pause() {
    const FAULTS: u32 = 1_000;
    const TICKS: u32 = 200;
    /// The snapshot, and twice its empty last chunk: sent during the pause and repeated
    /// after it.
    const CHUNKS_IN_A_PAUSE: u32 = 3;
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    let lagging = cluster.follower_of(leader);
    cluster.crash(lagging);
    propose_numbered(&mut cluster, leader, 0..30);
    cluster.settle();
    cluster.compact(leader);
    cluster.restart(lagging);
    cluster.network_fault = Some(NetworkFault {
        deliver_as: truncate_last_chunk,
        remaining: FAULTS,
    });
    let pause = cluster.members[&leader].settings.election_ticks;
    cluster.run(TICKS);
    let fault = cluster.network_fault.take().expect("it was set");
    let sent = FAULTS - fault.remaining;
    let max = CHUNKS_IN_A_PAUSE * TICKS / pause;
    assert!((2..=max).contains(&sent), "sent {sent} times, not {max}");
    cluster.run(100);
    assert_eq!(cluster.commands(lagging), numbered(0..30));
}

#[test]
fn a_new_disk_joins_as_learner_and_is_promoted() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    propose_numbered(&mut cluster, leader, 0..10);
    cluster.settle();
    let lost = cluster.follower_of(leader);
    let new_disk = member_on(lost.machine.0, 999);
    cluster.replace_disk(lost, new_disk);
    cluster.change_membership(leader, MembershipChange::AddLearner(new_disk));
    cluster.run(10);
    assert_eq!(cluster.commands(new_disk), numbered(0..10));
    let promote = MembershipChange::PromoteLearner(new_disk);
    cluster.change_membership(leader, promote);
    cluster.change_membership(leader, MembershipChange::Remove(lost));
    let status = cluster.node(leader).status();
    assert!(status.membership.voters.contains(&new_disk));
    assert!(!status.membership.voters.contains(&lost));
    assert!(status.membership_committed);
}

#[test]
fn a_learner_behind_the_commit_index_is_not_promoted() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    propose_numbered(&mut cluster, leader, 0..10);
    cluster.settle();
    let spare = member(4);
    cluster.change_membership(leader, MembershipChange::AddLearner(spare));
    let promote = MembershipChange::PromoteLearner(spare);
    let refused = cluster.with_node(leader, |node, _| node.propose_membership(promote));
    assert_eq!(refused, Err(MembershipError::NotCaughtUp));
}

#[test]
fn only_one_membership_change_is_in_progress() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    cluster.settle();
    let add = |machine| MembershipChange::AddLearner(member(machine));
    cluster
        .with_node(leader, |node, _| node.propose_membership(add(4)))
        .expect("the first change is accepted");
    let refused = cluster.with_node(leader, |node, _| node.propose_membership(add(5)));
    assert_eq!(refused, Err(MembershipError::ChangeInProgress));
}

#[test]
fn a_removed_leader_steps_down() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect();
    cluster.settle();
    cluster.change_membership(leader, MembershipChange::Remove(leader));
    cluster.run(200);
    let new = cluster.leader().expect("the others elect");
    assert_ne!(new, leader);
    cluster.propose(new, "goes on");
    cluster.settle();
    assert_eq!(cluster.commands(new), ["goes on"]);
}
