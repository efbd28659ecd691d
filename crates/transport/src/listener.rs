//! Accepting connections.

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

/// Pause after a failed accept, such as one for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections of peers that prove the cluster key.
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
    /// Listens on `address`; port 0 lets the system choose one.
    ///
    /// At most `max_connections` are open at once; further ones wait in the
    /// system's backlog.
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

    /// Listens on a socket that is bound already; otherwise as [`Listener::bind`].
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

    /// The address in use, with the port that was chosen.
    ///
    /// # Errors
    /// `Io` when the system does not tell it.
    pub fn local_address(&self) -> Result<SocketAddr, Report<ErrorKind>> {
        self.listener
            .local_addr()
            .map_err(|error| Report::new(ErrorKind::Io).attach(error.to_string()))
    }

    /// The next TCP connection. Its handshake is left to
    /// [`IncomingConnection::establish`], to be run in a task of its own.
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
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }
}

/// A TCP connection whose peer has not proved anything yet.
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
    /// `PeerRefused` when either side refuses the other, `Io` when the peer
    /// does not finish in time.
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
            .unwrap_or_else(|_| {
                Err(Report::new(ErrorKind::Io).attach("the handshake took too long"))
            })
    }
}
