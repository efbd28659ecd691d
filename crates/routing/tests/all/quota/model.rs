//! A fleet of gateways that count one tenant's requests over a network that loses, delays
//! and cuts, in virtual time.

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

/// A gateway that gets no answer within this asks once more, then decides, in microseconds.
const ANSWER_LIMIT_US: u64 = 12_000;
/// Control takes a gateway that fell silent off the list after this, in microseconds.
const SILENT_US: u64 = 1_200_000;
/// Control learns of a process that ended after this, in microseconds.
const ENDED_US: u64 = 50_000;
/// Control hears of every gateway within this after its start, in microseconds.
const ANNOUNCED_US: u64 = 500_000;
/// Control takes a gateway whose process ended off its record after this, in microseconds.
const FORGOTTEN_US: u64 = 2_000_000;
/// Control counts a gateway as silent for this long since it heard of it, or since it
/// started itself, in microseconds.
const CUT_OFF_US: u64 = 10_000_000;
/// What changed in the list is told after this, in microseconds.
const LISTED_US: u64 = 20_000;
/// How often gateways look after their state, in microseconds.
const UPKEEP_US: u64 = 100_000;
pub(super) const TENANT: &str = "desk";

pub(super) type Quota = Box<dyn FleetQuota>;

/// What happens to gateways.
#[derive(Clone, Debug)]
pub(super) enum Fault {
    /// Processes end and start again, knowing nothing, after so many milliseconds.
    Kill { gateways: Vec<usize>, down_ms: u64 },
    /// They stand still for so long.
    Freeze { gateways: Vec<usize>, for_ms: u64 },
    /// They do not hear of control, nor it of them.
    CutFromControl { gateways: Vec<usize>, for_ms: u64 },
    /// They are cut off from control and from the other gateways.
    Isolate { gateways: Vec<usize>, for_ms: u64 },
    /// They hear control and each other, and no other gateway.
    Split { gateways: Vec<usize>, for_ms: u64 },
    /// All of control is away.
    ControlAway { for_ms: u64 },
    /// All of control ends and starts again; it hears of each gateway within half a second.
    ControlRestarts { down_ms: u64 },
    /// The limit is another one.
    Limit { rate: f64, burst: f64 },
}

/// What is played.
#[derive(Clone, Debug)]
pub(super) struct Play {
    pub(super) gateways: usize,
    pub(super) rate: f64,
    pub(super) burst: f64,
    /// Requests a second, from a time in milliseconds on.
    pub(super) demand: Vec<(u64, f64)>,
    /// Part of the requests that come to the first tenth of the gateways.
    pub(super) skew: f64,
    pub(super) faults: Vec<(u64, Fault)>,
    pub(super) loss: f64,
    pub(super) length_ms: u64,
    pub(super) seed: u64,
}

/// What came of it.
#[derive(Clone, Debug, Default)]
pub(super) struct Outcome {
    pub(super) asked: u64,
    pub(super) admitted: u64,
    /// Requests that one bucket in one place would have admitted besides.
    pub(super) refused_below: u64,
    /// Most requests in a window, as part of what the limit allows in it.
    pub(super) most_of_limit: f64,
    /// The same of what may be gone beyond it.
    pub(super) most_of_bound: f64,
    pub(super) messages: u64,
    /// Waits for a decision, in microseconds, sorted.
    pub(super) waits_us: Vec<u64>,
}

