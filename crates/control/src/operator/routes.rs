//! Routes of the operators' interface.

use std::sync::Arc;

use gotham::{
    helpers::http::Body,
    router::{
        Router,
        builder::{DefineSingleRoute, DrawRoutes, build_simple_router},
        response::StaticResponseExtender,
    },
    state::{State, StateData},
};
use http::{Method, Response};
use linnethitch_http_server::Route;
use serde::Deserialize;

use super::{Endpoint, Operator};

/// Decoded names in a request path.
#[derive(Debug, Default, Deserialize)]
pub(super) struct PathNames {
    /// The tenant.
    pub(super) tenant: Option<String>,
    /// The job.
    pub(super) job: Option<String>,
    /// Path segments of the id to explain.
    pub(super) id: Option<Vec<String>>,
}

impl StateData for PathNames {}

impl StaticResponseExtender for PathNames {
    type ResBody = Body;

    fn extend(_: &mut State, _: &mut Response<Body>) {}
}

/// Builds the router of a control member.
pub(crate) fn build_router(operator: &Arc<Operator>) -> Router {
    let to = |endpoint| Route::new(operator, endpoint);
    build_simple_router(|route| {
        let get = || vec![Method::GET, Method::HEAD];
        route
            .request(get(), "/v1/configuration")
            .to_new_handler(to(Endpoint::Configuration));
        route
            .put("/v1/configuration")
            .to_new_handler(to(Endpoint::Apply));
        route
            .request(get(), "/v1/status")
            .to_new_handler(to(Endpoint::Status));
        route
            .request(get(), "/v1/jobs/:tenant")
            .with_path_extractor::<PathNames>()
            .to_new_handler(to(Endpoint::Jobs));
        route
            .request(get(), "/v1/jobs/:tenant/:job")
            .with_path_extractor::<PathNames>()
            .to_new_handler(to(Endpoint::Job));
        route
            .request(get(), "/v1/orders")
            .to_new_handler(to(Endpoint::Orders));
        route
            .request(get(), "/v1/explain/*id")
            .with_path_extractor::<PathNames>()
            .to_new_handler(to(Endpoint::Explain));
        route
            .request(get(), "/healthz")
            .to_new_handler(to(Endpoint::Health));
        route
            .request(get(), "/readyz")
            .to_new_handler(to(Endpoint::Ready));
        route
            .request(get(), "/metrics")
            .to_new_handler(to(Endpoint::Metrics));
    })
}
