//! Routing with evacuated zones.

use linnethitch_protocol::ids::ZoneId;
use linnethitch_routing::{
    Class, ReasonCode, Router,
    batch::yielding::{BatchCapacity, YieldSettings},
    view::{Availability, FailureKind},
};
use rstest::rstest;

use crate::fixture::{NOW, engine, index, name_of, request, rng, router, work};

fn evacuate(router: &mut Router, zones: &[&str]) {
    let zones = zones.iter().copied().map(ZoneId::from);
    router.view_mut().set_evacuated_zones(zones);
}

#[rstest]
#[case::own_zone(&["a"], Ok("b1"))]
#[case::other_zone(&["b"], Ok("a1"))]
#[case::all(&["a", "b"], Err(ReasonCode::ZoneEvacuated))]
fn an_evacuated_zone_gets_no_new_requests(
    #[case] zones: &[&str],
    #[case] expected: Result<&str, ReasonCode>,
) {
    let mut router = router([engine("a1", "a"), engine("b1", "b")]);
    evacuate(&mut router, zones);
    let chosen = router.choose(NOW, &request(), &mut rng());
    let chosen = chosen.map(|choice| name_of(&router, choice.replica));
    let chosen = chosen.map_err(|refusal| refusal.reason);
    assert_eq!(chosen, expected.map(str::to_owned));
}

#[test]
fn a_refusal_has_a_retry_after() {
    let mut router = router([engine("a1", "a")]);
    evacuate(&mut router, &["a"]);
    let result = router.choose(NOW, &request(), &mut rng());
    assert!(result.expect_err("refused").retry_after_ms.is_some());
}

#[test]
fn an_evacuated_replica_is_no_fallback_for_ejected_ones() {
    let mut router = router([engine("a1", "a"), engine("b1", "b")]);
    let failing = index(&router, "b1");
    let kind = FailureKind::Unreachable;
    router.view_mut().on_replica_failure(NOW, failing, kind);
    evacuate(&mut router, &["a"]);
    let choice = router
        .choose(NOW, &request(), &mut rng())
        .expect("a replica is chosen");
    assert_eq!(choice.replica, failing);
}

#[test]
fn a_zone_serves_with_full_weight_again_after_its_evacuation_ends() {
    let mut router = router([engine("a1", "a")]);
    let replica = index(&router, "a1");
    evacuate(&mut router, &["a"]);
    let availability = router.view().availability(NOW, replica);
    assert_eq!(
        availability,
        Availability::Unavailable(ReasonCode::ZoneEvacuated)
    );
    evacuate(&mut router, &[]);
    let availability = router.view().availability(NOW, replica);
    assert_eq!(availability, Availability::Available(1.0));
}

#[test]
fn an_evacuated_zone_has_no_batch_allowance() {
    let mut router = router([engine("a1", "a")]);
    let replica = index(&router, "a1");
    let mut capacity = BatchCapacity::new(YieldSettings::default());
    capacity.on_grant(NOW, replica, 4, 2_000);
    let ticket = router
        .view_mut()
        .on_sent(NOW, replica, work(Class::Batch, 50), &[]);
    evacuate(&mut router, &["a"]);
    let allowance = capacity.allowance(NOW, router.view(), replica);
    assert_eq!(
        (allowance.sequences, allowance.reason),
        (0, ReasonCode::ZoneEvacuated)
    );
    router.view_mut().on_cancelled(NOW, ticket);
}
