//! Requests to a cold replica: the bound over all gateways under any fault, and the share of one
//! gateway.

mod model;

use linnethitch_protocol::ids::MachineId;
use linnethitch_routing::cold::{
    ColdChange, ColdReplicas, ColdSettings, ColdState, ColdView, Refusal, SendOutcome, Share,
    is_holder,
};
use rstest::rstest;

use self::model::{
    Fault, REPLICA, Scenario, arrivals, cold_replica, max_per_second, random_faults,
};

/// Capacity of a cold replica in the tests, in thousandths of a request per second.
const RATE_MILLI: u64 = 17_000;
/// Maximum number of requests that it may get in a second with the default settings.
const BOUND: usize = 30;
const OWN: MachineId = MachineId(1);
/// There is contact to control, some time after the gateway's start.
const LATER: ColdView = ColdView {
    now_ms: 10_000,
    control_silent_ms: 0,
};

fn at(now_ms: u64) -> ColdView {
    ColdView { now_ms, ..LATER }
}

/// The replicas of the only gateway of a fleet, which has known one replica for long.
fn single_gateway(cold_ms: u64) -> ColdReplicas {
    let mut cold = ColdReplicas::new(ColdSettings::default(), OWN);
    cold.note_gateways(&[OWN], 0);
    cold.set_replicas(vec![cold_replica(RATE_MILLI, cold_ms, 1)], LATER.now_ms);
    cold
}

fn scenario(gateways: usize, seed: u64, faults: Vec<(u64, Fault)>) -> Scenario {
    Scenario {
        gateways,
        rate_milli: RATE_MILLI,
        faults,
        length_ms: 16_000,
        seed,
    }
}

fn every_nth(gateways: usize, step: usize, first: usize) -> Vec<usize> {
    (first..gateways).step_by(step).collect()
}

#[rstest]
#[case::many_gateways(30, 66, 15, 1)]
#[case::few_gateways(30, 3, 3, 5)]
#[case::one_gateway(30, 1, 1, 15)]
#[case::a_large_rate(2_000, 66, 66, 15)]
#[case::one_request(1, 66, 1, 1)]
#[case::no_request(0, 66, 0, 0)]
#[case::no_gateway(30, 0, 0, 0)]
fn the_bound_covers_two_disjoint_lists_of_gateways(
    #[case] max_count: u32,
    #[case] gateways: usize,
    #[case] holders: u32,
    #[case] sends: u32,
) {
    assert_eq!(Share::of(max_count, gateways), Share { holders, sends });
}

#[rstest]
fn the_given_number_of_gateways_hold_a_share(#[values(1, 3, 66, 410)] count: u32) {
    let gateways: Vec<MachineId> = (1..=count).map(MachineId).collect();
    for replica in ["a", "b", "c"] {
        let holders = gateways.iter();
        let holders = holders.filter(|own| is_holder(**own, replica, &gateways, 15));
        assert_eq!(holders.count() as u32, count.min(15));
    }
}

#[test]
fn a_share_is_used_once_per_second() {
    let mut cold = single_gateway(60_000);
    for _ in 0..15 {
        let number = cold.begin(REPLICA, LATER).expect("a share");
        cold.end(REPLICA, number, SendOutcome::Arrived, LATER.now_ms + 50);
    }
    assert_eq!(cold.begin(REPLICA, at(11_050)), Err(Refusal::ShareUsed));
    assert_eq!(cold.next_in_ms(&[REPLICA.to_owned()], at(11_050)), Some(2));
    assert_eq!(cold.next_in_ms(&[], at(11_050)), None);
    assert!(cold.begin(REPLICA, at(11_052)).is_ok());
}

/// No request under way has a response yet: a further one waits for at least a second, and not
/// until the replica is warm.
#[test]
fn a_share_under_way_is_free_after_at_least_a_second() {
    let mut cold = single_gateway(60_000);
    for _ in 0..15 {
        assert!(cold.begin(REPLICA, LATER).is_ok());
    }
    let replica = [REPLICA.to_owned()];
    assert_eq!(cold.next_in_ms(&replica, at(10_500)), Some(1_002));
}

