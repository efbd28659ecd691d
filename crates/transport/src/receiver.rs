//! The receiving half of a connection.

use std::{marker::PhantomData, sync::Arc, time::Duration};

use bytes::{Buf, BytesMut};
use error_stack::Report;
use linnethitch_clock::{Instant, timeout_at};
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::frame::{self, FrameHeader, FrameKind, HEADER_BYTES};
use tokio::{io::AsyncReadExt, net::tcp::OwnedReadHalf, sync::watch};

use crate::{message::WireMessage, options::ConnectionOptions, queue::SendQueue, traffic::Traffic};

/// Bytes by which the read buffer grows; what a peer announces is never allocated ahead.
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// A read buffer that grew beyond this is given back once it is empty.
const KEPT_BUFFER_BYTES: usize = 64 * 1024;

/// Receives messages of one type. Dropping it ends the connection once
/// queued frames are written.
#[derive(Debug)]
pub struct MessageReceiver<Incoming> {
    socket: OwnedReadHalf,
    buffer: BytesMut,
    /// When the last byte of the peer came.
    heard_at: Instant,
    /// Bytes of the frame that was taken last.
    last_frame_bytes: usize,
    queue: Arc<SendQueue>,
    writer_ended: watch::Receiver<bool>,
    options: ConnectionOptions,
    traffic: Arc<Traffic>,
    message: PhantomData<fn() -> Incoming>,
}

impl<Incoming: WireMessage> MessageReceiver<Incoming> {
    pub(crate) fn new(
        socket: OwnedReadHalf,
        queue: Arc<SendQueue>,
        writer_ended: watch::Receiver<bool>,
        options: ConnectionOptions,
        traffic: Arc<Traffic>,
    ) -> Self {
        MessageReceiver {
            socket,
            buffer: BytesMut::new(),
            heard_at: Instant::now(),
            last_frame_bytes: 0,
            queue,
            writer_ended,
            options,
            traffic,
            message: PhantomData,
        }
    }

    /// The next message; `None` when the peer ended the connection between two frames.
    ///
    /// Cancel safe: a call that is dropped loses nothing, and the time that the peer
    /// has been silent goes on from its last byte, however often this is called.
    ///
    /// # Errors
    /// `Io` when the connection broke or fell silent, `MalformedRequest` or
    /// `Corrupted` when the peer sent something else than messages of this type.
    pub async fn receive(&mut self) -> Result<Option<Incoming>, Report<ErrorKind>> {
        loop {
            if let Some((header, payload)) = self.take_frame()? {
                if header.kind == FrameKind::Handshake && header.length == 0 {
                    continue;
                }
                if header.kind != Incoming::KIND {
                    return Err(Report::new(ErrorKind::MalformedRequest)
                        .attach(format!("a frame of kind {:?}", header.kind)));
                }
                return Incoming::from_payload(&header, &payload).map(Some);
            }
            if !self.fill().await? {
                return Ok(None);
            }
        }
    }

    /// How long nothing has come from the peer.
    #[must_use]
    pub fn silent_for(&self) -> Duration {
        self.heard_at.elapsed()
    }

    /// Bytes of the frame that held the last message, its header included.
    #[must_use]
    pub fn last_frame_bytes(&self) -> usize {
        self.last_frame_bytes
    }

    /// Cuts one whole frame off the buffer, if there is one.
    fn take_frame(&mut self) -> Result<Option<(FrameHeader, BytesMut)>, Report<ErrorKind>> {
        let Some(first) = self.buffer.first_chunk::<HEADER_BYTES>() else {
            return Ok(None);
        };
        let header = frame::read_header(first)?;
        let whole = HEADER_BYTES + header.length;
        if self.buffer.len() < whole {
            return Ok(None);
        }
        self.traffic.count_received(header.kind, whole);
        self.last_frame_bytes = whole;
        self.buffer.advance(HEADER_BYTES);
        let payload = self.buffer.split_to(header.length);
        if self.buffer.is_empty() && payload.len() > KEPT_BUFFER_BYTES {
            self.buffer = BytesMut::new();
        }
        Ok(Some((header, payload)))
    }

    /// Reads more; `false` at the end of the stream.
    async fn fill(&mut self) -> Result<bool, Report<ErrorKind>> {
        self.buffer.reserve(READ_CHUNK_BYTES);
        let silent_until = self.heard_at + self.options.idle_timeout;
        let read = tokio::select! {
            read = timeout_at(silent_until, self.socket.read_buf(&mut self.buffer)) => read,
            _ = self.writer_ended.wait_for(|ended| *ended) => {
                return Err(broken("the peer takes no more data"));
            }
        };
        match read {
            Err(_) => Err(broken("the peer has been silent for too long")),
            Ok(Err(error)) => Err(broken(&error.to_string())),
            Ok(Ok(0)) if self.buffer.is_empty() => Ok(false),
            Ok(Ok(0)) => Err(broken("the connection ended within a frame")),
            Ok(Ok(_)) => {
                self.heard_at = Instant::now();
                Ok(true)
            }
        }
    }
}

impl<Incoming> Drop for MessageReceiver<Incoming> {
    fn drop(&mut self) {
        self.queue.close();
    }
}

fn broken(reason: &str) -> Report<ErrorKind> {
    Report::new(ErrorKind::Io).attach(reason.to_owned())
}
