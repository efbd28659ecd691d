//! The emulated engines, application replicas and platform of `dev`.

use std::net::SocketAddr;

use error_stack::{Report, ResultExt};
use linnethitch_config::fleet::{ApplicationService, Fleet, ModelPool};
use linnethitch_emulator::{
    application::{ApplicationServer, ApplicationSettings},
    engine::server::{EngineServer, EngineSettings},
    platform::{PlatformServer, PlatformSettings},
};
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    fleet::{BackEndKind, EngineState, Machine, MachineState},
    ids::{ModelId, ReplicaId, ServiceId, ZoneId},
};

/// The emulated processes, which are not part of linnethitch itself.
pub(super) struct BackEnds {
    engines: Vec<EngineServer>,
    applications: Vec<ApplicationServer>,
    platform: PlatformServer,
}

impl BackEnds {
    /// Starts the replicas that the fleet file requests, with every model loaded.
    pub(super) async fn start(fleet: &Fleet, speed: u32) -> Result<BackEnds, Report<ErrorKind>> {
        let mut engines = Vec::new();
        for pool in &fleet.models {
            start_pool(pool, speed, &mut engines).await?;
        }
        let mut applications = Vec::new();
        for service in &fleet.services {
            start_service(service, speed, &mut applications).await?;
        }
        let engine_machines = engines.iter().map(engine_machine);
        let machines = engine_machines.chain(applications.iter().map(application_machine));
        let settings = PlatformSettings {
            machines: machines.collect(),
            ..PlatformSettings::default()
        };
        let platform = PlatformServer::start(settings)
            .await
            .change_context(ErrorKind::Io)?;
        Ok(BackEnds {
            engines,
            applications,
            platform,
        })
    }

    pub(super) fn engine_count(&self) -> usize {
        self.engines.len()
    }

    pub(super) fn application_count(&self) -> usize {
        self.applications.len()
    }

    /// Address of the platform.
    pub(super) fn platform(&self) -> SocketAddr {
        self.platform.address()
    }
}

async fn start_pool(
    pool: &ModelPool,
    speed: u32,
    engines: &mut Vec<EngineServer>,
) -> Result<(), Report<ErrorKind>> {
    for placement in &pool.placement {
        for _ in 0..placement.replicas {
            let number = engines.len() + 1;
            let settings = EngineSettings {
                state: EngineState {
                    model: Some(ModelId(pool.name.clone())),
                    version: pool.version.clone(),
                    adapters: pool.adapters.iter().map(|one| one.name.clone()).collect(),
                    ..EngineState::default()
                },
                time_compression: speed,
                seed: number as u64,
                ..EngineSettings::new(&format!("engine-{number}"), &placement.zone)
            };
            engines.push(
                EngineServer::start(settings)
                    .await
                    .change_context(ErrorKind::Io)?,
            );
        }
    }
    Ok(())
}

async fn start_service(
    service: &ApplicationService,
    speed: u32,
    applications: &mut Vec<ApplicationServer>,
) -> Result<(), Report<ErrorKind>> {
    for placement in &service.placement {
        for _ in 0..placement.replicas {
            let number = applications.len() + 1;
            let name = format!("{}-{number}", service.name);
            let settings = ApplicationSettings {
                time_compression: speed,
                seed: number as u64,
                ..ApplicationSettings::new(&name, &placement.zone, &service.name)
            };
            applications.push(
                ApplicationServer::start(settings)
                    .await
                    .change_context(ErrorKind::Io)?,
            );
        }
    }
    Ok(())
}

fn engine_machine(engine: &EngineServer) -> Machine {
    let settings = engine.settings();
    machine(
        &settings.name,
        &settings.zone,
        BackEndKind::Engine,
        engine.address(),
    )
}

fn application_machine(replica: &ApplicationServer) -> Machine {
    let settings = replica.settings();
    let kind = BackEndKind::Application(ServiceId(settings.service.clone()));
    machine(&settings.name, &settings.zone, kind, replica.address())
}

fn machine(name: &str, zone: &str, kind: BackEndKind, address: SocketAddr) -> Machine {
    Machine {
        replica: ReplicaId::from(name),
        kind,
        zone: ZoneId::from(zone),
        address: address.to_string(),
        state: MachineState::Live,
    }
}