/// A second replica that is warm, and one that is not known to be.
#[rstest]
#[case::cold(60_000, 0, &[REPLICA], ColdState::Cold)]
#[case::warm(0, 0, &[REPLICA], ColdState::Warm)]
#[case::unsure(0, 3_001, &[REPLICA], ColdState::Unsure)]
#[case::cold_and_unsure(60_000, 3_001, &[REPLICA], ColdState::Cold)]
#[case::cold_beside_a_warm_one(60_000, 0, &[REPLICA, "other"], ColdState::Warm)]
#[case::none(60_000, 0, &[], ColdState::Warm)]
fn the_state_of_several_replicas_is_what_keeps_a_request_from_all(
    #[case] cold_ms: u64,
    #[case] control_silent_ms: u64,
    #[case] replicas: &[&str],
    #[case] state: ColdState,
) {
    let cold = single_gateway(cold_ms);
    let view = ColdView {
        control_silent_ms,
        ..LATER
    };
    let replicas: Vec<String> = replicas.iter().map(|id| (*id).to_owned()).collect();
    assert_eq!(cold.state_of_all(&replicas, view), state);
}

#[test]
fn a_warm_replica_gets_all_requests() {
    let mut cold = single_gateway(0);
    for _ in 0..500 {
        assert!(cold.begin(REPLICA, LATER).is_ok());
    }
    assert!(cold.not_warm("service", LATER).is_empty());
}

#[test]
fn sends_before_a_suspension_count_until_they_are_answered() {
    let mut cold = single_gateway(60_000);
    let sent: Vec<_> = (0..15).map(|_| cold.begin(REPLICA, LATER)).collect();
    assert_eq!(cold.begin(REPLICA, at(19_000)), Err(Refusal::ShareUsed));
    for number in sent {
        let number = number.expect("a share");
        cold.end(REPLICA, number, SendOutcome::Arrived, 19_010);
    }
    assert_eq!(cold.begin(REPLICA, at(20_000)), Err(Refusal::ShareUsed));
    assert!(cold.begin(REPLICA, at(20_012)).is_ok());
}

#[rstest]
#[case::refused_by_another_incarnation(SendOutcome::NotCounted, 10_000)]
#[case::answered(SendOutcome::Arrived, 11_002)]
#[case::may_still_arrive(SendOutcome::Unknown, 12_002)]
fn a_send_counts_according_to_its_outcome(#[case] end: SendOutcome, #[case] free_ms: u64) {
    let mut cold = single_gateway(60_000);
    for _ in 0..15 {
        let number = cold.begin(REPLICA, LATER).expect("a share");
        cold.end(REPLICA, number, end, LATER.now_ms);
        if end == SendOutcome::NotCounted {
            assert!(cold.may_send(REPLICA, LATER).is_ok());
        }
    }
    if free_ms > LATER.now_ms {
        assert!(cold.may_send(REPLICA, at(free_ms - 1)).is_err());
    }
    assert!(cold.may_send(REPLICA, at(free_ms)).is_ok());
}

#[test]
fn sends_to_a_warm_replica_count_when_it_is_cold_again() {
    let mut cold = single_gateway(0);
    for _ in 0..40 {
        let number = cold.begin(REPLICA, LATER).expect("warm");
        cold.end(REPLICA, number, SendOutcome::Arrived, LATER.now_ms);
    }
    cold.set_replicas(vec![cold_replica(RATE_MILLI, 3_000, 2)], 10_100);
    assert_eq!(cold.state(REPLICA, at(10_100)), ColdState::Cold);
    assert_eq!(cold.begin(REPLICA, at(10_100)), Err(Refusal::ShareUsed));
    assert!(cold.begin(REPLICA, at(11_100)).is_ok());
    assert_eq!(cold.state(REPLICA, at(13_100)), ColdState::Warm);
}

/// The replica was displaced and has returned, or was off the list for another reason.
#[rstest]
#[case::under_way(None, 30_000, 40_000)]
#[case::answered(Some(10_000), 10_500, 11_002)]
fn sends_before_a_replica_left_the_list_count(
    #[case] answered_ms: Option<u64>,
    #[case] relisted_ms: u64,
    #[case] free_ms: u64,
) {
    let mut cold = single_gateway(60_000);
    let sent: Vec<_> = (0..15).map(|_| cold.begin(REPLICA, LATER)).collect();
    cold.set_replicas(Vec::new(), 10_000);
    let answer = |cold: &mut ColdReplicas, at_ms| {
        for number in &sent {
            cold.end(
                REPLICA,
                number.expect("a share"),
                SendOutcome::Arrived,
                at_ms,
            );
        }
    };
    if let Some(at_ms) = answered_ms {
        answer(&mut cold, at_ms);
    }
    cold.set_replicas(Vec::new(), relisted_ms - 1);
    cold.set_replicas(vec![cold_replica(RATE_MILLI, 60_000, 2)], relisted_ms);
    assert_eq!(
        cold.begin(REPLICA, at(relisted_ms)),
        Err(Refusal::ShareUsed)
    );
    if answered_ms.is_none() {
        answer(&mut cold, free_ms - 1_002);
    }
    assert_eq!(
        cold.begin(REPLICA, at(free_ms - 1)),
        Err(Refusal::ShareUsed)
    );
    assert!(cold.begin(REPLICA, at(free_ms)).is_ok());
}

