//! A fleet of gateways that count one tenant's requests over a network with loss, delay and
//! partitions, in virtual time.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
};

use linnethitch_protocol::{ids::MachineId, quota::QuotaMessage};
use linnethitch_routing::quota::{
    FleetQuota, QuotaAction, QuotaSettings, QuotaVerdict, QuotaView, Ticket,
};
use linnethitch_tenants::{KeyDigest, QuotaLimit, Tenant, TenantDirectory};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A gateway without an answer within this time asks once more, then decides, in microseconds.
const ANSWER_TIMEOUT_US: u64 = 12_000;
/// Control removes a silent gateway from the list after this time, in microseconds.
const SILENCE_NOTICE_US: u64 = 1_200_000;
/// Control learns of the end of a process after this time, in microseconds.
const END_NOTICE_US: u64 = 50_000;
/// Control has contact with every gateway within this time after its start, in microseconds.
const ANNOUNCE_US: u64 = 500_000;
/// Control removes a gateway whose process ended from its record after this time, in microseconds.
const RECORD_REMOVAL_US: u64 = 2_000_000;
/// Control counts a gateway as silent for this time after the last contact, or after its own start,
/// in microseconds.
const SILENT_RETENTION_US: u64 = 10_000_000;
/// A changed list is sent after this time, in microseconds.
const LIST_DELAY_US: u64 = 20_000;
/// Interval of the gateways' maintenance, in microseconds.
const MAINTENANCE_US: u64 = 100_000;
pub(super) const TENANT: &str = "desk";

pub(super) type Quota = Box<dyn FleetQuota>;

/// Faults of gateways and control.
#[derive(Clone, Debug)]
pub(super) enum Fault {
    /// Processes end and restart without state after `down_ms`.
    Kill { gateways: Vec<usize>, down_ms: u64 },
    /// Processes are paused.
    Pause { gateways: Vec<usize>, for_ms: u64 },
    /// Gateways and control cannot reach each other.
    CutFromControl { gateways: Vec<usize>, for_ms: u64 },
    /// Gateways are cut off from control and from the other gateways.
    Isolate { gateways: Vec<usize>, for_ms: u64 },
    /// Gateways reach control and each other, but no other gateway.
    Split { gateways: Vec<usize>, for_ms: u64 },
    /// All members of control are unreachable.
    ControlUnreachable { for_ms: u64 },
    /// All members of control end and restart; they have contact with each gateway within half a
    /// second.
    ControlRestarts { down_ms: u64 },
    /// The limit changes.
    Limit { rate: f64, burst: f64 },
}

/// A simulated course of demand and faults.
#[derive(Clone, Debug)]
pub(super) struct Scenario {
    pub(super) gateways: usize,
    pub(super) rate: f64,
    pub(super) burst: f64,
    /// Requests per second, each from a time in milliseconds.
    pub(super) demand: Vec<(u64, f64)>,
    /// Fraction of the requests that arrive at the first tenth of the gateways.
    pub(super) skew: f64,
    pub(super) faults: Vec<(u64, Fault)>,
    pub(super) loss: f64,
    pub(super) length_ms: u64,
    pub(super) seed: u64,
}

/// The results of a run.
#[derive(Clone, Debug, Default)]
pub(super) struct Outcome {
    pub(super) asked: u64,
    pub(super) admitted: u64,
    /// Requests that a single bucket would have admitted in addition.
    pub(super) refused_within_limit: u64,
    /// Maximum number of requests in a window, as a fraction of what the limit allows in it.
    pub(super) max_of_limit: f64,
    /// The same as a fraction of what is allowed including the overshoot.
    pub(super) max_of_bound: f64,
    pub(super) messages: u64,
    /// Waits for a decision, in microseconds, sorted.
    pub(super) waits_us: Vec<u64>,
}

