//! Sockets of a control member and their addresses.

use std::net::SocketAddr;

use error_stack::{Report, ResultExt};
use linnethitch_errors::ErrorKind;
use tokio::net::TcpListener;

/// The sockets of a control member, bound before the member starts.
#[derive(Debug)]
pub struct ControlSockets {
    pub(crate) peer: TcpListener,
    pub(crate) attach: TcpListener,
    pub(crate) operator: TcpListener,
}

/// The addresses on which a control member listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControlAddresses {
    /// For other control members.
    pub peer: SocketAddr,
    /// For gateways.
    pub attach: SocketAddr,
    /// For operators.
    pub operator: SocketAddr,
}

impl ControlSockets {
    /// Binds the addresses; for port 0 the operating system chooses a free port.
    ///
    /// # Errors
    /// `Io` if listening on an address fails.
    pub async fn bind(
        peer: SocketAddr,
        attach: SocketAddr,
        operator: SocketAddr,
    ) -> Result<Self, Report<ErrorKind>> {
        Ok(ControlSockets {
            peer: bind(peer).await?,
            attach: bind(attach).await?,
            operator: bind(operator).await?,
        })
    }

    /// The bound addresses with their actual ports.
    ///
    /// # Errors
    /// `Io` if the operating system does not return them.
    pub fn addresses(&self) -> Result<ControlAddresses, Report<ErrorKind>> {
        let local = |socket: &TcpListener| socket.local_addr().change_context(ErrorKind::Io);
        Ok(ControlAddresses {
            peer: local(&self.peer)?,
            attach: local(&self.attach)?,
            operator: local(&self.operator)?,
        })
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Report<ErrorKind>> {
    TcpListener::bind(address)
        .await
        .change_context(ErrorKind::Io)
        .attach_with(|| format!("cannot listen on {address}"))
}
