//! Gateways that all send requests to one cold replica over a network with delay and loss, in
//! virtual time.

use linnethitch_protocol::ids::{LogIndex, MachineId};
use linnethitch_routing::cold::{
    ColdReplica, ColdReplicas, ColdSettings, ColdView, SendNumber, SendOutcome,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub(super) const REPLICA: &str = "replica";
/// Interval at which control sends the list of gateways, in milliseconds.
const LIST_EVERY_MS: u64 = 100;
/// Interval at which each gateway has a request, in milliseconds.
const REQUEST_EVERY_MS: u64 = 4;
/// A connection ends when bytes were not acknowledged for this time, in milliseconds.
const CONNECTION_TIMEOUT_MS: u64 = 900;
/// Maximum time until a response starts if no process is suspended, in milliseconds.
const MAX_RESPONSE_START_MS: u64 = 200;

/// Faults of gateways and control.
#[derive(Clone, Debug)]
pub(super) enum Fault {
    /// Processes end and restart without state.
    Kill { gateways: Vec<usize>, down_ms: u64 },
    /// Processes are suspended, including what they were about to send.
    Suspend { gateways: Vec<usize>, for_ms: u64 },
    /// Gateways and control cannot reach each other.
    Cut { gateways: Vec<usize>, for_ms: u64 },
    /// Control is split into partitions, each of which reaches some gateways; the first has the
    /// leader.
    Split {
        partitions: Vec<Vec<usize>>,
        for_ms: u64,
    },
}

/// A simulated course of faults, with one replica that is cold all the time.
#[derive(Clone, Debug)]
pub(super) struct Scenario {
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
    suspended_until_ms: u64,
    cut_until_ms: u64,
    contact_ms: u64,
    flights: Vec<Flight>,
}

/// Runs the scenario and returns when requests arrived, in order, in milliseconds.
pub(super) fn arrivals(scenario: &Scenario, settings: ColdSettings) -> Vec<u64> {
    let mut model = Model::new(scenario, settings);
    for now_ms in 0..scenario.length_ms {
        model.step(now_ms);
    }
    model.arrived.sort_unstable();
    model.arrived
}

/// Maximum number of arrivals in any second.
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
    scenario: &'a Scenario,
    settings: ColdSettings,
    gateways: Vec<Gateway>,
    partitions: Vec<Vec<usize>>,
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
    let fraction: f64 = random.random();
    let all = 0..gateways;
    let some = all.filter(|_| random.random::<f64>() < fraction).collect();
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
            let mut partitions = vec![Vec::new(); 3];
            (0..gateways).for_each(|index| partitions[random.random_range(0..3)].push(index));
            Fault::Split { partitions, for_ms }
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
    fn new(scenario: &'a Scenario, settings: ColdSettings) -> Self {
        let gateways = (0..scenario.gateways).map(|index| Gateway {
            cold: ColdReplicas::new(settings, machine(index)),
            down_until_ms: 0,
            suspended_until_ms: 0,
            cut_until_ms: 0,
            contact_ms: 0,
            flights: Vec::new(),
        });
        Model {
            scenario,
            settings,
            gateways: gateways.collect(),
            partitions: Vec::new(),
            split_until_ms: 0,
            random: Pcg64Mcg::seed_from_u64(scenario.seed),
            arrived: Vec::new(),
        }
    }

    fn step(&mut self, now_ms: u64) {
        let scenario = self.scenario;
        for (_, fault) in scenario.faults.iter().filter(|(at_ms, _)| *at_ms == now_ms) {
            self.begin_fault(fault, now_ms);
        }
        if now_ms.is_multiple_of(LIST_EVERY_MS) {
            self.send_list(now_ms);
        }
        for index in 0..self.gateways.len() {
            self.advance_flights(index, now_ms);
            if now_ms % REQUEST_EVERY_MS == index as u64 % REQUEST_EVERY_MS {
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
            Fault::Split { partitions, for_ms } => {
                self.partitions.clone_from(partitions);
                self.split_until_ms = now_ms + for_ms;
            }
        }
    }

    /// Requests that were already sent still arrive.
    fn kill(&mut self, index: usize, restart_ms: u64) {
        let gateway = &mut self.gateways[index];
        for flight in gateway.flights.drain(..) {
            if flight.is_counted {
                self.arrived.push(flight.arrives_ms);
            }
        }
        gateway.cold = ColdReplicas::new(self.settings, machine(index));
        gateway.down_until_ms = restart_ms;
        gateway.contact_ms = 0;
    }

    /// Half of the requests that have not arrived were not sent yet.
    fn suspend(&mut self, index: usize, now_ms: u64, for_ms: u64) {
        let gateway = &mut self.gateways[index];
        gateway.suspended_until_ms = now_ms + for_ms;
        for flight in &mut gateway.flights {
            if flight.arrives_ms > now_ms && self.random.random::<bool>() {
                flight.arrives_ms += for_ms;
                flight.ends_ms += for_ms;
            }
        }
    }

    fn is_reached(&self, index: usize, now_ms: u64) -> bool {
        let gateway = &self.gateways[index];
        let until_ms = gateway.down_until_ms.max(gateway.suspended_until_ms);
        now_ms >= until_ms.max(gateway.cut_until_ms)
    }

    fn send_list(&mut self, now_ms: u64) {
        let all: Vec<usize> = (0..self.gateways.len()).collect();
        let partitions = if now_ms < self.split_until_ms {
            self.partitions.clone()
        } else {
            vec![all]
        };
        for (number, partition) in partitions.iter().enumerate() {
            let reached = partition.iter().copied();
            let reached: Vec<usize> = reached
                .filter(|index| self.is_reached(*index, now_ms))
                .collect();
            let list: Vec<MachineId> = reached.iter().map(|index| machine(*index)).collect();
            for index in reached {
                let gateway = &mut self.gateways[index];
                let report = cold_replica(self.scenario.rate_milli, self.scenario.length_ms, 1);
                gateway.cold.set_replicas(vec![report], now_ms);
                gateway.contact_ms = now_ms;
                // Only members that reach the leader know the list in force.
                if number == 0 {
                    gateway.cold.note_gateways(&list, now_ms);
                }
            }
        }
    }

    fn advance_flights(&mut self, index: usize, now_ms: u64) {
        let gateway = &mut self.gateways[index];
        let cold = &mut gateway.cold;
        let arrived = &mut self.arrived;
        gateway.flights.retain(|flight| {
            if flight.arrives_ms == now_ms && flight.is_counted {
                arrived.push(now_ms);
            }
            let ends_ms = flight.ends_ms.max(gateway.suspended_until_ms);
            if ends_ms == now_ms {
                cold.end(REPLICA, flight.number, flight.end, now_ms);
            }
            flight.arrives_ms > now_ms || ends_ms > now_ms
        });
    }

    fn send(&mut self, index: usize, now_ms: u64) {
        let gateway = &mut self.gateways[index];
        if now_ms < gateway.down_until_ms.max(gateway.suspended_until_ms) {
            return;
        }
        let view = ColdView {
            now_ms,
            control_silent_ms: now_ms - gateway.contact_ms,
        };
        // Without any contact to control yet there are no replicas to send to.
        if gateway.contact_ms == 0 {
            return;
        }
        if let Ok(number) = gateway.cold.begin(REPLICA, view) {
            let flight = self.start_flight(number, now_ms);
            self.gateways[index].flights.push(flight);
        }
    }

    fn start_flight(&mut self, number: SendNumber, now_ms: u64) -> Flight {
        let is_slow = self.random.random::<f64>() < 0.1;
        let max_ms = if is_slow { CONNECTION_TIMEOUT_MS } else { 20 };
        let arrives_ms = now_ms + self.random.random_range(1..max_ms);
        let response_ms = arrives_ms + self.random.random_range(1..MAX_RESPONSE_START_MS);
        let given_up_ms = self
            .random
            .random_range(now_ms + 1..arrives_ms + MAX_RESPONSE_START_MS);
        let outcome_draw: f64 = self.random.random();
        let (ends_ms, end, is_counted) = if outcome_draw < 0.8 {
            (response_ms, SendOutcome::Arrived, true)
        } else if outcome_draw < 0.9 {
            (given_up_ms, SendOutcome::Unknown, true)
        } else if outcome_draw < 0.95 {
            (response_ms, SendOutcome::NotCounted, false)
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
