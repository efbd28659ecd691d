//! Incremental table updates: a node's configuration is always a complete one that control
//! put in force, for any updates in any order.

use std::collections::BTreeMap;

use linnethitch_group::StateMachine;
use linnethitch_protocol::ids::LogIndex;
use linnethitch_registry::{
    Declared, FleetUpdate, FleetView, Registry, RegistryCommand, ReplicaState, Route, RouteTable,
};
use linnethitch_tenants::{KeyDigest, Tenant};
use rkyv::rancor;
use rstest::rstest;

use crate::support::{replica, route, store_snapshot, table};

/// Pseudo-random numbers, reproducible by seed.
struct Numbers(u64);

impl Numbers {
    fn below(&mut self, bound: usize) -> usize {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) as usize % bound
    }

    fn is(&mut self, one_in: usize) -> bool {
        self.below(one_in) == 0
    }
}

fn tenant(name: String, key: usize) -> Tenant {
    Tenant {
        keys: vec![KeyDigest::of(&format!("key {key}"))],
        name,
        rank: None,
        quota: None,
        homes: Vec::new(),
    }
}

fn some_table(version: u64, numbers: &mut Numbers) -> RouteTable {
    let mut routes = Vec::new();
    for number in 0..8 {
        if numbers.is(3) {
            continue;
        }
        let service = format!("s-{}", numbers.below(3));
        let mut route = route(&format!("r-{number}"), &format!("/{number}/"), &service);
        route.target_ms += numbers.below(2) as u64;
        routes.push(route);
    }
    let mut generated = table(version, routes);
    generated.services.push(generated.services[0].clone());
    generated.services[1].name = format!("s-{}", numbers.below(3));
    generated.limits.idle_ms += numbers.below(2) as u64;
    // Operators list routes in any order.
    let turned = numbers.below(3).min(generated.routes.len());
    generated.routes.rotate_left(turned);
    generated
}

fn some_command(version: u64, numbers: &mut Numbers) -> RegistryCommand {
    if numbers.is(3) {
        let change = replica("i-1", "10.0.0.1:80", ReplicaState::Ready, version);
        return RegistryCommand::Replica(Box::new(change));
    }
    let mut tenants = Vec::new();
    for number in 0..4 {
        if !numbers.is(3) {
            let key = number * 2 + numbers.below(2);
            tenants.push(tenant(format!("t-{number}"), key));
        }
    }
    RegistryCommand::PutConfiguration {
        table: some_table(version, numbers),
        declared: Box::new(Declared {
            tenants: Some(tenants),
            document: Vec::new(),
        }),
    }
}

/// The tenants of a configuration, by name.
fn tenants_of<'a>(held: impl Iterator<Item = &'a std::sync::Arc<Tenant>>) -> Vec<Tenant> {
    held.map(|tenant| tenant.as_ref().clone()).collect()
}

/// Control members at increasing progress in one log.
struct Log {
    members: Vec<Registry>,
    /// The configuration of each version.
    in_force: BTreeMap<u64, (RouteTable, Vec<Tenant>)>,
}

impl Log {
    fn new(entries: u64, numbers: &mut Numbers) -> Self {
        let mut registry = Registry::default();
        let mut log = Log {
            members: Vec::new(),
            in_force: BTreeMap::new(),
        };
        for index in 1..=entries {
            let command = some_command(index, numbers)
                .to_stored()
                .expect("it encodes");
            registry
                .apply(LogIndex(index), &command)
                .expect("it applies");
            if numbers.is(12) {
                let snapshot = registry.begin_snapshot().expect("it is written");
                registry = Registry::from_snapshot(store_snapshot(snapshot)).expect("it is read");
            }
            if let Some(table) = registry.table() {
                let tenants = tenants_of(registry.tenants().iter());
                let held = (table.as_ref().clone(), tenants);
                log.in_force.insert(table.version, held);
            }
            log.members.push(registry.clone());
        }
        log
    }

