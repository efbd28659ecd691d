//! Which gateways a caller is given.

use std::collections::BTreeSet;

use linnethitch_registry::{DirectoryNode, DirectoryQuestion, NodeList, READY_FOR_MS};
use rstest::rstest;

fn node(address: &str, zone: &str, region: &str) -> DirectoryNode {
    DirectoryNode {
        address: address.to_owned(),
        zone: zone.to_owned(),
        region: region.to_owned(),
    }
}

fn question<'a>(region: &'a str, zone: &'a str, most: usize) -> DirectoryQuestion<'a> {
    DirectoryQuestion {
        host: "desk.example",
        region,
        zone,
        most,
    }
}

fn list() -> NodeList {
    let mut list = NodeList::default();
    list.note(node("a1", "a", "east"), true, 0);
    list.note(node("a2", "a", "east"), true, 0);
    list.note(node("b1", "b", "east"), true, 0);
    list.note(node("c1", "c", "west"), true, 0);
    list.note(node("c2", "c", "west"), false, 0);
    list
}

#[rstest]
#[case::own_zone("east", "a", &["a1", "a2"])]
#[case::too_few_in_the_zone("east", "b", &["a1", "a2", "b1"])]
#[case::only_ready_ones("west", "c", &["c1"])]
#[case::nobody_in_the_region("south", "d", &["a1", "a2", "b1", "c1"])]
fn near_ones_come_first(#[case] region: &str, #[case] zone: &str, #[case] given: &[&str]) {
    assert_eq!(list().near(&question(region, zone, 64), None, 10), given);
}

#[test]
fn no_more_than_asked_for() {
    assert_eq!(list().near(&question("east", "a", 1), None, 10).len(), 1);
}

#[test]
fn a_silent_gateway_is_not_given() {
    let mut list = list();
    let later = READY_FOR_MS + 1;
    list.note(node("a1", "a", "east"), true, later);
    assert_eq!(list.near(&question("east", "a", 64), None, later), ["a1"]);
}

#[test]
fn a_leaving_or_lost_gateway_is_out_at_once() {
    let mut list = list();
    list.note(node("a1", "a", "east"), false, 1);
    list.lose("b1");
    assert_eq!(list.near(&question("east", "a", 64), None, 1), ["a2"]);
}

/// Zones that are homes, in which a caller's own region is no matter.
#[rstest]
#[case::own_region("east", "a", &["c"], &["a1", "a2"])]
#[case::a_home_elsewhere("south", "d", &["c"], &["c1"])]
#[case::no_home_is_ready("south", "d", &["e"], &["a1", "a2", "b1", "c1"])]
fn without_one_near_those_in_homes_come_first(
    #[case] region: &str,
    #[case] zone: &str,
    #[case] homes: &[&str],
    #[case] given: &[&str],
) {
    let homes: BTreeSet<String> = homes.iter().map(|zone| (*zone).to_owned()).collect();
    let near = list().near(&question(region, zone, 64), Some(&homes), 10);
    assert_eq!(near, given);
}
