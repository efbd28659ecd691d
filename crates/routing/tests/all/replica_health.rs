//! A replica that fails its requests is ejected for all gateways, and tried again by one run at a
//! time.

use linnethitch_protocol::{
    ids::MachineId,
    slots::{AskMode, RunOutcome, Verdict},
};
use linnethitch_routing::dispatch::{
    Ask, CoordinatedReplica, Due, LeaseKey, RunNumber, SlotAction, SlotCoordinator, WaitingItem,
};
use rstest::rstest;

const OWN: MachineId = MachineId(9);
/// After a new coordinator's settling time.
const START_MS: u64 = 1_000;

fn coordinator() -> SlotCoordinator {
    let mut coordinator = SlotCoordinator::default();
    let replica = CoordinatedReplica {
        id: "a".to_owned(),
        service: "models".to_owned(),
        slots: 4,
        open: true,
        evacuated: false,
    };
    coordinator.set_replicas(vec![replica], 0);
    coordinator
}

fn key(holder: u32, number: u64) -> LeaseKey {
    LeaseKey {
        holder: MachineId(holder),
        number,
    }
}

fn ask(coordinator: &mut SlotCoordinator, key: LeaseKey, mode: AskMode, now_ms: u64) -> Verdict {
    let ask = Ask {
        key,
        replica: "a".to_owned(),
        due: Due {
            at_ms: now_ms + 300,
        },
        rank: 0,
        mode,
    };
    let actions = coordinator.ask(ask, now_ms);
    let verdict = actions.iter().find_map(|action| match action {
        SlotAction::Answer { verdict, .. } => Some(*verdict),
        _ => None,
    });
    verdict.expect("an answer")
}

/// Runs requests of the given gateways one after the other with the given outcomes.
fn run(coordinator: &mut SlotCoordinator, runs: &[(u32, RunOutcome)], now_ms: u64) {
    for (number, (holder, outcome)) in runs.iter().enumerate() {
        let key = key(*holder, now_ms * 100 + number as u64);
        ask(coordinator, key, AskMode::Force, now_ms);
        coordinator.record_run(key, *outcome, now_ms);
        coordinator.end(key, now_ms);
    }
}

fn is_ejected(coordinator: &SlotCoordinator) -> bool {
    coordinator.all_loads()[0].closed
}

const OK: RunOutcome = RunOutcome::Served;
const BAD: RunOutcome = RunOutcome::Failed;
const NONE: RunOutcome = RunOutcome::Unknown;
const HUNG: RunOutcome = RunOutcome::Silent;

#[rstest]
#[case::two_consecutive(&[(1, BAD), (2, BAD)], false)]
#[case::three_consecutive(&[(1, BAD), (2, BAD), (1, BAD)], true)]
#[case::reported_by_one_gateway(&[(1, BAD), (1, BAD), (1, BAD), (1, BAD)], false)]
#[case::one_was_served_between(&[(1, BAD), (2, BAD), (3, OK), (1, BAD), (2, BAD)], false)]
#[case::some_without_result(&[(1, BAD), (2, NONE), (2, BAD), (3, NONE), (1, BAD)], true)]
#[case::nearly_half_of_many(&[(1, BAD), (2, OK), (3, BAD), (1, OK), (2, BAD), (3, OK), (1, BAD), (2, OK), (3, BAD)], true)]
#[case::one_of_three(&[(1, BAD), (2, OK), (3, OK), (1, BAD), (2, OK), (3, OK), (1, BAD), (2, OK), (3, OK), (1, BAD), (2, OK), (3, OK)], false)]
#[case::silent_to_all(&[(1, HUNG), (2, HUNG), (3, HUNG)], true)]
#[case::callers_left(&[(1, NONE), (2, NONE), (3, NONE), (1, NONE)], false)]
fn a_replica_is_ejected_after_failures(#[case] runs: &[(u32, RunOutcome)], #[case] closed: bool) {
    let mut coordinator = coordinator();
    run(&mut coordinator, runs, START_MS);
    assert_eq!(is_ejected(&coordinator), closed);
    let verdict = ask(&mut coordinator, key(5, 1), AskMode::Probe, START_MS);
    assert_eq!(verdict == Verdict::Full, closed);
}

