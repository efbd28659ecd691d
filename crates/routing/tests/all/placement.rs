//! Planning of loads, versions, adapters and roles.

use linnethitch_config::fleet::Fleet;
use linnethitch_protocol::{
    command::EngineOrder,
    fleet::{EngineRole, MachineState},
    ids::{ModelId, ReplicaId},
};
use linnethitch_routing::{
    ReasonCode,
    placement::{
        OpenOrder, PlacedReplica, PlacementSettings, Plan, PlannedOrder, ReplicaHealth, plan,
    },
};
use rstest::rstest;

use crate::fixture::{NOW, application, engine, later};

const LOADS: usize = 100;

fn fleet(replicas_a: u32, replicas_b: u32, extra: &str) -> Fleet {
    let text = format!(
        r#"
        name = "test"
        [[zone]]
        name = "a"
        region = "r"
        [[zone]]
        name = "b"
        region = "r"
        [[model]]
        name = "quote"
        version = "v1"
        placement = [{{ zone = "a", replicas = {replicas_a} }}, {{ zone = "b", replicas = {replicas_b} }}]
        {extra}
        "#
    );
    Fleet::parse(&text).unwrap()
}

fn placed(name: &str, zone: &str) -> PlacedReplica {
    let mut info = engine(name, zone);
    info.engine.adapters.clear();
    PlacedReplica {
        info,
        health: ReplicaHealth::Responding,
        online: 0,
        max_running: 64,
    }
}

fn empty(name: &str, zone: &str) -> PlacedReplica {
    let mut replica = placed(name, zone);
    replica.info.engine = Default::default();
    replica
}

fn other_model(name: &str, zone: &str) -> PlacedReplica {
    let mut replica = placed(name, zone);
    replica.info.engine.model = Some(ModelId::from("retired"));
    replica
}

fn dead(mut replica: PlacedReplica) -> PlacedReplica {
    replica.health = ReplicaHealth::Dead;
    replica
}

fn unreachable(mut replica: PlacedReplica) -> PlacedReplica {
    replica.health = ReplicaHealth::Unreachable;
    replica
}

fn old_version(name: &str, zone: &str, online: u32) -> PlacedReplica {
    let mut replica = placed(name, zone);
    replica.info.engine.version = "v0".to_owned();
    replica.online = online;
    replica
}

fn load() -> EngineOrder {
    EngineOrder::LoadModel {
        model: ModelId::from("quote"),
        version: "v1".to_owned(),
    }
}

fn open(name: &str, order: EngineOrder) -> OpenOrder {
    OpenOrder {
        replica: ReplicaId::from(name),
        order,
        issued_at: NOW,
    }
}

fn planned(fleet: &Fleet, replicas: &[PlacedReplica], open: &[OpenOrder], loads: usize) -> Plan {
    let settings = PlacementSettings::default();
    plan(later(1_000), fleet, replicas, open, loads, settings)
}

fn ordered(plan: &Plan) -> Vec<(&str, ReasonCode)> {
    plan.orders
        .iter()
        .map(|order| (order.replica.as_str(), order.reason))
        .collect()
}

fn postponed(plan: &Plan) -> Vec<ReasonCode> {
    plan.postponed.iter().map(|change| change.reason).collect()
}

use ReasonCode::{CapacityGuard, PlacementMissing, VersionBehind, WeightStoreBusy};

#[rstest]
#[case::as_desired(vec![placed("e1", "a"), placed("e2", "a")], &[], &[])]
#[case::empty_engines(vec![empty("e1", "a"), empty("e2", "a")], &["e1", "e2"], &[])]
#[case::one_missing(vec![placed("e1", "a"), empty("e2", "a")], &["e2"], &[])]
#[case::dead_replica_replaced_by_a_spare_engine(vec![placed("e1", "a"), dead(placed("e2", "a")), empty("e3", "a")], &["e3"], &[])]
#[case::engine_of_a_retired_model_is_reused(vec![placed("e1", "a"), dead(placed("e2", "a")), other_model("e3", "a")], &["e3"], &[])]
#[case::empty_engine_before_retired_model(vec![placed("e1", "a"), other_model("e2", "a"), empty("e3", "a")], &["e3"], &[])]
#[case::no_free_engine(vec![placed("e1", "a"), dead(placed("e2", "a"))], &[], &[PlacementMissing])]
#[case::unreachable_replica_is_not_replaced(vec![placed("e1", "a"), unreachable(placed("e2", "a")), empty("e3", "a")], &[], &[])]
#[case::unreachable_engine_is_not_used(vec![placed("e1", "a"), unreachable(empty("e2", "a"))], &[], &[PlacementMissing])]
#[case::dead_engine_is_not_used(vec![placed("e1", "a"), dead(empty("e2", "a"))], &[], &[PlacementMissing])]
#[case::engine_of_another_zone_is_not_used(vec![placed("e1", "a"), empty("e2", "b")], &[], &[PlacementMissing])]
#[case::application_replica_is_not_used(vec![placed("e1", "a"), PlacedReplica { info: application("t1", "a"), ..placed("t1", "a") }], &[], &[PlacementMissing])]
fn missing_replicas_are_placed(
    #[case] replicas: Vec<PlacedReplica>,
    #[case] loads: &[&str],
    #[case] expected_postponed: &[ReasonCode],
) {
    let plan = planned(&fleet(2, 0, ""), &replicas, &[], LOADS);
    let expected: Vec<_> = loads.iter().map(|name| (*name, PlacementMissing)).collect();
    assert_eq!(ordered(&plan), expected);
    assert!(plan.orders.iter().all(|order| order.order == load()));
    assert_eq!(postponed(&plan), expected_postponed);
}

