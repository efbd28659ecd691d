//! A gotham server that can be stopped as hard as a dying process.

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

/// A listening server; stops when dropped.
pub(crate) struct Server<S> {
    service: Arc<S>,
    address: SocketAddr,
    life: Mutex<Option<Life>>,
}

/// From a bind to the next stop.
struct Life {
    connections: CancellationToken,
    accepting: JoinHandle<()>,
}

impl<S: Service> Server<S> {
    /// Listens; port 0 lets the system choose one.
    ///
    /// # Errors
    /// The address can not be bound.
    pub(crate) async fn start(listen: SocketAddr, service: Arc<S>) -> io::Result<Server<S>> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let life = Life::begin(listener, Arc::clone(&service));
        Ok(Server {
            service,
            address,
            life: Mutex::new(Some(life)),
        })
    }

    /// Where it listens, with the real port.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// What it serves.
    pub(crate) fn service(&self) -> &Arc<S> {
        &self.service
    }

    /// Closes the port and breaks every connection.
    pub(crate) fn stop(&self) {
        drop(self.life.lock().take());
    }

    /// Listens again on the same port; nothing happens if it still does.
    ///
    /// # Errors
    /// The address can not be bound any more.
    pub(crate) async fn restart(&self) -> io::Result<()> {
        if self.life.lock().is_some() {
            return Ok(());
        }
        let listener = TcpListener::bind(self.address).await?;
        *self.life.lock() = Some(Life::begin(listener, Arc::clone(&self.service)));
        Ok(())
    }
}

impl Life {
    fn begin<S: Service>(listener: TcpListener, service: Arc<S>) -> Life {
        let connections = CancellationToken::new();
        let token = connections.clone();
        let handlers = Handlers(AssertUnwindSafe(service));
        let accepting = tokio::spawn(async move {
            gotham::bind_server(listener, handlers, move |socket| {
                // Without it, small chunks of a stream would wait for acknowledgements.
                let result = socket.set_nodelay(true).map_err(drop);
                let connection = BreakableConnection::new(socket, token.clone());
                future::ready(result.map(|()| connection))
            })
            .await;
        });
        Life {
            connections,
            accepting,
        }
    }
}

impl Drop for Life {
    fn drop(&mut self) {
        self.connections.cancel();
        self.accepting.abort();
    }
}

/// Makes a handler for each request.
struct Handlers<S>(AssertUnwindSafe<Arc<S>>);

impl<S: Service> NewHandler for Handlers<S> {
    type Instance = OneRequest<S>;

    fn new_handler(&self) -> gotham::anyhow::Result<OneRequest<S>> {
        Ok(OneRequest(Arc::clone(&self.0)))
    }
}

/// Handles one request.
struct OneRequest<S>(Arc<S>);

impl<S: Service> Handler for OneRequest<S> {
    fn handle(self, mut state: State) -> Pin<Box<HandlerFuture>> {
        let request = IncomingRequest::take_from(&mut state);
        let response: Pin<Box<dyn Future<Output = _> + Send>> = Box::pin(self.0.respond(request));
        Box::pin(async move { Ok((state, response.await)) })
    }
}
