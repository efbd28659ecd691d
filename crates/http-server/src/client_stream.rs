//! Connections of clients: told apart by what is received and sent on them, and reset where a
//! close would look like the end of a response.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use gotham::helpers::http::Body;
use http::Version;
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;
use linnethitch_ingress::ClientConnection;
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Whether a connection has to be reset.
#[derive(Clone, Debug, Default)]
pub(crate) struct MustReset(Arc<AtomicBool>);

impl MustReset {
    /// Watches the body of a response to a request of this version: before HTTP/1.1 there are no
    /// chunks, and the close of the connection marks the end.
    pub(crate) fn watch(&self, version: Version, client: ClientConnection, body: Body) -> Body {
        let must_reset = (version < Version::HTTP_11).then(|| self.clone());
        WatchedBody {
            body,
            client,
            must_reset,
        }
        .boxed_unsync()
    }
}

/// A body that records whether it broke, and when it was sent.
struct WatchedBody {
    body: Body,
    client: ClientConnection,
    /// `None` where a client sees by itself that a response broke.
    must_reset: Option<MustReset>,
}

impl Drop for WatchedBody {
    fn drop(&mut self) {
        self.client.response_sent();
    }
}

impl http_body::Body for WatchedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        if matches!(polled, Poll::Ready(Some(Err(_))))
            && let Some(must_reset) = &self.must_reset
        {
            must_reset.0.store(true, Ordering::Relaxed);
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A stream that records when bytes are received. It is reset on drop if a response on it broke.
pub(crate) struct ClientStream {
    stream: TcpStream,
    client: ClientConnection,
    must_reset: MustReset,
}

impl ClientStream {
    pub(crate) fn new(stream: TcpStream, client: ClientConnection, must_reset: MustReset) -> Self {
        ClientStream {
            stream,
            client,
            must_reset,
        }
    }
}

impl Drop for ClientStream {
    fn drop(&mut self) {
        if self.must_reset.0.load(Ordering::Relaxed) {
            // On failure the connection is closed, which is all that remains to be done.
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.client.bytes_received();
        }
        polled
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
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