#[test]
fn a_leaving_replica_is_replaced_before_it_departs() {
    let mut leaving = placed("e1", "a");
    leaving.info.machine.state = MachineState::Leaving;
    let replicas = [leaving, empty("e2", "a")];
    let plan = planned(&fleet(1, 0, ""), &replicas, &[], LOADS);
    assert_eq!(ordered(&plan), [("e2", PlacementMissing)]);
}

#[test]
fn the_weight_store_limits_the_loads() {
    let replicas = ["e1", "e2", "e3"].map(|name| empty(name, "a"));
    let plan = planned(&fleet(3, 0, ""), &replicas, &[], 2);
    assert_eq!(plan.orders.len(), 2);
    assert_eq!(postponed(&plan), [WeightStoreBusy]);
}

#[rstest]
#[case::open(1_000, 0)]
#[case::timed_out(60_000, 1)]
fn an_open_order_is_not_repeated_before_its_timeout(#[case] age_ms: u64, #[case] orders: usize) {
    let plan = plan(
        later(age_ms),
        &fleet(1, 0, ""),
        &[empty("e1", "a")],
        &[open("e1", load())],
        LOADS,
        PlacementSettings::default(),
    );
    assert_eq!(plan.orders.len(), orders);
}

#[rstest]
#[case::idle_one_at_a_time([0, 0, 0, 0], 1, None)]
#[case::moderately_busy([40, 40, 30, 40], 1, None)]
#[case::too_busy_to_interrupt_one([60, 60, 60, 60], 0, Some(CapacityGuard))]
fn a_roll_out_keeps_the_capacity_that_online_needs(
    #[case] online: [u32; 4],
    #[case] orders: usize,
    #[case] expected_postponed: Option<ReasonCode>,
) {
    let names = ["e1", "e2", "e3", "e4"];
    let replicas: Vec<_> = (0..4)
        .map(|number| old_version(names[number], ["a", "a", "b", "b"][number], online[number]))
        .collect();
    let plan = planned(&fleet(2, 2, ""), &replicas, &[], LOADS);
    assert_eq!(plan.orders.len(), orders);
    let expected_postponed = expected_postponed.or(Some(CapacityGuard));
    assert_eq!(postponed(&plan).first().copied(), expected_postponed);
    if let Some(order) = plan.orders.first() {
        let least = online.iter().min().unwrap();
        let position = names
            .iter()
            .position(|name| order.replica.as_str() == *name);
        assert_eq!(
            online[position.unwrap()],
            *least,
            "the least loaded replica is updated first"
        );
        assert_eq!(order.reason, VersionBehind);
    }
}

/// Runs a roll-out to its end and checks after each step that every zone keeps a serving replica.
#[rstest]
#[case(2, 2)]
#[case(3, 1)]
#[case(6, 6)]
fn a_roll_out_ends_and_keeps_every_zone_serving(#[case] in_a: u32, #[case] in_b: u32) {
    let fleet = fleet(in_a, in_b, "");
    let mut replicas: Vec<PlacedReplica> = (0..in_a)
        .map(|number| old_version(&format!("a{number}"), "a", 10))
        .chain((0..in_b).map(|number| old_version(&format!("b{number}"), "b", 10)))
        .collect();
    let mut steps = 0;
    loop {
        let plan = planned(&fleet, &replicas, &[], LOADS);
        if plan.orders.is_empty() {
            break;
        }
        let changing: Vec<_> = plan.orders.iter().map(|order| &order.replica).collect();
        let all = replicas.len();
        assert!(changing.len() <= (all / 4).max(1));
        for (zone, desired) in [("a", in_a), ("b", in_b)] {
            let serving = replicas
                .iter()
                .filter(|replica| replica.info.machine.zone.as_str() == zone)
                .filter(|replica| !changing.contains(&&replica.info.machine.replica))
                .count();
            assert!(
                serving > 0 || desired == 1,
                "zone {zone} has no serving replica"
            );
        }
        for replica in &mut replicas {
            if changing.contains(&&replica.info.machine.replica) {
                replica.info.engine.version = "v1".to_owned();
            }
        }
        steps += 1;
        assert!(steps < 50, "the roll-out does not end");
    }
    assert!(
        replicas
            .iter()
            .all(|replica| replica.info.engine.version == "v1")
    );
}

