//! Start and planned stop of a gateway process.

use std::{io, net::SocketAddr, sync::Arc};

use error_stack::{Report, ResultExt};
use linnethitch_config::{fleet::Fleet, settings::GatewaySettings};
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::ids::Revision;
use slog::{Logger, info};
use tokio::{net::TcpListener, task::JoinHandle};
use tokio_util::sync::CancellationToken;

use crate::{
    http::{listener::Listener, routes::build_router},
    options::{FixedFleet, GatewayOptions},
    state::{ActiveConfiguration, Gateway},
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
        let gateway = Arc::new(Gateway::new(
            settings,
            options.engine_timeouts,
            logger.clone(),
        ));
        if let Some(fixed) = options.fixed {
            put_in_force(&gateway, fixed)?;
        }
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
        self.gateway.begin_stop();
        self.stopping.cancel();
        let _ = self.listener.await;
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Report<ErrorKind>> {
    let bound: io::Result<TcpListener> = TcpListener::bind(address).await;
    bound
        .change_context(ErrorKind::Io)
        .attach_with(|| format!("cannot listen on {address}"))
}

fn put_in_force(gateway: &Gateway, fixed: FixedFleet) -> Result<(), Report<ErrorKind>> {
    let fleet = Fleet::parse(&fixed.content).change_context(ErrorKind::InvalidConfiguration)?;
    gateway.decisions.set_fleet(&fleet);
    gateway.decisions.set_replicas(fixed.replicas);
    let active = ActiveConfiguration::new(Revision(1), fleet);
    gateway.configuration.store(Some(Arc::new(active)));
    Ok(())
}