    fn check(&self, view: &FleetView) {
        let Some(table) = view.table() else {
            assert_eq!(view.tenants().len(), 0);
            return;
        };
        let (in_force, tenants) = &self.in_force[&table.version];
        assert_eq!(table.as_ref(), in_force);
        assert_eq!(&tenants_of(view.tenants().iter()), tenants);
    }
}

/// Members at any progress send a node the changes since entries that it may or may not
/// know. Updates arrive late, twice, in any order or not at all.
#[rstest]
fn a_node_always_has_one_of_controls_configurations(
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12)] seed: u64,
) {
    let mut numbers = Numbers(seed);
    let log = Log::new(60, &mut numbers);
    let mut view = FleetView::default();
    let mut in_transit: Vec<FleetUpdate> = Vec::new();
    let mut newest = 0;
    for step in 0..600 {
        let member = &log.members[numbers.below(1 + step / 10)];
        let known = view.up_to_index().0 + numbers.below(4) as u64 * numbers.below(2) as u64;
        in_transit.push(member.update_since(LogIndex(known)));
        let update = in_transit[numbers.below(in_transit.len())].clone();
        view.apply(update);
        log.check(&view);
        let version = view.table().map_or(0, |table| table.version);
        assert!(newest <= version, "a version went back");
        newest = version;
    }
    let last = log.members.last().expect("there are members");
    view.apply(last.update_since(view.up_to_index()));
    assert!(!view.needs_full_update());
    assert_eq!(view.table(), last.table());
    assert_eq!(view.up_to_index(), last.changed_at());
    log.check(&view);
}

/// Another control group replaces the earlier one, and its log has other configurations at
/// the same indexes.
#[test]
fn a_change_of_another_log_is_not_applied_until_a_complete_update() {
    let mut numbers = Numbers(7);
    let (first, other) = (Log::new(9, &mut numbers), Log::new(20, &mut numbers));
    let newest = other.members.last().expect("there are members");
    let mut view = FleetView::default();
    view.apply(first.members[8].update_since(LogIndex(0)));
    let before = view.table().cloned();
    assert!(!view.apply(newest.update_since(view.up_to_index())) || view.table() == newest.table());
    if view.needs_full_update() {
        assert_eq!(
            (view.table().cloned(), view.up_to_index()),
            (before, LogIndex(0))
        );
    }
    view.apply(newest.update_since(LogIndex(0)));
    assert_eq!(view.table(), newest.table());
    other.check(&view);
}

fn many_routes(version: u64, routes: usize, target_ms: u64) -> RegistryCommand {
    let mut routes: Vec<Route> = (0..routes)
        .map(|number| route(&format!("route-{number}"), &format!("/{number}/"), "rates"))
        .collect();
    routes[0].target_ms = target_ms;
    RegistryCommand::PutConfiguration {
        table: table(version, routes),
        declared: Box::new(Declared {
            tenants: None,
            document: Vec::new(),
        }),
    }
}

/// The update for a change of one route among 1,200 has the size of one route.
#[test]
fn a_change_of_one_route_sends_only_that_route() {
    const ONE_ROUTE_BYTES: usize = 1_000;
    let mut registry = Registry::default();
    for version in 1..=2 {
        let command = many_routes(version, 1_200, version)
            .to_stored()
            .expect("it encodes");
        registry
            .apply(LogIndex(version), &command)
            .expect("it applies");
    }
    let update = registry.update_since(LogIndex(1));
    let bytes = rkyv::to_bytes::<rancor::Error>(&update).expect("it encodes");
    assert!(bytes.len() < ONE_ROUTE_BYTES, "{} bytes", bytes.len());
}

/// A complete table needs no base, and its digest may be from a build that encodes tables
/// differently.
#[test]
fn a_complete_table_is_applied_with_any_digest() {
    let mut numbers = Numbers(3);
    let log = Log::new(4, &mut numbers);
    let newest = log.members.last().expect("there are members");
    let mut update = newest.update_since(LogIndex(0));
    let table = update.table.as_mut().expect("there is a table");
    assert!(table.is_complete);
    table.digest = table.digest.map(|digest| digest ^ 1);
    let mut view = FleetView::default();
    assert!(view.apply(update));
    assert!(!view.needs_full_update());
    log.check(&view);
}
