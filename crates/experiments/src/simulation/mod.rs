//! Discrete-event simulation of one run: gateways, control and engines in virtual time.

mod attempt;
mod batch;
mod central;
mod control;
mod engines;
mod event_queue;
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
    attempt::{Attempt, Owner},
    batch::ItemState,
    control::Control,
    engines::SimulatedEngine,
    event_queue::{Event, EventQueue},
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
const SAME_ZONE_LATENCY_MICROS: u64 = 200;

const MICROS_PER_SECOND: f64 = 1_000_000.0;

/// Parameters of a run.
#[derive(Clone, Debug)]
pub(crate) struct RunSettings {
    /// Seed of the random choices of gateways and engines.
    pub(crate) seed: u64,
    /// End of the warm-up; earlier events are not measured.
    pub(crate) warm_up: Time,
    /// End of the run.
    pub(crate) end: Time,
    /// Model of every engine.
    pub(crate) engine: EngineModel,
    /// Incidents on engines.
    pub(crate) incidents: Vec<Incident>,
}

/// The state of a run.
pub(crate) struct Simulation<'a> {
    deployment: &'a Deployment,
    strategy: Strategy,
    settings: RunSettings,
    trace: &'a Trace,
    now: Time,
    event_queue: EventQueue,
    engines: Vec<SimulatedEngine>,
    gateways: Vec<Gateway>,
    control: Control,
    attempts: Vec<Attempt>,
    online: Vec<OnlineState>,
    items: Vec<ItemState>,
    /// Items that no gateway has leased.
    backlog: VecDeque<usize>,
    /// Waiting online requests and batch items of the baseline with one central queue.
    shared_queue: VecDeque<Owner>,
    engine_events: Vec<EngineEvent>,
    outcome: Outcome,
}

impl<'a> Simulation<'a> {
    /// Creates a run; [`Simulation::run`] starts it.
    pub(crate) fn new(
        deployment: &'a Deployment,
        strategy: Strategy,
        trace: &'a Trace,
        settings: RunSettings,
    ) -> Simulation<'a> {
        let engines = deployment.engine_zones.len();
        let simulated_engines = (0..engines).map(|engine| {
            let seed = settings.seed.wrapping_add(engine as u64);
            let core = EngineCore::new(settings.engine.clone(), seed);
            SimulatedEngine::new(core.with_state(deployment.engine_state()))
        });
        let mut simulation = Simulation {
            engines: simulated_engines.collect(),
            gateways: Vec::new(),
            control: Control {
                grant_table: GrantTable::new(strategy.grants),
                loads: Vec::new(),
            },
            deployment,
            strategy,
            trace,
            now: Time::ZERO,
            event_queue: EventQueue::default(),
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
        let online_engine_count = self.online_engine_count();
        for (number, zone) in self.deployment.gateway_zones.iter().enumerate() {
            let mut gateway = Gateway::new(
                number,
                self.deployment.zones[*zone].clone(),
                self.deployment.routing.clone(),
                &self.strategy,
                self.engines.len(),
                self.settings.seed,
            );
            let replicas = (0..online_engine_count).map(|engine| self.deployment.replica(engine));
            gateway.router.view_mut().set_replicas(replicas);
            self.gateways.push(gateway);
        }
    }

    /// Runs to the end and returns the results.
    pub(crate) fn run(mut self) -> Outcome {
        for (request, online) in self.trace.online.iter().enumerate() {
            self.event_queue
                .add(online.at, Event::OnlineArrival(request));
        }
        for (job, arrival) in self.trace.jobs.iter().enumerate() {
            self.event_queue.add(arrival.at, Event::BatchJob(job));
        }
        for incident in &self.settings.incidents {
            self.event_queue
                .add(incident.at, Event::Incident(*incident));
        }
        self.start_control();
        self.event_queue.add(self.now, Event::BatchTick);
        while let Some((at, event)) = self.event_queue.pop() {
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

    /// Records the wait so far of requests without a first token at the end of the run.
    fn count_unanswered(&mut self) {
        for (arrival, state) in self.trace.online.iter().zip(&self.online) {
            let measured = (self.settings.warm_up..self.settings.end).contains(&arrival.at);
            if measured && state.last_token_at.is_none() && !state.refused {
                let wait = self.settings.end.micros_since(arrival.at);
                self.outcome.record_first_token(wait, arrival.long);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::OnlineArrival(request) => {
                self.on_online_arrival(request);
            }
            Event::BatchJob(job) => self.on_batch_job(job),
            Event::Submit(attempt) => self.on_submit(attempt),
            Event::Cancel(attempt) => self.on_cancel(attempt),
            Event::ConnectionBroken(attempt) => self.on_connection_broken(attempt),
            Event::Incident(incident) => self.on_incident(incident),
            Event::Wake(engine) => self.on_wake(engine),
            Event::Poll => self.on_poll(),
            Event::LoadReports(loads) => self.on_load_reports(&loads),
            Event::Allocate => self.on_allocate(),
            Event::Grants(grants) => self.on_grants(&grants),
            Event::Lease(gateway) => self.on_lease(gateway),
            Event::BatchTick => self.on_batch_tick(),
        }
    }

    /// The current virtual time in the unit of the routing decisions.
    fn timestamp(&self) -> Timestamp {
        Timestamp(self.now.as_millis())
    }

    /// One-way latency between a gateway and an engine, in microseconds.
    fn latency(&self, gateway: usize, engine: usize) -> u64 {
        let same = self.deployment.gateway_zones[gateway] == self.deployment.engine_zones[engine];
        if same {
            SAME_ZONE_LATENCY_MICROS
        } else {
            self.deployment.zone_latency_micros
        }
    }

    fn prompt(&self, owner: Owner) -> &'a Prompt {
        let trace = self.trace;
        match owner {
            Owner::Online(request) => &trace.online[request].prompt,
            Owner::Item(item) => {
                let (job, position) = self.items[item].trace_position;
                &trace.jobs[job].items[position]
            }
        }
    }

    /// Answer tokens that earlier attempts delivered.
    fn delivered_tokens(&self, owner: Owner) -> u32 {
        match owner {
            Owner::Online(request) => self.online[request].tokens,
            Owner::Item(item) => self.items[item].tokens,
        }
    }
}
