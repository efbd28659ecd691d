//! Gateways that all want to send to one cold replica, over a network that delays and
//! loses, in virtual time.

use linnethitch_protocol::ids::{LogIndex, MachineId};
use linnethitch_routing::cold::{
    ColdReplica, ColdReplicas, ColdSettings, ColdView, SendNumber, SendOutcome,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub(super) const REPLICA: &str = "replica";
/// Control names the gateways so often, in milliseconds.
const TOLD_EVERY_MS: u64 = 100;
/// Each gateway has a request so often, in milliseconds.
const WANTED_EVERY_MS: u64 = 4;
/// Bytes that were not acknowledged for so long end a connection, in milliseconds.
const CONNECTION_ENDS_MS: u64 = 900;
/// Longest time until a head comes where nothing stands still, in milliseconds.
const LONGEST_HEAD_MS: u64 = 200;

/// What happens to gateways.
#[derive(Clone, Debug)]
pub(super) enum Fault {
    /// Processes end and start again, knowing nothing.
    Kill { gateways: Vec<usize>, down_ms: u64 },
    /// They stand still, what they were about to send too.
    Suspend { gateways: Vec<usize>, for_ms: u64 },
    /// They do not hear of control, nor it of them.
    Cut { gateways: Vec<usize>, for_ms: u64 },
    /// Control falls into parts that hear of some gateways each; the first has the leader.
    Split { parts: Vec<Vec<usize>>, for_ms: u64 },
}

/// What is played: one replica, cold all the time.
#[derive(Clone, Debug)]
pub(super) struct Play {
    pub(super) gateways: usize,
    pub(super) rate_milli: u64,
    pub(super) faults: Vec<(u64, Fault)>,
    pub(super) length_ms: u64,
    pub(super) seed: u64,
}

#[derive(Clone, Copy, Debug)]
struct Flight {
    number: SendNumber,
    arrives_ms: u64,
    ends_ms: u64,
    end: SendOutcome,
    is_counted: bool,
}

struct Gateway {
    cold: ColdReplicas,
    down_until_ms: u64,
    stands_until_ms: u64,
    cut_until_ms: u64,
    heard_ms: u64,
    flights: Vec<Flight>,
}

/// Plays and returns when requests arrived, in order, in milliseconds.
pub(super) fn arrivals(play: &Play, settings: ColdSettings) -> Vec<u64> {
    let mut model = Model::new(play, settings);
    for now_ms in 0..play.length_ms {
        model.step(now_ms);
    }
    model.arrived.sort_unstable();
    model.arrived
}

/// Most of them in any second.
pub(super) fn max_per_second(arrivals: &[u64]) -> usize {
    let from = arrivals.iter().enumerate();
    from.map(|(index, from_ms)| {
        let later = arrivals[index..].iter();
        later.take_while(|at_ms| **at_ms < from_ms + 1_000).count()
    })
    .max()
    .unwrap_or(0)
}

struct Model<'a> {
    play: &'a Play,
    settings: ColdSettings,
    gateways: Vec<Gateway>,
    parts: Vec<Vec<usize>>,
    split_until_ms: u64,
    random: Pcg64Mcg,
    arrived: Vec<u64>,
}

/// Some faults at random times.
pub(super) fn random_faults(gateways: usize, seed: u64) -> Vec<(u64, Fault)> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let count = random.random_range(1..8);
    let faults = (0..count).map(|_| {
        let at_ms = random.random_range(0..14_000);
        (at_ms, random_fault(gateways, &mut random))
    });
    faults.collect()
}

fn random_fault(gateways: usize, random: &mut Pcg64Mcg) -> Fault {
    let share: f64 = random.random();
    let all = 0..gateways;
    let some = all.filter(|_| random.random::<f64>() < share).collect();
    let for_ms = random.random_range(50..8_000);
    match random.random_range(0..4) {
        0 => Fault::Kill {
            gateways: some,
            down_ms: for_ms / 4,
        },
        1 => Fault::Suspend {
            gateways: some,
            for_ms: for_ms / 2,
        },
        2 => Fault::Cut {
            gateways: some,
            for_ms,
        },
        _ => {
            let mut parts = vec![Vec::new(); 3];
            (0..gateways).for_each(|index| parts[random.random_range(0..3)].push(index));
            Fault::Split { parts, for_ms }
        }
    }
}

fn machine(index: usize) -> MachineId {
    MachineId(0x0a00_0001 + index as u32)
}

pub(super) fn cold_replica(rate_milli: u64, cold_ms: u64, changed_at: u64) -> ColdReplica {
    ColdReplica {
        id: REPLICA.to_owned(),
        service: "service".to_owned(),
        start_ms: 3_000,
        rate_milli,
        cold_ms,
        changed_at: LogIndex(changed_at),
    }
}

impl<'a> Model<'a> {
    fn new(play: &'a Play, settings: ColdSettings) -> Self {
        let gateways = (0..play.gateways).map(|index| Gateway {
            cold: ColdReplicas::new(settings, machine(index)),
            down_until_ms: 0,
            stands_until_ms: 0,
            cut_until_ms: 0,
            heard_ms: 0,
            flights: Vec::new(),
        });
        Model {
            play,
            settings,
            gateways: gateways.collect(),
            parts: Vec::new(),
            split_until_ms: 0,
            random: Pcg64Mcg::seed_from_u64(play.seed),
            arrived: Vec::new(),
        }
    }

