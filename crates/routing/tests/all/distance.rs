//! Which gateway coordinates a replica, and what distance counts at a choice.

use linnethitch_protocol::ids::MachineId;
use linnethitch_routing::dispatch::{Distances, NearGateways, coordinator_of};
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
