//! Opening a connection and sending on it.

use std::{marker::PhantomData, net::SocketAddr, sync::Arc};

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::format::Format;
use tokio::{net::TcpStream, sync::watch, time::timeout};

use crate::{
    handshake,
    key::ClusterIdentity,
    message::WireMessage,
    options::ConnectionOptions,
    queue::{QueuedFrame, SendQueue, SendRefused},
    receiver::MessageReceiver,
    traffic::Traffic,
    writer,
};

/// An open, authenticated connection.
#[derive(Debug)]
pub struct Connection<Incoming, Outgoing> {
    /// The peer's address.
    pub peer: SocketAddr,
    /// The format that both sides support.
    pub format: Format,
    /// The sending half; cheap to clone.
    pub sender: MessageSender<Outgoing>,
    /// The receiving half; dropping it ends the connection.
    pub receiver: MessageReceiver<Incoming>,
}

impl<Incoming: WireMessage, Outgoing: WireMessage> Connection<Incoming, Outgoing> {
    /// Starts the writer of a stream after its handshake.
    pub(crate) fn start(
        stream: TcpStream,
        format: Format,
        peer: SocketAddr,
        options: ConnectionOptions,
        traffic: Arc<Traffic>,
        permit: Option<tokio::sync::OwnedSemaphorePermit>,
    ) -> Self {
        let (read_half, write_half) = stream.into_split();
        let queue = Arc::new(SendQueue::new(options.queue_frames, options.queue_bytes));
        let (ended, writer_ended) = watch::channel(false);
        let writer = writer::write_frames(
            write_half,
            Arc::clone(&queue),
            ended,
            options,
            Arc::clone(&traffic),
        );
        tokio::spawn(async move {
            writer.await;
            drop(permit);
        });
        let sender = MessageSender {
            queue: Arc::clone(&queue),
            handles: Arc::new(CloseOnDrop(Arc::clone(&queue))),
            format,
            message: PhantomData,
        };
        let receiver = MessageReceiver::new(read_half, queue, writer_ended, options, traffic);
        Connection {
            peer,
            format,
            sender,
            receiver,
        }
    }

    /// Splits the connection into its sending and its receiving half.
    #[must_use]
    pub fn split(self) -> (MessageSender<Outgoing>, MessageReceiver<Incoming>) {
        (self.sender, self.receiver)
    }
}

/// Closes the queue when the last sender is dropped.
#[derive(Debug)]
struct CloseOnDrop(Arc<SendQueue>);

impl Drop for CloseOnDrop {
    fn drop(&mut self) {
        self.0.close();
    }
}

/// Sends messages of one type. The connection closes for writing when the
/// last clone is dropped and all queued messages are written.
#[derive(Debug)]
pub struct MessageSender<Outgoing> {
    queue: Arc<SendQueue>,
    handles: Arc<CloseOnDrop>,
    format: Format,
    message: PhantomData<fn(Outgoing)>,
}

impl<Outgoing> Clone for MessageSender<Outgoing> {
    fn clone(&self) -> Self {
        MessageSender {
            queue: Arc::clone(&self.queue),
            handles: Arc::clone(&self.handles),
            format: self.format,
            message: PhantomData,
        }
    }
}

impl<Outgoing: WireMessage> MessageSender<Outgoing> {
    /// The format that both sides of the connection support.
    #[must_use]
    pub fn format(&self) -> Format {
        self.format
    }

    /// Queues a message if the queue has capacity now.
    ///
    /// # Errors
    /// The reason why it was not queued.
    pub fn try_send(&self, message: &Outgoing) -> Result<(), SendRefused> {
        self.try_send_counted(message).map(|_| ())
    }

    /// Queues a message if the queue has capacity now, and returns the bytes of its frame.
    ///
    /// # Errors
    /// The reason why it was not queued.
    pub fn try_send_counted(&self, message: &Outgoing) -> Result<usize, SendRefused> {
        let frame = self.encode(message, false)?;
        let bytes = frame.bytes.len();
        self.queue.push(frame).map_err(|(reason, _)| reason)?;
        Ok(bytes)
    }

    /// Queues a soft-state message, which a newer one makes obsolete. If the queue
    /// is full, the oldest soft-state messages are dropped.
    ///
    /// # Errors
    /// The reason why it was not queued.
    pub fn send_soft(&self, message: &Outgoing) -> Result<(), SendRefused> {
        self.queue.push_dropping_oldest(self.encode(message, true)?)
    }

    /// Queues a message, and waits while the queue is full.
    ///
    /// # Errors
    /// `Closed` when the connection has ended, `NotEncodable` when the message cannot be encoded.
    pub async fn send(&self, message: &Outgoing) -> Result<(), SendRefused> {
        let mut frame = self.encode(message, false)?;
        loop {
            let writable = self.queue.writable();
            frame = match self.queue.push(frame) {
                Ok(()) => return Ok(()),
                Err((SendRefused::Full, frame)) => frame,
                Err((reason, _)) => return Err(reason),
            };
            writable.await;
        }
    }

    /// Closes the connection for writing once all queued messages are written.
    pub fn close(&self) {
        self.queue.close();
    }

    /// Number of soft-state messages that were dropped in favour of newer ones.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.queue.dropped()
    }

    fn encode(&self, message: &Outgoing, droppable: bool) -> Result<QueuedFrame, SendRefused> {
        let bytes = message
            .to_frame(self.format)
            .map_err(|report| SendRefused::NotEncodable(*report.current_context()))?;
        Ok(QueuedFrame {
            kind: Outgoing::KIND,
            bytes,
            droppable,
        })
    }
}

/// Connects to a listener and proves the cluster key.
///
/// # Errors
/// `Io` when the connection is not established within the timeout, `PeerRefused`
/// when either side refuses the other.
pub async fn connect<Incoming, Outgoing>(
    address: &str,
    identity: &ClusterIdentity,
    options: ConnectionOptions,
    traffic: Arc<Traffic>,
) -> Result<Connection<Incoming, Outgoing>, Report<ErrorKind>>
where
    Incoming: WireMessage,
    Outgoing: WireMessage,
{
    let opening = async {
        let mut stream = TcpStream::connect(address)
            .await
            .map_err(|error| connect_failed(address, &error.to_string()))?;
        stream
            .set_nodelay(true)
            .map_err(|error| connect_failed(address, &error.to_string()))?;
        let newest = options.newest_format;
        let format = handshake::initiate(&mut stream, identity, newest, &traffic).await?;
        let peer = stream
            .peer_addr()
            .map_err(|error| connect_failed(address, &error.to_string()))?;
        Ok::<_, Report<ErrorKind>>((stream, format, peer))
    };
    let (stream, format, peer) = timeout(options.open_timeout, opening)
        .await
        .map_err(|_| connect_failed(address, "timed out during connect or handshake"))??;
    Ok(Connection::start(
        stream, format, peer, options, traffic, None,
    ))
}

fn connect_failed(address: &str, reason: &str) -> Report<ErrorKind> {
    Report::new(ErrorKind::Io).attach(format!("connect to {address}: {reason}"))
}
