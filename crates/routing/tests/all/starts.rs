//! What a coordinator knows of a replica applies to one incarnation.

use linnethitch_protocol::{
    ids::MachineId,
    slots::{AskMode, RunOutcome, Verdict},
};
use linnethitch_routing::dispatch::{
    Ask, CoordinatedReplica, Due, LeaseKey, SlotAction, SlotCoordinator,
};

const FIRST: &str = "a#1";
const SECOND: &str = "a#2";
/// After a new coordinator's settling time.
const START_MS: u64 = 1_000;

/// Coordinates this incarnation of the replica from now on.
fn set_incarnation(
    coordinator: &mut SlotCoordinator,
    incarnation: &str,
    now_ms: u64,
) -> Vec<SlotAction> {
    let replica = CoordinatedReplica {
        id: incarnation.to_owned(),
        service: "models".to_owned(),
        slots: 4,
        open: true,
        evacuated: false,
    };
    coordinator.set_replicas(vec![replica], now_ms)
}

fn key(holder: u32) -> LeaseKey {
    LeaseKey {
        holder: MachineId(holder),
        number: 1,
    }
}

fn ask(
    coordinator: &mut SlotCoordinator,
    incarnation: &str,
    holder: u32,
    now_ms: u64,
) -> Vec<Verdict> {
    let ask = Ask {
        key: key(holder),
        replica: incarnation.to_owned(),
        due: Due {
            at_ms: now_ms + 300,
        },
        rank: 0,
        mode: AskMode::Wait,
    };
    verdicts(coordinator.ask(ask, now_ms))
}

fn verdicts(actions: Vec<SlotAction>) -> Vec<Verdict> {
    let verdicts = actions.into_iter().filter_map(|action| match action {
        SlotAction::Answer { verdict, .. } => Some(verdict),
        _ => None,
    });
    verdicts.collect()
}

/// The first incarnation failed requests of three gateways and is ejected; a fourth gateway has a
/// lease.
fn ejected_first_incarnation() -> SlotCoordinator {
    let mut coordinator = SlotCoordinator::default();
    set_incarnation(&mut coordinator, FIRST, 0);
    for holder in 1..=4 {
        ask(&mut coordinator, FIRST, holder, START_MS);
    }
    for holder in 1..=3 {
        coordinator.record_run(key(holder), RunOutcome::Failed, START_MS);
        coordinator.end(key(holder), START_MS);
    }
    assert!(coordinator.all_loads()[0].closed);
    coordinator
}

#[test]
fn a_new_incarnation_is_available_and_has_its_own_slots() {
    let mut coordinator = ejected_first_incarnation();
    set_incarnation(&mut coordinator, SECOND, START_MS);
    let load = &coordinator.all_loads()[0];
    assert_eq!((load.closed, load.online), (false, 0));
    let later = 2 * START_MS;
    for holder in 5..=8 {
        assert_eq!(
            ask(&mut coordinator, SECOND, holder, later),
            [Verdict::Granted]
        );
    }
    assert_eq!(coordinator.all_loads()[0].online, 4);
    // The end of a lease of the first incarnation frees no slot of the second one.
    coordinator.record_run(key(4), RunOutcome::Failed, later);
    coordinator.end(key(4), later);
    assert_eq!(coordinator.all_loads()[0].online, 4);
}

#[test]
fn a_request_for_an_earlier_incarnation_is_rejected() {
    let mut coordinator = ejected_first_incarnation();
    set_incarnation(&mut coordinator, SECOND, START_MS);
    let later = 2 * START_MS;
    assert_eq!(
        ask(&mut coordinator, FIRST, 9, later),
        [Verdict::NotCoordinator]
    );
}
