//! One run: gateways, control and engines in virtual time.

mod agenda;
mod attempt;
mod batch;
mod central;
mod control;
mod engines;
mod gateway;
mod incidents;
mod online;

use std::collections::VecDeque;

use linnethitch_emulator::{
    Time,
    engine::{EngineCore, EngineEvent, EngineModel},
};
use linnethitch_protocol::ids::Timestamp;
use linnethitch_routing::grants::GrantTable;

pub(crate) use self::incidents::{Incident, IncidentKind};
use self::{
    agenda::{Agenda, Event},
    attempt::{Attempt, Owner},
    batch::ItemState,
    control::Control,
    engines::EngineSlot,
    gateway::Gateway,
    online::OnlineState,
};
use crate::{
    deployment::Deployment,
    outcome::Outcome,
    strategy::Strategy,
    trace::{Prompt, Trace},
};

/// One-way latency inside a zone, in microseconds.
const SAME_ZONE_MICROS: u64 = 200;

const MICROS_PER_SECOND: f64 = 1_000_000.0;

/// Parameters of a run.
#[derive(Clone, Debug)]
pub(crate) struct RunSettings {
    /// Seed of gateways and engines.
    pub(crate) seed: u64,
    /// What comes before this time is not measured.
    pub(crate) warm_up: Time,
    /// When the run ends.
    pub(crate) end: Time,
    /// The engines.
    pub(crate) engine: EngineModel,
    /// What happens to engines.
    pub(crate) incidents: Vec<Incident>,
}

/// The state of a run.
pub(crate) struct Simulation<'a> {
    deployment: &'a Deployment,
    strategy: Strategy,
    settings: RunSettings,
    trace: &'a Trace,
    now: Time,
    agenda: Agenda,
    engines: Vec<EngineSlot>,
    gateways: Vec<Gateway>,
    control: Control,
    attempts: Vec<Attempt>,
    online: Vec<OnlineState>,
    items: Vec<ItemState>,
    /// Items that nobody has leased.
    backlog: VecDeque<usize>,
    /// Work of the baseline with one queue.
    shared_queue: VecDeque<Owner>,
    engine_events: Vec<EngineEvent>,
    outcome: Outcome,
}

impl<'a> Simulation<'a> {
    /// A run that has not begun.
    pub(crate) fn new(
        deployment: &'a Deployment,
        strategy: Strategy,
        trace: &'a Trace,
        settings: RunSettings,
    ) -> Simulation<'a> {
        let engines = deployment.engine_zones.len();
        let slots = (0..engines).map(|engine| {
            let seed = settings.seed.wrapping_add(engine as u64);
            let core = EngineCore::new(settings.engine.clone(), seed);
            EngineSlot::new(core.with_state(deployment.engine_state()))
        });
        let mut simulation = Simulation {
            engines: slots.collect(),
            gateways: Vec::new(),
            control: Control {
                book: GrantTable::new(strategy.grants),
                loads: Vec::new(),
            },
            deployment,
            strategy,
            trace,
            now: Time::ZERO,
            agenda: Agenda::default(),
            attempts: Vec::new(),
            online: vec![OnlineState::default(); trace.online.len()],
            items: Vec::new(),
            backlog: VecDeque::new(),
            shared_queue: VecDeque::new(),
            engine_events: Vec::new(),
            outcome: Outcome::default(),
            settings,
        };
        simulation.create_gateways();
        simulation
    }

    fn create_gateways(&mut self) {
        let listed = self.online_engines();
        for (number, zone) in self.deployment.gateway_zones.iter().enumerate() {
            let mut gateway = Gateway::new(
                number,
                self.deployment.zones[*zone].clone(),
                self.deployment.routing.clone(),
                &self.strategy,
                self.engines.len(),
                self.settings.seed,
            );
            let replicas = (0..listed).map(|engine| self.deployment.replica(engine));
            gateway.router.view_mut().set_replicas(replicas);
            self.gateways.push(gateway);
        }
    }

    /// Runs to the end and tells what was measured.
    pub(crate) fn run(mut self) -> Outcome {
        for (request, online) in self.trace.online.iter().enumerate() {
            self.agenda.add(online.at, Event::Online(request));
        }
        for (heap, arrival) in self.trace.heaps.iter().enumerate() {
            self.agenda.add(arrival.at, Event::Heap(heap));
        }
        for incident in &self.settings.incidents {
            self.agenda.add(incident.at, Event::Incident(*incident));
        }
        self.start_control();
        self.agenda.add(self.now, Event::Pump);
        while let Some((at, event)) = self.agenda.next() {
            if at >= self.settings.end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.count_unanswered();
        let measured = self.settings.end.micros_since(self.settings.warm_up);
        self.outcome.seconds = measured as f64 / MICROS_PER_SECOND;
        self.outcome
    }

    /// Counts who still waits at the end with the wait so far.
    fn count_unanswered(&mut self) {
        for (arrival, state) in self.trace.online.iter().zip(&self.online) {
            let measured = (self.settings.warm_up..self.settings.end).contains(&arrival.at);
            if measured && state.last_token_at.is_none() && !state.refused {
                let wait = self.settings.end.micros_since(arrival.at);
                self.outcome.on_first_token(wait, arrival.long);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Online(request) => {
                self.on_online_arrival(request);
            }
            Event::Heap(heap) => self.on_heap(heap),
            Event::Submit(attempt) => self.on_submit(attempt),
            Event::Cancel(attempt) => self.on_cancel(attempt),
            Event::Broken(attempt) => self.on_broken(attempt),
            Event::Incident(incident) => self.on_incident(incident),
            Event::Wake(engine) => self.on_wake(engine),
            Event::Poll => self.on_poll(),
            Event::Digest(loads) => self.on_digest(&loads),
            Event::Allocate => self.on_allocate(),
            Event::Grants(grants) => self.on_grants(&grants),
            Event::Lease(gateway) => self.on_lease(gateway),
            Event::Pump => self.on_pump(),
        }
    }

    /// The time as the decisions count it.
    fn timestamp(&self) -> Timestamp {
        Timestamp(self.now.as_millis())
    }

    /// One-way latency between a gateway and an engine, in microseconds.
    fn latency(&self, gateway: usize, engine: usize) -> u64 {
        let same = self.deployment.gateway_zones[gateway] == self.deployment.engine_zones[engine];
        if same {
            SAME_ZONE_MICROS
        } else {
            self.deployment.zone_micros
        }
    }

    fn prompt(&self, owner: Owner) -> &'a Prompt {
        let trace = self.trace;
        match owner {
            Owner::Online(request) => &trace.online[request].prompt,
            Owner::Item(item) => {
                let (heap, position) = self.items[item].place;
                &trace.heaps[heap].items[position]
            }
        }
    }

    /// Tokens of an answer that earlier attempts delivered.
    fn delivered_tokens(&self, owner: Owner) -> u32 {
        match owner {
            Owner::Online(request) => self.online[request].tokens,
            Owner::Item(item) => self.items[item].tokens,
        }
    }
}
