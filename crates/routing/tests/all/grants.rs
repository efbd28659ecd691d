//! Allocation of batch capacity to gateways by control.

use std::collections::HashMap;

use linnethitch_protocol::{
    fleet::LoadReport,
    ids::{GatewayId, ModelId, ReplicaId, Timestamp, ZoneId},
};
use linnethitch_routing::grants::{
    Allocation, BatchReplica, CapacityRequest, GrantSettings, GrantTable,
};
use proptest::prelude::*;
use rstest::rstest;

use crate::fixture::{NOW, later};

fn replica(name: &str, zone: &str, running_online: u32) -> BatchReplica {
    BatchReplica {
        replica: ReplicaId::from(name),
        zone: ZoneId::from(zone),
        model: ModelId::from("quote"),
        load: LoadReport {
            measured_at: NOW,
            running_online,
            kv_capacity_tokens: 100,
            max_running: 64,
            ..LoadReport::default()
        },
        accepts_work: true,
    }
}

fn measured(mut replica: BatchReplica, at: Timestamp) -> BatchReplica {
    replica.load.measured_at = at;
    replica
}

fn request(gateway: &str, zone: &str, sequences: u32) -> CapacityRequest {
    CapacityRequest {
        gateway: GatewayId::from(gateway),
        zone: ZoneId::from(zone),
        model: ModelId::from("quote"),
        sequences,
    }
}

fn table() -> GrantTable {
    GrantTable::new(GrantSettings::default())
}

fn granted_by_gateway(allocations: &[Allocation]) -> Vec<(&str, &str, u32)> {
    allocations
        .iter()
        .map(|allocation| {
            let grant = &allocation.grant;
            (
                allocation.gateway.as_str(),
                grant.replica.as_str(),
                grant.sequences,
            )
        })
        .collect()
}

#[rstest]
#[case::idle(replica("r", "a", 0), 60)]
#[case::half_full(replica("r", "a", 30), 30)]
#[case::full(replica("r", "a", 62), 0)]
#[case::accepts_no_work(BatchReplica { accepts_work: false, ..replica("r", "a", 0) }, 0)]
#[case::report_too_old(measured(replica("r", "a", 0), Timestamp(NOW.0 - 6_001)), 0)]
#[case::kv_memory_full(with_kv_used(95, 7), 7)]
#[case::kv_memory_not_full(with_kv_used(85, 7), 60)]
fn a_replica_is_filled_up_to_its_headroom(#[case] replica: BatchReplica, #[case] granted: u32) {
    let mut table = table();
    let allocations = table.allocate(NOW, &[request("g", "a", 1_000)], &[replica]);
    let sum: u32 = allocations
        .iter()
        .map(|allocation| allocation.grant.sequences)
        .sum();
    assert_eq!(sum, granted);
}

fn with_kv_used(used: u32, running_batch: u32) -> BatchReplica {
    let mut replica = replica("r", "a", 0);
    replica.load.kv_used_tokens = used;
    replica.load.running_batch = running_batch;
    replica
}

#[test]
fn gateways_in_the_replicas_zone_come_first_and_the_remaining_capacity_goes_to_others() {
    let mut table = table();
    let replicas = [replica("ra", "a", 0), replica("rb", "b", 0)];
    let requests = [request("ga", "a", 100), request("gb", "b", 20)];
    let allocations = table.allocate(NOW, &requests, &replicas);
    assert_eq!(
        granted_by_gateway(&allocations),
        [("ga", "ra", 60), ("gb", "rb", 20), ("ga", "rb", 40)]
    );
}

#[test]
fn equal_requests_get_equal_shares() {
    let mut table = table();
    let requests = ["g1", "g2", "g3"].map(|gateway| request(gateway, "a", 100));
    let allocations = table.allocate(NOW, &requests, &[replica("r", "a", 0)]);
    let shares: Vec<u32> = allocations
        .iter()
        .map(|allocation| allocation.grant.sequences)
        .collect();
    assert_eq!(shares, [20, 20, 20]);
}

#[test]
fn a_grant_is_renewed_on_its_replica_and_expires_when_no_longer_requested() {
    let mut table = table();
    let replicas = [replica("r1", "a", 0), replica("r2", "a", 0)];
    let first = table.allocate(NOW, &[request("g", "a", 60)], &replicas);
    assert_eq!(granted_by_gateway(&first), [("g", "r1", 60)]);
    let second = table.allocate(later(1_000), &[request("g", "a", 80)], &replicas);
    assert_eq!(
        granted_by_gateway(&second),
        [("g", "r1", 60), ("g", "r2", 20)]
    );
    let third = table.allocate(later(2_000), &[], &replicas);
    assert_eq!(granted_by_gateway(&third), []);
    let r1 = ReplicaId::from("r1");
    assert_eq!(table.granted(later(2_999), &r1), 60);
    assert_eq!(table.granted(later(3_000), &r1), 0);
}