    fn step(&mut self, now_ms: u64) {
        let play = self.play;
        for (_, fault) in play.faults.iter().filter(|(at_ms, _)| *at_ms == now_ms) {
            self.begin_fault(fault, now_ms);
        }
        if now_ms.is_multiple_of(TOLD_EVERY_MS) {
            self.tell(now_ms);
        }
        for index in 0..self.gateways.len() {
            self.land(index, now_ms);
            if now_ms % WANTED_EVERY_MS == index as u64 % WANTED_EVERY_MS {
                self.send(index, now_ms);
            }
        }
    }

    fn begin_fault(&mut self, fault: &Fault, now_ms: u64) {
        match fault {
            Fault::Kill { gateways, down_ms } => {
                for index in gateways {
                    self.kill(*index, now_ms + down_ms);
                }
            }
            Fault::Suspend { gateways, for_ms } => {
                for index in gateways {
                    self.suspend(*index, now_ms, *for_ms);
                }
            }
            Fault::Cut { gateways, for_ms } => {
                for index in gateways {
                    self.gateways[*index].cut_until_ms = now_ms + for_ms;
                }
            }
            Fault::Split { parts, for_ms } => {
                self.parts.clone_from(parts);
                self.split_until_ms = now_ms + for_ms;
            }
        }
    }

    /// What it had sent arrives all the same.
    fn kill(&mut self, index: usize, back_ms: u64) {
        let gateway = &mut self.gateways[index];
        for flight in gateway.flights.drain(..) {
            if flight.is_counted {
                self.arrived.push(flight.arrives_ms);
            }
        }
        gateway.cold = ColdReplicas::new(self.settings, machine(index));
        gateway.down_until_ms = back_ms;
        gateway.heard_ms = 0;
    }

    /// Half of what has not arrived was not sent yet.
    fn suspend(&mut self, index: usize, now_ms: u64, for_ms: u64) {
        let gateway = &mut self.gateways[index];
        gateway.stands_until_ms = now_ms + for_ms;
        for flight in &mut gateway.flights {
            if flight.arrives_ms > now_ms && self.random.random::<bool>() {
                flight.arrives_ms += for_ms;
                flight.ends_ms += for_ms;
            }
        }
    }

    fn hears(&self, index: usize, now_ms: u64) -> bool {
        let gateway = &self.gateways[index];
        let until_ms = gateway.down_until_ms.max(gateway.stands_until_ms);
        now_ms >= until_ms.max(gateway.cut_until_ms)
    }

    fn tell(&mut self, now_ms: u64) {
        let all: Vec<usize> = (0..self.gateways.len()).collect();
        let parts = if now_ms < self.split_until_ms {
            self.parts.clone()
        } else {
            vec![all]
        };
        for (number, part) in parts.iter().enumerate() {
            let heard = part.iter().copied();
            let heard: Vec<usize> = heard.filter(|index| self.hears(*index, now_ms)).collect();
            let list: Vec<MachineId> = heard.iter().map(|index| machine(*index)).collect();
            for index in heard {
                let gateway = &mut self.gateways[index];
                let told = cold_replica(self.play.rate_milli, self.play.length_ms, 1);
                gateway.cold.set_replicas(vec![told], now_ms);
                gateway.heard_ms = now_ms;
                // Only members that hear the leader know what is in force.
                if number == 0 {
                    gateway.cold.note_gateways(&list, now_ms);
                }
            }
        }
    }

    fn land(&mut self, index: usize, now_ms: u64) {
        let gateway = &mut self.gateways[index];
        let cold = &mut gateway.cold;
        let arrived = &mut self.arrived;
        gateway.flights.retain(|flight| {
            if flight.arrives_ms == now_ms && flight.is_counted {
                arrived.push(now_ms);
            }
            let ends_ms = flight.ends_ms.max(gateway.stands_until_ms);
            if ends_ms == now_ms {
                cold.end(REPLICA, flight.number, flight.end, now_ms);
            }
            flight.arrives_ms > now_ms || ends_ms > now_ms
        });
    }

    fn send(&mut self, index: usize, now_ms: u64) {
        let gateway = &mut self.gateways[index];
        if now_ms < gateway.down_until_ms.max(gateway.stands_until_ms) {
            return;
        }
        let view = ColdView {
            now_ms,
            control_silent_ms: now_ms - gateway.heard_ms,
        };
        // Before control was heard of there are no replicas to send to.
        if gateway.heard_ms == 0 {
            return;
        }
        if let Ok(number) = gateway.cold.begin(REPLICA, view) {
            let flight = self.fly(number, now_ms);
            self.gateways[index].flights.push(flight);
        }
    }

    fn fly(&mut self, number: SendNumber, now_ms: u64) -> Flight {
        let is_slow = self.random.random::<f64>() < 0.1;
        let longest_ms = if is_slow { CONNECTION_ENDS_MS } else { 20 };
        let arrives_ms = now_ms + self.random.random_range(1..longest_ms);
        let head_ms = arrives_ms + self.random.random_range(1..LONGEST_HEAD_MS);
        let given_up_ms = self
            .random
            .random_range(now_ms + 1..arrives_ms + LONGEST_HEAD_MS);
        let drawn: f64 = self.random.random();
        let (ends_ms, end, is_counted) = if drawn < 0.8 {
            (head_ms, SendOutcome::Arrived, true)
        } else if drawn < 0.9 {
            (given_up_ms, SendOutcome::Unknown, true)
        } else if drawn < 0.95 {
            (head_ms, SendOutcome::NotCounted, false)
        } else {
            (given_up_ms, SendOutcome::Unknown, false)
        };
        Flight {
            number,
            arrives_ms,
            ends_ms,
            end,
            is_counted,
        }
    }
}
