//! The emulated engine behind its HTTP interface.

mod answers;
mod bodies;
mod output;
mod reply;
mod routes;
mod service;

use std::{io, net::SocketAddr, sync::Arc};

use linnethitch_protocol::fleet::{EngineState, LoadReport};
use tokio::task::JoinHandle;

use self::service::EngineService;
use super::{Fault, model::EngineModel};
use crate::{answer::PromptKey, http::Server};

/// How to start an engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Where to listen; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// The machine's name.
    pub name: String,
    /// The machine's zone.
    pub zone: String,
    /// Speed and memory.
    pub model: EngineModel,
    /// What is loaded at the start.
    pub state: EngineState,
    /// How many times as fast as real time the engine runs.
    pub time_compression: u32,
    /// Seeds the losses of cache events.
    pub seed: u64,
}

impl EngineSettings {
    /// An engine on a loopback port that the system chooses, with nothing loaded.
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
        }
    }
}

/// A running engine; stops when dropped.
pub struct EngineServer {
    server: Arc<Server<EngineService>>,
    settings: EngineSettings,
    driver: JoinHandle<()>,
    undertaker: JoinHandle<()>,
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
        let undertaker = tokio::spawn(stop_when_dead(Arc::clone(&server), service));
        Ok(EngineServer {
            server,
            settings,
            driver,
            undertaker,
        })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// How it was started.
    #[must_use]
    pub fn settings(&self) -> &EngineSettings {
        &self.settings
    }

    /// Sets a fault switch. A dead engine is brought back by [`EngineServer::restart`].
    pub fn inject(&self, fault: Fault) {
        self.service().inject(fault);
        if fault == Fault::Die {
            self.server.stop();
        }
    }

    /// Sets whether the engine says that it is leaving.
    pub fn set_leaving(&self, leaving: bool) {
        self.service().set_leaving(leaving);
    }

    /// Starts a dead engine's process again: same port, state of the settings,
    /// nothing running, an empty cache.
    ///
    /// # Errors
    /// The port can not be bound any more.
    pub async fn restart(&self) -> io::Result<()> {
        self.server.stop();
        self.service().reset(&self.settings);
        self.server.restart().await
    }

    /// Waits until a fault has killed the engine.
    pub async fn died(&self) {
        self.service().died().await;
    }

    /// What is loaded.
    #[must_use]
    pub fn state(&self) -> EngineState {
        self.service().state()
    }

    /// The load at this moment, without lag.
    #[must_use]
    pub fn true_load(&self) -> LoadReport {
        self.service().true_load()
    }

    /// How often a request of this id was started.
    #[must_use]
    pub fn executions_of_request(&self, request: &str) -> u64 {
        self.service().executions_of(request)
    }

    /// How often a request with this prompt was started.
    #[must_use]
    pub fn executions_of_prompt(&self, prompt: PromptKey) -> u64 {
        self.service()
            .executions_of(&service::prompt_execution_key(prompt))
    }

    /// How many requests were started in all.
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
        self.undertaker.abort();
        self.server.stop();
    }
}

async fn stop_when_dead(server: Arc<Server<EngineService>>, service: Arc<EngineService>) {
    loop {
        service.died().await;
        server.stop();
        service.revived().await;
    }
}
