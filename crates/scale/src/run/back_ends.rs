//! Emulated engines and the emulated platform, on a separate runtime.

use error_stack::{Report, ResultExt};
use linnethitch_emulator::{
    engine::server::{EngineServer, EngineSettings},
    platform::{PlatformServer, PlatformSettings},
};
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    fleet::{BackEndKind, EngineState, Machine, MachineState},
    ids::{ModelId, ReplicaId, ZoneId},
};
use std::net::SocketAddr;
use tokio::runtime::{Builder, Runtime};

use crate::fleet::FleetPlan;

/// Thread name of the runtime.
const THREAD_NAME: &str = "back-end";
const WORKER_THREADS: usize = 2;

/// Running back ends.
pub(super) struct BackEnds {
    pub(super) platform_address: SocketAddr,
    pub(super) replicas: Vec<ReplicaId>,
    _engines: Vec<EngineServer>,
    _platform: PlatformServer,
    _runtime: Runtime,
}

impl BackEnds {
    /// Starts an engine with its model loaded for each replica of the plan, and the platform that
    /// lists all engines.
    pub(super) fn start(
        plan: &FleetPlan,
        report_progress: &dyn Fn(&str),
    ) -> Result<Self, Report<ErrorKind>> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(WORKER_THREADS)
            .thread_name(THREAD_NAME)
            .enable_all()
            .build()
            .change_context(ErrorKind::Io)?;
        let (engines, platform) = runtime.block_on(start_servers(plan))?;
        report_progress(&format!("{} emulated engines started", engines.len()));
        let replicas = engines
            .iter()
            .map(|engine| ReplicaId(engine.settings().name.clone()));
        Ok(BackEnds {
            platform_address: platform.address(),
            replicas: replicas.collect(),
            _engines: engines,
            _platform: platform,
            _runtime: runtime,
        })
    }
}

async fn start_servers(
    plan: &FleetPlan,
) -> Result<(Vec<EngineServer>, PlatformServer), Report<ErrorKind>> {
    let mut engines = Vec::new();
    for placement in plan.placements() {
        for _ in 0..placement.replicas {
            let name = format!("engine-{}", engines.len() + 1);
            let settings = EngineSettings {
                state: EngineState {
                    model: Some(ModelId(placement.model.clone())),
                    version: "1".to_owned(),
                    ..EngineState::default()
                },
                ..EngineSettings::new(&name, &placement.zone)
            };
            let engine = EngineServer::start(settings).await;
            engines.push(engine.change_context(ErrorKind::Io)?);
        }
    }
    let settings = PlatformSettings {
        machines: engines.iter().map(list_entry).collect(),
        ..PlatformSettings::default()
    };
    let platform = PlatformServer::start(settings).await;
    Ok((engines, platform.change_context(ErrorKind::Io)?))
}

fn list_entry(engine: &EngineServer) -> Machine {
    Machine {
        replica: ReplicaId(engine.settings().name.clone()),
        kind: BackEndKind::Engine,
        zone: ZoneId(engine.settings().zone.clone()),
        address: engine.address().to_string(),
        state: MachineState::Live,
    }
}