/// If the replica was displaced, control reports its return by a newer entry.
#[rstest]
fn a_replica_that_may_have_restarted_is_cold_when_it_returns_to_the_list(
    #[values(1, 2)] changed_at: u64,
) {
    let mut cold = single_gateway(0);
    cold.note_possible_restart(REPLICA, 10_000);
    cold.set_replicas(Vec::new(), 10_100);
    assert!(cold.not_warm("service", at(10_200)).is_empty());
    cold.set_replicas(vec![cold_replica(RATE_MILLI, 0, changed_at)], 10_500);
    assert_eq!(cold.state(REPLICA, at(12_999)), ColdState::Cold);
    assert_eq!(cold.state(REPLICA, at(13_000)), ColdState::Warm);
}

#[rstest]
#[case::the_same_report_again(1, 3_000, 13_000)]
#[case::cold_again(2, 3_000, 15_000)]
#[case::warm(2, 0, 12_000)]
fn a_report_of_a_replica_counts_from_its_arrival(
    #[case] changed_at: u64,
    #[case] cold_ms: u64,
    #[case] warm_at_ms: u64,
) {
    let mut cold = single_gateway(3_000);
    cold.set_replicas(vec![cold_replica(RATE_MILLI, cold_ms, changed_at)], 12_000);
    assert_eq!(cold.state(REPLICA, at(warm_at_ms)), ColdState::Warm);
    assert_eq!(cold.state(REPLICA, at(warm_at_ms - 1)), ColdState::Cold);
}

#[test]
fn a_replica_that_failed_may_be_restarting() {
    let mut cold = single_gateway(0);
    cold.note_possible_restart(REPLICA, 10_000);
    assert_eq!(cold.state(REPLICA, at(12_999)), ColdState::Cold);
    assert_eq!(cold.state(REPLICA, at(13_000)), ColdState::Warm);
}

#[test]
fn without_control_every_replica_is_bounded() {
    let mut cold = single_gateway(0);
    let isolated = ColdView {
        control_silent_ms: 3_001,
        ..LATER
    };
    assert_eq!(cold.state(REPLICA, isolated), ColdState::Unsure);
    let sent = (0..100).filter(|_| cold.begin(REPLICA, isolated).is_ok());
    assert_eq!(sent.count(), 15);
}

#[rstest]
#[case::knows_no_gateways(9_000, None, Some(Refusal::ShareNotReady))]
#[case::has_just_started(2_999, Some(0), Some(Refusal::ShareNotReady))]
#[case::has_just_learned_of_them(8_999, Some(6_000), Some(Refusal::ShareNotReady))]
#[case::has_known_them(9_000, Some(6_000), None)]
fn a_gateway_has_a_share_once_it_has_known_the_others_for_a_while(
    #[case] now_ms: u64,
    #[case] listed_ms: Option<u64>,
    #[case] refusal: Option<Refusal>,
) {
    let mut cold = ColdReplicas::new(ColdSettings::default(), OWN);
    if let Some(listed_ms) = listed_ms {
        cold.note_gateways(&[OWN], listed_ms);
    }
    cold.set_replicas(vec![cold_replica(RATE_MILLI, 60_000, 1)], 0);
    assert_eq!(cold.begin(REPLICA, at(now_ms)).err(), refusal);
}

#[test]
fn a_gateway_that_is_no_longer_named_keeps_its_share() {
    let gateways: Vec<MachineId> = (1..=66).map(MachineId).collect();
    let holder = |own: &&MachineId| is_holder(**own, REPLICA, &gateways, 15);
    let own = *gateways
        .iter()
        .find(|own| !holder(own))
        .expect("one without");
    let mut cold = ColdReplicas::new(ColdSettings::default(), own);
    cold.note_gateways(&gateways, 0);
    cold.note_gateways(&[own], 5_000);
    cold.set_replicas(vec![cold_replica(RATE_MILLI, 60_000, 1)], 5_000);
    assert_eq!(cold.begin(REPLICA, LATER), Err(Refusal::NoShare));
}

