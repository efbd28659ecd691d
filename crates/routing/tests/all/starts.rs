//! What a coordinator knows of a replica belongs to one start of it.

use linnethitch_protocol::{
    ids::MachineId,
    slots::{AskMode, RunOutcome, Verdict},
};
use linnethitch_routing::dispatch::{
    Ask, CoordinatedReplica, Due, LeaseKey, SlotAction, SlotCoordinator,
};

const FIRST: &str = "a#1";
const SECOND: &str = "a#2";
/// After a new coordinator's time to settle.
const START_MS: u64 = 1_000;

/// The replica in this start is coordinated here from now on.
fn set_start(coordinator: &mut SlotCoordinator, start: &str, now_ms: u64) -> Vec<SlotAction> {
    let replica = CoordinatedReplica {
        id: start.to_owned(),
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

fn ask(coordinator: &mut SlotCoordinator, start: &str, holder: u32, now_ms: u64) -> Vec<Verdict> {
    let ask = Ask {
        key: key(holder),
        replica: start.to_owned(),
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

/// The first start has failed three gateways and is closed; a fourth one has a lease.
fn closed_first_start() -> SlotCoordinator {
    let mut coordinator = SlotCoordinator::default();
    set_start(&mut coordinator, FIRST, 0);
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
fn a_new_start_is_open_and_has_its_own_slots() {
    let mut coordinator = closed_first_start();
    set_start(&mut coordinator, SECOND, START_MS);
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
    // The end of a lease of the first start frees no slot of the second one.
    coordinator.record_run(key(4), RunOutcome::Failed, later);
    coordinator.end(key(4), later);
    assert_eq!(coordinator.all_loads()[0].online, 4);
}

#[test]
fn an_ask_for_an_earlier_start_is_sent_away() {
    let mut coordinator = closed_first_start();
    set_start(&mut coordinator, SECOND, START_MS);
    let later = 2 * START_MS;
    assert_eq!(ask(&mut coordinator, FIRST, 9, later), [Verdict::NotHere]);
}
