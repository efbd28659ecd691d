//! Coordinators in another region are waited for as long as their answer needs.

use std::time::Duration;

use linnethitch_protocol::ids::MachineId;
use linnethitch_routing::dispatch::{SilentCoordinators, answer_timeout};
use rstest::rstest;

const COORDINATOR: MachineId = MachineId(7);

/// Sends a request every 10 ms to a coordinator that answers after the round trip and some work.
/// Returns how many were not coordinated because their answer was not waited for.
fn uncoordinated(round_trip_ms: u64, work_ms: u64) -> usize {
    let round_trip = Duration::from_millis(round_trip_ms);
    let limit_ms = answer_timeout(round_trip).as_millis() as u64;
    let mut silent = SilentCoordinators::default();
    let request_times = (0..100).map(|number| number * 10);
    let (mut ends, mut missed) = (Vec::new(), 0);
    for at_ms in request_times {
        ends.retain(|(end_ms, has_answered)| {
            if *end_ms > at_ms {
                return true;
            }
            if *has_answered {
                silent.note_answer(COORDINATOR);
            } else {
                silent.note_silence(COORDINATOR, *end_ms);
            }
            false
        });
        let answer_ms = round_trip_ms + work_ms;
        let is_in_time = answer_ms <= limit_ms;
        if silent.is_silent(COORDINATOR, at_ms) || !is_in_time {
            missed += 1;
        }
        if !silent.is_silent(COORDINATOR, at_ms) {
            ends.push((at_ms + answer_ms.min(limit_ms), is_in_time));
        }
    }
    missed
}

/// The round trip to the other region takes 24 ms: with one limit of 25 ms for all distances each
/// answer that took 2 ms of work came too late, and bursts were sent uncoordinated.
#[rstest]
#[case::in_the_zone(0, 20)]
#[case::another_zone(1, 20)]
#[case::another_region(24, 2)]
#[case::another_region_that_is_busy(24, 20)]
fn a_coordinator_that_answers_is_waited_for_at_any_distance(
    #[case] round_trip_ms: u64,
    #[case] work_ms: u64,
) {
    assert_eq!(uncoordinated(round_trip_ms, work_ms), 0);
}

/// An unreachable coordinator delays few requests: those sent until the first timeout, and some
/// after each pause.
#[rstest]
#[case::in_the_zone(0, 12)]
#[case::another_region(24, 22)]
fn an_unreachable_coordinator_delays_few_requests(
    #[case] round_trip_ms: u64,
    #[case] max_waits: usize,
) {
    let limit = answer_timeout(Duration::from_millis(round_trip_ms));
    let mut silent = SilentCoordinators::default();
    let (mut waits, mut ends) = (0, Vec::new());
    for at_ms in (0..1_000).step_by(10) {
        ends.retain(|end_ms| {
            if *end_ms <= at_ms {
                silent.note_silence(COORDINATOR, *end_ms);
            }
            *end_ms > at_ms
        });
        if !silent.is_silent(COORDINATOR, at_ms) {
            waits += 1;
            ends.push(at_ms + limit.as_millis() as u64);
        }
    }
    assert!(waits <= max_waits, "{waits}");
}

#[test]
fn a_late_answer_ends_the_silence() {
    let mut silent = SilentCoordinators::default();
    silent.note_silence(COORDINATOR, 1_000);
    assert!(silent.is_silent(COORDINATOR, 1_299));
    assert!(!silent.is_silent(COORDINATOR, 1_300));
    silent.note_answer(COORDINATOR);
    assert!(!silent.is_silent(COORDINATOR, 1_100));
}
