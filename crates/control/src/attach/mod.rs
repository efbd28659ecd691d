//! The server that gateways attach to.

mod calls;
mod push;
mod session;

use std::sync::Arc;

use linnethitch_protocol::attach::{ControlMessage, GatewayMessage};
use linnethitch_transport::{
    ClusterIdentity, ConnectionOptions, IncomingConnection, Listener, Traffic,
};
use slog::Logger;
use tokio::{net::TcpListener, task::JoinSet};

use crate::{
    clock::Clock,
    driver::Driver,
    soft_state::{SharedSoftState, rounds::SoftBell},
};
use session::Session;

/// Gateways attached to one member at most: a whole fleet, should four of five members be gone.
const MAX_GATEWAYS: usize = 4_096;

/// What the sessions of gateways share.
#[derive(Clone)]
pub(crate) struct AttachServer {
    pub(crate) driver: Driver,
    pub(crate) soft_state: SharedSoftState,
    pub(crate) bell: SoftBell,
    pub(crate) clock: Clock,
    pub(crate) logger: Logger,
}

impl AttachServer {
    /// The listener for gateways.
    pub(crate) fn listener(
        socket: TcpListener,
        identity: ClusterIdentity,
        traffic: Arc<Traffic>,
        logger: Logger,
    ) -> Listener {
        let options = ConnectionOptions::default();
        Listener::new(socket, identity, options, traffic, MAX_GATEWAYS, logger)
    }

    /// Accepts and serves gateways for ever.
    pub(crate) async fn run(self, listener: Listener) {
        let mut sessions = JoinSet::new();
        loop {
            let incoming = listener.accept().await;
            sessions.spawn(self.clone().serve(incoming));
            while sessions.try_join_next().is_some() {}
        }
    }

    async fn serve(self, incoming: IncomingConnection) {
        // A refused peer has been logged.
        if let Ok(connection) = incoming.establish::<GatewayMessage, ControlMessage>().await {
            Session::serve(self, connection).await;
        }
    }
}
