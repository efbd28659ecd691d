//! Accepts connections and runs their handshakes.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::format::Format;
use slog::{Logger, warn};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore},
    time::timeout,
};

use crate::{
    connection::Connection, handshake, key::ClusterIdentity, message::WireMessage,
    options::ConnectionOptions, traffic::Traffic,
};

/// Delay after a failed accept, for example when the process has no free file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections of peers that prove that they have the cluster key.
#[derive(Debug)]
pub struct Listener {
    listener: TcpListener,
    identity: ClusterIdentity,
    options: ConnectionOptions,
    traffic: Arc<Traffic>,
    connections: Arc<Semaphore>,
    logger: Logger,
}

impl Listener {
    /// Listens on `address`; with port 0 the system chooses a free port.
    ///
    /// At most `max_connections` are open at the same time; further connections
    /// wait in the system's backlog.
    ///
    /// # Errors
    /// `Io` when the address cannot be used.
    pub async fn bind(
        address: &str,
        identity: ClusterIdentity,
        options: ConnectionOptions,
        traffic: Arc<Traffic>,
        max_connections: usize,
        logger: Logger,
    ) -> Result<Self, Report<ErrorKind>> {
        let listener = TcpListener::bind(address).await.map_err(|error| {
            Report::new(ErrorKind::Io).attach(format!("listen on {address}: {error}"))
        })?;
        Ok(Listener::new(
            listener,
            identity,
            options,
            traffic,
            max_connections,
            logger,
        ))
    }

    /// Like [`Listener::bind`], but with a socket that is already bound.
    #[must_use]
    pub fn new(
        listener: TcpListener,
        identity: ClusterIdentity,
        options: ConnectionOptions,
        traffic: Arc<Traffic>,
        max_connections: usize,
        logger: Logger,
    ) -> Self {
        Listener {
            listener,
            identity,
            options,
            traffic,
            connections: Arc::new(Semaphore::new(max_connections)),
            logger,
        }
    }

    /// The local address, with the actual port.
    ///
    /// # Errors
    /// `Io` when the system does not return the address.
    pub fn local_address(&self) -> Result<SocketAddr, Report<ErrorKind>> {
        self.listener
            .local_addr()
            .map_err(|error| Report::new(ErrorKind::Io).attach(error.to_string()))
    }

    /// Accepts the next TCP connection. The caller must run its handshake with
    /// [`IncomingConnection::establish`], in a separate task.
    pub async fn accept(&self) -> IncomingConnection {
        loop {
            let permit = Arc::clone(&self.connections)
                .acquire_owned()
                .await
                .expect("the semaphore is never closed");
            match self.listener.accept().await {
                Ok((stream, peer)) => {
                    return IncomingConnection {
                        stream,
                        peer,
                        identity: self.identity.clone(),
                        options: self.options,
                        traffic: Arc::clone(&self.traffic),
                        permit,
                        logger: self.logger.clone(),
                    };
                }
                Err(error) => {
                    warn!(self.logger, "accept failed"; "error" => %error);
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }
}

/// An accepted TCP connection whose peer is not authenticated yet.
#[derive(Debug)]
pub struct IncomingConnection {
    stream: TcpStream,
    /// The peer's address.
    pub peer: SocketAddr,
    identity: ClusterIdentity,
    options: ConnectionOptions,
    traffic: Arc<Traffic>,
    permit: OwnedSemaphorePermit,
    logger: Logger,
}

impl IncomingConnection {
    /// Runs the handshake. A refused peer is logged.
    ///
    /// # Errors
    /// `PeerRefused` when either side refuses the other, `Io` when the handshake
    /// does not complete within the timeout.
    pub async fn establish<Incoming, Outgoing>(
        mut self,
    ) -> Result<Connection<Incoming, Outgoing>, Report<ErrorKind>>
    where
        Incoming: WireMessage,
        Outgoing: WireMessage,
    {
        let format = self.handshake().await.inspect_err(|report| {
            warn!(self.logger, "peer refused";
                "peer" => %self.peer,
                "code" => report.current_context().answer().code,
                "reason" => format!("{report:?}"));
        })?;
        Ok(Connection::start(
            self.stream,
            format,
            self.peer,
            self.options,
            self.traffic,
            Some(self.permit),
        ))
    }

    async fn handshake(&mut self) -> Result<Format, Report<ErrorKind>> {
        self.stream
            .set_nodelay(true)
            .map_err(|error| Report::new(ErrorKind::Io).attach(error.to_string()))?;
        let newest = self.options.newest_format;
        let handshake = handshake::respond(&mut self.stream, &self.identity, newest, &self.traffic);
        timeout(self.options.open_timeout, handshake)
            .await
            .unwrap_or_else(|_| Err(Report::new(ErrorKind::Io).attach("the handshake timed out")))
    }
}
