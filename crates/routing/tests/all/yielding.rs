//! Batch work yielding to online work.

use linnethitch_routing::{
    Class, ReasonCode, Router,
    batch::yielding::{BatchCapacity, YieldSettings},
    view::FailureKind,
};
use rstest::rstest;

use crate::fixture::{NOW, engine, index, later, report, router, work};

const GRANTED: u32 = 40;

/// A router with two replicas. The gateway has a grant on `e1` and runs as many batch streams
/// there as granted.
fn router_with_batch() -> (Router, BatchCapacity) {
    let mut router = router([engine("e1", "a"), engine("e2", "a")]);
    let e1 = index(&router, "e1");
    let mut capacity = BatchCapacity::new(YieldSettings::default());
    capacity.on_grant(NOW, e1, GRANTED, 2_000);
    for _ in 0..GRANTED {
        let mut ticket = router
            .view_mut()
            .on_sent(NOW, e1, work(Class::Batch, 50), &[]);
        router.view_mut().on_first_token(NOW, &mut ticket);
    }
    (router, capacity)
}

#[rstest]
#[case::idle(0, 0, 40, GRANTED, ReasonCode::IdleCapacity)]
#[case::online_and_batch_fit(20, 0, 40, GRANTED, ReasonCode::IdleCapacity)]
#[case::online_increases(30, 0, 40, 30, ReasonCode::YieldedToOnline)]
#[case::online_fills_the_replica(64, 0, 40, 0, ReasonCode::YieldedToOnline)]
#[case::shared_with_another_gateway(20, 0, 80, 20, ReasonCode::YieldedToOnline)]
#[case::long_prompt_is_prefilled(4, 8_000, 40, 16, ReasonCode::YieldedToOnline)]
fn the_load_limits_batch_sequences(
    #[case] online: u32,
    #[case] queued_prefill_tokens: u32,
    #[case] batch: u32,
    #[case] allowed_sequences: u32,
    #[case] reason: ReasonCode,
) {
    let (mut router, mut capacity) = router_with_batch();
    let e1 = index(&router, "e1");
    let mut load = report(later(100), online, queued_prefill_tokens);
    load.running_batch = batch;
    router.view_mut().on_load_report(e1, load);
    let allowance = capacity.allowance(later(100), router.view(), e1);
    assert_eq!(
        (allowance.sequences, allowance.reason),
        (allowed_sequences, reason)
    );
}

#[test]
fn a_long_prompt_of_this_gateway_causes_pressure_without_a_report() {
    let (mut router, mut capacity) = router_with_batch();
    let e1 = index(&router, "e1");
    let mut ticket = router
        .view_mut()
        .on_sent(later(10), e1, work(Class::Online, 8_000), &[]);
    assert_eq!(
        capacity.allowance(later(10), router.view(), e1).sequences,
        16
    );
    router.view_mut().on_first_token(later(500), &mut ticket);
    assert_eq!(
        capacity.allowance(later(100), router.view(), e1).sequences,
        16
    );
    assert_eq!(
        capacity.allowance(later(110), router.view(), e1).sequences,
        GRANTED
    );
}

/// Tokens of a batch stream arrive after each of these gaps; then the allowance is checked.
#[rstest]
#[case::short_steps(&[20, 20, 20, 20], 1, GRANTED)]
#[case::single_long_step_is_ignored(&[20, 20, 46, 20], 1, GRANTED)]
#[case::a_long_prefill(&[20, 20, 46, 46], 1, 16)]
#[case::no_online_work_is_slowed(&[20, 20, 46, 46], 0, GRANTED)]
fn consecutive_long_steps_show_a_long_prompt_before_a_report(
    #[case] gaps_ms: &[u64],
    #[case] online: u32,
    #[case] allowed_sequences: u32,
) {
    let (mut router, mut capacity) = router_with_batch();
    let e1 = index(&router, "e1");
    let mut load = report(later(5), online, 0);
    load.running_batch = GRANTED;
    let view = router.view_mut();
    view.on_load_report(e1, load);
    let mut ticket = view.on_sent(NOW, e1, work(Class::Batch, 50), &[]);
    let mut at_ms = 10;
    view.on_first_token(later(at_ms), &mut ticket);
    for gap_ms in gaps_ms {
        at_ms += gap_ms;
        view.on_tokens(later(at_ms), &mut ticket, 1);
    }
    let allowance = capacity.allowance(later(at_ms), router.view(), e1);
    assert_eq!(allowance.sequences, allowed_sequences);
}

#[test]
fn a_share_does_not_shrink_by_its_own_preemptions() {
    let mut router = router([engine("e1", "a")]);
    let e1 = index(&router, "e1");
    let mut capacity = BatchCapacity::new(YieldSettings::default());
    capacity.on_grant(NOW, e1, 30, 2_000);
    let view = router.view_mut();
    let mut tickets: Vec<_> = (0..30)
        .map(|_| view.on_sent(NOW, e1, work(Class::Batch, 50), &[]))
        .collect();
    let mut load = report(later(100), 4, 8_000);
    load.running_batch = 60;
    view.on_load_report(e1, load);
    assert_eq!(
        capacity.allowance(later(100), router.view(), e1).sequences,
        8
    );
    for ticket in tickets.drain(8..) {
        router.view_mut().on_cancelled(later(101), ticket);
    }
    assert_eq!(
        capacity.allowance(later(110), router.view(), e1).sequences,
        8
    );
    load.measured_at = later(150);
    load.running_batch = 16;
    router.view_mut().on_load_report(e1, load);
    assert_eq!(
        capacity.allowance(later(160), router.view(), e1).sequences,
        8
    );
}

#[rstest]
#[case::ended(2_000, None, ReasonCode::GrantExpired)]
#[case::unreachable(100, Some(FailureKind::Unreachable), ReasonCode::Unreachable)]
fn without_a_valid_grant_or_a_reachable_replica_no_batch_is_allowed(
    #[case] after_ms: u64,
    #[case] failure: Option<FailureKind>,
    #[case] reason: ReasonCode,
) {
    let (mut router, mut capacity) = router_with_batch();
    let e1 = index(&router, "e1");
    if let Some(kind) = failure {
        router.view_mut().on_replica_failure(NOW, e1, kind);
    }
    let allowance = capacity.allowance(later(after_ms), router.view(), e1);
    assert_eq!((allowance.sequences, allowance.reason), (0, reason));
}

#[test]
fn a_leaving_replica_has_no_batch_allowance() {
    let (mut router, mut capacity) = router_with_batch();
    let e1 = index(&router, "e1");
    router.view_mut().on_leaving(NOW, e1);
    let allowance = capacity.allowance(later(1), router.view(), e1);
    assert_eq!(allowance.reason, ReasonCode::LeavingByDataPath);
    assert_eq!(allowance.sequences, 0);
}

#[test]
fn a_replica_without_a_grant_has_no_batch_allowance() {
    let (router, mut capacity) = router_with_batch();
    let e2 = index(&router, "e2");
    assert_eq!(capacity.allowance(NOW, router.view(), e2).sequences, 0);
    assert_eq!(capacity.replicas(), [index(&router, "e1")]);
    capacity.remove_expired(later(2_000));
    assert!(capacity.replicas().is_empty());
}
