//! Whose a key is, as configurations come and go and updates arrive in any order.

use linnethitch_protocol::ids::LogIndex;
use linnethitch_tenants::{KeyDigest, Tenant, TenantDirectory, TenantsUpdate};
use rstest::rstest;

use super::tenant;

fn holder<'a>(directory: &'a TenantDirectory, key: &str) -> Option<&'a str> {
    let held = directory.holder(&KeyDigest::of(key));
    held.map(|tenant| tenant.name.as_str())
}

fn first() -> Vec<Tenant> {
    vec![
        tenant("a", &["1", "2"]),
        tenant("b", &["3"]),
        tenant("c", &["4"]),
    ]
}

/// Key 2 goes from a to b, key 3 is taken away, c is no longer listed, d is new.
fn second() -> Vec<Tenant> {
    vec![
        tenant("a", &["1"]),
        tenant("b", &["2"]),
        tenant("d", &["5"]),
    ]
}

fn is_second(directory: &TenantDirectory) {
    let keys = ["1", "2", "3", "4", "5"];
    let holders = keys.map(|key| holder(directory, key));
    assert_eq!(holders, [Some("a"), Some("b"), None, None, Some("d")]);
    assert!(directory.are_listed());
    assert_eq!(directory.len(), 3);
}

fn updates() -> [TenantsUpdate; 3] {
    let mut control = TenantDirectory::default();
    control.replace(Some(first()), LogIndex(3));
    let whole_first = control.update_since(LogIndex(0));
    control.replace(Some(second()), LogIndex(8));
    let change = control.update_since(LogIndex(3));
    [whole_first, change, control.update_since(LogIndex(0))]
}

#[test]
fn a_change_tells_what_changed_only() {
    let [_, change, _] = updates();
    let names: Vec<_> = change
        .changed
        .iter()
        .map(|change| change.name.as_str())
        .collect();
    assert_eq!(names, ["a", "b", "d", "c"]);
    let mut control = TenantDirectory::default();
    control.replace(Some(first()), LogIndex(3));
    let mut list = first();
    list[1] = tenant("b", &["3", "6"]);
    control.replace(Some(list), LogIndex(9));
    assert_eq!(control.update_since(LogIndex(3)).changed.len(), 1);
    assert!(control.update_since(LogIndex(9)).changed.is_empty());
}

/// Whichever of the updates a node is told, and in which order, once it knows enough.
#[rstest]
#[case::in_order(&[0, 1])]
#[case::at_once(&[2])]
#[case::whole_last(&[0, 2])]
#[case::old_one_late(&[0, 1, 0])]
#[case::old_one_after_the_whole(&[2, 0])]
#[case::change_twice(&[0, 1, 1])]
#[case::change_after_the_whole(&[2, 1])]
fn a_node_ends_with_the_newest(#[case] order: &[usize]) {
    let updates = updates();
    let mut node = TenantDirectory::default();
    for index in order {
        node.apply(updates[*index].clone());
    }
    is_second(&node);
}

#[test]
fn a_configuration_without_tenants_lists_none() {
    let mut control = TenantDirectory::new(Some(first()));
    control.replace(None, LogIndex(9));
    assert!(!control.are_listed() && control.is_empty());
    assert_eq!(holder(&control, "1"), None);
    let mut node = TenantDirectory::new(Some(first()));
    node.apply(control.update_since(LogIndex(1)));
    assert!(!node.are_listed() && node.is_empty());
}

/// Tenants that are listed, then removed one by one until the oldest removals are
/// forgotten: a node that knows less is told the whole list.
#[test]
fn a_node_that_knows_too_little_is_told_everything() {
    const MANY: u64 = 5_000;
    let all: Vec<Tenant> = (0..=MANY)
        .map(|number| tenant(&format!("t{number}"), &[&format!("key {number}")]))
        .collect();
    let mut control = TenantDirectory::default();
    control.replace(Some(all.clone()), LogIndex(1));
    let mut node = TenantDirectory::default();
    node.apply(control.update_since(LogIndex(0)));
    control.replace(Some(all[..1].to_vec()), LogIndex(2));
    let update = control.update_since(LogIndex(1));
    assert!(update.is_complete);
    node.apply(update);
    assert_eq!(node.len(), 1);
    assert_eq!(holder(&node, "key 4000"), None);
}

#[test]
fn a_snapshot_holds_the_directory() {
    let mut control = TenantDirectory::default();
    control.replace(Some(first()), LogIndex(3));
    control.replace(Some(second()), LogIndex(8));
    let restored = TenantDirectory::from_update(control.to_update());
    is_second(&restored);
    // It does not remember removals: whoever knows less is told everything.
    assert!(restored.update_since(LogIndex(3)).is_complete);
}
