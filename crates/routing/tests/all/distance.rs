//! Which gateway coordinates a replica, and how distance affects the selection.

use linnethitch_protocol::ids::MachineId;
use linnethitch_routing::dispatch::{
    Distances, NearGateways, ReplicaTable, ReplicaTraits, RequestNeeds, SoftwareNeed, WorkKind,
    coordinator_of,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const ZONES: [(&str, &str); 4] = [
    ("north-a", "north"),
    ("north-b", "north"),
    ("south-a", "south"),
    ("south-b", "south"),
];

/// Number of gateways in each zone; the machine ids of the first zone start at 0, of the second at
/// 100.
fn gateways(counts: [u32; 4]) -> NearGateways {
    let mut near = NearGateways::default();
    for (number, ((zone, region), count)) in (0..).zip(ZONES.iter().zip(counts)) {
        for gateway in 0..count {
            near.add(MachineId(number * 100 + gateway), zone, region);
        }
    }
    near
}

#[rstest]
#[case::its_zone([5, 5, 5, 5], "south-a", Some("south"), &[2])]
#[case::two_are_enough([5, 5, 2, 5], "south-a", Some("south"), &[2])]
#[case::a_single_gateway_is_not_enough([5, 5, 1, 5], "south-a", Some("south"), &[2, 3])]
#[case::none_in_its_zone([5, 5, 0, 5], "south-a", Some("south"), &[3])]
#[case::none_in_its_region([5, 5, 0, 0], "south-a", Some("south"), &[0, 1])]
#[case::an_unknown_zone([5, 5, 5, 5], "west-a", None, &[0, 1, 2, 3])]
fn a_replica_is_coordinated_by_near_gateways(
    #[case] counts: [u32; 4],
    #[case] zone: &str,
    #[case] region: Option<&str>,
    #[case] expected: &[u32],
) {
    let near = gateways(counts);
    let mut zones: Vec<u32> = (0..400)
        .filter_map(|number| near.coordinator_of(&format!("replica-{number}"), zone, region))
        .map(|gateway| gateway.0 / 100)
        .collect();
    zones.sort_unstable();
    zones.dedup();
    assert_eq!(zones, expected);
}

#[test]
fn without_zones_all_gateways_coordinate() {
    let near = gateways([7, 0, 0, 0]);
    let all: Vec<MachineId> = (0..7).map(MachineId).collect();
    for number in 0..50 {
        let replica = format!("replica-{number}");
        let found = near.coordinator_of(&replica, "", None);
        assert_eq!(found, coordinator_of(&replica, &all));
    }
    assert_eq!(NearGateways::default().coordinator_of("r", "", None), None);
}

#[test]
fn a_distance_follows_the_shortest_measurement_until_many_are_longer() {
    let mut distances = Distances::default();
    assert_eq!(distances.round_trip_ms("far"), 0.0);
    for measured_ms in [60.0, 25.0, 90.0] {
        distances.record("far", measured_ms);
    }
    assert!((25.0..30.0).contains(&distances.round_trip_ms("far")));
    for _ in 0..200 {
        distances.record("far", 80.0);
    }
    assert!(distances.round_trip_ms("far") > 75.0);
    distances.record("near", 2.0);
    assert!(distances.extra_ms("near", "far") > 73.0);
    assert_eq!(distances.extra_ms("far", "near"), 0.0);
}

fn replica(id: &str, zone: &str) -> ReplicaTraits {
    ReplicaTraits {
        id: id.to_owned(),
        service: "models".to_owned(),
        address: format!("{id}:80"),
        zone: zone.to_owned(),
        slots: 4,
        kv_tokens: 100_000,
        ready: true,
        software: None,
    }
}

/// Minimum number of eight concurrent requests that stay at the replica of the own zone rather than
/// go to one further away.
#[rstest]
#[case::as_near(0.5, 4)]
#[case::another_region(24.0, 6)]
fn requests_stay_near_while_that_is_faster(#[case] far_ms: f64, #[case] min_near: usize) {
    let mut table = ReplicaTable::new("north-a");
    let list = [replica("near", "north-a"), replica("far", "south-a")];
    table.set_replicas(list.into_iter().collect());
    table.note_connected("near", 0.4);
    table.note_connected("far", far_ms);
    let mut random = Pcg64Mcg::seed_from_u64(3);
    let mut near = 0;
    for _ in 0..8 {
        let needs = RequestNeeds {
            service: "models",
            prompt: &[],
            except: &[],
            homes: None,
            software: &SoftwareNeed::Any,
        };
        let chosen = table.choose(&needs, 0, &mut random).expect("a replica");
        table.begin(&chosen, &[], WorkKind::Online, 0);
        near += usize::from(chosen.id == "near");
    }
    assert!(near >= min_near && near < 8, "{near}");
}
