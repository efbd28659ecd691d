//! A TCP stream to a replica that counts its bytes, and ends when they are of no use.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
};

use prometheus_client::metrics::counter::Counter;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Bytes to and from replicas of one zone.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplicaBytes {
    pub(crate) sent: Counter,
    pub(crate) received: Counter,
}

/// Maximum bytes from which the HTTP client makes neither a head nor data: interim responses,
/// chunk sizes and the like. Several times what its buffer holds.
const MAX_BYTES_WITHOUT_PROGRESS: usize = 256 * 1024;

/// Bytes that were received since the last head or data of a response. Clones share the count.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReceivedBytes(Arc<AtomicUsize>);

impl ReceivedBytes {
    /// A request begins, or a head or data of its response was received.
    pub(crate) fn note_progress(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    fn add(&self, bytes: usize) -> io::Result<()> {
        let before = self.0.fetch_add(bytes, Ordering::Relaxed);
        if before + bytes > MAX_BYTES_WITHOUT_PROGRESS {
            let cause = format!("{} bytes received without a head or data", before + bytes);
            return Err(io::Error::new(io::ErrorKind::InvalidData, cause));
        }
        Ok(())
    }
}

/// Forwards all calls to the stream.
pub(crate) struct CountedStream {
    stream: TcpStream,
    bytes: ReplicaBytes,
    received: ReceivedBytes,
}

impl CountedStream {
    pub(crate) fn new(stream: TcpStream, bytes: ReplicaBytes, received: ReceivedBytes) -> Self {
        CountedStream {
            stream,
            bytes,
            received,
        }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let read = buffer.filled().len() - before;
        self.bytes.received.inc_by(read as u64);
        Poll::Ready(self.received.add(read))
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(context, bytes))?;
        self.bytes.sent.inc_by(written as u64);
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(context, slices))?;
        self.bytes.sent.inc_by(written as u64);
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
