//! Which zones are homes of a route and a tenant.

use linnethitch_registry::ZoneMap;
use rstest::rstest;

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
fn both_lists_bind(
    #[case] route: &[&str],
    #[case] tenant: &[&str],
    #[case] expected: Option<&[&str]>,
) {
    let homes = zones().home_zones(&[&owned(route), &owned(tenant)]);
    let homes: Option<Vec<String>> = homes.map(|zones| zones.into_iter().collect());
    assert_eq!(homes, expected.map(owned));
}

#[test]
fn a_list_binds_where_no_zone_is_known() {
    let homes = ZoneMap::default().home_zones(&[&owned(&["east"])]);
    assert_eq!(homes, Some(std::collections::BTreeSet::new()));
}
