//! Orders to evacuate a zone: one is in force everywhere, and none steps back.

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

/// Gives an order upon what is in force.
fn order(applied: &mut Applied, evacuated: bool) -> RegistryAnswer {
    let seen = applied.registry.evacuations().changed_at(ZONE);
    applied.apply(&command(ZONE, evacuated, seen))
}

fn held(evacuated: bool, changed_at: u64) -> RegistryAnswer {
    RegistryAnswer::ZoneState {
        evacuated,
        changed_at: LogIndex(changed_at),
    }
}

#[test]
fn a_repeat_is_told_what_is_held_and_changes_nothing() {
    let mut applied = Applied::default();
    assert_eq!(order(&mut applied, false), held(false, 0));
    assert_eq!(order(&mut applied, true), held(true, 2));
    assert_eq!(order(&mut applied, true), held(true, 2));
    assert_eq!(applied.registry.changed_at(), LogIndex(2));
    assert_eq!(order(&mut applied, false), held(false, 4));
    assert!(!applied.registry.evacuations().contains(ZONE));
}

/// A copy of an order that was on its way while the opposite one was acknowledged.
#[rstest]
#[case::evacuation(true)]
#[case::taken_back(false)]
fn a_late_copy_of_an_order_is_of_no_effect(#[case] first: bool) {
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
    assert_eq!(answer, held(!first, up_to_index.0));
    assert_eq!(applied.registry.evacuations().contains(ZONE), !first);
}

#[rstest]
#[case::evacuated(&[true])]
#[case::taken_back(&[true, false])]
fn a_snapshot_holds_the_orders(#[case] orders: &[bool]) {
    let mut applied = Applied::default();
    for evacuated in orders {
        order(&mut applied, *evacuated);
    }
    let snapshot = applied.registry.begin_snapshot().expect("it begins");
    let restored = Registry::from_snapshot(store_snapshot(snapshot)).expect("it is read");
    assert_eq!(restored.evacuations(), applied.registry.evacuations());
    assert_eq!(restored.evacuations().contains(ZONE), orders.len() == 1);
}

/// A gateway that starts never has a table without the evacuations in force.
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
fn an_older_update_does_not_bring_an_evacuation_back() {
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

/// What happens next on the way of orders to gateways.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// An operator orders upon what a member knows that lags by so many entries.
    Order {
        zone: usize,
        evacuated: bool,
        lag: usize,
    },
    /// Control sends a gateway what changed since an entry that it knows or knew.
    Tell { gateway: usize, since: u64 },
    /// One of the messages under way arrives; it may arrive again.
    Arrive { message: usize },
    /// One of them is lost.
    Lose { message: usize },
    /// The gateway starts anew: what is under way to it is lost with its links.
    Restart { gateway: usize },
    /// All control members start from a snapshot.
    Restore,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..ZONES.len(), any::<bool>(), 0..3_usize)
            .prop_map(|(zone, evacuated, lag)| Step::Order { zone, evacuated, lag }),
        6 => (0..GATEWAYS, 0..60_u64).prop_map(|(gateway, since)| Step::Tell { gateway, since }),
        6 => any::<usize>().prop_map(|message| Step::Arrive { message }),
        2 => any::<usize>().prop_map(|message| Step::Lose { message }),
        1 => (0..GATEWAYS).prop_map(|gateway| Step::Restart { gateway }),
        1 => Just(Step::Restore),
    ]
}

/// Control's log, gateways, and what is under way between them. A message that arrives
/// late stands for delay, a cut and a suspension alike.
#[derive(Default)]
struct Network {
    applied: Applied,
    /// The registry after each order, as lagging members know it.
    past: Vec<Registry>,
    views: [FleetView; GATEWAYS],
    under_way: Vec<(usize, FleetUpdate)>,
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

    /// Takes a message; no record of the view may become older by it.
    fn arrive(&mut self, message: usize) {
        let (gateway, update) = self.under_way[message].clone();
        let view = &mut self.views[gateway];
        let before = ZONES.map(|zone| view.evacuations().changed_at(zone));
        view.apply(update);
        for (zone, before) in ZONES.iter().zip(before) {
            assert!(
                view.evacuations().changed_at(zone) >= before,
                "{zone} stepped back"
            );
        }
    }

    fn step(&mut self, step: Step) {
        let under_way = self.under_way.len().max(1);
        match step {
            Step::Order {
                zone,
                evacuated,
                lag,
            } => self.order(ZONES[zone], evacuated, lag),
            Step::Tell { gateway, since } => {
                let since = LogIndex(since).min(self.views[gateway].up_to_index());
                let update = self.applied.registry.update_since(since);
                self.under_way.push((gateway, update));
            }
            Step::Arrive { message } if !self.under_way.is_empty() => {
                self.arrive(message % under_way);
            }
            Step::Lose { message } if !self.under_way.is_empty() => {
                self.under_way.swap_remove(message % under_way);
            }
            Step::Arrive { .. } | Step::Lose { .. } => {}
            Step::Restart { gateway } => {
                self.views[gateway] = FleetView::default();
                self.under_way.retain(|(to, _)| *to != gateway);
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

    /// Whatever is lost, late, told twice or started anew: a gateway never steps back, and
    /// once control's last word arrives everywhere it is in force everywhere.
    #[test]
    fn one_order_is_in_force_everywhere(steps in prop::collection::vec(step(), 1..120)) {
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