impl Outcome {
    pub(super) fn wait_us(&self, part: f64) -> u64 {
        let last = self.waits_us.len().saturating_sub(1);
        let index = (last as f64 * part) as usize;
        self.waits_us.get(index).copied().unwrap_or(0)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    /// Nothing comes now; perhaps later.
    Look,
    Deliver {
        from: usize,
        to: usize,
        message: MessageKey,
    },
    NoAnswer {
        gateway: usize,
        life: u32,
        ticket: u64,
    },
    Upkeep,
    Fault(usize),
    Return {
        gateway: usize,
        what: Back,
    },
    ControlBack,
    ControlStarts,
    Announce(usize),
    /// Control has heard the end of a process a while ago.
    Forget {
        gateway: usize,
        life: u32,
    },
    Listed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Back {
    Started,
    Thawed,
    Heard,
    Joined,
    United,
}

/// Messages are kept beside the queue, since they have no order.
type MessageKey = u64;

struct Gateway {
    quota: Quota,
    life: u32,
    runs: bool,
    is_frozen: bool,
    /// It hears of control.
    hears: bool,
    /// It is reached by other gateways.
    joined: bool,
    /// It reaches only gateways that are split off as well.
    is_split: bool,
    heard_us: u64,
    list: Vec<MachineId>,
    silent: Vec<MachineId>,
    asked_us: BTreeMap<u64, u64>,
}

pub(super) struct Model {
    play: Play,
    make: fn(QuotaSettings) -> Quota,
    settings: QuotaSettings,
    gateways: Vec<Gateway>,
    directory: TenantDirectory,
    tenant: Tenant,
    now_us: u64,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    next: u64,
    messages: BTreeMap<MessageKey, QuotaMessage>,
    control_away: bool,
    /// Gateways that control heard of since it started.
    announced: BTreeSet<usize>,
    /// Gateways that control's record names; it outlasts control's restart.
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
    pub(super) fn new(play: Play, make: fn(QuotaSettings) -> Quota) -> Self {
        let settings = QuotaSettings::default();
        let list: Vec<MachineId> = (0..play.gateways).map(machine).collect();
        let gateways = (0..play.gateways).map(|_| Gateway {
            quota: make(settings),
            life: 0,
            runs: true,
            is_frozen: false,
            hears: true,
            joined: true,
            is_split: false,
            heard_us: 0,
            list: list.clone(),
            silent: Vec::new(),
            asked_us: BTreeMap::new(),
        });
        let tenant = tenant(play.rate, play.burst);
        let count = play.gateways;
        Model {
            gateways: gateways.collect(),
            directory: TenantDirectory::new(Some(vec![tenant.clone()])),
            tenant,
            random: Pcg64Mcg::seed_from_u64(play.seed),
            play,
            make,
            settings,
            now_us: 0,
            queue: BinaryHeap::new(),
            next: 0,
            messages: BTreeMap::new(),
            control_away: false,
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
        self.after(0, Event::Upkeep);
        self.next_arrival();
        for index in 0..self.play.faults.len() {
            let at_us = self.play.faults[index].0 * 1_000;
            self.after(at_us, Event::Fault(index));
        }
        let end_us = self.play.length_ms * 1_000;
        while let Some(Reverse((at_us, _, event))) = self.queue.pop() {
            if at_us > end_us {
                break;
            }
            self.now_us = at_us;
            self.step(event);
        }
        self.judge()
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
            Event::NoAnswer {
                gateway,
                life,
                ticket,
            } => {
                if self.gateways[gateway].life == life {
                    self.act(gateway, |quota, tenant, view| {
                        quota.answer_timed_out(Ticket(ticket), tenant, view)
                    });
                    self.wait_for_answer(gateway, ticket);
                }
            }
            Event::Look => self.next_arrival(),
            Event::Upkeep => self.run_maintenance(),
            Event::Fault(index) => self.fault(self.play.faults[index].1.clone()),
            Event::Return { gateway, what } => self.come_back(gateway, what),
            Event::ControlBack => {
                self.control_away = false;
                self.hear_of_all();
            }
            Event::ControlStarts => {
                self.control_away = false;
                self.control_started_us = self.now_us;
                self.announced.clear();
                self.hear_of_all();
            }
            Event::Announce(gateway) => self.announce(gateway),
            Event::Forget { gateway, life } => self.forget(gateway, life),
            Event::Listed => self.tell_list(),
        }
    }

    fn next_arrival(&mut self) {
        let now_ms = self.now_us / 1_000;
        let steps = self.play.demand.iter();
        let rate = steps
            .rev()
            .find(|(from, _)| *from <= now_ms)
            .map_or(0.0, |(_, rate)| *rate);
        if rate <= 0.0 {
            self.after(UPKEEP_US, Event::Look);
            return;
        }
        let drawn: f64 = self.random.random();
        let wait_us = (-(1.0 - drawn).ln() / rate * 1e6) as u64;
        self.after(wait_us, Event::Arrive);
    }

    fn arrive(&mut self) {
        let count = self.gateways.len();
        let first = count.div_ceil(10);
        let gateway = if self.random.random::<f64>() < self.play.skew {
            self.random.random_range(0..first)
        } else {
            self.random.random_range(0..count)
        };
        self.arrived_us.push(self.now_us);
        self.outcome.asked += 1;
        // Callers whose gateway does not answer go to none here.
        // One that has learned nothing yet is not ready.
        let node = &self.gateways[gateway];
        if !node.runs || node.list.is_empty() {
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

    /// A request that is not decided yet asks again after a while.
    fn wait_for_answer(&mut self, gateway: usize, ticket: u64) {
        let node = &self.gateways[gateway];
        if node.asked_us.contains_key(&ticket) {
            let life = node.life;
            let event = Event::NoAnswer {
                gateway,
                life,
                ticket,
            };
            self.after(ANSWER_LIMIT_US, event);
        }
    }

    fn act(
        &mut self,
        gateway: usize,
        decide: impl FnOnce(&mut Quota, &Tenant, &QuotaView<'_>) -> Vec<QuotaAction>,
    ) {
        let now_us = self.now_us;
        let node = &mut self.gateways[gateway];
        if !node.runs {
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
            control_silent_ms: (now_us - node.heard_us) / 1_000,
            tenants: &self.directory,
        };
        let actions = decide(&mut node.quota, &self.tenant, &view);
        for action in actions {
            match action {
                QuotaAction::Decide { ticket, verdict } => self.decided(gateway, ticket, verdict),
                QuotaAction::Send { to, message } => self.send(gateway, to, message),
            }
        }
    }

    fn decided(&mut self, gateway: usize, ticket: Ticket, verdict: QuotaVerdict) {
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
        if self.random.random::<f64>() < self.play.loss {
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
        // A machine that stands still reads it later, one that is cut off never.
        let (sender, receiver) = (&self.gateways[from], &self.gateways[to]);
        let is_reached = sender.joined && receiver.joined && sender.is_split == receiver.is_split;
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
            if node.runs && node.hears && !self.control_away {
                node.heard_us = self.now_us;
            }
            self.act(index, |quota, _, view| quota.run_maintenance(view));
        }
        self.after(UPKEEP_US, Event::Upkeep);
    }

    /// Control is there again, and hears of the gateways that it has not heard of.
    fn hear_of_all(&mut self) {
        for gateway in 0..self.gateways.len() {
            if !self.announced.contains(&gateway) {
                let wait_us = self.random.random_range(10_000..ANNOUNCED_US);
                self.after(wait_us, Event::Announce(gateway));
            }
        }
    }

    /// Control hears of a gateway and puts it on its record.
    fn announce(&mut self, gateway: usize) {
        let node = &self.gateways[gateway];
        if node.runs && node.hears && !self.control_away {
            self.announced.insert(gateway);
            self.known.insert(gateway);
        }
        self.after(LISTED_US, Event::Listed);
    }

    /// Control takes a gateway off its record, where it heard its process end.
    fn forget(&mut self, gateway: usize, life: u32) {
        let node = &self.gateways[gateway];
        let has_ended = node.life == life && !node.runs && !node.is_frozen;
        if has_ended && !self.control_away && self.announced.contains(&gateway) {
            self.known.remove(&gateway);
        }
    }

    /// A known gateway that control does not hear, without having heard its process end.
    fn is_silent(&self, gateway: usize) -> bool {
        let node = &self.gateways[gateway];
        let is_heard = node.runs && node.hears;
        if !self.announced.contains(&gateway) {
            let since_us = self.now_us - self.control_started_us;
            return self.known.contains(&gateway) && since_us <= CUT_OFF_US;
        }
        let has_ended = !node.runs && !node.is_frozen;
        !is_heard && !has_ended
    }

    /// Control tells those that hear it which gateways there are.
    fn tell_list(&mut self) {
        if self.control_away {
            self.after(UPKEEP_US, Event::Listed);
            return;
        }
        let nodes = self.gateways.iter().enumerate();
        let list: Vec<MachineId> = nodes
            .filter(|(index, node)| node.runs && node.hears && self.announced.contains(index))
            .map(|(index, _)| machine(index))
            .collect();
        let silent = (0..self.gateways.len()).filter(|gateway| self.is_silent(*gateway));
        let silent: Vec<MachineId> = silent.map(machine).collect();
        for node in &mut self.gateways {
            if node.runs && node.hears {
                node.silent = silent.clone();
                node.list = list.clone();
                node.heard_us = self.now_us;
            }
        }
    }

    fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Kill { gateways, down_ms } => {
                for gateway in gateways {
                    let node = &mut self.gateways[gateway];
                    node.runs = false;
                    node.life += 1;
                    node.asked_us.clear();
                    let life = node.life;
                    self.after(ENDED_US + FORGOTTEN_US, Event::Forget { gateway, life });
                    let back = Event::Return {
                        gateway,
                        what: Back::Started,
                    };
                    self.after(down_ms * 1_000, back);
                }
                self.after(ENDED_US, Event::Listed);
            }
            Fault::Freeze { gateways, for_ms } => {
                for gateway in gateways {
                    self.gateways[gateway].runs = false;
                    self.gateways[gateway].is_frozen = true;
                    let back = Event::Return {
                        gateway,
                        what: Back::Thawed,
                    };
                    self.after(for_ms * 1_000, back);
                }
                self.after(SILENT_US, Event::Listed);
            }
            Fault::CutFromControl { gateways, for_ms } => {
                for gateway in gateways {
                    self.gateways[gateway].hears = false;
                    let back = Event::Return {
                        gateway,
                        what: Back::Heard,
                    };
                    self.after(for_ms * 1_000, back);
                }
                self.after(SILENT_US, Event::Listed);
            }
            Fault::Isolate { gateways, for_ms } => {
                for gateway in gateways {
                    self.gateways[gateway].hears = false;
                    self.gateways[gateway].joined = false;
                    let back = Event::Return {
                        gateway,
                        what: Back::Joined,
                    };
                    self.after(for_ms * 1_000, back);
                }
                self.after(SILENT_US, Event::Listed);
            }
            Fault::Split { gateways, for_ms } => {
                for gateway in gateways {
                    self.gateways[gateway].is_split = true;
                    let back = Event::Return {
                        gateway,
                        what: Back::United,
                    };
                    self.after(for_ms * 1_000, back);
                }
            }
            Fault::ControlAway { for_ms } => {
                self.control_away = true;
                self.after(for_ms * 1_000, Event::ControlBack);
            }
            Fault::ControlRestarts { down_ms } => {
                self.control_away = true;
                self.after(down_ms * 1_000, Event::ControlStarts);
            }
            Fault::Limit { rate, burst } => {
                self.tenant = tenant(rate, burst);
                self.directory = TenantDirectory::new(Some(vec![self.tenant.clone()]));
            }
        }
    }

    fn come_back(&mut self, gateway: usize, what: Back) {
        let node = &mut self.gateways[gateway];
        match what {
            Back::Started => {
                node.runs = true;
                node.is_frozen = false;
                node.silent.clear();
                node.quota = (self.make)(self.settings);
                node.list.clear();
                node.heard_us = 0;
            }
            Back::Thawed => {
                node.runs = true;
                node.is_frozen = false;
            }
            Back::Heard => node.hears = true,
            Back::United => node.is_split = false,
            Back::Joined => {
                node.hears = true;
                node.joined = true;
            }
        }
        // It says so to control, which tells the others.
        self.after(ENDED_US - LISTED_US, Event::Announce(gateway));
    }

    fn judge(mut self) -> Outcome {
        let window_us = self.settings.window_ms * 1_000;
        let allowed = self.play.rate * window_us as f64 / 1e6 + self.play.burst;
        let bound = allowed * (1.0 + self.settings.overshoot) + self.settings.slack;
        let mut most = 0;
        let mut first = 0;
        for last in 0..self.sent_us.len() {
            while self.sent_us[last] - self.sent_us[first] >= window_us {
                first += 1;
            }
            most = most.max(last + 1 - first);
        }
        self.outcome.most_of_limit = most as f64 / allowed;
        self.outcome.most_of_bound = most as f64 / bound;
        let in_one_place = self.in_one_place();
        self.outcome.refused_below = in_one_place.saturating_sub(self.outcome.admitted);
        self.outcome.waits_us.sort_unstable();
        self.outcome
    }

    /// What one bucket in one place would have admitted.
    fn in_one_place(&self) -> u64 {
        let (mut level, mut at_us, mut admitted) = (self.play.burst, 0, 0);
        for arrived_us in &self.arrived_us {
            let seconds = (arrived_us - at_us) as f64 / 1e6;
            level = (level + self.play.rate * seconds).min(self.play.burst.max(1.0));
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
