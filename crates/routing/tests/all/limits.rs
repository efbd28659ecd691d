//! Per-tenant limits.

use linnethitch_config::fleet::Tenant;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::ids::TenantId;
use linnethitch_routing::limits::{LimitRefusal, Limits, TenantNumber};
use rstest::rstest;

use crate::fixture::{NOW, later};

fn tenant(name: &str) -> Tenant {
    Tenant {
        name: name.to_owned(),
        key_sha256: String::new(),
        requests_per_second: None,
        tokens_per_second: None,
        max_in_flight: None,
        weight: 1,
    }
}

fn limits_of(tenant: Tenant) -> (Limits, TenantNumber) {
    let mut limits = Limits::default();
    let id = TenantId(tenant.name.clone());
    limits.set_tenants([&tenant]);
    let number = limits.number(&id);
    (limits, number)
}

#[rstest]
#[case::no_limit(tenant("t"), 100, None)]
#[case::requests(Tenant { requests_per_second: Some(2.0), ..tenant("t") }, 4, Some((ErrorKind::RequestRateLimited, 500)))]
#[case::tokens(Tenant { tokens_per_second: Some(100.0), ..tenant("t") }, 4, Some((ErrorKind::TokenRateLimited, 500)))]
#[case::in_flight(Tenant { max_in_flight: Some(3), ..tenant("t") }, 3, Some((ErrorKind::TooManyInFlight, 100)))]
fn requests_of_fifty_tokens_pass_up_to_the_limit(
    #[case] tenant: Tenant,
    #[case] expected_passing: usize,
    #[case] refusal: Option<(ErrorKind, u64)>,
) {
    let (mut limits, number) = limits_of(tenant);
    let mut reservations = Vec::new();
    let mut first_refusal = None;
    for _ in 0..100 {
        match limits.try_start(NOW, number, 50) {
            Ok(reservation) => reservations.push(reservation),
            Err(refusal) => {
                first_refusal = Some(refusal);
                break;
            }
        }
    }
    assert_eq!(reservations.len(), expected_passing);
    let refused_with = first_refusal.map(|refusal| (refusal.kind(), refusal.retry_after_ms));
    assert_eq!(refused_with, refusal);
    assert_eq!(limits.in_flight(number) as usize, expected_passing);
}

#[test]
fn a_request_is_admitted_after_the_retry_after_time() {
    let (mut limits, number) = limits_of(Tenant {
        requests_per_second: Some(2.0),
        ..tenant("t")
    });
    for _ in 0..4 {
        let _ = limits.try_start(NOW, number, 0).unwrap();
    }
    let LimitRefusal { retry_after_ms, .. } = limits.try_start(NOW, number, 0).unwrap_err();
    assert!(
        limits
            .try_start(later(retry_after_ms - 10), number, 0)
            .is_err()
    );
    assert!(limits.try_start(later(retry_after_ms), number, 0).is_ok());
}

#[test]
fn estimated_tokens_are_corrected_by_settling() {
    let (mut limits, number) = limits_of(Tenant {
        tokens_per_second: Some(100.0),
        ..tenant("t")
    });
    let reservation = limits.try_start(NOW, number, 200).unwrap();
    assert!(limits.try_start(NOW, number, 50).is_err());
    limits.settle(NOW, reservation, 150);
    let reservation = limits.try_start(NOW, number, 50).unwrap();
    limits.settle(NOW, reservation, 350);
    assert!(limits.try_start(later(2_000), number, 1).is_err());
    assert!(limits.try_start(later(3_100), number, 1).is_ok());
}

#[test]
fn a_request_larger_than_the_burst_passes_with_a_full_bucket_and_delays_later_ones() {
    let (mut limits, number) = limits_of(Tenant {
        tokens_per_second: Some(100.0),
        ..tenant("t")
    });
    let reservation = limits.try_start(NOW, number, 1_000).unwrap();
    limits.settle(NOW, reservation, 1_000);
    assert!(limits.try_start(later(7_900), number, 1).is_err());
    assert!(limits.try_start(later(8_100), number, 1).is_ok());
}

#[test]
fn one_tenant_does_not_use_the_limits_of_another() {
    let mut limits = Limits::default();
    let tenants = ["a", "b"].map(|name| Tenant {
        max_in_flight: Some(1),
        ..tenant(name)
    });
    limits.set_tenants(&tenants);
    let [a, b] = ["a", "b"].map(|name| limits.find(&TenantId::from(name)).unwrap());
    let _first = limits.try_start(NOW, a, 0).unwrap();
    assert!(limits.try_start(NOW, a, 0).is_err());
    assert!(limits.try_start(NOW, b, 0).is_ok());
}

#[test]
fn usage_survives_a_new_configuration() {
    let (mut limits, number) = limits_of(Tenant {
        max_in_flight: Some(1),
        ..tenant("t")
    });
    let reservation = limits.try_start(NOW, number, 0).unwrap();
    limits.set_tenants([&Tenant {
        max_in_flight: Some(2),
        ..tenant("t")
    }]);
    let _second = limits.try_start(NOW, number, 0).unwrap();
    assert!(limits.try_start(NOW, number, 0).is_err());
    limits.settle(NOW, reservation, 0);
    assert!(limits.try_start(NOW, number, 0).is_ok());
}

#[test]
fn forty_five_thousand_tenants_are_supported() {
    let tenants: Vec<Tenant> = (0..45_000)
        .map(|number| Tenant {
            requests_per_second: Some(1.0),
            ..tenant(&format!("tenant-{number}"))
        })
        .collect();
    let mut limits = Limits::default();
    limits.set_tenants(&tenants);
    assert_eq!(limits.len(), 45_000);
    let last = limits.find(&TenantId::from("tenant-44999")).unwrap();
    assert!(limits.try_start(NOW, last, 10).is_ok());
}
