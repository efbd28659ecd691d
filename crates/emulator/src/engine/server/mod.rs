//! HTTP server of the emulated engine.

mod answers;
mod bodies;
mod output;
mod reply;
mod routes;
mod service;
mod withdrawn;

use std::{io, net::SocketAddr, sync::Arc};

use linnethitch_protocol::fleet::{EngineState, LoadReport};
use tokio::task::JoinHandle;

use self::service::EngineService;
use super::{Fault, model::EngineModel};
use crate::{answer::PromptKey, http::Server};

/// Settings of an emulated engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Address to listen on; with port 0 the system chooses the port.
    pub listen: SocketAddr,
    /// Name of the machine.
    pub name: String,
    /// Zone of the machine.
    pub zone: String,
    /// Speed and capacity.
    pub model: EngineModel,
    /// Model, adapters and role that are loaded at the start.
    pub state: EngineState,
    /// Factor by which the engine runs faster than real time.
    pub time_compression: u32,
    /// Seed of the random losses of cache events.
    pub seed: u64,
    /// Version of the engine's software, which it names in its responses.
    pub software: String,
    /// Maximum number of withdrawn requests that the engine keeps in mind.
    pub max_withdrawn_ids: usize,
}

/// Withdrawn requests that engines keep in mind unless another number is given.
const DEFAULT_MAX_WITHDRAWN_IDS: usize = 100_000;

/// The software version of engines that are given none.
const DEFAULT_SOFTWARE: &str = "emulator";

impl EngineSettings {
    /// Settings of an engine on a loopback port that the system chooses, with nothing loaded.
    #[must_use]
    pub fn new(name: &str, zone: &str) -> EngineSettings {
        EngineSettings {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            name: name.to_owned(),
            zone: zone.to_owned(),
            model: EngineModel::default(),
            state: EngineState::default(),
            time_compression: 1,
            seed: 0,
            software: DEFAULT_SOFTWARE.to_owned(),
            max_withdrawn_ids: DEFAULT_MAX_WITHDRAWN_IDS,
        }
    }
}

/// A running engine; stops when dropped.
pub struct EngineServer {
    server: Arc<Server<EngineService>>,
    settings: EngineSettings,
    driver: JoinHandle<()>,
    death_monitor: JoinHandle<()>,
}

impl EngineServer {
    /// Starts an engine in the current runtime.
    ///
    /// # Errors
    /// The address can not be bound.
    pub async fn start(settings: EngineSettings) -> io::Result<EngineServer> {
        let service = Arc::new(EngineService::new(&settings));
        let server = Arc::new(Server::start(settings.listen, Arc::clone(&service)).await?);
        let driver = tokio::spawn(Arc::clone(&service).drive());
        let death_monitor = tokio::spawn(stop_when_dead(Arc::clone(&server), service));
        Ok(EngineServer {
            server,
            settings,
            driver,
            death_monitor,
        })
    }

    /// The address that the engine listens on, with the actual port.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The settings with which the engine was started.
    #[must_use]
    pub fn settings(&self) -> &EngineSettings {
        &self.settings
    }

    /// Injects a fault. [`EngineServer::restart`] restarts a dead engine.
    pub fn inject(&self, fault: Fault) {
        self.service().inject(fault);
        if fault == Fault::Die {
            self.server.stop();
        }
    }

    /// Sets whether the engine announces that it is leaving.
    pub fn set_leaving(&self, leaving: bool) {
        self.service().set_leaving(leaving);
    }

    /// Restarts the engine on the same port, with the state of the settings, no requests
    /// and an empty cache.
    ///
    /// # Errors
    /// The port can no longer be bound.
    pub async fn restart(&self) -> io::Result<()> {
        self.server.stop();
        self.service().reset(&self.settings);
        self.server.restart().await
    }

    /// Waits until [`Fault::Die`] stops the engine.
    pub async fn died(&self) {
        self.service().died().await;
    }

    /// The loaded model, adapters, role and fence.
    #[must_use]
    pub fn state(&self) -> EngineState {
        self.service().state()
    }

    /// The current load, without the report lag.
    #[must_use]
    pub fn true_load(&self) -> LoadReport {
        self.service().true_load()
    }

    /// Number of starts of requests with this id.
    #[must_use]
    pub fn executions_of_request(&self, request: &str) -> u64 {
        self.service().executions_of(request)
    }

    /// Number of starts of requests with this prompt.
    #[must_use]
    pub fn executions_of_prompt(&self, prompt: PromptKey) -> u64 {
        self.service()
            .executions_of(&service::prompt_execution_key(prompt))
    }

    /// Number of starts of all requests.
    #[must_use]
    pub fn executions(&self) -> u64 {
        self.service().executions()
    }

    fn service(&self) -> &EngineService {
        self.server.service()
    }
}

impl Drop for EngineServer {
    fn drop(&mut self) {
        self.driver.abort();
        self.death_monitor.abort();
        self.server.stop();
    }
}

async fn stop_when_dead(server: Arc<Server<EngineService>>, service: Arc<EngineService>) {
    loop {
        service.died().await;
        server.stop();
        service.recovered().await;
    }
}
