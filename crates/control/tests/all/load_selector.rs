//! Loads are selected for a gateway within its bound, by priority.

use std::collections::BTreeMap;

use linnethitch_control::load_selector::{
    KnownLoad, LoadSelector, LoadUpdate, MAX_LOADS_PER_ROUND,
};
use linnethitch_protocol::{
    fleet::LoadReport,
    ids::{ReplicaId, Timestamp, ZoneId},
    load_digest::ShortReplicaId,
};
use rstest::rstest;

const ROUND_MS: u64 = 1_000;

/// Replicas of zones `a` and `b`, one after the other.
struct Fleet {
    loads: BTreeMap<ReplicaId, (ZoneId, LoadReport)>,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let loads = (0..count).map(|number| {
            let zone = if number % 2 == 0 { "a" } else { "b" };
            let load = LoadReport {
                max_running: 64,
                ..LoadReport::default()
            };
            (replica(number), (ZoneId::from(zone), load))
        });
        Fleet {
            loads: loads.collect(),
        }
    }

    fn set(&mut self, number: usize, running: u32, measured_at: u64) {
        let (_, load) = self.loads.get_mut(&replica(number)).unwrap();
        load.running_online = running;
        load.measured_at = Timestamp(measured_at);
    }

    fn select(&self, selector: &mut LoadSelector, round: u64) -> LoadUpdate {
        let known = self.loads.iter().map(|(replica, (zone, load))| KnownLoad {
            replica,
            zone,
            load: *load,
        });
        selector.next(round * ROUND_MS, known)
    }
}

fn replica(number: usize) -> ReplicaId {
    ReplicaId(format!("engine-{number}"))
}

fn replicas_in(update: &LoadUpdate) -> Vec<ShortReplicaId> {
    update
        .digest
        .loads
        .iter()
        .map(|load| load.replica)
        .collect()
}

/// Loads set after the first round, and the replicas that the second round contains.
#[rstest]
#[case::nothing_changed(&[], &[])]
#[case::a_change(&[(3, 5)], &[3])]
#[case::same_level(&[(3, 0)], &[])]
#[case::larger_first(&[(2, 1), (4, 9)], &[4, 2])]
#[case::own_zone_first(&[(1, 2), (2, 1)], &[2, 1])]
fn changes_are_sent_by_priority(#[case] set: &[(usize, u32)], #[case] expected: &[usize]) {
    let mut fleet = Fleet::new(6);
    let mut selector = LoadSelector::new(ZoneId::from("a"));
    let first = fleet.select(&mut selector, 1);
    assert_eq!(first.full.len(), 6);
    assert!(first.digest.loads.is_empty());
    for (number, running) in set {
        fleet.set(*number, *running, 100);
    }
    let second = fleet.select(&mut selector, 2);
    assert!(second.full.is_empty());
    let expected: Vec<ShortReplicaId> = expected
        .iter()
        .map(|number| ShortReplicaId::from(&replica(*number)))
        .collect();
    assert_eq!(replicas_in(&second), expected);
    assert!(fleet.select(&mut selector, 3).digest.loads.is_empty());
}

#[test]
fn when_all_change_each_round_is_bounded_and_no_replica_starves() {
    let mut fleet = Fleet::new(600);
    let mut selector = LoadSelector::new(ZoneId::from("a"));
    fleet.select(&mut selector, 1);
    let mut last_sent: BTreeMap<ShortReplicaId, u64> = BTreeMap::new();
    for round in 2..80 {
        for number in 0..600 {
            fleet.set(number, (round as u32) % 16, round * ROUND_MS);
        }
        let update = fleet.select(&mut selector, round);
        assert!(update.full.is_empty());
        assert_eq!(update.digest.loads.len(), MAX_LOADS_PER_ROUND);
        last_sent.extend(
            replicas_in(&update)
                .into_iter()
                .map(|replica| (replica, round)),
        );
    }
    assert_eq!(last_sent.len(), 600);
    let longest = last_sent.values().map(|round| 80 - round).max().unwrap();
    assert!(longest <= 30, "a change was not sent for {longest} rounds");
}

#[test]
fn changed_capacities_and_returning_replicas_are_sent_in_full() {
    let mut fleet = Fleet::new(2);
    let mut selector = LoadSelector::new(ZoneId::from("a"));
    fleet.select(&mut selector, 1);
    fleet.loads.get_mut(&replica(0)).unwrap().1.max_running = 32;
    let removed = fleet.loads.remove(&replica(1)).unwrap();
    let update = fleet.select(&mut selector, 2);
    assert_eq!(update.full[0].replica, replica(0));
    assert_eq!(update.full.len(), 1);
    fleet.loads.insert(replica(1), removed);
    let update = fleet.select(&mut selector, 3);
    assert_eq!(update.full[0].replica, replica(1));
}
