//! Orders to evacuate a zone: the same order takes effect everywhere, and no node returns to
//! an older one.

use linnethitch_group::StateMachine;
use linnethitch_protocol::ids::LogIndex;
use linnethitch_registry::{
    EvacuationOrder, FleetUpdate, FleetView, Registry, RegistryAnswer, RegistryCommand,
};
use proptest::prelude::*;
use rstest::rstest;

use crate::support::{Applied, store_snapshot};

const ZONE: &str = "worcester";

fn command(zone: &str, evacuated: bool, seen: LogIndex) -> RegistryCommand {
    let order = EvacuationOrder {
        zone: zone.to_owned(),
        seen,
    };
    if evacuated {
        RegistryCommand::EvacuateZone(order)
    } else {
        RegistryCommand::RestoreZone(order)
    }
}

/// Applies an order that is based on the current state.
fn order(applied: &mut Applied, evacuated: bool) -> RegistryAnswer {
    let seen = applied.registry.evacuations().changed_at(ZONE);
    applied.apply(&command(ZONE, evacuated, seen))
}

fn state(evacuated: bool, changed_at: u64) -> RegistryAnswer {
    RegistryAnswer::ZoneState {
        evacuated,
        changed_at: LogIndex(changed_at),
    }
}

#[test]
fn a_repeated_order_changes_nothing_and_returns_the_current_state() {
    let mut applied = Applied::default();
    assert_eq!(order(&mut applied, false), state(false, 0));
    assert_eq!(order(&mut applied, true), state(true, 2));
    assert_eq!(order(&mut applied, true), state(true, 2));
    assert_eq!(applied.registry.changed_at(), LogIndex(2));
    assert_eq!(order(&mut applied, false), state(false, 4));
    assert!(!applied.registry.evacuations().contains(ZONE));
}

/// A copy of an order that arrives after the opposite order was acknowledged.
#[rstest]
#[case::evacuation(true)]
#[case::restored_zone(false)]
fn a_late_copy_of_an_order_has_no_effect(#[case] first: bool) {
    let mut applied = Applied::default();
    if !first {
        order(&mut applied, true);
    }
    let seen = applied.registry.evacuations().changed_at(ZONE);
    let late = command(ZONE, first, seen);
    order(&mut applied, first);
    order(&mut applied, !first);
    let up_to_index = applied.registry.changed_at();
    let answer = applied.apply(&late);
    assert_eq!(answer, state(!first, up_to_index.0));
    assert_eq!(applied.registry.evacuations().contains(ZONE), !first);
}

#[rstest]
#[case::evacuated(&[true])]
#[case::restored_zone(&[true, false])]
fn a_snapshot_contains_the_orders(#[case] orders: &[bool]) {
    let mut applied = Applied::default();
    for evacuated in orders {
        order(&mut applied, *evacuated);
    }
    let snapshot = applied.registry.begin_snapshot().expect("it begins");
    let restored = Registry::from_snapshot(store_snapshot(snapshot)).expect("it is read");
    assert_eq!(restored.evacuations(), applied.registry.evacuations());
    assert_eq!(restored.evacuations().contains(ZONE), orders.len() == 1);
}

/// A gateway that starts never has a table without the current evacuations.
#[test]
fn the_first_table_comes_with_the_evacuations() {
    let mut applied = Applied::default();
    order(&mut applied, true);
    applied.put(1, "one");
    let mut view = FleetView::default();
    view.apply(applied.registry.update_since(LogIndex(0)));
    assert!(view.table().is_some());
    assert!(view.evacuations().contains(ZONE));
}

#[test]
fn an_older_update_does_not_reinstate_an_evacuation() {
    let mut applied = Applied::default();
    order(&mut applied, true);
    let older = applied.registry.update_since(LogIndex(0));
    order(&mut applied, false);
    let newer = applied.registry.update_since(LogIndex(0));
    let mut view = FleetView::default();
    assert!(view.apply(newer));
    assert!(!view.apply(older));
    assert!(!view.evacuations().contains(ZONE));
}

const ZONES: [&str; 3] = ["a", "b", "c"];
const GATEWAYS: usize = 4;