/// A slow replica lets some requests wait for long while it serves others.
#[test]
fn a_replica_that_serves_other_requests_is_slow_not_silent() {
    let mut coordinator = coordinator();
    for number in 1..=3 {
        ask(&mut coordinator, key(number, 1), AskMode::Force, START_MS);
    }
    run(&mut coordinator, &[(4, OK)], START_MS + 500);
    for number in 1..=3 {
        coordinator.record_run(key(number, 1), HUNG, START_MS + 1_200);
    }
    assert!(!is_ejected(&coordinator));
}

/// Runs of several gateways are under way when one event breaks them all off, as the end of a
/// process or a reset of all connections. Cases: the outcomes of runs that begin afterwards.
#[rstest]
#[case::nothing_begins(&[], false)]
#[case::one_fails(&[BAD], false)]
#[case::it_serves_again(&[BAD, OK, BAD, BAD], false)]
#[case::two_fail(&[BAD, BAD], true)]
fn runs_broken_off_by_one_event_count_as_one_failure(
    #[case] later_outcomes: &[RunOutcome],
    #[case] expected: bool,
) {
    let mut coordinator = coordinator();
    for holder in 1..=4 {
        ask(&mut coordinator, key(holder, 1), AskMode::Force, START_MS);
    }
    for holder in 1..=4 {
        coordinator.record_run(key(holder, 1), BAD, START_MS + 10);
        coordinator.end(key(holder, 1), START_MS + 10);
    }
    assert!(!is_ejected(&coordinator));
    let later: Vec<_> = later_outcomes.iter().map(|outcome| (5, *outcome)).collect();
    run(&mut coordinator, &later, START_MS + 20);
    assert_eq!(is_ejected(&coordinator), expected);
}

/// A machine that hangs keeps all its runs waiting; none is broken off.
#[test]
fn concurrent_runs_that_hang_count_separately() {
    let mut coordinator = coordinator();
    for holder in 1..=3 {
        ask(&mut coordinator, key(holder, 1), AskMode::Force, START_MS);
    }
    for holder in 1..=3 {
        coordinator.record_run(key(holder, 1), HUNG, START_MS + 1_200);
    }
    assert!(is_ejected(&coordinator));
}

/// A run that began before the ejection is served: the replica does not fail everything.
#[test]
fn a_served_run_ends_the_ejection() {
    let mut coordinator = coordinator();
    ask(&mut coordinator, key(4, 1), AskMode::Force, START_MS);
    run(&mut coordinator, &[(1, BAD), (2, BAD), (3, BAD)], START_MS);
    assert!(is_ejected(&coordinator));
    coordinator.record_run(key(4, 1), OK, START_MS + 50);
    assert!(!is_ejected(&coordinator));
}

/// The replica served its trial, so the next failures are a new fault.
#[test]
fn the_ejection_time_starts_anew_after_a_served_trial() {
    let mut coordinator = coordinator_with_ejected_replica();
    let trial_ms = START_MS + 500;
    run(&mut coordinator, &[(1, OK)], trial_ms);
    assert!(!is_ejected(&coordinator));
    run(
        &mut coordinator,
        &[(1, BAD), (2, BAD), (3, BAD)],
        trial_ms + 100,
    );
    assert!(is_ejected(&coordinator));
    let verdict = ask(
        &mut coordinator,
        key(4, 1),
        AskMode::Probe,
        trial_ms + 100 + 500,
    );
    assert_eq!(verdict, Verdict::Granted);
}

fn coordinator_with_ejected_replica() -> SlotCoordinator {
    let mut coordinator = coordinator();
    run(&mut coordinator, &[(1, BAD), (2, BAD), (3, BAD)], START_MS);
    coordinator
}

#[test]
fn one_request_is_the_trial_after_the_ejection() {
    let mut coordinator = coordinator_with_ejected_replica();
    let trial_ms = START_MS + 500;
    assert_eq!(
        ask(&mut coordinator, key(1, 1), AskMode::Wait, trial_ms - 1),
        Verdict::Full
    );
    assert_eq!(
        ask(&mut coordinator, key(1, 2), AskMode::Probe, trial_ms),
        Verdict::Granted
    );
    assert_eq!(
        ask(&mut coordinator, key(2, 1), AskMode::Probe, trial_ms),
        Verdict::Full
    );
    coordinator.record_run(key(1, 2), OK, trial_ms + 10);
    coordinator.end(key(1, 2), trial_ms + 10);
    assert!(!is_ejected(&coordinator));
    assert_eq!(
        ask(&mut coordinator, key(2, 2), AskMode::Probe, trial_ms + 10),
        Verdict::Granted
    );
}

