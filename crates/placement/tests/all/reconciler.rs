//! The reconciler with the emulator's engines and platform in virtual time.

use linnethitch_placement::reconciler::{Action, OrderAnswer};
use linnethitch_protocol::{fleet::EngineRole, ids::Timestamp};
use rstest::rstest;

use crate::world::{HoldAt, World, fleet_file};

const SECOND: u64 = 1_000;
const MINUTE: u64 = 60 * SECOND;

#[test]
fn empty_engines_are_loaded_and_orders_settled() {
    let adapter = "prefill_percent = 25\n[[model.adapter]]\nname = \"lane\"\nversion = \"3\"";
    let mut world = World::new(&fleet_file("v1", 4, 0, adapter)).with("a", 4, None);
    world.run_ms(MINUTE);
    let complete = world.serving_any("a", |state| state.adapters == ["lane"]);
    assert_eq!((world.serving("a", "v1"), complete), (4, 4));
    let prefill = world.serving_any("a", |state| state.role == EngineRole::Prefill);
    let decode = world.serving_any("a", |state| state.role == EngineRole::Decode);
    assert_eq!((prefill, decode), (1, 3));
    assert_eq!(world.ledger.open_orders(), []);
    assert_eq!(world.loads(), 4, "each engine loads once");
    let ended = world.reasons.iter().filter(|one| *one == "order_in_effect");
    assert_eq!(ended.count(), 12, "a model, an adapter and a role each");
}

/// A fault of the engine `a01`, and whether the spare engine is loaded in its place.
#[rstest]
#[case::process_dead_but_listed(|world: &mut World| world.engine("a01").answers = false, true)]
#[case::off_the_list(|world: &mut World| { world.platform.remove_machine(linnethitch_emulator::Time::from_millis(world.now_ms), &"a01".into()); }, true)]
#[case::leaving(|world: &mut World| world.engine("a01").core.set_leaving(true), true)]
#[case::restarted_with_nothing_loaded(|world: &mut World| world.restart_empty("a01"), false)]
fn the_model_of_a_dead_replica_is_placed_again(
    #[case] fault: fn(&mut World),
    #[case] on_spare: bool,
) {
    let mut world = World::new(&fleet_file("v1", 2, 0, ""))
        .with("a", 2, Some("v1"))
        .with("a", 1, None);
    world.run_ms(5 * SECOND);
    assert_eq!(world.loads(), 0);
    fault(&mut world);
    world.run_ms(30 * SECOND);
    assert_eq!(world.engine("a03").loads, u32::from(on_spare));
    assert_eq!(world.loads(), 1);
    assert!(world.serving("a", "v1") >= 2);
    assert_eq!(world.ledger.open_orders(), []);
}

#[test]
fn a_replica_that_is_silent_for_a_short_time_is_not_replaced() {
    let mut world = World::new(&fleet_file("v1", 2, 0, ""))
        .with("a", 2, Some("v1"))
        .with("a", 1, None);
    world.run_ms(5 * SECOND);
    world.engine("a01").answers = false;
    world.run_ms(8 * SECOND);
    world.engine("a01").answers = true;
    world.run_ms(30 * SECOND);
    assert_eq!(world.loads(), 0);
}

/// A new leader does not count replicas as dead that it has not polled yet.
#[test]
fn a_new_leader_polls_before_it_issues_orders() {
    let mut world = World::new(&fleet_file("v1", 2, 0, ""))
        .with("a", 2, Some("v1"))
        .with("a", 1, None);
    world.engine("a01").answers = false;
    world.run_ms(5 * SECOND);
    world.change_leader();
    world.run_ms(5 * SECOND);
    world.engine("a01").answers = true;
    world.run_ms(10 * SECOND);
    assert_eq!(world.loads(), 0);
}

#[test]
fn an_empty_list_is_ignored_while_engines_answer() {
    let mut world = World::new(&fleet_file("v1", 2, 0, "")).with("a", 2, Some("v1"));
    world.run_ms(5 * SECOND);
    let listed = world.platform.current().to_vec();
    let set = |world: &mut World, machines| {
        let now = linnethitch_emulator::Time::from_millis(world.now_ms);
        world.platform.set_machines(now, machines);
    };
    set(&mut world, Vec::new());
    world.leader.take_changed_replicas(Timestamp(world.now_ms));
    world.run_ms(10 * SECOND);
    let now = Timestamp(world.now_ms);
    assert_eq!(world.leader.take_changed_replicas(now), None);
    assert!(world.has_record_of("list_empty"));
    world
        .engines
        .values_mut()
        .for_each(|one| one.answers = false);
    world.run_ms(10 * SECOND);
    let now = Timestamp(world.now_ms);
    assert_eq!(world.leader.take_changed_replicas(now), Some(Vec::new()));
    set(&mut world, listed);
    world
        .engines
        .values_mut()
        .for_each(|one| one.answers = true);
    world.run_ms(10 * SECOND);
    assert_eq!((world.loads(), world.serving("a", "v1")), (0, 2));
}