#[test]
fn a_superseded_larger_grant_counts_until_it_expires() {
    let mut table = table();
    table.allocate(NOW, &[request("g1", "a", 60)], &[replica("r", "a", 0)]);
    let busier = [replica("r", "a", 30)];
    let shrunk = table.allocate(later(500), &[request("g1", "a", 60)], &busier);
    assert_eq!(granted_by_gateway(&shrunk), [("g1", "r", 30)]);
    let r = ReplicaId::from("r");
    assert_eq!(table.granted(later(1_999), &r), 60);
    assert_eq!(table.granted(later(2_000), &r), 30);

    let requests = [request("g1", "a", 30), request("g2", "a", 30)];
    let idle = [replica("r", "a", 0)];
    let early = table.allocate(later(1_000), &requests, &idle);
    assert_eq!(
        granted_by_gateway(&early),
        [("g1", "r", 30)],
        "g1 may still use 60 sequences"
    );
    let late = table.allocate(later(2_000), &requests, &idle);
    assert_eq!(
        granted_by_gateway(&late),
        [("g1", "r", 30), ("g2", "r", 30)]
    );
}

#[test]
fn each_superseded_larger_grant_counts_until_its_own_expiry() {
    let mut table = table();
    let idle = [replica("r", "a", 0)];
    for (at, requested) in [(0, 60), (1_000, 40), (1_500, 10)] {
        table.allocate(later(at), &[request("g", "a", requested)], &idle);
    }
    let r = ReplicaId::from("r");
    let counted = [1_999, 2_000, 2_999, 3_000, 3_499, 3_500].map(|at| table.granted(later(at), &r));
    assert_eq!(counted, [60, 40, 40, 10, 10, 0]);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, ..ProptestConfig::default() })]

    /// With any sequence of loads and requests and any lost grants, the gateways' valid grants
    /// on a replica together exceed neither the headroom of an idle replica nor the count of the
    /// table.
    #[test]
    fn replicas_are_never_overcommitted(
        rounds in prop::collection::vec(
            (0u64..2_500, prop::collection::vec(0u32..80, 3), prop::collection::vec(0u32..64, 2), any::<u8>()),
            1..20,
        ),
    ) {
        let mut table = table();
        let mut now = NOW;
        let mut valid_grants: HashMap<(GatewayId, ReplicaId), (u32, Timestamp)> = HashMap::new();
        for (elapsed_ms, requested, online, lost) in rounds {
            now = Timestamp(now.0 + elapsed_ms);
            let requests: Vec<CapacityRequest> = requested
                .iter()
                .enumerate()
                .map(|(number, sequences)| request(&format!("g{number}"), "a", *sequences))
                .collect();
            let replicas: Vec<BatchReplica> = online
                .iter()
                .enumerate()
                .map(|(number, online)| measured(replica(&format!("r{number}"), "a", *online), now))
                .collect();
            for (number, allocation) in table.allocate(now, &requests, &replicas).into_iter().enumerate() {
                if lost & (1 << (number % 8)) != 0 {
                    continue;
                }
                let until = Timestamp(now.0 + u64::from(allocation.grant.valid_ms));
                valid_grants.insert(
                    (allocation.gateway, allocation.grant.replica.clone()),
                    (allocation.grant.sequences, until),
                );
            }
            for replica in &replicas {
                let sum: u32 = valid_grants
                    .iter()
                    .filter(|((_, id), (_, until))| *id == replica.replica && *until > now)
                    .map(|(_, (sequences, _))| *sequences)
                    .sum();
                prop_assert!(sum <= 60, "{sum} on {}", replica.replica);
                prop_assert!(sum <= table.granted(now, &replica.replica));
            }
        }
    }
}

#[test]
fn idle_capacity_lasting_two_seconds_is_granted_by_the_next_allocation() {
    let mut table = table();
    let requests = [request("g", "a", 60)];
    assert!(
        table
            .allocate(NOW, &requests, &[replica("r", "a", 64)])
            .is_empty()
    );
    let idle = [measured(replica("r", "a", 0), later(500))];
    let allocations = table.allocate(later(1_000), &requests, &idle);
    assert_eq!(granted_by_gateway(&allocations), [("g", "r", 60)]);
}
