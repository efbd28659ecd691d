//! Accepts connections and serves each until it ends or the process stops.

use std::{convert::Infallible, net::SocketAddr, panic::AssertUnwindSafe, time::Duration};

use gotham::{helpers::http::Body, router::Router, service::call_handler, state::State};
use http::{HeaderValue, Request, Response, StatusCode};
use http_body::Body as _;
use hyper::{body::Incoming, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use linnethitch_config::settings::GatewayLimits;
use linnethitch_errors::{ErrorKind, Failure};
use slog::{Logger, debug, warn};
use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinSet,
};
use tokio_util::sync::CancellationToken;

use crate::{
    http::{
        answer::{REQUEST_ID_HEADER, failure_response},
        stall::StallGuard,
    },
    identifiers::new_request_id,
};

/// Longest time that a caller may take nothing of an answer.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Smallest read buffer that hyper takes, in bytes.
const MIN_READ_BUFFER_BYTES: usize = 8 * 1024;
/// Wait after a failed accept, so that exhausted descriptors do not spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The accept loop and its connections.
pub(crate) struct Listener {
    socket: TcpListener,
    router: Router,
    logger: Logger,
    /// Open connections; dropping them cuts them off.
    connections: JoinSet<()>,
    limits: ConnectionLimits,
    stopping: CancellationToken,
}

/// Bounds of callers' connections.
#[derive(Clone, Copy, Debug)]
struct ConnectionLimits {
    /// Connections at once; more wait in the listen queue.
    connections: usize,
    /// Bytes of a request's head.
    header_bytes: usize,
    /// Longest time to send it.
    header_time: Duration,
}

impl From<&GatewayLimits> for ConnectionLimits {
    fn from(limits: &GatewayLimits) -> Self {
        ConnectionLimits {
            connections: limits.max_connections as usize,
            header_bytes: (limits.max_header_bytes as usize).max(MIN_READ_BUFFER_BYTES),
            header_time: Duration::from_millis(limits.header_timeout_ms),
        }
    }
}

impl Listener {
    /// Wraps a bound socket.
    pub(crate) fn new(
        socket: TcpListener,
        router: Router,
        limits: &GatewayLimits,
        stopping: CancellationToken,
        logger: Logger,
    ) -> Self {
        Listener {
            socket,
            router,
            logger,
            connections: JoinSet::new(),
            limits: limits.into(),
            stopping,
        }
    }

    /// Accepts until told to stop, then waits until every open connection is served.
    pub(crate) async fn run(mut self) {
        loop {
            tokio::select! {
                () = self.stopping.cancelled() => break,
                Some(_) = self.connections.join_next() => {}
                accepted = self.socket.accept(), if self.connections.len() < self.limits.connections => match accepted {
                    Ok((stream, peer)) => self.accept(stream, peer),
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
        let connection = serve(
            stream,
            peer,
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
    router: Router,
    limits: ConnectionLimits,
    stopping: CancellationToken,
    logger: Logger,
) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| answer(router.clone(), request, peer));
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_time)
        .max_buf_size(limits.header_bytes)
        .serve_connection(
            TokioIo::new(StallGuard::new(stream, WRITE_STALL_TIMEOUT)),
            service,
        );
    tokio::pin!(connection);
    let mut told = false;
    loop {
        tokio::select! {
            ended = connection.as_mut() => {
                if let Err(error) = ended {
                    debug!(logger, "connection ended"; "peer" => %peer, "error" => %error);
                }
                return;
            }
            () = stopping.cancelled(), if !told => {
                told = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}

/// Answers one request through gotham's router.
async fn answer(
    router: Router,
    mut request: Request<Incoming>,
    peer: SocketAddr,
) -> Result<Response<Body>, Infallible> {
    let id = new_request_id();
    let id_value = HeaderValue::from_str(id.as_str()).unwrap_or(HeaderValue::from_static(""));
    // The caller's own value is not trusted: ids name requests at engines and in journals.
    request
        .headers_mut()
        .insert(REQUEST_ID_HEADER, id_value.clone());
    let state = State::from_request(request, peer);
    let mut response = match call_handler(router, AssertUnwindSafe(state)).await {
        Ok(response) => explain_router_refusal(response),
        Err(error) => failure_response(&Failure::new(ErrorKind::Internal, error.to_string())),
    };
    response.headers_mut().insert(REQUEST_ID_HEADER, id_value);
    Ok(response)
}

/// Gives the router's own empty refusals a body from the error table.
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