#[test]
fn a_machine_that_is_listed_twice_counts_once() {
    let mut world = World::new(&fleet_file("v1", 1, 0, "")).with("a", 1, Some("v1"));
    let machine = world.platform.current()[0].clone();
    let now = linnethitch_emulator::Time::ZERO;
    world
        .platform
        .set_machines(now, vec![machine.clone(), machine]);
    world.run_ms(20 * SECOND);
    let replicas = world.leader.take_changed_replicas(Timestamp(world.now_ms));
    assert_eq!(replicas.map(|replicas| replicas.len()), Some(1));
    let replicas = world.leader.take_changed_replicas(Timestamp(world.now_ms));
    assert_eq!((replicas, world.loads()), (None, 0));
    world.run_ms(5 * SECOND);
    let replicas = world.leader.take_changed_replicas(Timestamp(world.now_ms));
    assert_eq!(replicas, None, "nothing changes");
}

/// An engine that does not answer delays the publication of the others only for a short time.
#[rstest]
#[case::all_answer(true, 2 * SECOND, Some(3))]
#[case::not_yet(false, 2 * SECOND, None)]
#[case::in_time(false, 5 * SECOND, Some(3))]
fn a_new_leader_publishes_replicas_in_time(
    #[case] answers: bool,
    #[case] after_ms: u64,
    #[case] published: Option<usize>,
) {
    let mut world = World::new(&fleet_file("v1", 3, 0, "")).with("a", 3, Some("v1"));
    world.engine("a01").answers = answers;
    world.run_ms(after_ms);
    let now = Timestamp(world.now_ms);
    let replicas = world.leader.take_changed_replicas(now);
    assert_eq!(replicas.map(|replicas| replicas.len()), published);
}

/// The leader is isolated at some point of an order, another one takes over, and
/// the delayed action of the first leader arrives late.
#[rstest]
#[case::before_the_reservation(HoldAt::Reserve, false)]
#[case::before_the_commit(HoldAt::Issue, false)]
#[case::before_the_engine_received_it(HoldAt::Send, true)]
#[case::before_it_was_settled(HoldAt::Settle, false)]
fn an_order_is_executed_once_across_a_leader_change(
    #[case] hold: HoldAt,
    #[case] taken_over: bool,
) {
    let mut world = World::new(&fleet_file("v1", 1, 0, "")).with("a", 1, None);
    world.hold_at = Some(hold);
    world.run_ms(10 * SECOND);
    assert_eq!(
        world.held_actions.len(),
        1,
        "the first leader reached this action"
    );
    world.hold_at = None;
    world.change_leader();
    world.run_ms(10 * SECOND);
    assert_eq!(world.serving("a", "v1"), 1);
    assert_eq!(world.has_record_of("order_taken_over"), taken_over);
    for late in std::mem::take(&mut world.held_actions) {
        match late {
            Action::Send { order, .. } => {
                assert_eq!(world.deliver(&order), OrderAnswer::Fenced);
            }
            other => world.execute(other),
        }
    }
    world.run_ms(10 * SECOND);
    assert_eq!(world.loads(), 1);
    assert_eq!(world.serving("a", "v1"), 1);
    assert_eq!(world.ledger.open_orders(), []);
}

/// A new leader waits for the effect of an order that the engine accepted before.
#[test]
fn a_new_leader_does_not_repeat_a_load_in_progress() {
    let mut world = World::new(&fleet_file("v1", 1, 0, "")).with("a", 1, None);
    world.run_ms(4 * SECOND);
    assert_eq!((world.loads(), world.serving("a", "v1")), (1, 0));
    world.change_leader();
    world.run_ms(20 * SECOND);
    assert_eq!((world.loads(), world.serving("a", "v1")), (1, 1));
    assert_eq!(world.ledger.open_orders(), []);
}

#[test]
fn an_order_is_sent_again_to_an_engine_that_lost_it() {
    let mut world = World::new(&fleet_file("v1", 1, 0, "")).with("a", 1, None);
    world.run_ms(4 * SECOND);
    assert_eq!(world.loads(), 1);
    world.restart_empty("a01");
    world.run_ms(10 * SECOND);
    assert_eq!((world.loads(), world.serving("a", "v1")), (2, 1));
    assert_eq!(world.store_grants, 1, "the weights are on the machine");
}

