//! Handlers of gotham's router that answer one endpoint of an interface each.

use std::{future::Future, panic::AssertUnwindSafe, pin::Pin, sync::Arc};

use futures_util::FutureExt;
use gotham::{
    handler::{Handler, HandlerFuture, NewHandler},
    helpers::http::Body,
    state::State,
};
use http::Response;

use crate::request::TakenFromState;

/// An interface: it answers requests by the endpoint that the router found.
pub trait Endpoints: Send + Sync + 'static {
    /// What a path and a method stand for.
    type Endpoint: Copy + Send + Sync + std::panic::UnwindSafe + 'static;
    /// What it needs of a request.
    type Request: TakenFromState + Send;

    /// Answers one request; a failure is an answer too.
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
    /// Answers an endpoint by an interface.
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