impl Outcome {
    pub(super) fn wait_us(&self, fraction: f64) -> u64 {
        let last = self.waits_us.len().saturating_sub(1);
        let index = (last as f64 * fraction) as usize;
        self.waits_us.get(index).copied().unwrap_or(0)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    /// There is no demand now; check again later.
    CheckDemand,
    Deliver {
        from: usize,
        to: usize,
        message: MessageKey,
    },
    AnswerTimeout {
        gateway: usize,
        incarnation: u32,
        ticket: u64,
    },
    Maintenance,
    Fault(usize),
    Recover {
        gateway: usize,
        recovery_kind: Recovery,
    },
    ControlReachable,
    ControlStarts,
    Announce(usize),
    /// The process ended some time ago and control noticed it.
    RemoveKnown {
        gateway: usize,
        incarnation: u32,
    },
    SendList,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Recovery {
    Restarted,
    Resumed,
    ControlReached,
    Reconnected,
    SplitEnded,
}

/// Messages are stored beside the queue, since they have no order.
type MessageKey = u64;

struct Gateway {
    quota: Quota,
    incarnation: u32,
    is_running: bool,
    is_paused: bool,
    /// Control and this gateway reach each other.
    reaches_control: bool,
    /// Other gateways reach this one.
    reaches_gateways: bool,
    /// This gateway reaches only gateways that are split off too.
    is_split: bool,
    contact_us: u64,
    list: Vec<MachineId>,
    silent: Vec<MachineId>,
    asked_us: BTreeMap<u64, u64>,
}

pub(super) struct Model {
    scenario: Scenario,
    make_quota: fn(QuotaSettings) -> Quota,
    settings: QuotaSettings,
    gateways: Vec<Gateway>,
    directory: TenantDirectory,
    tenant: Tenant,
    now_us: u64,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    next: u64,
    messages: BTreeMap<MessageKey, QuotaMessage>,
    control_unreachable: bool,
    /// Gateways that control has had contact with since it started.
    announced: BTreeSet<usize>,
    /// Gateways in control's record, which survives a restart of control.
    known: BTreeSet<usize>,
    control_started_us: u64,
    random: Pcg64Mcg,
    ticket: u64,
    sent_us: Vec<u64>,
    arrived_us: Vec<u64>,
    outcome: Outcome,
}

pub(super) fn machine(index: usize) -> MachineId {
    MachineId(0x0a00_0001 + index as u32)
}

impl Model {
    pub(super) fn new(scenario: Scenario, make_quota: fn(QuotaSettings) -> Quota) -> Self {
        let settings = QuotaSettings::default();
        let list: Vec<MachineId> = (0..scenario.gateways).map(machine).collect();
        let gateways = (0..scenario.gateways).map(|_| Gateway {
            quota: make_quota(settings),
            incarnation: 0,
            is_running: true,
            is_paused: false,
            reaches_control: true,
            reaches_gateways: true,
            is_split: false,
            contact_us: 0,
            list: list.clone(),
            silent: Vec::new(),
            asked_us: BTreeMap::new(),
        });
        let tenant = tenant(scenario.rate, scenario.burst);
        let count = scenario.gateways;
        Model {
            gateways: gateways.collect(),
            directory: TenantDirectory::new(Some(vec![tenant.clone()])),
            tenant,
            random: Pcg64Mcg::seed_from_u64(scenario.seed),
            scenario,
            make_quota,
            settings,
            now_us: 0,
            queue: BinaryHeap::new(),
            next: 0,
            messages: BTreeMap::new(),
            control_unreachable: false,
            announced: (0..count).collect(),
            known: (0..count).collect(),
            control_started_us: 0,
            ticket: 0,
            sent_us: Vec::new(),
            arrived_us: Vec::new(),
            outcome: Outcome::default(),
        }
    }

    pub(super) fn run(mut self) -> Outcome {
        self.after(0, Event::Maintenance);
        self.next_arrival();
        for index in 0..self.scenario.faults.len() {
            let at_us = self.scenario.faults[index].0 * 1_000;
            self.after(at_us, Event::Fault(index));
        }
        let end_us = self.scenario.length_ms * 1_000;
        while let Some(Reverse((at_us, _, event))) = self.queue.pop() {
            if at_us > end_us {
                break;
            }
            self.now_us = at_us;
            self.step(event);
        }
        self.evaluate()
    }

    fn after(&mut self, wait_us: u64, event: Event) {
        self.next += 1;
        let entry = (self.now_us + wait_us, self.next, event);
        self.queue.push(Reverse(entry));
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive => {
                self.arrive();
                self.next_arrival();
            }
            Event::Deliver { from, to, message } => self.deliver(from, to, message),
            Event::AnswerTimeout {
                gateway,
                incarnation,
                ticket,
            } => {
                if self.gateways[gateway].incarnation == incarnation {
                    self.act(gateway, |quota, tenant, view| {
                        quota.answer_timed_out(Ticket(ticket), tenant, view)
                    });
                    self.wait_for_answer(gateway, ticket);
                }
            }
            Event::CheckDemand => self.next_arrival(),
            Event::Maintenance => self.run_maintenance(),
            Event::Fault(index) => self.fault(self.scenario.faults[index].1.clone()),
            Event::Recover {
                gateway,
                recovery_kind,
            } => self.recover(gateway, recovery_kind),
            Event::ControlReachable => {
                self.control_unreachable = false;
                self.announce_all();
            }
            Event::ControlStarts => {
                self.control_unreachable = false;
                self.control_started_us = self.now_us;
                self.announced.clear();
                self.announce_all();
            }
            Event::Announce(gateway) => self.announce(gateway),
            Event::RemoveKnown {
                gateway,
                incarnation,
            } => self.remove_known(gateway, incarnation),
            Event::SendList => self.send_list(),
        }
    }

    fn next_arrival(&mut self) {
        let now_ms = self.now_us / 1_000;
        let steps = self.scenario.demand.iter();
        let rate = steps
            .rev()
            .find(|(from, _)| *from <= now_ms)
            .map_or(0.0, |(_, rate)| *rate);
        if rate <= 0.0 {
            self.after(MAINTENANCE_US, Event::CheckDemand);
            return;
        }
        let drawn: f64 = self.random.random();
        let wait_us = (-(1.0 - drawn).ln() / rate * 1e6) as u64;
        self.after(wait_us, Event::Arrive);
    }

    fn arrive(&mut self) {
        let count = self.gateways.len();
        let first = count.div_ceil(10);
        let gateway = if self.random.random::<f64>() < self.scenario.skew {
            self.random.random_range(0..first)
        } else {
            self.random.random_range(0..count)
        };
        self.arrived_us.push(self.now_us);
        self.outcome.asked += 1;
        // Requests to a gateway that does not answer are not sent to another one here. A gateway
        // without a list is not ready.
        let node = &self.gateways[gateway];
        if !node.is_running || node.list.is_empty() {
            return;
        }
        self.ticket += 1;
        let ticket = self.ticket;
        self.gateways[gateway].asked_us.insert(ticket, self.now_us);
        self.act(gateway, |quota, tenant, view| {
            quota.request(Ticket(ticket), tenant, view)
        });
        self.wait_for_answer(gateway, ticket);
    }

    /// An undecided request asks again after a while.
    fn wait_for_answer(&mut self, gateway: usize, ticket: u64) {
        let node = &self.gateways[gateway];
        if node.asked_us.contains_key(&ticket) {
            let incarnation = node.incarnation;
            let event = Event::AnswerTimeout {
                gateway,
                incarnation,
                ticket,
            };
            self.after(ANSWER_TIMEOUT_US, event);
        }
    }

    fn act(
        &mut self,
        gateway: usize,
        decide: impl FnOnce(&mut Quota, &Tenant, &QuotaView<'_>) -> Vec<QuotaAction>,
    ) {
        let now_us = self.now_us;
        let node = &mut self.gateways[gateway];
        if !node.is_running {
            return;
        }
        let list = node.list.clone();
        let silent = node.silent.clone();
        let view = QuotaView {
            now_ms: now_us / 1_000,
            own: machine(gateway),
            gateways: &list,
            witnesses: &list,
            silent_gateways: &silent,
            control_silent_ms: (now_us - node.contact_us) / 1_000,
            tenants: &self.directory,
        };
        let actions = decide(&mut node.quota, &self.tenant, &view);
        for action in actions {
            match action {
                QuotaAction::Decide { ticket, verdict } => {
                    self.record_decision(gateway, ticket, verdict)
                }
                QuotaAction::Send { to, message } => self.send(gateway, to, message),
            }
        }
    }

    fn record_decision(&mut self, gateway: usize, ticket: Ticket, verdict: QuotaVerdict) {
        let Some(asked_us) = self.gateways[gateway].asked_us.remove(&ticket.0) else {
            return;
        };
        self.outcome.waits_us.push(self.now_us - asked_us);
        if verdict == QuotaVerdict::Admitted {
            self.outcome.admitted += 1;
            self.sent_us.push(self.now_us);
        }
    }

    fn send(&mut self, from: usize, to: MachineId, message: QuotaMessage) {
        self.outcome.messages += 1;
        let to = (to.0 - machine(0).0) as usize;
        if self.random.random::<f64>() < self.scenario.loss {
            return;
        }
        let delay_us = self.random.random_range(200..2_500);
        let key = self.next;
        self.messages.insert(key, message);
        self.after(
            delay_us,
            Event::Deliver {
                from,
                to,
                message: key,
            },
        );
    }

    fn deliver(&mut self, from: usize, to: usize, message: MessageKey) {
        let Some(message) = self.messages.remove(&message) else {
            return;
        };
        // A paused process reads the message later, an isolated one never.
        let (sender, receiver) = (&self.gateways[from], &self.gateways[to]);
        let is_reached = sender.reaches_gateways
            && receiver.reaches_gateways
            && sender.is_split == receiver.is_split;
        if !is_reached {
            return;
        }
        self.act(to, |quota, _, view| {
            quota.handle_message(machine(from), message, view)
        });
    }

    fn run_maintenance(&mut self) {
        for index in 0..self.gateways.len() {
            let node = &mut self.gateways[index];
            if node.is_running && node.reaches_control && !self.control_unreachable {
                node.contact_us = self.now_us;
            }
            self.act(index, |quota, _, view| quota.run_maintenance(view));
        }
        self.after(MAINTENANCE_US, Event::Maintenance);
    }

    /// Control runs again and makes contact with the gateways that it does not know yet.
    fn announce_all(&mut self) {
        for gateway in 0..self.gateways.len() {
            if !self.announced.contains(&gateway) {
                let wait_us = self.random.random_range(10_000..ANNOUNCE_US);
                self.after(wait_us, Event::Announce(gateway));
            }
        }
    }

    /// Control makes contact with a gateway and adds it to its record.
    fn announce(&mut self, gateway: usize) {
        let node = &self.gateways[gateway];
        if node.is_running && node.reaches_control && !self.control_unreachable {
            self.announced.insert(gateway);
            self.known.insert(gateway);
        }
        self.after(LIST_DELAY_US, Event::SendList);
    }

    /// Control removes a gateway from its record if it noticed the end of the process.
    fn remove_known(&mut self, gateway: usize, incarnation: u32) {
        let node = &self.gateways[gateway];
        let has_ended = node.incarnation == incarnation && !node.is_running && !node.is_paused;
        if has_ended && !self.control_unreachable && self.announced.contains(&gateway) {
            self.known.remove(&gateway);
        }
    }

    /// Whether control knows a gateway, has no contact with it and did not notice the end of its
    /// process.
    fn is_silent(&self, gateway: usize) -> bool {
        let node = &self.gateways[gateway];
        let is_reached = node.is_running && node.reaches_control;
        if !self.announced.contains(&gateway) {
            let since_us = self.now_us - self.control_started_us;
            return self.known.contains(&gateway) && since_us <= SILENT_RETENTION_US;
        }
        let has_ended = !node.is_running && !node.is_paused;
        !is_reached && !has_ended
    }

    /// Control sends the list of gateways to those it reaches.
    fn send_list(&mut self) {
        if self.control_unreachable {
            self.after(MAINTENANCE_US, Event::SendList);
            return;
        }
        let nodes = self.gateways.iter().enumerate();
        let list: Vec<MachineId> = nodes
            .filter(|(index, node)| {
                node.is_running && node.reaches_control && self.announced.contains(index)
            })
            .map(|(index, _)| machine(index))
            .collect();
        let silent = (0..self.gateways.len()).filter(|gateway| self.is_silent(*gateway));
        let silent: Vec<MachineId> = silent.map(machine).collect();
        for node in &mut self.gateways {
            if node.is_running && node.reaches_control {
                node.silent = silent.clone();
                node.list = list.clone();
                node.contact_us = self.now_us;
            }
        }
    }

    fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Kill { gateways, down_ms } => {
                for gateway in gateways {
                    let node = &mut self.gateways[gateway];
                    node.is_running = false;
                    node.incarnation += 1;
                    node.asked_us.clear();
                    let incarnation = node.incarnation;
                    self.after(
                        END_NOTICE_US + RECORD_REMOVAL_US,
                        Event::RemoveKnown {
                            gateway,
                            incarnation,
                        },
                    );
                    let recovery = Event::Recover {
                        gateway,
                        recovery_kind: Recovery::Restarted,
                    };
                    self.after(down_ms * 1_000, recovery);
                }
                self.after(END_NOTICE_US, Event::SendList);
            }
            Fault::Pause { gateways, for_ms } => {
                for gateway in gateways {
                    self.gateways[gateway].is_running = false;
                    self.gateways[gateway].is_paused = true;
                    let recovery = Event::Recover {
                        gateway,
                        recovery_kind: Recovery::Resumed,
                    };
                    self.after(for_ms * 1_000, recovery);
                }
                self.after(SILENCE_NOTICE_US, Event::SendList);
            }
            Fault::CutFromControl { gateways, for_ms } => {
                for gateway in gateways {
                    self.gateways[gateway].reaches_control = false;
                    let recovery = Event::Recover {
                        gateway,
                        recovery_kind: Recovery::ControlReached,
                    };
                    self.after(for_ms * 1_000, recovery);
                }
                self.after(SILENCE_NOTICE_US, Event::SendList);
            }
            Fault::Isolate { gateways, for_ms } => {
                for gateway in gateways {
                    self.gateways[gateway].reaches_control = false;
                    self.gateways[gateway].reaches_gateways = false;
                    let recovery = Event::Recover {
                        gateway,
                        recovery_kind: Recovery::Reconnected,
                    };
                    self.after(for_ms * 1_000, recovery);
                }
                self.after(SILENCE_NOTICE_US, Event::SendList);
            }
            Fault::Split { gateways, for_ms } => {
                for gateway in gateways {
                    self.gateways[gateway].is_split = true;
                    let recovery = Event::Recover {
                        gateway,
                        recovery_kind: Recovery::SplitEnded,
                    };
                    self.after(for_ms * 1_000, recovery);
                }
            }
            Fault::ControlUnreachable { for_ms } => {
                self.control_unreachable = true;
                self.after(for_ms * 1_000, Event::ControlReachable);
            }
            Fault::ControlRestarts { down_ms } => {
                self.control_unreachable = true;
                self.after(down_ms * 1_000, Event::ControlStarts);
            }
            Fault::Limit { rate, burst } => {
                self.tenant = tenant(rate, burst);
                self.directory = TenantDirectory::new(Some(vec![self.tenant.clone()]));
            }
        }
    }

