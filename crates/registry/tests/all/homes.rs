//! The zones in the home regions of a route and a tenant.

use linnethitch_registry::ZoneMap;
use rstest::rstest;

use crate::support::{route, table};

fn zones() -> ZoneMap {
    let zones = [("a", "east"), ("b", "east"), ("c", "west"), ("d", "south")];
    let zones = zones.map(|(zone, region)| (zone.to_owned(), region.to_owned()));
    zones.into_iter().collect()
}

fn owned(regions: &[&str]) -> Vec<String> {
    regions.iter().map(|region| (*region).to_owned()).collect()
}

#[rstest]
#[case::none(&[], &[], None)]
#[case::of_the_route(&["east"], &[], Some(&["a", "b"][..]))]
#[case::of_the_tenant(&[], &["west", "south"], Some(&["c", "d"][..]))]
#[case::in_common(&["east", "west"], &["west", "south"], Some(&["c"][..]))]
#[case::nothing_in_common(&["east"], &["west"], Some(&[][..]))]
#[case::unknown_region(&["north"], &[], Some(&[][..]))]
#[case::every_region(&["east", "west", "south"], &[], None)]
#[case::every_region_and_one(&["east", "west", "south"], &["west"], Some(&["c"][..]))]
fn both_lists_restrict_the_zones(
    #[case] route: &[&str],
    #[case] tenant: &[&str],
    #[case] expected: Option<&[&str]>,
) {
    let homes = zones().home_zones(&[&owned(route), &owned(tenant)]);
    let homes: Option<Vec<String>> = homes.map(|zones| zones.into_iter().collect());
    assert_eq!(homes, expected.map(owned));
}

#[test]
fn a_list_is_a_restriction_if_no_zone_is_known() {
    let homes = ZoneMap::default().home_zones(&[&owned(&["east"])]);
    assert_eq!(homes, Some(std::collections::BTreeSet::new()));
}

/// Home regions of two routes; the second route may be of another host.
#[rstest]
#[case::of_neither(&[], &[], true, None)]
#[case::of_one(&["west"], &[], true, Some(&["c"][..]))]
#[case::of_both(&["west", "east"], &["east"], true, Some(&["a", "b"][..]))]
#[case::of_another_host(&[], &["east"], false, None)]
fn home_zones_of_a_host_are_common_to_its_routes(
    #[case] first: &[&str],
    #[case] second: &[&str],
    #[case] is_same_host: bool,
    #[case] expected: Option<&[&str]>,
) {
    let mut table = table(1, vec![route("r", "/a/", "s")]);
    let mut other = table.routes[0].clone();
    table.routes[0].homes = owned(first);
    other.homes = owned(second);
    if !is_same_host {
        other.host = "other.example".to_owned();
    }
    table.routes = vec![table.routes[0].clone(), other];
    let host = format!("{}:80", table.routes[0].host.to_uppercase());
    let homes = table.host_homes(&host, &zones());
    let homes: Option<Vec<String>> = homes.map(|zones| zones.into_iter().collect());
    assert_eq!(homes, expected.map(owned));
}
