//! A simulated fleet in virtual time: the emulator's engines and platform, the
//! real ledger, and the reconcilers of one or more leaders.

use std::collections::BTreeMap;

use linnethitch_emulator::{
    Time,
    engine::{EngineCore, EngineModel},
    platform::{PlatformCore, PlatformModel},
};
use linnethitch_placement::{
    PlacementLimits, Reconciler,
    reconciler::{Action, IssuedOrder, Observation, OrderAnswer, ReservationAnswer},
};
use linnethitch_protocol::{
    command::{CommandBody, EngineOrder, Outcome},
    fleet::{BackEndKind, EngineState, LoadReport, Machine, MachineState},
    ids::{ModelId, ReplicaId, Term, Timestamp, ZoneId},
};

use crate::ledger::OrderLedger;

/// One step of the virtual clock.
const STEP_MS: u64 = 250;
/// Steps between two reads of the platform's list.
const STEPS_PER_LIST: u64 = 4;
const MAX_RUNNING: u32 = 64;

pub(crate) const MODEL: &str = "quote";

/// An emulated engine with its faults and load.
pub(crate) struct Engine {
    pub(crate) core: EngineCore,
    pub(crate) zone: &'static str,
    /// Whether it answers requests.
    pub(crate) answers: bool,
    /// Online requests that it reports.
    pub(crate) online: u32,
    /// Number of model loads that it accepted.
    pub(crate) loads: u32,
}

/// The simulated fleet.
pub(crate) struct World {
    pub(crate) now_ms: u64,
    pub(crate) engines: BTreeMap<ReplicaId, Engine>,
    pub(crate) platform: PlatformCore,
    pub(crate) ledger: OrderLedger,
    pub(crate) leader: Reconciler,
    /// The open orders of the ledger as the leader sees them, one step late.
    view: Vec<IssuedOrder>,
    /// Actions of this kind are stored instead of executed.
    pub(crate) hold_at: Option<HoldAt>,
    pub(crate) held_actions: Vec<Action>,
    /// Reasons of the journaled decisions, in order.
    pub(crate) reasons: Vec<String>,
    pub(crate) store_refusals: u32,
    pub(crate) store_grants: u32,
}

/// The action at which the leader is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HoldAt {
    Reserve,
    Issue,
    Send,
    Settle,
}

impl HoldAt {
    fn matches(self, action: &Action) -> bool {
        matches!(
            (self, action),
            (HoldAt::Reserve, Action::Reserve { .. })
                | (HoldAt::Issue, Action::Issue { .. })
                | (HoldAt::Send, Action::Send { .. })
                | (HoldAt::Settle, Action::Settle { .. })
        )
    }
}

/// A fleet file with the model in two zones.
pub(crate) fn fleet_file(version: &str, in_a: u32, in_b: u32, extra: &str) -> String {
    format!(
        r#"
        name = "test"
        [[zone]]
        name = "a"
        region = "r"
        [[zone]]
        name = "b"
        region = "r"
        [[model]]
        name = "{MODEL}"
        version = "{version}"
        placement = [{{ zone = "a", replicas = {in_a} }}, {{ zone = "b", replicas = {in_b} }}]
        {extra}
        "#
    )
}

impl World {
    pub(crate) fn new(fleet_file: &str) -> Self {
        World {
            now_ms: 1_000_000,
            engines: BTreeMap::new(),
            platform: PlatformCore::new(PlatformModel::default(), Vec::new()),
            ledger: OrderLedger::new(fleet_file),
            leader: Reconciler::new(PlacementLimits::default(), Term(1), Vec::new()),
            view: Vec::new(),
            hold_at: None,
            held_actions: Vec::new(),
            reasons: Vec::new(),
            store_refusals: 0,
            store_grants: 0,
        }
    }

    /// Adds engines `{zone}01` and so on; `version` is `None` for engines without a model.
    pub(crate) fn with(mut self, zone: &'static str, count: u32, version: Option<&str>) -> Self {
        let first = self.engines.values().filter(|one| one.zone == zone).count() as u32 + 1;
        for number in first..first + count {
            let replica = ReplicaId(format!("{zone}{number:02}"));
            let state = EngineState {
                model: version.map(|_| ModelId::from(MODEL)),
                version: version.unwrap_or_default().to_owned(),
                ..EngineState::default()
            };
            let engine = Engine {
                core: EngineCore::new(EngineModel::default(), 1).with_state(state),
                zone,
                answers: true,
                online: 0,
                loads: 0,
            };
            self.engines.insert(replica.clone(), engine);
            let machine = Machine {
                replica: replica.clone(),
                kind: BackEndKind::Engine,
                zone: ZoneId::from(zone),
                address: format!("{replica}:80"),
                state: MachineState::Live,
            };
            self.platform.put_machine(Time::ZERO, machine);
        }
        self
    }

    pub(crate) fn engine(&mut self, name: &str) -> &mut Engine {
        let replica = ReplicaId::from(name);
        self.engines.get_mut(&replica).expect("a known engine")
    }

    /// Another member becomes leader.
    pub(crate) fn change_leader(&mut self) {
        let term = Term(self.leader.term().0 + 1);
        let next = Reconciler::new(PlacementLimits::default(), term, Vec::new());
        self.leader = next;
        self.view = self.ledger.open_orders();
    }

