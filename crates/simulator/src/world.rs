//! A simulation run: machines, network and actors on one virtual clock.

mod disks;
mod machines;
mod phases;

use std::collections::{BTreeMap, BTreeSet};

use linnethitch_protocol::{
    consensus::Membership,
    ids::{MachineId, MemberId},
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use xxhash_rust::xxh3::Xxh3;

use crate::{
    actors::{
        Actor, ActorId, Context, batch_caller::BatchCaller, gateway::Gateway,
        online_caller::OnlineCaller, operator::Operator,
    },
    checker::Checker,
    engines::Engines,
    events::{Event, EventQueue},
    faults::FaultKind,
    machine::{ControlMachine, MachineSettings},
    nemesis::Nemesis,
    network::{Address, Envelope, Network},
    options::SimulationOptions,
    report::SimulationReport,
};

/// Number of control machines.
const MACHINES: u32 = 5;
/// Number of gateways; they are the first actors.
const GATEWAYS: u32 = 4;
/// Number of operators.
const OPERATORS: u32 = 3;
/// Number of callers that create jobs.
const BATCH_CALLERS: u32 = 2;
/// Number of callers that send online requests.
const ONLINE_CALLERS: u32 = 2;
/// Interval at which the states of all members are compared, in milliseconds.
const DIGEST_INTERVAL_MS: u64 = 2_000;
/// Maximum time for the system to converge after a fault phase, in milliseconds.
const RECOVERY_TIMEOUT_MS: u64 = 180_000;
/// Interval of the checks for convergence, in milliseconds.
const RECOVERY_CHECK_MS: u64 = 500;

/// What to restore at the end of a fault.
pub(crate) enum HealAction {
    /// Removes a cut or disturbance of the network.
    Network,
    /// Restores the sync duration of a machine.
    SyncTime(MachineId),
    /// Restores the disk capacity of a machine.
    Capacity(MachineId),
    /// Removes the clock skew of a machine.
    Clock(MachineId),
}

/// The state of a run.
pub(crate) struct World {
    pub(crate) options: SimulationOptions,
    pub(crate) now_ms: u64,
    pub(crate) events: EventQueue,
    pub(crate) network: Network,
    pub(crate) nemesis: Nemesis,
    pub(crate) machines: BTreeMap<MachineId, ControlMachine>,
    pub(crate) active_faults: BTreeMap<u64, HealAction>,
    pub(crate) next_fault: u64,
    /// Machines that crash, instead of only their process, when their next sync fails.
    pub(crate) torn_on_sync_failure: BTreeSet<MachineId>,
    /// Disks with corrupted data, which their member may not have detected.
    pub(crate) damaged: BTreeSet<MemberId>,
    pub(crate) recovering: bool,
    pub(crate) checker: Checker,
    pub(crate) engines: Engines,
    pub(crate) report: SimulationReport,
    machine_settings: MachineSettings,
    actors: Vec<Box<dyn Actor>>,
    actor_random: Vec<Pcg64Mcg>,
    wakes: BTreeSet<(ActorId, u64)>,
    random: Pcg64Mcg,
    next_disk: u64,
    committed_membership: Membership,
    recovery_deadline_ms: u64,
    next_digest_ms: u64,
    trace: Xxh3,
}

impl World {
    /// Creates a run with blank disks.
    pub(crate) fn new(options: SimulationOptions) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(options.seed);
        let ids: Vec<MachineId> = (1..=MACHINES).map(MachineId).collect();
        let machine = |id: &MachineId| (*id, ControlMachine::new(*id, random.random()));
        let machines = ids.iter().map(machine).collect();
        let mut actors: Vec<Box<dyn Actor>> = Vec::new();
        for number in 0..GATEWAYS {
            let name = format!("gateway-{number}");
            actors.push(Box::new(Gateway::new(name, random.random())));
        }
        for number in 0..OPERATORS {
            actors.push(Box::new(Operator::new(format!("change-{number}"))));
        }
        for number in 0..BATCH_CALLERS {
            actors.push(Box::new(BatchCaller::new(format!("batch-{number}"))));
        }
        for number in 0..ONLINE_CALLERS {
            let gateways = (0..GATEWAYS).map(ActorId).collect();
            let name = format!("online-{number}");
            actors.push(Box::new(OnlineCaller::new(name, gateways)));
        }
        let seeded = |_| Pcg64Mcg::seed_from_u64(random.random());
        let actor_random = (0..actors.len()).map(seeded).collect();
        World {
            now_ms: 0,
            events: EventQueue::default(),
            network: Network::new(Pcg64Mcg::seed_from_u64(random.random())),
            nemesis: Nemesis::new(&options.faults, options.seed),
            machines,
            active_faults: BTreeMap::new(),
            next_fault: 0,
            torn_on_sync_failure: BTreeSet::new(),
            damaged: BTreeSet::new(),
            recovering: true,
            checker: Checker::default(),
            engines: Engines::default(),
            report: SimulationReport::default(),
            machine_settings: MachineSettings {
                machines: ids,
                rules_off: options.rules_off.clone(),
                seed: options.seed,
            },
            actors,
            actor_random,
            wakes: BTreeSet::new(),
            random,
            next_disk: 1_000,
            committed_membership: Membership::default(),
            recovery_deadline_ms: RECOVERY_TIMEOUT_MS,
            next_digest_ms: 0,
            trace: Xxh3::new(),
            options,
        }
    }

    /// Runs to the end or to the first violated invariant.
    pub(crate) fn run(mut self) -> SimulationReport {
        for machine in self.machine_settings.machines.clone() {
            self.events.push(0, Event::Restart(machine));
        }
        self.events.push(RECOVERY_CHECK_MS, Event::CheckRecovery);
        while self.checker.violation.is_none() {
            let Some((at_ms, event)) = self.events.pop() else {
                break;
            };
            self.now_ms = at_ms;
            self.checker.now_ms = at_ms;
            if !self.handle(event) {
                break;
            }
        }
        self.log_statuses();
        self.report.simulated_ms = self.now_ms;
        self.report.acknowledged = self.checker.acknowledged;
        self.report.executions = self.checker.jobs.executions;
        self.report.trace = self.trace.digest();
        self.report.violations.extend(self.checker.violation);
        self.report
    }

    /// Handles an event; returns false when the run ends.
    fn handle(&mut self, event: Event) -> bool {
        match event {
            Event::Tick(id) => self.tick(id),
            Event::Work(id) => self.work(id, false),
            Event::Restart(id) => self.restart(id),
            Event::Deliver(envelope) => self.deliver(*envelope),
            Event::Wake(actor) => {
                self.wakes.remove(&(actor, self.now_ms));
                self.act(actor, |actor, context| actor.wake(context));
            }
            Event::Fault(kind) => {
                if !self.recovering {
                    self.inject_on_random_machine(kind);
                    let next = self.nemesis.next_in(kind);
                    self.events.push(self.now_ms + next, Event::Fault(kind));
                }
            }
            Event::Scripted(fault) => self.inject(fault.kind, MachineId(fault.machine)),
            Event::Heal(fault) => self.heal(fault),
            Event::BeginRecovery => self.begin_recovery(),
            Event::CheckRecovery => return self.check_recovery(),
        }
        true
    }

    fn send(&mut self, envelope: Envelope, after_ms: u64) {
        for delay in self.network.route(&envelope) {
            let at_ms = self.now_ms + after_ms + delay;
            let copy = Box::new(envelope.clone());
            self.events.push(at_ms, Event::Deliver(copy));
        }
    }

    fn deliver(&mut self, envelope: Envelope) {
        match envelope.to {
            Address::Control(id) => {
                if let Some(machine) = self.machines.get_mut(&id) {
                    machine.receive(envelope);
                    self.schedule_work(id);
                }
            }
            Address::Actor(id) => {
                self.act(id, |actor, context| {
                    actor.receive(envelope.from, envelope.packet, context);
                });
            }
        }
    }

    /// The ids of the gateways.
    pub(crate) fn gateways(&self) -> Vec<ActorId> {
        (0..GATEWAYS).map(ActorId).collect()
    }

    pub(crate) fn act(&mut self, id: ActorId, step: impl FnOnce(&mut dyn Actor, &mut Context)) {
        let index = id.0 as usize;
        let (Some(actor), Some(random)) =
            (self.actors.get_mut(index), self.actor_random.get_mut(index))
        else {
            return;
        };
        self.engines.deliver_due(self.now_ms, &mut self.checker);
        let mut context = Context {
            now_ms: self.now_ms,
            random,
            recovering: self.recovering,
            checker: &mut self.checker,
            engines: &mut self.engines,
            machines: &self.machine_settings.machines,
            sent: Vec::new(),
            wakes: Vec::new(),
        };
        step(actor.as_mut(), &mut context);
        let Context { sent, wakes, .. } = context;
        for (to, packet) in sent {
            let from = Address::Actor(id);
            self.send(Envelope { from, to, packet }, 0);
        }
        for at_ms in wakes {
            if self.wakes.insert((id, at_ms)) {
                self.events.push(at_ms, Event::Wake(id));
            }
        }
    }

    /// Registers a fault that lasts for a time, schedules its end and returns its number.
    pub(crate) fn begin_fault(&mut self, action: HealAction, milliseconds: u64) -> u64 {
        self.next_fault += 1;
        self.active_faults.insert(self.next_fault, action);
        let at_ms = self.now_ms + milliseconds;
        self.events.push(at_ms, Event::Heal(self.next_fault));
        self.next_fault
    }

    /// Adds a line to the trace, if tracing is enabled.
    pub(crate) fn log(&mut self, text: impl FnOnce() -> String) {
        if self.options.trace {
            let seconds = self.now_ms as f64 / 1_000.0;
            self.report.events.push(format!("{seconds:.3} {}", text()));
        }
    }

    fn log_statuses(&mut self) {
        let members = self.machines.values();
        let statuses: Vec<String> = members
            .filter_map(|machine| machine.member.as_ref())
            .map(|member| format!("{:?}", member.status()))
            .collect();
        for status in statuses {
            self.log(|| status);
        }
    }

    /// Counts an injected fault.
    pub(crate) fn count_fault(&mut self, kind: FaultKind, machine: MachineId) {
        self.log(|| format!("fault {kind} {machine}"));
        *self.report.faults.entry(kind).or_default() += 1;
        self.trace.update(&[kind as u8]);
        self.trace.update(&self.now_ms.to_le_bytes());
    }
}
