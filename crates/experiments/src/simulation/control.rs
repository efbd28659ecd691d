//! Control: reads the loads of engines and allocates capacity grants.

use std::rc::Rc;

use linnethitch_protocol::fleet::LoadReport;
use linnethitch_routing::{
    ReplicaIndex,
    grants::{BatchReplica, CapacityRequest, GrantTable},
};

use super::{Simulation, event_queue::Event};
use crate::strategy::BatchDispatch;

/// Interval at which control reads the loads of engines, in microseconds.
const POLL_INTERVAL_MICROS: u64 = 250_000;

/// Interval at which control allocates grants, in microseconds.
const ALLOCATION_INTERVAL_MICROS: u64 = 500_000;

/// One-way latency from control to a gateway, in microseconds.
const CONTROL_LATENCY_MICROS: u64 = 3_000;

/// Maximum sequences that one gateway requests.
const MAX_REQUESTED_SEQUENCES: u32 = 512;

/// A grant that control sends to a gateway.
#[derive(Clone, Debug)]
pub(super) struct GrantedBatch {
    pub(super) gateway: usize,
    pub(super) engine: usize,
    pub(super) sequences: u32,
    pub(super) valid_ms: u32,
}

/// State of control.
#[derive(Debug)]
pub(super) struct Control {
    pub(super) grant_table: GrantTable,
    pub(super) loads: Vec<LoadReport>,
}

impl Simulation<'_> {
    pub(super) fn start_control(&mut self) {
        self.event_queue.add(self.now, Event::Poll);
        if self.strategy.batch == BatchDispatch::Granted {
            self.event_queue
                .add(self.now + CONTROL_LATENCY_MICROS, Event::Allocate);
        }
    }

    pub(super) fn on_poll(&mut self) {
        let loads: Vec<LoadReport> = self
            .engines
            .iter()
            .enumerate()
            .map(|(engine, simulated)| match self.control.loads.get(engine) {
                // A dead engine does not answer: control keeps sending its last report.
                Some(last) if simulated.dead => *last,
                _ => simulated.core.load_report(self.now),
            })
            .collect();
        self.control.loads.clone_from(&loads);
        let arrives_at = self.now + CONTROL_LATENCY_MICROS;
        self.event_queue
            .add(arrives_at, Event::LoadReports(Rc::new(loads)));
        self.event_queue
            .add(self.now + POLL_INTERVAL_MICROS, Event::Poll);
    }

    pub(super) fn on_load_reports(&mut self, loads: &[LoadReport]) {
        let online_engine_count = self.online_engine_count();
        for gateway in &mut self.gateways {
            for (engine, load) in loads.iter().take(online_engine_count).enumerate() {
                let view = gateway.router.view_mut();
                view.on_load_report(ReplicaIndex(engine as u32), *load);
            }
        }
    }

    pub(super) fn on_allocate(&mut self) {
        let requests: Vec<CapacityRequest> = (0..self.gateways.len())
            .map(|gateway| self.capacity_request(gateway))
            .collect();
        let replicas: Vec<BatchReplica> = self
            .control
            .loads
            .iter()
            .enumerate()
            .map(|(engine, load)| self.batch_replica(engine, *load))
            .collect();
        let allocations = self
            .control
            .grant_table
            .allocate(self.timestamp(), &requests, &replicas);
        let grants = allocations
            .iter()
            .filter_map(|allocation| {
                let gateways = self.gateways.iter();
                let engines = replicas.iter();
                Some(GrantedBatch {
                    gateway: gateways
                        .into_iter()
                        .position(|gateway| gateway.id == allocation.gateway)?,
                    engine: engines
                        .into_iter()
                        .position(|replica| replica.replica == allocation.grant.replica)?,
                    sequences: allocation.grant.sequences,
                    valid_ms: allocation.grant.valid_ms,
                })
            })
            .collect();
        let arrives_at = self.now + CONTROL_LATENCY_MICROS;
        self.event_queue
            .add(arrives_at, Event::Grants(Rc::new(grants)));
        self.event_queue
            .add(self.now + ALLOCATION_INTERVAL_MICROS, Event::Allocate);
    }

    fn capacity_request(&self, gateway: usize) -> CapacityRequest {
        let gateway_state = &self.gateways[gateway];
        let share = self.backlog.len().div_ceil(self.gateways.len()) as u32;
        let requested = gateway_state.batch_running() + gateway_state.leased.len() as u32 + share;
        CapacityRequest {
            gateway: gateway_state.id.clone(),
            zone: gateway_state.zone.clone(),
            model: self.deployment.model.clone(),
            sequences: requested.min(MAX_REQUESTED_SEQUENCES),
        }
    }

    fn batch_replica(&self, engine: usize, load: LoadReport) -> BatchReplica {
        let machine = self.deployment.replica(engine).machine;
        BatchReplica {
            replica: machine.replica,
            zone: machine.zone,
            model: self.deployment.model.clone(),
            load,
            accepts_work: true,
        }
    }

    pub(super) fn on_grants(&mut self, grants: &[GrantedBatch]) {
        let now = self.timestamp();
        for grant in grants {
            self.gateways[grant.gateway].capacity.on_grant(
                now,
                ReplicaIndex(grant.engine as u32),
                grant.sequences,
                u64::from(grant.valid_ms),
            );
        }
        self.schedule_batch_on_all();
    }
}
