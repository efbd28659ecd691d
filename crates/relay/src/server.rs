//! HTTP server for callers: bounded connections, and a graceful stop that completes all requests.

use std::{
    future::Future,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use http::{HeaderValue, Request, Response, Version, header};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::rt::TokioIo;
use linnethitch_errors::ErrorKind;
use linnethitch_ingress::{ClientBody, ClientConnection, ConnectionTimeouts, IngressListener};
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::response::{ResponseBody, error_response};

/// Smallest read buffer that hyper takes, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// Interval of the check for connections that are idle or slow for too long.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which callers' connections are accepted after a planned stop begins: callers learn of
/// the stop from the directory only after a while.
pub const CALLERS_DRAIN: Duration = Duration::from_millis(3_500);
/// Delay after a failed accept, to avoid a busy loop when file descriptors are exhausted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Limits of callers' connections; may be changed while the server runs.
#[derive(Debug)]
pub struct ServerLimits {
    /// Maximum size of a request head, in bytes.
    pub header_bytes: AtomicU64,
    /// Time limit for sending the head, in milliseconds.
    pub header_ms: AtomicU64,
    /// Maximum idle time of a connection, in milliseconds.
    pub idle_ms: AtomicU64,
}

impl Default for ServerLimits {
    fn default() -> Self {
        ServerLimits {
            header_bytes: AtomicU64::new(16 * 1024),
            header_ms: AtomicU64::new(3_000),
            idle_ms: AtomicU64::new(15_000),
        }
    }
}

/// A caller's request.
pub type CallerRequest = Request<ClientBody<Incoming>>;

/// Handler of callers' requests.
pub trait CallerServer: Clone + Send + Sync + 'static {
    /// Answers one request.
    fn answer(&self, request: CallerRequest)
    -> impl Future<Output = Response<ResponseBody>> + Send;
}

/// Serves callers until asked to stop, accepts new connections for `drain` after that, and returns
/// once all accepted requests have ended.
pub async fn serve_callers<S: CallerServer>(
    listener: TcpListener,
    server: S,
    limits: Arc<ServerLimits>,
    connections: IngressListener,
    stopping: CancellationToken,
    drain: Duration,
) {
    let tracker = TaskTracker::new();
    let closing = CancellationToken::new();
    let sweeper = tokio::spawn(close_expired(connections.clone(), Arc::clone(&limits)));
    let drain_over = async {
        stopping.cancelled().await;
        linnethitch_clock::sleep(drain).await;
    };
    tokio::pin!(drain_over);
    loop {
        let accepted = tokio::select! {
            () = &mut drain_over => break,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            linnethitch_clock::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // On a full listener the stream is dropped: its client tries another gateway at once.
        let Some(client) = connections.accept() else {
            continue;
        };
        let connection = ServedConnection {
            server: server.clone(),
            client,
            must_reset: Arc::default(),
            stopping: stopping.clone(),
            closing: closing.clone(),
            header_bytes: limits.header_bytes.load(Ordering::Relaxed) as usize,
        };
        tracker.spawn(connection.run(stream));
        // The connection reads before the next one is accepted, for which it might be closed.
        tokio::task::yield_now().await;
    }
    drop(listener);
    closing.cancel();
    tracker.close();
    tracker.wait().await;
    sweeper.abort();
}

/// Closes connections that are idle, or slow to send a head, for too long.
async fn close_expired(connections: IngressListener, limits: Arc<ServerLimits>) {
    loop {
        linnethitch_clock::sleep(SWEEP_INTERVAL).await;
        connections.close_expired(ConnectionTimeouts {
            head_ms: limits.header_ms.load(Ordering::Relaxed),
            idle_ms: limits.idle_ms.load(Ordering::Relaxed),
        });
    }
}

struct ServedConnection<S> {
    server: S,
    client: ClientConnection,
    /// Whether a response broke whose end only the close of the connection would mark.
    must_reset: Arc<AtomicBool>,
    stopping: CancellationToken,
    closing: CancellationToken,
    header_bytes: usize,
}

impl<S: CallerServer> ServedConnection<S> {
    async fn run(self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let watched = WatchedStream {
            stream,
            client: self.client.clone(),
            must_reset: Arc::clone(&self.must_reset),
        };
        let service = service_fn(|request| self.answer(request));
        let connection = hyper::server::conn::http1::Builder::new()
            .max_buf_size(self.header_bytes.max(MIN_BUFFER_BYTES))
            .serve_connection(TokioIo::new(watched), service);
        tokio::pin!(connection);
        let mut shutting_down = false;
        loop {
            tokio::select! {
                _ = connection.as_mut() => break,
                () = self.closing.cancelled(), if !shutting_down => {
                    shutting_down = true;
                    connection.as_mut().graceful_shutdown();
                }
                () = self.client.must_close() => break,
            }
        }
    }

    async fn answer(
        &self,
        mut request: Request<Incoming>,
    ) -> Result<Response<TrackedBody>, std::convert::Infallible> {
        let may_run = self.client.head_received();
        request.extensions_mut().insert(self.client.clone());
        let has_chunks = request.version() >= Version::HTTP_11;
        let request = request.map(ClientBody::new);
        let mut response = if may_run {
            self.server.answer(request).await
        } else {
            error_response(ErrorKind::Overloaded, Some(Duration::ZERO))
        };
        if self.stopping.is_cancelled() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        Ok(response.map(|body| TrackedBody {
            body,
            client: self.client.clone(),
            must_reset: Arc::clone(&self.must_reset),
            has_chunks,
        }))
    }
}

/// Records when a response has been sent completely, or broke.
struct TrackedBody {
    body: ResponseBody,
    client: ClientConnection,
    must_reset: Arc<AtomicBool>,
    /// Whether the caller's version of HTTP has chunks, whose last one marks the end.
    has_chunks: bool,
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.client.response_sent();
    }
}

impl hyper::body::Body for TrackedBody {
    type Data = bytes::Bytes;
    type Error = crate::response::BodyFailure;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<hyper::body::Frame<bytes::Bytes>, Self::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        if matches!(polled, Poll::Ready(Some(Err(_)))) && !self.has_chunks {
            self.must_reset.store(true, Ordering::Relaxed);
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        self.body.size_hint()
    }
}

/// A stream that records when bytes are received. It is reset rather than closed after a response
/// that broke, where its caller would take a close for the end.
struct WatchedStream {
    stream: TcpStream,
    client: ClientConnection,
    must_reset: Arc<AtomicBool>,
}

impl Drop for WatchedStream {
    fn drop(&mut self) {
        if self.must_reset.load(Ordering::Relaxed) {
            // On failure the connection is closed, which is all that remains to be done.
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.client.bytes_received();
        }
        polled
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }
}
