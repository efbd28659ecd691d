//! Which gateway coordinates a replica, and what distance counts at a choice.

use linnethitch_protocol::ids::MachineId;
use linnethitch_routing::dispatch::{
    Distances, NearGateways, ReplicaTable, ReplicaTraits, RequestNeeds, WorkKind, coordinator_of,
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

/// Numbers of gateways, zone by zone; the machines of the first begin with 0, of the second
/// with 100.
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
#[case::one_alone_would_bear_all([5, 5, 1, 5], "south-a", Some("south"), &[2, 3])]
#[case::none_in_its_zone([5, 5, 0, 5], "south-a", Some("south"), &[3])]
#[case::none_in_its_region([5, 5, 0, 0], "south-a", Some("south"), &[0, 1])]
#[case::an_unknown_zone([5, 5, 5, 5], "west-a", None, &[0, 1, 2, 3])]
fn a_replica_is_coordinated_from_nearby(
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
fn without_zones_all_gateways_coordinate_as_before() {
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
fn a_distance_is_the_shortest_measured_until_many_are_longer() {
    let mut distances = Distances::default();
    assert_eq!(distances.round_trip_ms("far"), 0.0);
    for measured_ms in [60.0, 25.0, 90.0] {
        distances.note("far", measured_ms);
    }
    assert!((25.0..30.0).contains(&distances.round_trip_ms("far")));
    for _ in 0..200 {
        distances.note("far", 80.0);
    }
    assert!(distances.round_trip_ms("far") > 75.0);
    distances.note("near", 2.0);
    assert!(distances.beyond_ms("near", "far") > 73.0);
    assert_eq!(distances.beyond_ms("far", "near"), 0.0);
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
    }
}

/// Of eight requests sent at once to a replica of the own zone and one further away, so
/// many stay near.
#[rstest]
#[case::as_near(0.5, 4)]
#[case::another_region(24.0, 6)]
fn requests_stay_near_as_far_as_that_is_quicker(#[case] far_ms: f64, #[case] fewest_near: usize) {
    let mut board = ReplicaTable::new("north-a");
    let list = [replica("near", "north-a"), replica("far", "south-a")];
    board.set_replicas(list.into_iter().collect());
    board.note_connected("near", 0.4);
    board.note_connected("far", far_ms);
    let mut random = Pcg64Mcg::seed_from_u64(3);
    let mut near = 0;
    for _ in 0..8 {
        let need = RequestNeeds {
            service: "models",
            prompt: &[],
            except: &[],
            homes: None,
        };
        let chosen = board.choose(&need, 0, &mut random).expect("a replica");
        board.begin(&chosen, &[], WorkKind::Online, 0);
        near += usize::from(chosen.id == "near");
    }
    assert!(near >= fewest_near && near < 8, "{near}");
}
