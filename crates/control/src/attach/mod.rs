//! The server to which gateways attach.

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
    soft_state::{SharedSoftState, exchange::SoftStateNotifier},
};
use session::Session;

/// Maximum number of gateways attached to one member: the gateways of a whole fleet, for the
/// case that four of five members are unavailable.
const MAX_GATEWAYS: usize = 4_096;

/// State shared by the sessions of gateways.
#[derive(Clone)]
pub(crate) struct AttachServer {
    pub(crate) driver: Driver,
    pub(crate) soft_state: SharedSoftState,
    pub(crate) notifier: SoftStateNotifier,
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

    /// Accepts and serves gateways until the task is cancelled.
    pub(crate) async fn run(self, listener: Listener) {
        let mut sessions = JoinSet::new();
        loop {
            let incoming = listener.accept().await;
            sessions.spawn(self.clone().serve(incoming));
            while sessions.try_join_next().is_some() {}
        }
    }

    async fn serve(self, incoming: IncomingConnection) {
        // `establish` logs a refused peer.
        if let Ok(connection) = incoming.establish::<GatewayMessage, ControlMessage>().await {
            Session::serve(self, connection).await;
        }
    }
}
