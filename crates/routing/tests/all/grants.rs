//! Control's allocation of batch capacity.

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

fn wish(gateway: &str, zone: &str, sequences: u32) -> CapacityRequest {
    CapacityRequest {
        gateway: GatewayId::from(gateway),
        zone: ZoneId::from(zone),
        model: ModelId::from("quote"),
        sequences,
    }
}

fn book() -> GrantTable {
    GrantTable::new(GrantSettings::default())
}

fn told(allocations: &[Allocation]) -> Vec<(&str, &str, u32)> {
    allocations
        .iter()
        .map(|one| {
            let grant = &one.grant;
            (
                one.gateway.as_str(),
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
#[case::takes_no_work(BatchReplica { accepts_work: false, ..replica("r", "a", 0) }, 0)]
#[case::report_too_old(measured(replica("r", "a", 0), Timestamp(NOW.0 - 6_001)), 0)]
#[case::memory_full(with_memory(95, 7), 7)]
#[case::memory_not_full(with_memory(85, 7), 60)]
fn a_replica_is_filled_up_to_its_headroom(#[case] replica: BatchReplica, #[case] granted: u32) {
    let mut book = book();
    let allocations = book.allocate(NOW, &[wish("g", "a", 1_000)], &[replica]);
    let sum: u32 = allocations.iter().map(|one| one.grant.sequences).sum();
    assert_eq!(sum, granted);
}

fn with_memory(used: u32, running_batch: u32) -> BatchReplica {
    let mut replica = replica("r", "a", 0);
    replica.load.kv_used_tokens = used;
    replica.load.running_batch = running_batch;
    replica
}

#[test]
fn wishers_in_the_replicas_zone_come_first_and_the_rest_is_used_elsewhere() {
    let mut book = book();
    let replicas = [replica("ra", "a", 0), replica("rb", "b", 0)];
    let wishes = [wish("ga", "a", 100), wish("gb", "b", 20)];
    let allocations = book.allocate(NOW, &wishes, &replicas);
    assert_eq!(
        told(&allocations),
        [("ga", "ra", 60), ("gb", "rb", 20), ("ga", "rb", 40)]
    );
}

#[test]
fn equal_wishers_get_equal_shares() {
    let mut book = book();
    let wishes = ["g1", "g2", "g3"].map(|gateway| wish(gateway, "a", 100));
    let allocations = book.allocate(NOW, &wishes, &[replica("r", "a", 0)]);
    let shares: Vec<u32> = allocations.iter().map(|one| one.grant.sequences).collect();
    assert_eq!(shares, [20, 20, 20]);
}

#[test]
fn a_grant_is_renewed_where_it_is_and_ends_when_it_is_not_wished() {
    let mut book = book();
    let replicas = [replica("r1", "a", 0), replica("r2", "a", 0)];
    let first = book.allocate(NOW, &[wish("g", "a", 60)], &replicas);
    assert_eq!(told(&first), [("g", "r1", 60)]);
    let second = book.allocate(later(1_000), &[wish("g", "a", 80)], &replicas);
    assert_eq!(told(&second), [("g", "r1", 60), ("g", "r2", 20)]);
    let third = book.allocate(later(2_000), &[], &replicas);
    assert_eq!(told(&third), []);
    let r1 = ReplicaId::from("r1");
    assert_eq!(book.granted(later(2_999), &r1), 60);
    assert_eq!(book.granted(later(3_000), &r1), 0);
}

#[test]
fn a_smaller_grant_counts_as_the_larger_one_until_that_has_ended() {
    let mut book = book();
    book.allocate(NOW, &[wish("g1", "a", 60)], &[replica("r", "a", 0)]);
    let busier = [replica("r", "a", 30)];
    let shrunk = book.allocate(later(500), &[wish("g1", "a", 60)], &busier);
    assert_eq!(told(&shrunk), [("g1", "r", 30)]);
    let r = ReplicaId::from("r");
    assert_eq!(book.granted(later(1_999), &r), 60);
    assert_eq!(book.granted(later(2_000), &r), 30);

    let wishes = [wish("g1", "a", 30), wish("g2", "a", 30)];
    let idle = [replica("r", "a", 0)];
    let early = book.allocate(later(1_000), &wishes, &idle);
    assert_eq!(told(&early), [("g1", "r", 30)], "g1 may still use 60");
    let late = book.allocate(later(2_000), &wishes, &idle);
    assert_eq!(told(&late), [("g1", "r", 30), ("g2", "r", 30)]);
}

#[test]
fn every_larger_grant_before_counts_until_its_own_end() {
    let mut book = book();
    let idle = [replica("r", "a", 0)];
    for (at, wished) in [(0, 60), (1_000, 40), (1_500, 10)] {
        book.allocate(later(at), &[wish("g", "a", wished)], &idle);
    }
    let r = ReplicaId::from("r");
    let counted = [1_999, 2_000, 2_999, 3_000, 3_499, 3_500].map(|at| book.granted(later(at), &r));
    assert_eq!(counted, [60, 40, 40, 10, 10, 0]);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, ..ProptestConfig::default() })]

    /// However loads and wishes move, and whichever grants get lost on the way,
    /// gateways together never believe to have more than a replica's whole batch.
    #[test]
    fn replicas_are_never_over_filled(
        rounds in prop::collection::vec(
            (0u64..2_500, prop::collection::vec(0u32..80, 3), prop::collection::vec(0u32..64, 2), any::<u8>()),
            1..20,
        ),
    ) {
        let mut book = book();
        let mut now = NOW;
        let mut believed: HashMap<(GatewayId, ReplicaId), (u32, Timestamp)> = HashMap::new();
        for (pause, wanted, online, lost) in rounds {
            now = Timestamp(now.0 + pause);
            let wishes: Vec<CapacityRequest> = wanted
                .iter()
                .enumerate()
                .map(|(number, sequences)| wish(&format!("g{number}"), "a", *sequences))
                .collect();
            let replicas: Vec<BatchReplica> = online
                .iter()
                .enumerate()
                .map(|(number, online)| measured(replica(&format!("r{number}"), "a", *online), now))
                .collect();
            for (number, one) in book.allocate(now, &wishes, &replicas).into_iter().enumerate() {
                if lost & (1 << (number % 8)) != 0 {
                    continue;
                }
                let until = Timestamp(now.0 + u64::from(one.grant.valid_ms));
                believed.insert(
                    (one.gateway, one.grant.replica.clone()),
                    (one.grant.sequences, until),
                );
            }
            for replica in &replicas {
                let sum: u32 = believed
                    .iter()
                    .filter(|((_, id), (_, until))| *id == replica.replica && *until > now)
                    .map(|(_, (sequences, _))| *sequences)
                    .sum();
                prop_assert!(sum <= 60, "{sum} on {}", replica.replica);
                prop_assert!(sum <= book.granted(now, &replica.replica));
            }
        }
    }
}

#[test]
fn idle_capacity_that_lasts_two_seconds_is_granted_by_the_next_allocation() {
    let mut book = book();
    let wishes = [wish("g", "a", 60)];
    assert!(
        book.allocate(NOW, &wishes, &[replica("r", "a", 64)])
            .is_empty()
    );
    let idle = [measured(replica("r", "a", 0), later(500))];
    let allocations = book.allocate(later(1_000), &wishes, &idle);
    assert_eq!(told(&allocations), [("g", "r", 60)]);
}