    fn recover(&mut self, gateway: usize, recovery_kind: Recovery) {
        let node = &mut self.gateways[gateway];
        match recovery_kind {
            Recovery::Restarted => {
                node.is_running = true;
                node.is_paused = false;
                node.silent.clear();
                node.quota = (self.make_quota)(self.settings);
                node.list.clear();
                node.contact_us = 0;
            }
            Recovery::Resumed => {
                node.is_running = true;
                node.is_paused = false;
            }
            Recovery::ControlReached => node.reaches_control = true,
            Recovery::SplitEnded => node.is_split = false,
            Recovery::Reconnected => {
                node.reaches_control = true;
                node.reaches_gateways = true;
            }
        }
        // The gateway announces itself to control, which notifies the others.
        self.after(END_NOTICE_US - LIST_DELAY_US, Event::Announce(gateway));
    }

    fn evaluate(mut self) -> Outcome {
        let window_us = self.settings.window_ms * 1_000;
        let allowed = self.scenario.rate * window_us as f64 / 1e6 + self.scenario.burst;
        let bound = allowed * (1.0 + self.settings.overshoot) + self.settings.slack;
        let mut max_in_window = 0;
        let mut first = 0;
        for last in 0..self.sent_us.len() {
            while self.sent_us[last] - self.sent_us[first] >= window_us {
                first += 1;
            }
            max_in_window = max_in_window.max(last + 1 - first);
        }
        self.outcome.max_of_limit = max_in_window as f64 / allowed;
        self.outcome.max_of_bound = max_in_window as f64 / bound;
        let single_bucket_admitted = self.single_bucket_admitted();
        self.outcome.refused_within_limit =
            single_bucket_admitted.saturating_sub(self.outcome.admitted);
        self.outcome.waits_us.sort_unstable();
        self.outcome
    }

    /// Requests that a single bucket would have admitted.
    fn single_bucket_admitted(&self) -> u64 {
        let (mut level, mut at_us, mut admitted) = (self.scenario.burst, 0, 0);
        for arrived_us in &self.arrived_us {
            let seconds = (arrived_us - at_us) as f64 / 1e6;
            level = (level + self.scenario.rate * seconds).min(self.scenario.burst.max(1.0));
            at_us = *arrived_us;
            if level >= 1.0 {
                level -= 1.0;
                admitted += 1;
            }
        }
        admitted
    }
}

pub(super) fn tenant(rate: f64, burst: f64) -> Tenant {
    Tenant {
        name: TENANT.to_owned(),
        keys: vec![KeyDigest::of("key")],
        rank: None,
        quota: QuotaLimit::new(rate, burst).expect("it is a limit"),
        homes: Vec::new(),
    }
}