/// Number of requests that may be sent to the replica in this second.
fn allowed_sends(cold: &ColdReplicas, view: ColdView) -> usize {
    let mut cold = cold.clone();
    let sends = (0..=BOUND).take_while(|_| cold.begin(REPLICA, view).is_ok());
    sends.count()
}

/// A gateway is removed ten minutes after it was last named.
#[rstest]
#[case::just_before(600_999, 7)]
#[case::forgotten(601_000, 15)]
fn a_gateway_not_named_for_long_loses_its_share(#[case] now_ms: u64, #[case] sends: usize) {
    let mut cold = single_gateway(3_600_000);
    cold.note_gateways(&[OWN, MachineId(2)], 1_000);
    cold.note_gateways(&[OWN], now_ms);
    assert_eq!(allowed_sends(&cold, at(now_ms)), sends);
}

/// A request was chosen for the replica before it left the list, and is sent after its shares are
/// divided among more gateways.
#[test]
fn the_share_of_an_unlisted_replica_is_divided_anew_too() {
    let mut cold = single_gateway(60_000);
    cold.set_replicas(Vec::new(), LATER.now_ms);
    assert_eq!(allowed_sends(&cold, LATER), 15);
    let many: Vec<MachineId> = (1..=66).map(MachineId).collect();
    cold.note_gateways(&many, LATER.now_ms);
    assert!(allowed_sends(&cold, LATER) <= 1);
}

#[test]
fn a_change_is_reported_once() {
    let mut cold = single_gateway(3_000);
    let change = |cold_ms| ColdChange {
        replica: REPLICA.to_owned(),
        cold_ms,
    };
    assert_eq!(cold.take_changes(10_000), [change(3_000)]);
    assert_eq!(cold.take_changes(10_100), []);
    assert_eq!(cold.take_changes(13_000), [change(0)]);
}

/// The bound does not starve the replica: under a flood of all gateways it gets a good part of the
/// rate.
#[rstest]
fn a_cold_replica_gets_work(#[values(3, 66)] gateways: usize) {
    let arrived = arrivals(&scenario(gateways, 5, Vec::new()), ColdSettings::default());
    let per_second = arrived.iter().filter(|at_ms| **at_ms >= 4_000).count() / 12;
    assert!((8..=15).contains(&per_second), "{per_second} a second");
}

#[rstest]
#[case::nothing(|_| Vec::new())]
#[case::all_are_suspended(|n| vec![(6_000, Fault::Suspend { gateways: every_nth(n, 1, 0), for_ms: 2_500 })])]
#[case::all_restart(|n| vec![(6_000, Fault::Kill { gateways: every_nth(n, 1, 0), down_ms: 300 })])]
#[case::some_are_isolated_and_the_others_restart(|n| vec![
    (4_500, Fault::Cut { gateways: every_nth(n, 3, 0), for_ms: 11_000 }),
    (6_000, Fault::Kill { gateways: every_nth(n, 3, 1), down_ms: 300 }),
    (6_300, Fault::Kill { gateways: every_nth(n, 3, 2), down_ms: 300 }),
])]
#[case::control_in_three_partitions_and_all_restart(|n| vec![
    (4_500, Fault::Split { partitions: (0..3).map(|first| every_nth(n, 3, first)).collect(), for_ms: 11_000 }),
    (6_000, Fault::Kill { gateways: every_nth(n, 1, 0), down_ms: 300 }),
])]
fn no_second_exceeds_the_bound(
    #[case] faults: fn(usize) -> Vec<(u64, Fault)>,
    #[values(3, 66)] gateways: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let arrived = arrivals(
        &scenario(gateways, seed, faults(gateways)),
        ColdSettings::default(),
    );
    let max_count = max_per_second(&arrived);
    assert!(max_count <= BOUND, "{max_count} in a second");
}

#[rstest]
fn the_bound_holds_under_random_faults(
    #[values(3, 66)] gateways: usize,
    #[values(11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22)] seed: u64,
) {
    let faults = random_faults(gateways, seed);
    let arrived = arrivals(&scenario(gateways, seed, faults), ColdSettings::default());
    let max_count = max_per_second(&arrived);
    assert!(max_count <= BOUND, "{max_count} in a second");
}
