//! Start and graceful shutdown of a gateway process.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use error_stack::{Report, ResultExt};
use linnethitch_config::{fleet::Fleet, settings::GatewaySettings};
use linnethitch_errors::ErrorKind;
use linnethitch_http_server::Listener;
use linnethitch_observability::journal::Journal;
use linnethitch_protocol::ids::Revision;
use linnethitch_transport::{ClusterIdentity, ClusterKey, LinkRuntime};
use slog::{Logger, info, warn};
use tokio::{net::TcpListener, sync::mpsc, task::JoinSet};
use tokio_util::sync::DropGuard;

use crate::{
    batch::{
        BatchEvent,
        driver::{self, MAX_WAITING_EVENTS},
    },
    configuration::{follower::Follower, store::ConfigurationStore},
    control::{attachment, reports, session},
    http::{connection_limits, routes::build_router},
    options::{FixedFleet, GatewayOptions},
    state::Gateway,
};

/// Starts gateways; one operating system process may run several.
#[derive(Debug)]
pub struct GatewayProcess;

/// A running gateway. Dropping the handle ends the gateway immediately, as a crash does.
pub struct GatewayHandle {
    address: SocketAddr,
    gateway: Arc<Gateway>,
    /// Tasks that a graceful shutdown drains: listener and batch executor.
    work: JoinSet<()>,
    /// Tasks that run until the process ends: connections to control and reports.
    background: JoinSet<()>,
    /// Runtime of the background tasks; `None` when the gateway does not follow control.
    _links: Option<LinkRuntime>,
    _dropped: DropGuard,
}

impl GatewayProcess {
    /// Starts a gateway.
    ///
    /// # Errors
    /// `Io` when the address cannot be bound or the journal cannot be opened.
    pub async fn start(
        settings: GatewaySettings,
        logger: Logger,
    ) -> Result<GatewayHandle, Report<ErrorKind>> {
        Self::start_with(settings, GatewayOptions::default(), logger).await
    }

    /// Starts a gateway with options for test harnesses.
    ///
    /// # Errors
    /// `Io` when the address cannot be bound or the journal cannot be opened,
    /// `InvalidConfiguration` when a fixed fleet is invalid.
    pub async fn start_with(
        settings: GatewaySettings,
        options: GatewayOptions,
        logger: Logger,
    ) -> Result<GatewayHandle, Report<ErrorKind>> {
        let socket = bind(settings.listen_address).await?;
        let address = socket.local_addr().change_context(ErrorKind::Io)?;
        let (batch_events, events) = mpsc::channel(MAX_WAITING_EVENTS);
        let journal = Journal::open(&settings.data_dir, settings.journal_max_bytes)
            .change_context(ErrorKind::Io)
            .attach("cannot open the decision journal")?;
        let store = match options.fixed {
            Some(_) => None,
            None => Some(ConfigurationStore::open(&settings.data_dir)?),
        };
        let gateway = Arc::new(Gateway::new(
            settings,
            options.engine_timeouts,
            store,
            journal,
            batch_events,
            logger.clone(),
        ));
        match options.fixed {
            Some(fixed) => activate_fixed(&gateway, fixed)?,
            None => activate_stored(&gateway)?,
        }
        let links = follows_control(&gateway)
            .then(|| LinkRuntime::start("gateway-links"))
            .transpose()?;
        let background = match &links {
            Some(links) => spawn_background(&gateway, links)?,
            None => JoinSet::new(),
        };
        let work = spawn_work(&gateway, socket, events);
        info!(logger, "gateway listens"; "address" => %address);
        Ok(GatewayHandle {
            address,
            _dropped: gateway.dropped.clone().drop_guard(),
            gateway,
            work,
            background,
            _links: links,
        })
    }
}

impl GatewayHandle {
    /// The address that the gateway listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Graceful shutdown: refuses new work immediately and returns when all work in progress has
    /// finished, at the latest after `drain_timeout_ms`.
    pub async fn stop(self) {
        let GatewayHandle {
            gateway,
            mut work,
            mut background,
            ..
        } = self;
        let limit = Duration::from_millis(gateway.settings.limits.drain_timeout_ms);
        gateway.begin_stop();
        let finished = tokio::time::timeout(limit, async {
            while work.join_next().await.is_some() {}
            gateway.finish_tracked().await;
        });
        if finished.await.is_err() {
            warn!(
                gateway.logger,
                "drain timeout reached, cancelling remaining work"
            );
            work.shutdown().await;
        }
        background.shutdown().await;
        gateway.observer.journal.flush();
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Report<ErrorKind>> {
    let bound: io::Result<TcpListener> = TcpListener::bind(address).await;
    bound
        .change_context(ErrorKind::Io)
        .attach_with(|| format!("cannot listen on {address}"))
}

/// Puts a fixed fleet into force.
fn activate_fixed(gateway: &Arc<Gateway>, fixed: FixedFleet) -> Result<(), Report<ErrorKind>> {
    let fleet = Fleet::parse(&fixed.content).change_context(ErrorKind::InvalidConfiguration)?;
    gateway.activate(Revision(1), Arc::new(fleet));
    gateway.decisions.set_replicas(fixed.replicas);
    gateway.on_replicas_received();
    Ok(())
}

/// Puts the configuration on disk into force, if there is one.
fn activate_stored(gateway: &Arc<Gateway>) -> Result<(), Report<ErrorKind>> {
    let stored = match &gateway.store {
        Some(store) => store.load()?,
        None => None,
    };
    let Some(stored) = stored else {
        return Ok(());
    };
    info!(gateway.logger, "stored configuration in force"; "revision" => stored.revision.0);
    gateway.activate(stored.revision, Arc::clone(stored.fleet()));
    *gateway.follower.lock() = Follower::new(Some(stored));
    Ok(())
}

/// Whether the gateway receives its fleet from control.
fn follows_control(gateway: &Gateway) -> bool {
    !gateway.settings.control_addresses.is_empty()
}

/// Starts the tasks that communicate with control.
fn spawn_background(
    gateway: &Arc<Gateway>,
    links: &LinkRuntime,
) -> Result<JoinSet<()>, Report<ErrorKind>> {
    let mut tasks = JoinSet::new();
    let settings = &gateway.settings;
    let identity = ClusterIdentity {
        name: settings.cluster.clone(),
        key: ClusterKey::from_file(&settings.cluster_key_file)?,
    };
    let links = links.handle();
    tasks.spawn_on(attachment::run(Arc::clone(gateway), identity), links);
    tasks.spawn_on(session::maintain(Arc::clone(gateway)), links);
    tasks.spawn_on(reports::run(Arc::clone(gateway)), links);
    Ok(tasks)
}

/// Starts the listener and the batch executor.
fn spawn_work(
    gateway: &Arc<Gateway>,
    socket: TcpListener,
    events: mpsc::Receiver<BatchEvent>,
) -> JoinSet<()> {
    let mut work = JoinSet::new();
    let limits = &gateway.settings.limits;
    let callers = gateway
        .ingress
        .listener("callers", limits.max_connections as usize);
    gateway.ingress.log_refusals(gateway.logger.clone());
    let listener = Listener::new(
        socket,
        build_router(gateway),
        connection_limits(limits),
        callers,
        gateway.stopping.clone(),
        gateway.logger.clone(),
    );
    work.spawn(listener.run());
    if follows_control(gateway) {
        work.spawn(driver::run(Arc::clone(gateway), events));
    }
    work
}
