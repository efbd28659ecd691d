//! What gateways have under way, summed for all others.

use std::{collections::BTreeMap, time::Duration};

use linnethitch_cluster::{LoadTable, ReplicaKey, RunningCounts};
use linnethitch_protocol::ids::MachineId;
use rstest::rstest;

fn counts(list: &[(&str, u32)]) -> RunningCounts {
    let mut counts = RunningCounts::default();
    for (replica, running) in list {
        counts.push(ReplicaKey::of(replica), *running);
    }
    counts
}

fn told(counts: &RunningCounts) -> BTreeMap<ReplicaKey, u32> {
    counts.iter().collect()
}

#[test]
fn a_gateway_is_told_the_sum_of_all_others() {
    let mut table = LoadTable::default();
    table.exchange(MachineId(1), counts(&[("a", 2), ("b", 1)]), 0);
    let seen_by_second = table.exchange(MachineId(2), counts(&[("a", 3)]), 10);
    assert_eq!(told(&seen_by_second), told(&counts(&[("a", 2), ("b", 1)])));
    let seen_by_first = table.exchange(MachineId(1), counts(&[("b", 1)]), 20);
    assert_eq!(told(&seen_by_first), told(&counts(&[("a", 3)])));
    let seen_by_second = table.exchange(MachineId(2), counts(&[]), 30);
    assert_eq!(told(&seen_by_second), told(&counts(&[("b", 1)])));
}

/// A gateway that is gone counts no longer than its last word is valid.
#[rstest]
#[case::lately(1_500, 2)]
#[case::long_ago(1_501, 0)]
fn a_silent_gateway_is_forgotten(#[case] now_ms: u64, #[case] expected: u32) {
    let mut table = LoadTable::default();
    table.exchange(MachineId(1), counts(&[("a", 2)]), 0);
    let seen = table.exchange(MachineId(2), counts(&[]), now_ms);
    let seen = told(&seen);
    assert_eq!(
        seen.get(&ReplicaKey::of("a")).copied().unwrap_or(0),
        expected
    );
}

/// Replicas in an answer, and the time until the next question: 1,500 bytes a second.
#[rstest]
#[case::few(50, 200)]
#[case::plan(600, 1_200)]
fn answers_stay_within_their_bytes(#[case] replicas: u32, #[case] interval_ms: u64) {
    let mut counts = RunningCounts::default();
    for number in 0..replicas {
        counts.push(ReplicaKey::of(&number.to_string()), 1);
    }
    assert_eq!(counts.interval(), Duration::from_millis(interval_ms));
}
