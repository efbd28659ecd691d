//! Accepts operators' connections and serves each until it ends or the process stops.

use std::{
    convert::Infallible, net::SocketAddr, panic::AssertUnwindSafe, sync::Arc, time::Duration,
};

use gotham::{helpers::http::Body, router::Router, service::call_handler, state::State};
use http::{Request, Response, StatusCode};
use http_body::Body as _;
use hyper::{body::Incoming, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use linnethitch_errors::{ErrorKind, Failure};
use slog::{Logger, debug, warn};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore},
};
use tokio_io_timeout::TimeoutStream;
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use super::answers::failure_response;

/// Longest time to send a request's head.
const HEADER_READ_LIMIT: Duration = Duration::from_secs(10);
/// Longest time that an operator may take nothing of an answer.
const WRITE_LIMIT: Duration = Duration::from_secs(10);
/// Connections served at once; further ones wait.
const MAX_CONNECTIONS: usize = 256;
/// Most bytes buffered for reading on one connection.
const MAX_READ_BUFFER_BYTES: usize = 64 * 1024;
/// Wait after a failed accept, so that exhausted descriptors do not spin.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// The accept loop and its connections.
pub(crate) struct OperatorServer {
    pub(crate) socket: TcpListener,
    pub(crate) router: Router,
    pub(crate) stopping: CancellationToken,
    pub(crate) logger: Logger,
}

impl OperatorServer {
    /// Accepts until told to stop, then waits until requests in progress are answered.
    pub(crate) async fn run(self) {
        let connections = TaskTracker::new();
        let room = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        while let Some((stream, peer, permit)) = self.accept(&room).await {
            let connection = serve(
                stream,
                peer,
                self.router.clone(),
                self.stopping.clone(),
                self.logger.clone(),
            );
            connections.spawn(async move {
                connection.await;
                drop(permit);
            });
        }
        connections.close();
        connections.wait().await;
    }

    /// The next connection; `None` once the process stops.
    async fn accept(
        &self,
        room: &Arc<Semaphore>,
    ) -> Option<(TcpStream, SocketAddr, OwnedSemaphorePermit)> {
        let accepting = async {
            let permit = Arc::clone(room).acquire_owned().await.ok()?;
            loop {
                match self.socket.accept().await {
                    Ok((stream, peer)) => return Some((stream, peer, permit)),
                    Err(error) => {
                        warn!(self.logger, "accept failed"; "error" => %error);
                        tokio::time::sleep(ACCEPT_RETRY).await;
                    }
                }
            }
        };
        tokio::select! {
            () = self.stopping.cancelled() => None,
            accepted = accepting => accepted,
        }
    }
}

async fn serve(
    stream: TcpStream,
    peer: SocketAddr,
    router: Router,
    stopping: CancellationToken,
    logger: Logger,
) {
    let mut stream = TimeoutStream::new(stream);
    stream.set_write_timeout(Some(WRITE_LIMIT));
    let service = service_fn(move |request| answer(router.clone(), request, peer));
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_READ_LIMIT)
        .max_buf_size(MAX_READ_BUFFER_BYTES)
        .serve_connection(TokioIo::new(Box::pin(stream)), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = stopping.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        debug!(logger, "connection ended"; "peer" => %peer, "error" => %error);
    }
}

/// Answers one request through gotham's router.
async fn answer(
    router: Router,
    request: Request<Incoming>,
    peer: SocketAddr,
) -> Result<Response<Body>, Infallible> {
    let state = State::from_request(request, peer);
    let response = match call_handler(router, AssertUnwindSafe(state)).await {
        Ok(response) => explain_router_refusal(response),
        Err(error) => failure_response(&Failure::new(ErrorKind::Internal, error.to_string())),
    };
    Ok(response)
}

/// Gives the router's own empty refusals a body from the error table.
fn explain_router_refusal(response: Response<Body>) -> Response<Body> {
    if response.body().size_hint().exact() != Some(0) {
        return response;
    }
    let (kind, message) = match response.status() {
        StatusCode::NOT_FOUND => (ErrorKind::NotFound, "no such path"),
        StatusCode::METHOD_NOT_ALLOWED => (
            ErrorKind::MethodNotAllowed,
            "the path does not take this method",
        ),
        StatusCode::INTERNAL_SERVER_ERROR => {
            (ErrorKind::Internal, "the request could not be handled")
        }
        _ => return response,
    };
    failure_response(&Failure::new(kind, message))
}
