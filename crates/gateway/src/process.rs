//! Start and planned stop of a gateway process.

use std::{io, net::SocketAddr, sync::Arc};

use error_stack::{Report, ResultExt};
use linnethitch_config::{fleet::Fleet, settings::GatewaySettings};
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::ids::Revision;
use linnethitch_transport::{ClusterIdentity, ClusterKey};
use slog::{Logger, info};
use tokio::{
    net::TcpListener,
    task::{JoinHandle, JoinSet},
};
use tokio_util::sync::CancellationToken;

use crate::{
    configuration::{follower::Follower, store::ConfigurationStore},
    control::{attachment, session},
    http::{listener::Listener, routes::build_router},
    options::{EngineTimeouts, FixedFleet, GatewayOptions},
    state::Gateway,
};

/// Starts gateways; several may run in one operating system process.
#[derive(Debug)]
pub struct GatewayProcess;

/// A running gateway.
pub struct GatewayHandle {
    address: SocketAddr,
    gateway: Arc<Gateway>,
    stopping: CancellationToken,
    listener: JoinHandle<()>,
    /// Tasks that run as long as the process; dropping the set ends them.
    tasks: JoinSet<()>,
}

impl GatewayProcess {
    /// Starts a gateway.
    ///
    /// # Errors
    /// `Io` when the address cannot be listened on.
    pub async fn start(
        settings: GatewaySettings,
        logger: Logger,
    ) -> Result<GatewayHandle, Report<ErrorKind>> {
        Self::start_with(settings, GatewayOptions::default(), logger).await
    }

    /// Starts a gateway with options of a harness.
    ///
    /// # Errors
    /// `Io` when the address cannot be listened on, `InvalidConfiguration` when a fixed fleet is wrong.
    pub async fn start_with(
        settings: GatewaySettings,
        options: GatewayOptions,
        logger: Logger,
    ) -> Result<GatewayHandle, Report<ErrorKind>> {
        let socket = bind(settings.listen_address).await?;
        let address = socket.local_addr().change_context(ErrorKind::Io)?;
        let gateway = match options.fixed {
            Some(fixed) => start_fixed(settings, options.engine_timeouts, fixed, &logger)?,
            None => start_following(settings, options.engine_timeouts, &logger)?,
        };
        let tasks = spawn_tasks(&gateway)?;
        let stopping = CancellationToken::new();
        let listener = Listener::new(
            socket,
            build_router(&gateway),
            stopping.clone(),
            logger.clone(),
        );
        info!(logger, "gateway listens"; "address" => %address);
        Ok(GatewayHandle {
            address,
            gateway,
            stopping,
            listener: tokio::spawn(listener.run()),
            tasks,
        })
    }
}

impl GatewayHandle {
    /// The address that callers connect to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Planned stop: takes no new work at once, returns when everything in progress is finished.
    pub async fn stop(self) {
        let GatewayHandle {
            gateway,
            stopping,
            listener,
            mut tasks,
            ..
        } = self;
        gateway.begin_stop();
        stopping.cancel();
        let _ = listener.await;
        tasks.shutdown().await;
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Report<ErrorKind>> {
    let bound: io::Result<TcpListener> = TcpListener::bind(address).await;
    bound
        .change_context(ErrorKind::Io)
        .attach_with(|| format!("cannot listen on {address}"))
}

/// A gateway whose fleet is given.
fn start_fixed(
    settings: GatewaySettings,
    timeouts: EngineTimeouts,
    fixed: FixedFleet,
    logger: &Logger,
) -> Result<Arc<Gateway>, Report<ErrorKind>> {
    let fleet = Fleet::parse(&fixed.content).change_context(ErrorKind::InvalidConfiguration)?;
    let gateway = Gateway::new(settings, timeouts, None, logger.clone());
    let gateway = Arc::new(gateway);
    gateway.put_in_force(Revision(1), fleet);
    gateway.decisions.set_replicas(fixed.replicas);
    gateway.on_first_replicas();
    Ok(gateway)
}

/// A gateway that follows control, from the configuration that it had stored.
fn start_following(
    settings: GatewaySettings,
    timeouts: EngineTimeouts,
    logger: &Logger,
) -> Result<Arc<Gateway>, Report<ErrorKind>> {
    let store = ConfigurationStore::open(&settings.data_dir)?;
    let stored = store.load()?;
    let gateway = Arc::new(Gateway::new(
        settings,
        timeouts,
        Some(store),
        logger.clone(),
    ));
    if let Some(stored) = stored {
        let fleet =
            Fleet::parse(&stored.content).change_context(ErrorKind::InvalidConfiguration)?;
        info!(logger, "stored configuration in force"; "revision" => stored.revision.0);
        gateway.put_in_force(stored.revision, fleet);
        *gateway.follower.lock() = Follower::new(Some(stored));
    }
    Ok(gateway)
}

/// Starts what runs beside the listener.
fn spawn_tasks(gateway: &Arc<Gateway>) -> Result<JoinSet<()>, Report<ErrorKind>> {
    let mut tasks = JoinSet::new();
    let settings = &gateway.settings;
    if settings.control_addresses.is_empty() {
        return Ok(tasks);
    }
    let identity = ClusterIdentity {
        name: settings.cluster.clone(),
        key: ClusterKey::from_file(&settings.cluster_key_file)?,
    };
    tasks.spawn(attachment::run(Arc::clone(gateway), identity));
    tasks.spawn(session::keep(Arc::clone(gateway)));
    Ok(tasks)
}
