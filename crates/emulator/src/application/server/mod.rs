//! The emulated application replica behind its HTTP interface.

mod routes;
mod service;

use std::{io, net::SocketAddr, sync::Arc};

use tokio::task::JoinHandle;

use self::service::ApplicationService;
use super::core::ApplicationModel;
use crate::{engine::Fault, http::Server};

/// How to start a replica.
#[derive(Clone, Debug)]
pub struct ApplicationSettings {
    /// Where to listen; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// The machine's name.
    pub name: String,
    /// The machine's zone.
    pub zone: String,
    /// The service that it is a replica of.
    pub service: String,
    /// Its speed.
    pub model: ApplicationModel,
    /// How many times as fast as real time it runs.
    pub time_compression: u32,
    /// Seeds the service times.
    pub seed: u64,
}

impl ApplicationSettings {
    /// A replica on a loopback port that the system chooses.
    #[must_use]
    pub fn new(name: &str, zone: &str, service: &str) -> ApplicationSettings {
        ApplicationSettings {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            name: name.to_owned(),
            zone: zone.to_owned(),
            service: service.to_owned(),
            model: ApplicationModel::default(),
            time_compression: 1,
            seed: 0,
        }
    }
}

/// A running replica; stops when dropped.
pub struct ApplicationServer {
    server: Arc<Server<ApplicationService>>,
    settings: ApplicationSettings,
    driver: JoinHandle<()>,
    undertaker: JoinHandle<()>,
}

impl ApplicationServer {
    /// Starts a replica in the current runtime.
    ///
    /// # Errors
    /// The address can not be bound.
    pub async fn start(settings: ApplicationSettings) -> io::Result<ApplicationServer> {
        let service = Arc::new(ApplicationService::new(&settings));
        let server = Arc::new(Server::start(settings.listen, Arc::clone(&service)).await?);
        let driver = tokio::spawn(Arc::clone(&service).drive());
        let undertaker = tokio::spawn(stop_when_dead(Arc::clone(&server), service));
        Ok(ApplicationServer {
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
    pub fn settings(&self) -> &ApplicationSettings {
        &self.settings
    }

    /// Sets a fault switch. A dead replica is brought back by [`ApplicationServer::restart`].
    pub fn inject(&self, fault: Fault) {
        self.server.service().inject(fault);
        if fault == Fault::Die {
            self.server.stop();
        }
    }

    /// Sets whether the replica says that it is leaving.
    pub fn set_leaving(&self, leaving: bool) {
        let mut inner = self.server.service().inner.lock();
        inner.core.set_leaving(leaving);
    }

    /// Starts a dead replica's process again on its port.
    ///
    /// # Errors
    /// The port can not be bound any more.
    pub async fn restart(&self) -> io::Result<()> {
        self.server.stop();
        self.server.service().inject(Fault::Recover);
        self.server.restart().await
    }

    /// Waits until a fault has killed the replica.
    pub async fn died(&self) {
        self.server.service().died().await;
    }

    /// How often a call with this `X-Request-Id` or `Idempotency-Key` was started.
    #[must_use]
    pub fn executions_of(&self, key: &str) -> u64 {
        self.server.service().inner.lock().executions.of(key)
    }

    /// How many calls were started in all.
    #[must_use]
    pub fn executions(&self) -> u64 {
        self.server.service().inner.lock().started
    }
}

impl Drop for ApplicationServer {
    fn drop(&mut self) {
        self.driver.abort();
        self.undertaker.abort();
        self.server.stop();
    }
}

async fn stop_when_dead(server: Arc<Server<ApplicationService>>, service: Arc<ApplicationService>) {
    loop {
        service.died().await;
        server.stop();
        service.revived().await;
    }
}
