//! The deployments that experiments are modelled on.

use linnethitch_config::fleet::{Fleet, RoutingPolicy};
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    fleet::{BackEndKind, EngineRole, EngineState, Machine, MachineState, ReplicaInfo},
    ids::{ModelId, ReplicaId, ZoneId},
};

use crate::trace::Workload;

/// Gateways in each zone of the modelled deployments.
const GATEWAYS_PER_ZONE: usize = 4;

/// One-way latency to another zone in New England, in microseconds.
const NEW_ENGLAND_ZONE_LATENCY_MICROS: u64 = 1_000;

/// One-way latency to another zone in Yeongnam, in microseconds.
const YEONGNAM_ZONE_LATENCY_MICROS: u64 = 500;

/// Zones at the design size.
const DESIGN_ZONES: usize = 7;

/// Replicas at the design size.
const DESIGN_ENGINES: usize = 600;

/// Gateways at the design size.
const DESIGN_GATEWAYS: usize = 410;

/// Online requests per second and replica at the design size, at peak.
const DESIGN_REQUESTS_PER_ENGINE: f64 = 2.0;

/// A fleet of engines with its gateways and its workload.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name of the fleet.
    pub name: String,
    /// Zones of the fleet.
    pub zones: Vec<ZoneId>,
    /// The model that all engines serve: the first of the fleet file.
    pub model: ModelId,
    /// The zone of each engine, as an index into `zones`.
    pub engine_zones: Vec<usize>,
    /// The zone of each gateway, as an index into `zones`.
    pub gateway_zones: Vec<usize>,
    /// One-way latency to another zone, in microseconds.
    pub zone_latency_micros: u64,
    /// Routing policy of the fleet.
    pub routing: RoutingPolicy,
    /// Online requests and batch jobs that callers send.
    pub(crate) workload: Workload,
}

impl Deployment {
    /// Granite Lane, from its example fleet file.
    ///
    /// # Errors
    /// [`ErrorKind::InvalidConfiguration`] when the example file is not valid.
    pub fn granite_lane() -> Result<Deployment, ErrorKind> {
        let text = include_str!("../../../examples/granite-lane.toml");
        Deployment::from_fleet_file(
            text,
            NEW_ENGLAND_ZONE_LATENCY_MICROS,
            Workload::granite_lane(),
        )
    }

    /// Hanbit Gate Systems, from its example fleet file.
    ///
    /// # Errors
    /// [`ErrorKind::InvalidConfiguration`] when the example file is not valid.
    pub fn hanbit() -> Result<Deployment, ErrorKind> {
        let text = include_str!("../../../examples/hanbit.toml");
        Deployment::from_fleet_file(text, YEONGNAM_ZONE_LATENCY_MICROS, Workload::hanbit())
    }

    /// The design size: 600 replicas and 410 gateways in seven zones at a peak of
    /// 1,200 requests per second. Replicas and workload are modelled on Granite Lane.
    ///
    /// # Errors
    /// [`ErrorKind::InvalidConfiguration`] when the example file is not valid.
    pub fn design_size() -> Result<Deployment, ErrorKind> {
        let mut design = Deployment::granite_lane()?;
        design.name = "design-size".to_owned();
        design.zones = (1..=DESIGN_ZONES)
            .map(|zone| ZoneId(format!("zone-{zone}")))
            .collect();
        design.engine_zones = (0..DESIGN_ENGINES)
            .map(|engine| engine % DESIGN_ZONES)
            .collect();
        design.gateway_zones = (0..DESIGN_GATEWAYS)
            .map(|gateway| gateway % DESIGN_ZONES)
            .collect();
        design.workload.online_rate_per_engine = DESIGN_REQUESTS_PER_ENGINE;
        Ok(design)
    }

    fn from_fleet_file(
        text: &str,
        zone_latency_micros: u64,
        workload: Workload,
    ) -> Result<Deployment, ErrorKind> {
        let fleet = Fleet::parse(text).map_err(|_| ErrorKind::InvalidConfiguration)?;
        let pool = fleet
            .models
            .first()
            .ok_or(ErrorKind::InvalidConfiguration)?;
        let position = |name: &str| fleet.zones.iter().position(|zone| zone.name == name);
        let mut engine_zones = Vec::new();
        for placement in &pool.placement {
            let zone = position(&placement.zone).ok_or(ErrorKind::InvalidConfiguration)?;
            engine_zones.extend(std::iter::repeat_n(zone, placement.replicas as usize));
        }
        let gateway_zones = (0..fleet.zones.len() * GATEWAYS_PER_ZONE)
            .map(|gateway| gateway % fleet.zones.len())
            .collect();
        Ok(Deployment {
            name: fleet.name.clone(),
            zones: fleet
                .zones
                .iter()
                .map(|zone| ZoneId(zone.name.clone()))
                .collect(),
            model: ModelId(pool.name.clone()),
            engine_zones,
            gateway_zones,
            zone_latency_micros,
            routing: fleet.routing,
            workload,
        })
    }

    /// Initial state of an engine of this deployment.
    pub(crate) fn engine_state(&self) -> EngineState {
        EngineState {
            model: Some(self.model.clone()),
            version: "1".to_owned(),
            role: EngineRole::Mixed,
            ..EngineState::default()
        }
    }

    /// The entry of an engine in the list of replicas.
    pub(crate) fn replica(&self, engine: usize) -> ReplicaInfo {
        ReplicaInfo {
            machine: Machine {
                replica: ReplicaId(format!("engine-{engine:03}")),
                kind: BackEndKind::Engine,
                zone: self.zones[self.engine_zones[engine]].clone(),
                address: format!("engine-{engine:03}"),
                state: MachineState::Live,
            },
            engine: self.engine_state(),
        }
    }
}