/// An event in the delivery of orders to gateways.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// An operator gives an order through a member that lags by this number of orders.
    Order {
        zone: usize,
        evacuated: bool,
        lag: usize,
    },
    /// Control sends a gateway the changes since an entry that the gateway knows.
    Send { gateway: usize, since: u64 },
    /// A message in transit arrives; it may arrive again.
    Arrive { message: usize },
    /// A message in transit is lost.
    Lose { message: usize },
    /// A gateway restarts, and messages in transit to it are lost with its links.
    Restart { gateway: usize },
    /// All control members restart from a snapshot.
    Restore,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..ZONES.len(), any::<bool>(), 0..3_usize)
            .prop_map(|(zone, evacuated, lag)| Step::Order { zone, evacuated, lag }),
        6 => (0..GATEWAYS, 0..60_u64).prop_map(|(gateway, since)| Step::Send { gateway, since }),
        6 => any::<usize>().prop_map(|message| Step::Arrive { message }),
        2 => any::<usize>().prop_map(|message| Step::Lose { message }),
        1 => (0..GATEWAYS).prop_map(|gateway| Step::Restart { gateway }),
        1 => Just(Step::Restore),
    ]
}

/// Control's log, gateways, and messages in transit between them. A late message models
/// delay, a network partition and a process pause alike.
#[derive(Default)]
struct Network {
    applied: Applied,
    /// The registry after each order, for lagging members.
    past: Vec<Registry>,
    views: [FleetView; GATEWAYS],
    in_transit: Vec<(usize, FleetUpdate)>,
}

impl Network {
    fn order(&mut self, zone: &str, evacuated: bool, lag: usize) {
        let known = self.past.iter().rev().nth(lag);
        let known = known.unwrap_or(&self.applied.registry);
        let seen = known.evacuations().changed_at(zone);
        let newest = self.applied.registry.evacuations();
        let is_current = newest.changed_at(zone) == seen;
        let before = newest.contains(zone);
        let answer = self.applied.apply(&command(zone, evacuated, seen));
        let expected = if is_current { evacuated } else { before };
        assert!(
            matches!(answer, RegistryAnswer::ZoneState { evacuated, .. } if evacuated == expected)
        );
        self.past.push(self.applied.registry.clone());
    }

    /// Delivers a message; no record of the view may become older.
    fn arrive(&mut self, message: usize) {
        let (gateway, update) = self.in_transit[message].clone();
        let view = &mut self.views[gateway];
        let before = ZONES.map(|zone| view.evacuations().changed_at(zone));
        view.apply(update);
        for (zone, before) in ZONES.iter().zip(before) {
            assert!(
                view.evacuations().changed_at(zone) >= before,
                "{zone} returned to an older order"
            );
        }
    }

    fn step(&mut self, step: Step) {
        let in_transit = self.in_transit.len().max(1);
        match step {
            Step::Order {
                zone,
                evacuated,
                lag,
            } => self.order(ZONES[zone], evacuated, lag),
            Step::Send { gateway, since } => {
                let since = LogIndex(since).min(self.views[gateway].up_to_index());
                let update = self.applied.registry.update_since(since);
                self.in_transit.push((gateway, update));
            }
            Step::Arrive { message } if !self.in_transit.is_empty() => {
                self.arrive(message % in_transit);
            }
            Step::Lose { message } if !self.in_transit.is_empty() => {
                self.in_transit.swap_remove(message % in_transit);
            }
            Step::Arrive { .. } | Step::Lose { .. } => {}
            Step::Restart { gateway } => {
                self.views[gateway] = FleetView::default();
                self.in_transit.retain(|(to, _)| *to != gateway);
            }
            Step::Restore => {
                let snapshot = self.applied.registry.begin_snapshot().expect("it begins");
                let restored = Registry::from_snapshot(store_snapshot(snapshot));
                self.applied.registry = restored.expect("it is read");
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, ..ProptestConfig::default() })]

    /// With messages lost, late or duplicated and with restarts, a gateway never returns to an
    /// older state, and after control's last update arrives everywhere, all gateways have the
    /// orders that control has.
    #[test]
    fn the_same_orders_are_in_force_everywhere(steps in prop::collection::vec(step(), 1..120)) {
        let mut network = Network::default();
        for step in steps {
            network.step(step);
        }
        for gateway in 0..GATEWAYS {
            let up_to_index = network.views[gateway].up_to_index();
            let update = network.applied.registry.update_since(up_to_index);
            network.views[gateway].apply(update);
            let known: Vec<&str> = network.views[gateway].evacuations().zones().collect();
            let in_force: Vec<&str> = network.applied.registry.evacuations().zones().collect();
            prop_assert_eq!(known, in_force);
        }
    }
}
