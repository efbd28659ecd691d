//! An engine before which the requests of an outage wait, while callers go on calling.
//!
//! Grounds for the figures: eight slots; streams of 0.6 to 1.2 s; a target of 300 ms and a time of
//! 5 s; the outage left two waves beside the one that runs; new calls take half of the
//! engine, one each 225 ms.

use std::{collections::BTreeMap, time::Duration};

use linnethitch_protocol::{
    ids::MachineId,
    slots::{AskMode, Verdict},
};
use linnethitch_routing::dispatch::{
    Ask, CoordinatedReplica, Due, LAST_CALL_SHARE, LeaseKey, SlotAction, SlotCoordinator, slot_wait,
};

const SLOTS: usize = 8;
const TARGET_MS: u64 = 300;
const TIME_MS: u64 = 5_000;
const BACKLOG: u64 = 24;
const NEW_CALLS: u64 = 16;
const NEW_CALL_EACH_MS: u64 = 225;
const ENGINE: &str = "engine";

/// The engine, which serves the first that came, and its coordinator.
struct Model {
    coordinator: SlotCoordinator,
    /// Requests in its own queue, by when they came.
    engine_queue: Vec<u64>,
    running: BTreeMap<u64, u64>,
    /// When each began to run.
    began: BTreeMap<u64, u64>,
    /// When a request that waits is sent all the same.
    sent_at: BTreeMap<u64, u64>,
}

impl Model {
    fn new() -> Self {
        let mut coordinator = SlotCoordinator::default();
        let engine = CoordinatedReplica {
            id: ENGINE.to_owned(),
            service: "models".to_owned(),
            slots: SLOTS as u32,
            open: true,
            evacuated: false,
        };
        coordinator.set_replicas(vec![engine], 0);
        Model {
            coordinator,
            engine_queue: Vec::new(),
            running: BTreeMap::new(),
            began: BTreeMap::new(),
            sent_at: BTreeMap::new(),
        }
    }

    fn ask(&mut self, number: u64, mode: AskMode, now_ms: u64) {
        let ask = Ask {
            key: key(number),
            replica: ENGINE.to_owned(),
            due: Due {
                at_ms: now_ms + TARGET_MS,
            },
            rank: 0,
            mode,
        };
        let actions = self.coordinator.ask(ask, now_ms);
        self.carry_out(actions);
    }

    fn arrive(&mut self, number: u64, now_ms: u64) {
        let last_call = Duration::from_millis(TIME_MS).mul_f64(LAST_CALL_SHARE);
        let wait = slot_wait(
            Duration::from_millis(TARGET_MS),
            last_call,
            Duration::from_millis(TIME_MS),
        );
        self.sent_at
            .insert(number, now_ms + wait.as_millis() as u64);
        self.ask(number, AskMode::Wait, now_ms);
    }

    fn carry_out(&mut self, actions: Vec<SlotAction>) {
        for action in actions {
            if let SlotAction::Answer { key, verdict, .. } = action
                && verdict == Verdict::Granted
                && self.sent_at.remove(&key.number).is_some()
            {
                self.engine_queue.push(key.number);
            }
        }
    }

    fn step(&mut self, now_ms: u64) {
        let due = self.sent_at.iter().filter(|(_, at_ms)| **at_ms <= now_ms);
        let due: Vec<u64> = due.map(|(number, _)| *number).collect();
        due.into_iter()
            .for_each(|number| self.ask(number, AskMode::Take, now_ms));
        let running = self.running.iter();
        let ended = running.filter(|(_, end_ms)| **end_ms <= now_ms);
        let ended: Vec<u64> = ended.map(|(number, _)| *number).collect();
        for number in ended {
            self.running.remove(&number);
            let actions = self.coordinator.end(key(number), now_ms);
            self.carry_out(actions);
        }
        while self.running.len() < SLOTS && !self.engine_queue.is_empty() {
            let number = self.engine_queue.remove(0);
            self.running.insert(number, now_ms + run_ms(number));
            self.began.insert(number, now_ms);
        }
    }
}

/// How long a run takes, in milliseconds.
fn run_ms(number: u64) -> u64 {
    600 + number * 37 % 7 * 100
}

fn key(number: u64) -> LeaseKey {
    LeaseKey {
        holder: MachineId(1),
        number,
    }
}

#[test]
fn new_calls_are_on_time_beside_the_backlog_of_an_outage() {
    let mut model = Model::new();
    (0..BACKLOG).for_each(|number| model.arrive(number, 0));
    for now_ms in 0..TIME_MS {
        if now_ms % NEW_CALL_EACH_MS == 0 && now_ms / NEW_CALL_EACH_MS < NEW_CALLS {
            model.arrive(BACKLOG + now_ms / NEW_CALL_EACH_MS, now_ms);
        }
        model.step(now_ms);
    }
    let on_time = (0..NEW_CALLS).filter(|call| {
        let began_ms = model.began.get(&(BACKLOG + call));
        began_ms.is_some_and(|began_ms| *began_ms <= call * NEW_CALL_EACH_MS + TARGET_MS)
    });
    let on_time = on_time.count();
    // No slot falls free in the first run, and a call that waits is on time only if one does.
    assert!(on_time >= 12, "{on_time} of {NEW_CALLS} new calls on time");
    let in_time = (0..BACKLOG).filter(|number| model.began.contains_key(number));
    assert_eq!(
        in_time.count() as u64,
        BACKLOG,
        "calls of the outage that ran"
    );
}