#[test]
fn an_order_for_a_dead_engine_is_abandoned() {
    let mut world = World::new(&fleet_file("v1", 1, 0, "")).with("a", 2, None);
    world.hold_at = Some(HoldAt::Send);
    world.run_ms(5 * SECOND);
    world.hold_at = None;
    let held_count = world.held_actions.len();
    assert_eq!(held_count, 1);
    world.engine("a01").answers = false;
    world.run_ms(30 * SECOND);
    assert!(world.has_record_of("replica_gone"));
    assert_eq!(world.engine("a02").loads, 1, "another engine loads instead");
    assert_eq!(world.ledger.open_orders(), []);
}

/// The emulated store starts 8 transfers at once and then 4 per second.
#[test]
fn the_rate_of_the_weight_store_is_respected() {
    let mut world = World::new(&fleet_file("v1", 40, 0, "")).with("a", 40, None);
    world.run_ms(MINUTE);
    assert_eq!(world.serving("a", "v1"), 40);
    assert_eq!(world.store_grants, 40);
    let refused = world.store_refusals;
    assert!(refused < 80, "{refused} refused reservations");
}

/// A roll-out under load. Zone `b` may fail during the roll-out.
#[rstest]
#[case::idle(6, 0, false)]
#[case::half_loaded(6, 32, false)]
#[case::zone_down(6, 20, true)]
#[case::small_pool(2, 10, false)]
fn a_roll_out_keeps_the_capacity_that_online_needs(
    #[case] in_each: u32,
    #[case] online: u32,
    #[case] zone_down: bool,
) {
    let old = fleet_file("v0", in_each, in_each, "");
    let mut world = World::new(&old)
        .with("a", in_each, Some("v0"))
        .with("b", in_each, Some("v0"));
    for engine in world.engines.values_mut() {
        engine.online = online;
    }
    world.run_ms(5 * SECOND);
    world
        .ledger
        .apply_fleet(&fleet_file("v1", in_each, in_each, ""));
    world.run_ms(6 * SECOND);
    if zone_down {
        let in_b = world.engines.values_mut().filter(|one| one.zone == "b");
        in_b.for_each(|engine| engine.answers = false);
        let in_a = world.engines.values_mut().filter(|one| one.zone == "a");
        // The load of zone b moves to zone a.
        in_a.for_each(|engine| engine.online = online * 2);
        world.run_ms(4 * SECOND);
    }
    let total = (if zone_down { 1 } else { 2 }) * in_each as usize;
    let minimum = total - (total / 4).max(1);
    world.run_checked(3 * MINUTE, |world| {
        let in_a = world.serving_any("a", |_| true);
        let serving = in_a + world.serving_any("b", |_| true);
        assert!(in_a > 0, "zone a is empty");
        assert!(serving >= minimum, "{serving} of {total} serve");
    });
    assert_eq!(world.serving("a", "v1"), in_each as usize);
    for engine in world.engines.values_mut() {
        engine.answers = true;
        engine.online = online;
    }
    world.run_ms(3 * MINUTE);
    assert_eq!(world.serving("b", "v1"), in_each as usize);
    assert_eq!(world.ledger.open_orders(), []);
}

#[test]
fn a_roll_out_waits_while_online_needs_every_replica() {
    let mut world = World::new(&fleet_file("v1", 4, 0, "")).with("a", 4, Some("v0"));
    for engine in world.engines.values_mut() {
        engine.online = 60;
    }
    world.run_ms(MINUTE);
    assert_eq!((world.loads(), world.serving("a", "v0")), (0, 4));
    assert!(world.has_record_of("capacity_guard"));
    for engine in world.engines.values_mut() {
        engine.online = 10;
    }
    world.run_ms(MINUTE);
    assert_eq!(world.serving("a", "v1"), 4);
}

/// The fleet file changes during a weight transfer, and the order is not issued.
#[test]
fn an_outdated_order_is_not_issued() {
    let mut world = World::new(&fleet_file("v1", 1, 0, "")).with("a", 1, None);
    while world.store_grants == 0 {
        world.run_ms(SECOND / 4);
    }
    world.ledger.apply_fleet(&fleet_file("v2", 1, 0, ""));
    world.run_ms(20 * SECOND);
    assert!(world.has_record_of("order_outdated"));
    assert_eq!((world.loads(), world.serving("a", "v2")), (1, 1));
}
