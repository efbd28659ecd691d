//! Control's part: reading loads and allocating grants.

use std::rc::Rc;

use linnethitch_protocol::fleet::LoadReport;
use linnethitch_routing::{
    ReplicaIndex,
    grants::{BatchReplica, CapacityRequest, GrantTable},
};

use super::{Simulation, agenda::Event};
use crate::strategy::BatchDispatch;

/// How often control reads the loads of engines, in microseconds.
const POLL_MICROS: u64 = 250_000;

/// How often control allocates grants, in microseconds.
const ALLOCATE_MICROS: u64 = 500_000;

/// Time from control to a gateway, in microseconds.
const CONTROL_MICROS: u64 = 3_000;

/// Most sequences that one gateway wishes for.
const MOST_WISHED: u32 = 512;

/// A grant on its way to its gateway.
#[derive(Clone, Debug)]
pub(super) struct GrantedBatch {
    pub(super) gateway: usize,
    pub(super) engine: usize,
    pub(super) sequences: u32,
    pub(super) valid_ms: u32,
}

/// What control knows.
#[derive(Debug)]
pub(super) struct Control {
    pub(super) book: GrantTable,
    pub(super) loads: Vec<LoadReport>,
}

impl Simulation<'_> {
    pub(super) fn start_control(&mut self) {
        self.agenda.add(self.now, Event::Poll);
        if self.strategy.batch == BatchDispatch::Granted {
            self.agenda.add(self.now + CONTROL_MICROS, Event::Allocate);
        }
    }

    pub(super) fn on_poll(&mut self) {
        let loads: Vec<LoadReport> = self
            .engines
            .iter()
            .enumerate()
            .map(|(engine, slot)| match self.control.loads.get(engine) {
                // A dead engine answers nothing; its last report grows old.
                Some(last) if slot.dead => *last,
                _ => slot.core.load_report(self.now),
            })
            .collect();
        self.control.loads.clone_from(&loads);
        let arrives = self.now + CONTROL_MICROS;
        self.agenda.add(arrives, Event::Digest(Rc::new(loads)));
        self.agenda.add(self.now + POLL_MICROS, Event::Poll);
    }

    pub(super) fn on_digest(&mut self, loads: &[LoadReport]) {
        let listed = self.online_engines();
        for gateway in &mut self.gateways {
            for (engine, load) in loads.iter().take(listed).enumerate() {
                let view = gateway.router.view_mut();
                view.on_load_report(ReplicaIndex(engine as u32), *load);
            }
        }
    }

    pub(super) fn on_allocate(&mut self) {
        let wishes: Vec<CapacityRequest> =
            (0..self.gateways.len()).map(|one| self.wish(one)).collect();
        let replicas: Vec<BatchReplica> = self
            .control
            .loads
            .iter()
            .enumerate()
            .map(|(engine, load)| self.batch_replica(engine, *load))
            .collect();
        let allocations = self
            .control
            .book
            .allocate(self.timestamp(), &wishes, &replicas);
        let grants = allocations
            .iter()
            .filter_map(|allocation| {
                let gateways = self.gateways.iter();
                let engines = replicas.iter();
                Some(GrantedBatch {
                    gateway: gateways
                        .into_iter()
                        .position(|one| one.id == allocation.gateway)?,
                    engine: engines
                        .into_iter()
                        .position(|one| one.replica == allocation.grant.replica)?,
                    sequences: allocation.grant.sequences,
                    valid_ms: allocation.grant.valid_ms,
                })
            })
            .collect();
        let arrives = self.now + CONTROL_MICROS;
        self.agenda.add(arrives, Event::Grants(Rc::new(grants)));
        self.agenda.add(self.now + ALLOCATE_MICROS, Event::Allocate);
    }

    fn wish(&self, gateway: usize) -> CapacityRequest {
        let one = &self.gateways[gateway];
        let share = self.backlog.len().div_ceil(self.gateways.len()) as u32;
        let wished = one.batch_running() + one.leased.len() as u32 + share;
        CapacityRequest {
            gateway: one.id.clone(),
            zone: one.zone.clone(),
            model: self.deployment.model.clone(),
            sequences: wished.min(MOST_WISHED),
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
        self.pump_all();
    }
}