/// The outcome of each trial, and when the next one may begin.
#[rstest]
#[case::fails_again(&[BAD], 1_000)]
#[case::fails_twice(&[BAD, BAD], 2_000)]
#[case::fails_for_long(&[BAD, BAD, BAD, BAD, BAD, BAD, BAD], 8_000)]
#[case::caller_left(&[NONE], 0)]
fn the_ejection_time_doubles_while_trials_fail(
    #[case] trials: &[RunOutcome],
    #[case] ejection_ms: u64,
) {
    let mut coordinator = coordinator_with_ejected_replica();
    let mut now_ms = START_MS + 500;
    for (number, outcome) in trials.iter().enumerate() {
        let key = key(1, number as u64);
        while ask(&mut coordinator, key, AskMode::Probe, now_ms) != Verdict::Granted {
            now_ms += 100;
        }
        coordinator.record_run(key, *outcome, now_ms);
        coordinator.end(key, now_ms);
    }
    let next = key(2, 1);
    if ejection_ms > 0 {
        let verdict = ask(
            &mut coordinator,
            next,
            AskMode::Probe,
            now_ms + ejection_ms - 1,
        );
        assert_eq!(verdict, Verdict::Full);
    }
    let verdict = ask(&mut coordinator, next, AskMode::Probe, now_ms + ejection_ms);
    assert_eq!(verdict, Verdict::Granted);
}

#[test]
fn a_waiting_batch_item_is_the_trial() {
    let mut coordinator = coordinator_with_ejected_replica();
    let item = |run| WaitingItem {
        run: RunNumber(run),
        service: "models".to_owned(),
        due: Due { at_ms: 60_000 },
        avoid: Vec::new(),
        except: Vec::new(),
    };
    assert!(coordinator.enqueue_item(item(1), START_MS + 100).is_empty());
    coordinator.enqueue_item(item(2), START_MS + 100);
    let started = coordinator.tick(START_MS + 500);
    assert_eq!(started.len(), 1, "{started:?}");
    let verdict = ask(&mut coordinator, key(1, 1), AskMode::Probe, START_MS + 501);
    assert_eq!(verdict, Verdict::Full);
    coordinator.record_item_run(RunNumber(1), OWN, OK, START_MS + 600);
    let started = coordinator.item_ended(RunNumber(1), START_MS + 600);
    assert_eq!(started.len(), 1, "{started:?}");
    assert!(!is_ejected(&coordinator));
}

#[test]
fn waiting_requests_are_rejected_at_ejection() {
    let mut coordinator = coordinator();
    for number in 0..4 {
        ask(&mut coordinator, key(1, number), AskMode::Probe, START_MS);
    }
    assert_eq!(
        ask(&mut coordinator, key(2, 9), AskMode::Wait, START_MS),
        Verdict::Queued
    );
    coordinator.record_run(key(1, 0), BAD, START_MS + 1);
    run(&mut coordinator, &[(3, BAD)], START_MS + 1);
    let actions = coordinator.record_run(key(1, 1), BAD, START_MS + 1);
    let rejected = SlotAction::Answer {
        key: key(2, 9),
        replica: "a".to_owned(),
        verdict: Verdict::Full,
    };
    let health_report = SlotAction::ReportHealth {
        replica: "a".to_owned(),
        closed: true,
    };
    assert_eq!(actions, [health_report, rejected]);
}

/// A trial without a reported end does not keep the replica ejected.
#[test]
fn a_lost_trial_is_followed_by_another() {
    let mut coordinator = coordinator_with_ejected_replica();
    let first = START_MS + 500;
    assert_eq!(
        ask(&mut coordinator, key(1, 1), AskMode::Probe, first),
        Verdict::Granted
    );
    assert_eq!(
        ask(&mut coordinator, key(2, 1), AskMode::Probe, first + 2_999),
        Verdict::Full
    );
    assert_eq!(
        ask(&mut coordinator, key(2, 1), AskMode::Probe, first + 3_000),
        Verdict::Granted
    );
}
