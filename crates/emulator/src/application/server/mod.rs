//! HTTP server of the emulated application replica.

mod routes;
mod service;

use std::{io, net::SocketAddr, sync::Arc};

use tokio::task::JoinHandle;

use self::service::ApplicationService;
use super::core::ApplicationModel;
use crate::{engine::Fault, http::Server};

/// Settings of an emulated replica.
#[derive(Clone, Debug)]
pub struct ApplicationSettings {
    /// Address to listen on; with port 0 the system chooses the port.
    pub listen: SocketAddr,
    /// Name of the machine.
    pub name: String,
    /// Zone of the machine.
    pub zone: String,
    /// Name of the application service.
    pub service: String,
    /// Speed and capacity.
    pub model: ApplicationModel,
    /// Factor by which the replica runs faster than real time.
    pub time_compression: u32,
    /// Seed of the random service times.
    pub seed: u64,
}

impl ApplicationSettings {
    /// Settings of a replica on a loopback port that the system chooses.
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
    death_monitor: JoinHandle<()>,
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
        let death_monitor = tokio::spawn(stop_when_dead(Arc::clone(&server), service));
        Ok(ApplicationServer {
            server,
            settings,
            driver,
            death_monitor,
        })
    }

    /// The address that the replica listens on, with the actual port.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The settings with which the replica was started.
    #[must_use]
    pub fn settings(&self) -> &ApplicationSettings {
        &self.settings
    }

    /// Injects a fault. [`ApplicationServer::restart`] restarts a dead replica.
    pub fn inject(&self, fault: Fault) {
        self.server.service().inject(fault);
        if fault == Fault::Die {
            self.server.stop();
        }
    }

    /// Sets whether the replica announces that it is leaving.
    pub fn set_leaving(&self, leaving: bool) {
        let mut inner = self.server.service().inner.lock();
        inner.core.set_leaving(leaving);
    }

    /// Clears all faults and restarts the replica on the same port.
    ///
    /// # Errors
    /// The port can no longer be bound.
    pub async fn restart(&self) -> io::Result<()> {
        self.server.stop();
        self.server.service().inject(Fault::Recover);
        self.server.restart().await
    }

    /// Waits until [`Fault::Die`] stops the replica.
    pub async fn died(&self) {
        self.server.service().died().await;
    }

    /// Number of starts of calls with this `X-Request-Id` or `Idempotency-Key`.
    #[must_use]
    pub fn executions_of(&self, key: &str) -> u64 {
        self.server.service().inner.lock().executions.count(key)
    }

    /// Number of starts of all calls.
    #[must_use]
    pub fn executions(&self) -> u64 {
        self.server.service().inner.lock().started
    }
}

impl Drop for ApplicationServer {
    fn drop(&mut self) {
        self.driver.abort();
        self.death_monitor.abort();
        self.server.stop();
    }
}

async fn stop_when_dead(server: Arc<Server<ApplicationService>>, service: Arc<ApplicationService>) {
    loop {
        service.died().await;
        server.stop();
        service.recovered().await;
    }
}
