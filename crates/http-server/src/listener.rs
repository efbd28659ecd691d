//! Accepts connections and serves each until it ends or the process stops.

use std::{convert::Infallible, net::SocketAddr, panic::AssertUnwindSafe, time::Duration};

use gotham::{helpers::http::Body, router::Router, service::call_handler, state::State};
use http::{HeaderValue, Request, Response, StatusCode};
use http_body::Body as _;
use hyper::{body::Incoming, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use linnethitch_errors::{ErrorKind, Failure};
use slog::{Logger, debug, warn};
use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinSet,
};
use tokio_io_timeout::TimeoutStream;
use tokio_util::sync::CancellationToken;

use crate::answer::{REQUEST_ID_HEADER, failure_response};

/// Smallest read buffer that hyper takes, in bytes.
const MIN_READ_BUFFER_BYTES: usize = 8 * 1024;
/// Random bytes of a request id.
const REQUEST_ID_BYTES: usize = 12;
/// Wait after a failed accept, so that exhausted descriptors do not spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The accept loop and its connections.
pub struct Listener {
    socket: TcpListener,
    router: Router,
    logger: Logger,
    /// Open connections; dropping them cuts them off.
    connections: JoinSet<()>,
    limits: ConnectionLimits,
    stopping: CancellationToken,
}

/// Bounds of the connections of an interface.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Connections at once; more wait in the listen queue.
    pub connections: usize,
    /// Bytes of a request's head; raised to what hyper needs.
    pub header_bytes: usize,
    /// Longest time to send it.
    pub header_time: Duration,
    /// Longest time that the peer may take nothing of an answer.
    pub write_stall: Duration,
}

impl Listener {
    /// Wraps a bound socket.
    #[must_use]
    pub fn new(
        socket: TcpListener,
        router: Router,
        limits: ConnectionLimits,
        stopping: CancellationToken,
        logger: Logger,
    ) -> Self {
        Listener {
            socket,
            router,
            logger,
            connections: JoinSet::new(),
            limits,
            stopping,
        }
    }

    /// Accepts until told to stop, then waits until every open connection is served.
    pub async fn run(mut self) {
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
    let mut stream = TimeoutStream::new(stream);
    stream.set_write_timeout(Some(limits.write_stall));
    let service = service_fn(move |request| answer(router.clone(), request, peer));
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_time)
        .max_buf_size(limits.header_bytes.max(MIN_READ_BUFFER_BYTES))
        .serve_connection(TokioIo::new(Box::pin(stream)), service);
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
) -> Result<Response<Body>, Infallible> {
    // The peer's own value is not trusted: ids name requests at engines and in journals.
    let id_value = new_request_id();
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