#[test]
fn the_only_replica_of_a_pool_is_still_updated() {
    let plan = planned(&fleet(1, 0, ""), &[old_version("e1", "a", 5)], &[], LOADS);
    assert_eq!(ordered(&plan), [("e1", VersionBehind)]);
}

#[test]
fn the_last_serving_replica_of_a_larger_pool_is_kept() {
    let replicas = [old_version("e1", "a", 0), dead(old_version("e2", "a", 0))];
    let plan = planned(&fleet(2, 0, ""), &replicas, &[], LOADS);
    assert_eq!(ordered(&plan), []);
    assert_eq!(postponed(&plan), [PlacementMissing, CapacityGuard]);
}

#[rstest]
#[case::before_the_load(|_: &mut PlacedReplica| {}, true)]
#[case::while_it_loads(|replica: &mut PlacedReplica| replica.info.engine.model = None, true)]
#[case::while_its_adapters_are_missing(|replica: &mut PlacedReplica| replica.info.engine.version = "v1".to_owned(), false)]
#[case::while_it_is_unreachable(|replica: &mut PlacedReplica| replica.health = ReplicaHealth::Unreachable, true)]
fn a_roll_out_counts_replicas_that_are_already_changing(
    #[case] change: fn(&mut PlacedReplica),
    #[case] has_order: bool,
) {
    let adapter = "[[model.adapter]]\nname = \"lane\"\nversion = \"3\"";
    let mut replicas: Vec<_> = (0..4)
        .map(|number| old_version(&format!("e{number}"), "a", 0))
        .collect();
    change(&mut replicas[0]);
    let open_orders = [open("e0", load())];
    let open_orders = if has_order { &open_orders[..] } else { &[] };
    let plan = planned(&fleet(4, 0, adapter), &replicas, open_orders, LOADS);
    let is_load = |order: &&PlannedOrder| matches!(order.order, EngineOrder::LoadModel { .. });
    assert_eq!(plan.orders.iter().find(is_load), None);
    assert_eq!(postponed(&plan), [CapacityGuard]);
}

#[test]
fn a_missing_adapter_is_loaded_on_every_replica() {
    let adapter = "[[model.adapter]]\nname = \"lane\"\nversion = \"3\"";
    let mut has_it = placed("e2", "a");
    has_it.info.engine.adapters = vec!["lane".to_owned()];
    let replicas = [placed("e1", "a"), has_it, placed("e3", "a")];
    let plan = planned(&fleet(3, 0, adapter), &replicas, &[], 0);
    let expected = ["e1", "e3"].map(|name| (name, ReasonCode::AdapterMissing));
    assert_eq!(ordered(&plan), expected);
}

#[rstest]
#[case::all_mixed(0, &[], None)]
#[case::first_step(25, &[], Some(EngineRole::Prefill))]
#[case::second_step(25, &[EngineRole::Prefill], Some(EngineRole::Decode))]
#[case::done(25, &[EngineRole::Prefill, EngineRole::Decode, EngineRole::Decode, EngineRole::Decode], None)]
#[case::back_to_mixed(0, &[EngineRole::Prefill], Some(EngineRole::Mixed))]
fn roles_change_one_replica_at_a_time(
    #[case] prefill_percent: u8,
    #[case] roles: &[EngineRole],
    #[case] expected: Option<EngineRole>,
) {
    let fleet = fleet(4, 0, &format!("prefill_percent = {prefill_percent}"));
    let mut replicas = ["e1", "e2", "e3", "e4"].map(|name| placed(name, "a"));
    for (replica, role) in replicas.iter_mut().zip(roles) {
        replica.info.engine.role = *role;
    }
    let plan = planned(&fleet, &replicas, &[], LOADS);
    let orders: Vec<_> = plan.orders.iter().map(|order| &order.order).collect();
    let expected = expected.map(EngineOrder::ChangeRole);
    assert_eq!(orders, expected.iter().collect::<Vec<_>>());
}

#[test]
fn equal_input_gives_an_equal_plan() {
    let replicas: Vec<_> = (0..8)
        .map(|number| old_version(&format!("e{number}"), "a", number % 3))
        .collect();
    let run = || planned(&fleet(8, 0, ""), &replicas, &[], LOADS);
    assert_eq!(run(), run());
}
