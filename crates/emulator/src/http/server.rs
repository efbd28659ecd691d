//! A gotham server that can stop abruptly, like a killed process.

use std::{
    future::{self, Future},
    io,
    net::SocketAddr,
    panic::AssertUnwindSafe,
    pin::Pin,
    sync::Arc,
};

use gotham::{
    handler::{Handler, HandlerFuture, NewHandler},
    state::State,
};
use parking_lot::Mutex;
use tokio::{net::TcpListener, task::JoinHandle};
use tokio_util::sync::CancellationToken;

use super::{
    connection::BreakableConnection,
    exchange::{IncomingRequest, Service},
};

/// A listening server. It can be stopped and restarted on the same port, and stops when
/// dropped.
pub(crate) struct Server<S> {
    service: Arc<S>,
    address: SocketAddr,
    running: Mutex<Option<RunningServer>>,
}

/// The accept task and the connections from a bind until the next stop.
struct RunningServer {
    connections: CancellationToken,
    accept_task: JoinHandle<()>,
}

impl<S: Service> Server<S> {
    /// Binds and listens; with port 0 the system chooses the port.
    ///
    /// # Errors
    /// The address can not be bound.
    pub(crate) async fn start(listen: SocketAddr, service: Arc<S>) -> io::Result<Server<S>> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let running = RunningServer::begin(listener, Arc::clone(&service));
        Ok(Server {
            service,
            address,
            running: Mutex::new(Some(running)),
        })
    }

    /// The address that the server listens on, with the actual port.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn service(&self) -> &Arc<S> {
        &self.service
    }

    /// Closes the port and breaks every connection.
    pub(crate) fn stop(&self) {
        drop(self.running.lock().take());
    }

    /// Listens again on the same port; does nothing if the server still listens.
    ///
    /// # Errors
    /// The address can no longer be bound.
    pub(crate) async fn restart(&self) -> io::Result<()> {
        if self.running.lock().is_some() {
            return Ok(());
        }
        let listener = TcpListener::bind(self.address).await?;
        *self.running.lock() = Some(RunningServer::begin(listener, Arc::clone(&self.service)));
        Ok(())
    }
}

impl RunningServer {
    fn begin<S: Service>(listener: TcpListener, service: Arc<S>) -> RunningServer {
        let connections = CancellationToken::new();
        let token = connections.clone();
        let handlers = HandlerFactory(AssertUnwindSafe(service));
        let accept_task = tokio::spawn(async move {
            gotham::bind_server(listener, handlers, move |socket| {
                // Without TCP_NODELAY, small chunks of a stream would wait for acknowledgements.
                let result = socket.set_nodelay(true).map_err(drop);
                let connection = BreakableConnection::new(socket, token.clone());
                future::ready(result.map(|()| connection))
            })
            .await;
        });
        RunningServer {
            connections,
            accept_task,
        }
    }
}

impl Drop for RunningServer {
    fn drop(&mut self) {
        self.connections.cancel();
        self.accept_task.abort();
    }
}

/// Creates a handler for each request.
struct HandlerFactory<S>(AssertUnwindSafe<Arc<S>>);

impl<S: Service> NewHandler for HandlerFactory<S> {
    type Instance = RequestHandler<S>;

    fn new_handler(&self) -> gotham::anyhow::Result<RequestHandler<S>> {
        Ok(RequestHandler(Arc::clone(&self.0)))
    }
}

/// Handles a single request.
struct RequestHandler<S>(Arc<S>);

impl<S: Service> Handler for RequestHandler<S> {
    fn handle(self, mut state: State) -> Pin<Box<HandlerFuture>> {
        let request = IncomingRequest::take_from(&mut state);
        let response: Pin<Box<dyn Future<Output = _> + Send>> = Box::pin(self.0.respond(request));
        Box::pin(async move { Ok((state, response.await)) })
    }
}
