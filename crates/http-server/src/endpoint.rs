//! Handlers for gotham's router, each of which answers one endpoint of an interface.

use std::{future::Future, panic::AssertUnwindSafe, pin::Pin, sync::Arc};

use futures_util::FutureExt;
use gotham::{
    handler::{Handler, HandlerFuture, NewHandler},
    helpers::http::Body,
    state::State,
};
use http::Response;

use crate::request::TakenFromState;

/// An interface that answers requests to the endpoints that the router matches.
pub trait Endpoints: Send + Sync + 'static {
    /// Identifies the operation of a path and method.
    type Endpoint: Copy + Send + Sync + std::panic::UnwindSafe + 'static;
    /// The parts of a request that the interface needs.
    type Request: TakenFromState + Send;

    /// Answers one request; failures are also returned as responses.
    fn answer(
        self: Arc<Self>,
        endpoint: Self::Endpoint,
        request: Self::Request,
    ) -> impl Future<Output = Response<Body>> + Send;
}

/// The handler of one endpoint.
pub struct Route<Interface: Endpoints> {
    interface: AssertUnwindSafe<Arc<Interface>>,
    endpoint: Interface::Endpoint,
}

impl<Interface: Endpoints> Route<Interface> {
    /// Creates the handler of an endpoint of an interface.
    #[must_use]
    pub fn new(interface: &Arc<Interface>, endpoint: Interface::Endpoint) -> Self {
        Route {
            interface: AssertUnwindSafe(Arc::clone(interface)),
            endpoint,
        }
    }
}

impl<Interface: Endpoints> Clone for Route<Interface> {
    fn clone(&self) -> Self {
        Route::new(&self.interface, self.endpoint)
    }
}

impl<Interface: Endpoints> NewHandler for Route<Interface>
where
    Interface::Endpoint: std::panic::RefUnwindSafe,
{
    type Instance = Self;

    fn new_handler(&self) -> gotham::anyhow::Result<Self> {
        Ok(self.clone())
    }
}

impl<Interface: Endpoints> Handler for Route<Interface> {
    fn handle(self, mut state: State) -> Pin<Box<HandlerFuture>> {
        async move {
            let request = Interface::Request::take_from(&mut state);
            let interface = Arc::clone(&self.interface);
            let response = interface.answer(self.endpoint, request).await;
            Ok((state, response))
        }
        .boxed()
    }
}
