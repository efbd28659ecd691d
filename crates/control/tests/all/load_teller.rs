//! A gateway is told of loads within its bound, the important ones first.

use std::collections::BTreeMap;

use linnethitch_control::load_teller::{KnownLoad, LoadNews, LoadTeller, MAX_LOADS_A_ROUND};
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

    fn tell(&self, teller: &mut LoadTeller, round: u64) -> LoadNews {
        let known = self.loads.iter().map(|(replica, (zone, load))| KnownLoad {
            replica,
            zone,
            load: *load,
        });
        teller.next(round * ROUND_MS, known)
    }
}

fn replica(number: usize) -> ReplicaId {
    ReplicaId(format!("engine-{number}"))
}

fn told(news: &LoadNews) -> Vec<ShortReplicaId> {
    news.digest.loads.iter().map(|load| load.replica).collect()
}

/// Loads set after the first round, and the replicas that the second round tells of.
#[rstest]
#[case::nothing_changed(&[], &[])]
#[case::a_change(&[(3, 5)], &[3])]
#[case::same_level(&[(3, 0)], &[])]
#[case::larger_first(&[(2, 1), (4, 9)], &[4, 2])]
#[case::own_zone_first(&[(1, 2), (2, 1)], &[2, 1])]
fn changes_are_told_by_importance(#[case] set: &[(usize, u32)], #[case] expected: &[usize]) {
    let mut fleet = Fleet::new(6);
    let mut teller = LoadTeller::new(ZoneId::from("a"));
    let first = fleet.tell(&mut teller, 1);
    assert_eq!(first.whole.len(), 6);
    assert!(first.digest.loads.is_empty());
    for (number, running) in set {
        fleet.set(*number, *running, 100);
    }
    let second = fleet.tell(&mut teller, 2);
    assert!(second.whole.is_empty());
    let expected: Vec<ShortReplicaId> = expected
        .iter()
        .map(|number| ShortReplicaId::from(&replica(*number)))
        .collect();
    assert_eq!(told(&second), expected);
    assert!(fleet.tell(&mut teller, 3).digest.loads.is_empty());
}

#[test]
fn when_all_change_each_round_is_bounded_and_nobody_is_held_back_for_ever() {
    let mut fleet = Fleet::new(600);
    let mut teller = LoadTeller::new(ZoneId::from("a"));
    fleet.tell(&mut teller, 1);
    let mut last_told: BTreeMap<ShortReplicaId, u64> = BTreeMap::new();
    for round in 2..80 {
        for number in 0..600 {
            fleet.set(number, (round as u32) % 16, round * ROUND_MS);
        }
        let news = fleet.tell(&mut teller, round);
        assert!(news.whole.is_empty());
        assert_eq!(news.digest.loads.len(), MAX_LOADS_A_ROUND);
        last_told.extend(told(&news).into_iter().map(|replica| (replica, round)));
    }
    assert_eq!(last_told.len(), 600);
    let longest = last_told.values().map(|round| 80 - round).max().unwrap();
    assert!(longest <= 30, "a change was held back for {longest} rounds");
}

#[test]
fn changed_capacities_and_replicas_that_come_back_are_told_whole() {
    let mut fleet = Fleet::new(2);
    let mut teller = LoadTeller::new(ZoneId::from("a"));
    fleet.tell(&mut teller, 1);
    fleet.loads.get_mut(&replica(0)).unwrap().1.max_running = 32;
    let gone = fleet.loads.remove(&replica(1)).unwrap();
    let news = fleet.tell(&mut teller, 2);
    assert_eq!(news.whole[0].replica, replica(0));
    assert_eq!(news.whole.len(), 1);
    fleet.loads.insert(replica(1), gone);
    let news = fleet.tell(&mut teller, 3);
    assert_eq!(news.whole[0].replica, replica(1));
}
