//! Authenticated datagrams between linnethitch's own processes.
//!
//! A datagram is one frame and a proof: the first bytes of the HMAC-SHA-256
//! under the cluster key over the cluster's name and the frame. Datagrams may be
//! lost, duplicated, delayed or replayed, since a copy has a valid proof too; the
//! messages must tolerate this.

use std::{marker::PhantomData, net::SocketAddrV4, sync::Arc};

use error_stack::{Report, ResultExt};
use hmac::Mac;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    format::Format,
    frame::{self, HEADER_BYTES},
};
use tokio::net::UdpSocket;

use crate::{key::ClusterIdentity, message::WireMessage};

/// Bytes of a proof.
const PROOF_BYTES: usize = 8;
/// Maximum datagram, in bytes; a larger message is not sent.
const MAX_DATAGRAM_BYTES: usize = 8 * 1024;

const LABEL: &[u8] = b"linnethitch datagram";

/// A socket for datagrams of one message type. Clones share it.
#[derive(Debug)]
pub struct Datagrams<M> {
    socket: Arc<UdpSocket>,
    /// The same socket outside the runtime, so that a send need not wait for writability.
    sender: Arc<std::net::UdpSocket>,
    identity: ClusterIdentity,
    message: PhantomData<fn() -> M>,
}

impl<M> Clone for Datagrams<M> {
    fn clone(&self) -> Self {
        Datagrams {
            socket: Arc::clone(&self.socket),
            sender: Arc::clone(&self.sender),
            identity: self.identity.clone(),
            message: PhantomData,
        }
    }
}

impl<M: WireMessage> Datagrams<M> {
    /// Binds a socket.
    ///
    /// # Errors
    /// `Io` when the address cannot be used.
    pub fn bind(
        address: SocketAddrV4,
        identity: ClusterIdentity,
    ) -> Result<Self, Report<ErrorKind>> {
        let context = || format!("datagrams at {address}");
        let socket = std::net::UdpSocket::bind(address)
            .change_context(ErrorKind::Io)
            .attach_with(context)?;
        socket
            .set_nonblocking(true)
            .change_context(ErrorKind::Io)
            .attach_with(context)?;
        let sender = socket
            .try_clone()
            .change_context(ErrorKind::Io)
            .attach_with(context)?;
        let socket = UdpSocket::from_std(socket)
            .change_context(ErrorKind::Io)
            .attach_with(context)?;
        Ok(Datagrams {
            socket: Arc::new(socket),
            sender: Arc::new(sender),
            identity,
            message: PhantomData,
        })
    }

    /// The address of the socket; `None` when it is not an IPv4 address.
    #[must_use]
    pub fn local_address(&self) -> Option<SocketAddrV4> {
        match self.socket.local_addr() {
            Ok(std::net::SocketAddr::V4(address)) => Some(address),
            _ => None,
        }
    }

    /// Sends a message in a format that the receiver supports. The message is dropped if the
    /// socket is not writable at once or the format has no such message. Returns the number of
    /// bytes sent, without UDP and IP headers.
    pub fn send(&self, to: SocketAddrV4, format: Format, message: &M) -> usize {
        let Ok(mut datagram) = message.to_frame(format) else {
            return 0;
        };
        let proof = self.proof(&datagram);
        datagram.extend_from_slice(&proof);
        if datagram.len() > MAX_DATAGRAM_BYTES {
            return 0;
        }
        // A failed send is treated like a datagram that the network lost.
        self.sender.send_to(&datagram, to).unwrap_or(0)
    }

    /// Receives the next message whose sender has the cluster key.
    ///
    /// # Errors
    /// `Io` when the socket fails.
    pub async fn receive(&self) -> Result<(SocketAddrV4, M), Report<ErrorKind>> {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        loop {
            let received = self.socket.recv_from(&mut buffer).await;
            let (length, from) = received.change_context(ErrorKind::Io)?;
            let std::net::SocketAddr::V4(from) = from else {
                continue;
            };
            if let Some(message) = self.read(&buffer[..length]) {
                return Ok((from, message));
            }
        }
    }

    fn read(&self, datagram: &[u8]) -> Option<M> {
        let frame_bytes = datagram.len().checked_sub(PROOF_BYTES)?;
        let (frame, proof) = datagram.split_at(frame_bytes);
        let mac = self.mac(frame);
        mac.verify_truncated_left(proof).ok()?;
        let (header, payload) = frame.split_first_chunk::<HEADER_BYTES>()?;
        let header = frame::read_header(header).ok()?;
        if header.kind != M::KIND || header.length != payload.len() {
            return None;
        }
        M::from_payload(&header, payload).ok()
    }

    fn proof(&self, frame: &[u8]) -> [u8; PROOF_BYTES] {
        let code = self.mac(frame).finalize().into_bytes();
        let mut proof = [0; PROOF_BYTES];
        proof.copy_from_slice(&code[..PROOF_BYTES]);
        proof
    }

    fn mac(&self, frame: &[u8]) -> hmac::Hmac<sha2::Sha256> {
        let name = self.identity.name.as_bytes();
        self.identity.key.authenticate(&[LABEL, name, frame])
    }
}
