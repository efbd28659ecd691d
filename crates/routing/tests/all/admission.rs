//! The bounded queue and its fairness between tenants.

use linnethitch_config::fleet::RoutingPolicy;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::ids::Timestamp;
use linnethitch_routing::{
    Admission, ReasonCode,
    admission::{AdmissionOutcome, Arrival, EntryId},
    limits::TenantNumber,
};
use rstest::rstest;

use crate::fixture::{NOW, later};

fn policy(queue_limit: u32, queue_timeout_ms: u64) -> RoutingPolicy {
    RoutingPolicy {
        queue_limit,
        queue_timeout_ms,
        ..RoutingPolicy::default()
    }
}

fn arrival(tenant: u32, weight: u32) -> Arrival {
    Arrival {
        tenant: TenantNumber(tenant),
        weight,
        cost: 100,
        deadline: later(60_000),
    }
}

fn queued(admission: &mut Admission, now: Timestamp, arrival: &Arrival) -> EntryId {
    match admission.offer(now, arrival, false) {
        AdmissionOutcome::Queued(id) => id,
        other => panic!("{other:?}"),
    }
}

#[rstest]
#[case::capacity(true, 0, 60_000, "now")]
#[case::no_capacity(false, 0, 60_000, "queued")]
#[case::capacity_but_others_wait(true, 1, 60_000, "queued")]
#[case::full(false, 4, 60_000, "queue_full")]
#[case::deadline_before_expected_start(false, 3, 30, "queue_too_slow")]
fn an_arrival_starts_waits_or_is_refused_immediately(
    #[case] has_capacity: bool,
    #[case] waiting: u32,
    #[case] deadline_in_ms: u64,
    #[case] expected: &str,
) {
    let mut admission = Admission::new(&policy(4, 10_000));
    for tenant in 0..waiting {
        queued(&mut admission, NOW, &arrival(tenant, 1));
    }
    let arrival = Arrival {
        deadline: later(deadline_in_ms),
        ..arrival(9, 1)
    };
    let outcome = match admission.offer(NOW, &arrival, has_capacity) {
        AdmissionOutcome::Now => "now",
        AdmissionOutcome::Queued(_) => "queued",
        AdmissionOutcome::Refused(refusal) => {
            assert!(refusal.retry_after_ms >= 1_000);
            assert_eq!(refusal.kind(), ErrorKind::Overloaded);
            refusal.reason.as_str()
        }
    };
    assert_eq!(outcome, expected);
}

#[test]
fn tenants_depart_in_proportion_to_their_weights() {
    let mut admission = Admission::new(&policy(1_000, 100_000));
    let mut owner = std::collections::HashMap::new();
    for _ in 0..60 {
        for (tenant, weight) in [(1, 1), (2, 2)] {
            let id = queued(&mut admission, NOW, &arrival(tenant, weight));
            owner.insert(id, tenant);
        }
    }
    let first: Vec<u32> = (0..60)
        .map(|_| owner[&admission.pop(NOW).unwrap()])
        .collect();
    let heavy = first.iter().filter(|tenant| **tenant == 2).count();
    assert_eq!(heavy, 40);
}

#[test]
fn a_tenant_with_a_long_queue_does_not_delay_another() {
    let mut admission = Admission::new(&policy(1_000, 100_000));
    for _ in 0..200 {
        queued(&mut admission, NOW, &arrival(1, 1));
    }
    for _ in 0..50 {
        admission.pop(NOW);
    }
    let other = queued(&mut admission, NOW, &arrival(2, 1));
    let position = (0..).find(|_| admission.pop(NOW) == Some(other)).unwrap();
    assert!(position <= 1, "departed at position {position}");
}

#[test]
fn a_request_expires_after_the_queue_timeout() {
    let mut admission = Admission::new(&policy(10, 1_000));
    let first = queued(&mut admission, NOW, &arrival(1, 1));
    let second = queued(&mut admission, later(500), &arrival(1, 1));
    assert_eq!(admission.next_expiry(), Some(later(1_000)));
    assert_eq!(admission.pop_expired(later(999)), None);
    let (id, refusal) = admission.pop_expired(later(1_000)).unwrap();
    assert_eq!((id, refusal.reason), (first, ReasonCode::QueueTimeout));
    assert_eq!(admission.pop_expired(later(1_000)), None);
    assert_eq!(admission.pop(later(1_000)), Some(second));
    assert!(admission.is_empty());
}

#[test]
fn a_cancelled_request_leaves_the_queue() {
    let mut admission = Admission::new(&policy(10, 1_000));
    let first = queued(&mut admission, NOW, &arrival(1, 1));
    let second = queued(&mut admission, NOW, &arrival(1, 1));
    assert!(admission.cancel(first));
    assert!(!admission.cancel(first));
    assert_eq!(admission.pop(NOW), Some(second));
    assert_eq!(admission.pop_expired(later(100_000)), None);
}

#[test]
fn a_slow_queue_refuses_earlier_with_a_retry_after() {
    let mut admission = Admission::new(&policy(1_000, 10_000));
    for _ in 0..100 {
        queued(&mut admission, NOW, &arrival(1, 1));
    }
    let mut now = NOW;
    for _ in 0..60 {
        now = Timestamp(now.0 + 500);
        admission.pop(now);
    }
    let arrival = Arrival {
        deadline: Timestamp(now.0 + 60_000),
        ..arrival(2, 1)
    };
    let AdmissionOutcome::Refused(refusal) = admission.offer(now, &arrival, false) else {
        panic!("not refused");
    };
    assert_eq!(refusal.reason, ReasonCode::QueueTooSlow);
    assert!((15_000..25_000).contains(&refusal.retry_after_ms));
}