    /// Restarts an engine process with nothing loaded.
    pub(crate) fn restart_empty(&mut self, name: &str) {
        let engine = self.engine(name);
        engine.core = EngineCore::new(EngineModel::default(), 1);
        engine.answers = true;
    }

    pub(crate) fn run_ms(&mut self, milliseconds: u64) {
        self.run_checked(milliseconds, |_| {});
    }

    /// Runs for a time and checks the fleet after each step.
    pub(crate) fn run_checked(&mut self, milliseconds: u64, check: impl Fn(&World)) {
        for _ in 0..milliseconds / STEP_MS {
            self.step();
            check(self);
        }
    }

    fn time(&self) -> Time {
        Time::from_millis(self.now_ms)
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        let (time, now) = (self.time(), Timestamp(self.now_ms));
        for engine in self.engines.values_mut() {
            engine.core.advance(time, &mut Vec::new());
        }
        if (self.now_ms / STEP_MS).is_multiple_of(STEPS_PER_LIST) {
            let machines = self.platform.machines(time).to_vec();
            self.leader.listed(now, machines);
        }
        for poll in self.leader.due_polls(now) {
            let answer = self.observe(&poll.replica);
            self.leader.polled(now, &poll, answer);
        }
        let fleet = self
            .ledger
            .state()
            .fleet()
            .expect("a fleet file is in force");
        let open = std::mem::replace(&mut self.view, self.ledger.open_orders());
        for action in self.leader.step(now, &fleet, &open) {
            if self.hold_at.is_some_and(|hold| hold.matches(&action)) {
                self.held_actions.push(action);
            } else {
                self.execute(action);
            }
        }
        let records = self.leader.take_records().into_iter();
        self.reasons
            .extend(records.map(|record| record.reason.into_owned()));
    }

    fn observe(&self, replica: &ReplicaId) -> Option<Observation> {
        let engine = self.engines.get(replica).filter(|one| one.answers)?;
        Some(Observation {
            engine: engine.core.state().clone(),
            load: Some(LoadReport {
                running_online: engine.online,
                max_running: MAX_RUNNING,
                ..LoadReport::default()
            }),
        })
    }

    pub(crate) fn execute(&mut self, action: Action) {
        let now = Timestamp(self.now_ms);
        match action {
            Action::Reserve { replica, .. } => {
                let answer = self.reserve();
                self.leader.reserved(now, &replica, answer);
            }
            Action::Issue {
                replica,
                order,
                term,
            } => {
                let body = CommandBody::IssueOrder {
                    replica: replica.clone(),
                    order,
                    term,
                };
                let token = match self.ledger.commit(body) {
                    Outcome::Order(token) => Some(token),
                    _ => None,
                };
                self.leader.issued(now, &replica, token);
            }
            Action::Send { order, .. } => {
                let answer = self.deliver(&order);
                self.leader.sent(now, &order.replica, order.token, answer);
            }
            Action::Settle { replica, token } => {
                let settle = CommandBody::SettleOrder {
                    replica: replica.clone(),
                    token,
                };
                let ok = self.ledger.commit(settle) == Outcome::Done;
                self.leader.settled(now, &replica, token, ok);
            }
        }
    }

    fn reserve(&mut self) -> ReservationAnswer {
        match self.platform.reserve(self.time()) {
            Ok(reservation) => {
                self.store_grants += 1;
                ReservationAnswer::ReadyAfter(reservation.ready_after_micros / 1_000)
            }
            Err(busy) => {
                self.store_refusals += 1;
                ReservationAnswer::Busy(busy.retry_after_micros.div_ceil(1_000_000) * 1_000)
            }
        }
    }

    /// Delivers an order to its engine, which checks the token.
    pub(crate) fn deliver(&mut self, order: &IssuedOrder) -> OrderAnswer {
        let time = self.time();
        let engine = self.engine(order.replica.as_str());
        if !engine.answers {
            return OrderAnswer::NoAnswer;
        }
        let is_resend = order.token == engine.core.state().fence;
        if !engine.core.order(time, order.token, order.order.clone()) {
            return OrderAnswer::Fenced;
        }
        let loads = matches!(order.order, EngineOrder::LoadModel { .. });
        engine.loads += u32::from(loads && !is_resend);
        OrderAnswer::Accepted
    }

    /// Engines of a zone that answer and serve the version.
    pub(crate) fn serving(&self, zone: &str, version: &str) -> usize {
        self.serving_any(zone, |state| state.version == version)
    }

    /// Engines of a zone that answer and serve the model in a state.
    pub(crate) fn serving_any(&self, zone: &str, meets: impl Fn(&EngineState) -> bool) -> usize {
        let engines = self.engines.values();
        engines
            .filter(|engine| engine.zone == zone && engine.answers)
            .map(|engine| engine.core.state())
            .filter(|state| state.model.is_some() && meets(state))
            .count()
    }

    pub(crate) fn loads(&self) -> u32 {
        self.engines.values().map(|engine| engine.loads).sum()
    }

    pub(crate) fn has_record_of(&self, reason: &str) -> bool {
        self.reasons.iter().any(|known| known == reason)
    }
}
