//! Accepts connections and serves each until it ends or the process stops.

use std::{convert::Infallible, net::SocketAddr, panic::AssertUnwindSafe, time::Duration};

use gotham::{helpers::http::Body, router::Router, service::call_handler, state::State};
use http::{HeaderValue, Request, Response, StatusCode};
use http_body::Body as _;
use hyper::{body::Incoming, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use linnethitch_errors::{ErrorKind, Failure};
use linnethitch_ingress::{ClientBody, ClientConnection, IngressListener};
use slog::{Logger, debug, warn};
use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinSet,
};
use tokio_io_timeout::TimeoutStream;
use tokio_util::sync::CancellationToken;

use crate::{
    answer::{REQUEST_ID_HEADER, failure_response},
    client_stream::{ClientStream, MustReset},
    request::StateConnection,
};

/// Minimum read buffer that hyper accepts, in bytes.
const MIN_READ_BUFFER_BYTES: usize = 8 * 1024;
/// Number of random bytes in a request id.
const REQUEST_ID_BYTES: usize = 12;
/// Delay after a failed accept, which avoids a busy loop when descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The accept loop and its connections.
pub struct Listener {
    socket: TcpListener,
    router: Router,
    logger: Logger,
    /// Open connections; dropping the set closes them.
    connections: JoinSet<()>,
    limits: ConnectionLimits,
    /// What the connections may occupy.
    ingress: IngressListener,
    stopping: CancellationToken,
}

/// Limits of each connection of an interface.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Maximum bytes of a request's head; raised to the minimum of hyper if lower.
    pub header_bytes: usize,
    /// Maximum time to receive the head.
    pub header_time: Duration,
    /// Maximum time without progress in writing a response to the peer.
    pub write_stall: Duration,
}

impl Listener {
    /// Wraps a bound socket.
    #[must_use]
    pub fn new(
        socket: TcpListener,
        router: Router,
        limits: ConnectionLimits,
        ingress: IngressListener,
        stopping: CancellationToken,
        logger: Logger,
    ) -> Self {
        Listener {
            socket,
            router,
            logger,
            connections: JoinSet::new(),
            limits,
            ingress,
            stopping,
        }
    }

    /// Accepts connections until the stop is requested, then waits until every open connection
    /// has ended.
    pub async fn run(mut self) {
        loop {
            tokio::select! {
                () = self.stopping.cancelled() => break,
                Some(_) = self.connections.join_next() => {}
                accepted = self.socket.accept() => match accepted {
                    Ok((stream, peer)) => {
                        self.accept(stream, peer);
                        // The connection reads before the next one is accepted, for which it might be closed.
                        tokio::task::yield_now().await;
                    }
                    Err(error) => {
                        warn!(self.logger, "accept failed"; "error" => %error);
                        tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    }
                },
            }
        }
        drop(self.socket);
        while self.connections.join_next().await.is_some() {}
    }

    fn accept(&mut self, stream: TcpStream, peer: SocketAddr) {
        // On a full listener the stream is dropped: its client tries another process at once.
        let Some(client) = self.ingress.accept() else {
            return;
        };
        let connection = serve(
            stream,
            peer,
            client,
            self.router.clone(),
            self.limits,
            self.stopping.clone(),
            self.logger.clone(),
        );
        self.connections.spawn(connection);
    }
}

async fn serve(
    stream: TcpStream,
    peer: SocketAddr,
    client: ClientConnection,
    router: Router,
    limits: ConnectionLimits,
    stopping: CancellationToken,
    logger: Logger,
) {
    let _ = stream.set_nodelay(true);
    let must_reset = MustReset::default();
    let stream = ClientStream::new(stream, client.clone(), must_reset.clone());
    let mut stream = TimeoutStream::new(stream);
    stream.set_write_timeout(Some(limits.write_stall));
    let answered_client = client.clone();
    let service = service_fn(move |request| {
        let client = answered_client.clone();
        answer(router.clone(), request, peer, client, must_reset.clone())
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_time)
        .max_buf_size(limits.header_bytes.max(MIN_READ_BUFFER_BYTES))
        .serve_connection(TokioIo::new(Box::pin(stream)), service);
    tokio::pin!(connection);
    let mut is_shutting_down = false;
    loop {
        tokio::select! {
            ended = connection.as_mut() => {
                if let Err(error) = ended {
                    debug!(logger, "connection ended"; "peer" => %peer, "error" => %error);
                }
                return;
            }
            () = stopping.cancelled(), if !is_shutting_down => {
                is_shutting_down = true;
                connection.as_mut().graceful_shutdown();
            }
            () = client.must_close() => return,
        }
    }
}

/// A random id for a request.
fn new_request_id() -> HeaderValue {
    let bytes: [u8; REQUEST_ID_BYTES] = rand::random();
    let id = format!("req_{}", hex::encode(bytes));
    HeaderValue::from_str(&id).unwrap_or(HeaderValue::from_static(""))
}

/// Answers one request through gotham's router.
async fn answer(
    router: Router,
    mut request: Request<Incoming>,
    peer: SocketAddr,
    client: ClientConnection,
    must_reset: MustReset,
) -> Result<Response<Body>, Infallible> {
    let may_run = client.head_received();
    // A value from the peer is not trusted, because ids identify requests at engines and in
    // journals.
    let id_value = new_request_id();
    request
        .headers_mut()
        .insert(REQUEST_ID_HEADER, id_value.clone());
    let version = request.version();
    let mut state = State::from_request(request.map(ClientBody::new), peer);
    state.put(StateConnection(client.clone()));
    let mut response = if may_run {
        route(router, state).await
    } else {
        failure_response(&Failure::from(ErrorKind::Overloaded))
    };
    response.headers_mut().insert(REQUEST_ID_HEADER, id_value);
    Ok(response.map(|body| must_reset.watch(version, client, body)))
}

async fn route(router: Router, state: State) -> Response<Body> {
    match call_handler(router, AssertUnwindSafe(state)).await {
        Ok(response) => explain_router_refusal(response),
        Err(error) => failure_response(&Failure::new(ErrorKind::Internal, error.to_string())),
    }
}

/// Adds a body from the error table to the empty refusals of the router.
fn explain_router_refusal(response: Response<Body>) -> Response<Body> {
    if response.body().size_hint().exact() != Some(0) {
        return response;
    }
    let failure = match response.status() {
        StatusCode::NOT_FOUND => Failure::new(ErrorKind::NotFound, "no such path"),
        StatusCode::METHOD_NOT_ALLOWED => Failure::new(
            ErrorKind::MethodNotAllowed,
            "the path does not take this method",
        ),
        StatusCode::INTERNAL_SERVER_ERROR => {
            Failure::new(ErrorKind::Internal, "the request could not be handled")
        }
        _ => return response,
    };
    let mut refusal = failure_response(&failure);
    if let Some(allow) = response.headers().get(http::header::ALLOW) {
        refusal
            .headers_mut()
            .insert(http::header::ALLOW, allow.clone());
    }
    refusal
}
