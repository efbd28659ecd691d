//! Tenants of the configuration in force, as control stores them and sends them to nodes.

use linnethitch_group::StateMachine;
use linnethitch_protocol::ids::LogIndex;
use linnethitch_registry::{Configuration, ConfigurationError, FleetView, Registry};
use linnethitch_tenants::{KeyDigest, Tenant, TenantsError};

use crate::support::{Applied, store_snapshot, table};

fn tenant(name: &str, key: &str) -> Tenant {
    Tenant {
        name: name.to_owned(),
        keys: vec![KeyDigest::of(key)],
        rank: Some(1),
        quota: None,
        homes: Vec::new(),
    }
}

fn holder(view: &FleetView, key: &str) -> Option<String> {
    let held = view.tenants().holder(&KeyDigest::of(key));
    held.map(|tenant| tenant.name.clone())
}

#[test]
fn a_key_is_removed_with_the_version_that_drops_it() {
    let mut applied = Applied::default();
    applied.put_tenants(
        1,
        "one",
        Some(vec![tenant("a", "old"), tenant("b", "other")]),
    );
    let mut view = FleetView::default();
    view.apply(applied.registry.update_since(LogIndex(0)));
    assert_eq!(holder(&view, "old").as_deref(), Some("a"));
    let known = view.up_to_index();
    applied.put_tenants(
        2,
        "two",
        Some(vec![tenant("a", "new"), tenant("b", "other")]),
    );
    let update = applied.registry.update_since(known);
    let sent = update.tenants.as_ref().map(|tenants| tenants.changed.len());
    assert_eq!(sent, Some(1));
    view.apply(update);
    assert_eq!(holder(&view, "old"), None);
    assert_eq!(holder(&view, "new").as_deref(), Some("a"));
    assert_eq!(holder(&view, "other").as_deref(), Some("b"));
}

#[test]
fn an_older_version_changes_no_tenant() {
    let mut applied = Applied::default();
    applied.put_tenants(5, "five", Some(vec![tenant("a", "5")]));
    applied.put_tenants(4, "four", Some(vec![tenant("a", "4")]));
    let held = applied
        .registry
        .tenants()
        .get("a")
        .map(|tenant| tenant.keys.clone());
    assert_eq!(held, Some(vec![KeyDigest::of("5")]));
}

#[test]
fn a_snapshot_contains_the_tenants() {
    let mut applied = Applied::default();
    applied.put_tenants(1, "one", Some(vec![tenant("a", "key")]));
    let snapshot = applied.registry.begin_snapshot().expect("a snapshot");
    let restored = Registry::from_snapshot(store_snapshot(snapshot)).expect("it is read");
    let mut view = FleetView::default();
    view.apply(restored.update_since(LogIndex(0)));
    assert!(view.tenants().are_listed());
    assert_eq!(holder(&view, "key").as_deref(), Some("a"));
}

#[test]
fn a_shared_key_is_reported_by_the_tenants_names() {
    let configuration = Configuration {
        table: table(1, Vec::new()),
        tenants: Some(vec![tenant("a", "one key"), tenant("b", "one key")]),
    };
    let error = configuration.check().expect_err("it is invalid");
    let shared = TenantsError::SharedKey {
        first: "a".to_owned(),
        second: "b".to_owned(),
    };
    assert_eq!(error, ConfigurationError::Tenants(shared));
    assert_eq!(error.to_string(), "tenants a and b share a key");
}
