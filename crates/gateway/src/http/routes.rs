//! The routes of the HTTP interface for callers.

use std::sync::Arc;

use gotham::router::{
    Router,
    builder::{DefineSingleRoute, DrawRoutes, build_simple_router},
};
use http::Method;
use linnethitch_http_server::Route;

use crate::state::Gateway;

/// The operation of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Endpoint {
    /// `POST /v1/chat/completions`
    ChatCompletions,
    /// `POST /v1/completions`
    Completions,
    /// `GET /v1/models`
    ListModels,
    /// `GET /v1/models/{id}`
    GetModel,
    /// `POST /v1/files`
    CreateFile,
    /// `GET /v1/files`
    ListFiles,
    /// `GET /v1/files/{id}`
    GetFile,
    /// `DELETE /v1/files/{id}`
    DeleteFile,
    /// `GET /v1/files/{id}/content`
    FileContent,
    /// `POST /v1/batches`
    CreateBatch,
    /// `GET /v1/batches`
    ListBatches,
    /// `GET /v1/batches/{id}`
    GetBatch,
    /// `POST /v1/batches/{id}/cancel`
    CancelBatch,
    /// `ANY /services/{name}/…`
    Service,
    /// `GET /v1/explain/{id}`
    Explain,
    /// `GET /metrics`
    Metrics,
    /// `GET /healthz`
    Health,
    /// `GET /readyz`
    Ready,
}

impl Endpoint {
    /// The name of the route in metrics.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Endpoint::ChatCompletions => "chat_completions",
            Endpoint::Completions => "completions",
            Endpoint::ListModels => "list_models",
            Endpoint::GetModel => "get_model",
            Endpoint::CreateFile => "create_file",
            Endpoint::ListFiles => "list_files",
            Endpoint::GetFile => "get_file",
            Endpoint::DeleteFile => "delete_file",
            Endpoint::FileContent => "file_content",
            Endpoint::CreateBatch => "create_batch",
            Endpoint::ListBatches => "list_batches",
            Endpoint::GetBatch => "get_batch",
            Endpoint::CancelBatch => "cancel_batch",
            Endpoint::Service => "service",
            Endpoint::Explain => "explain",
            Endpoint::Metrics => "metrics",
            Endpoint::Health => "health",
            Endpoint::Ready => "ready",
        }
    }
}

/// The methods that are forwarded to application services.
fn service_methods() -> Vec<Method> {
    vec![
        Method::GET,
        Method::HEAD,
        Method::POST,
        Method::PUT,
        Method::PATCH,
        Method::DELETE,
        Method::OPTIONS,
    ]
}

/// Builds the router of a gateway.
pub(crate) fn build_router(gateway: &Arc<Gateway>) -> Router {
    let to = |endpoint| Route::new(gateway, endpoint);
    build_simple_router(|route| {
        let get = || vec![Method::GET, Method::HEAD];
        route
            .post("/v1/chat/completions")
            .to_new_handler(to(Endpoint::ChatCompletions));
        route
            .post("/v1/completions")
            .to_new_handler(to(Endpoint::Completions));
        route
            .request(get(), "/v1/models")
            .to_new_handler(to(Endpoint::ListModels));
        route
            .request(get(), "/v1/models/:model")
            .to_new_handler(to(Endpoint::GetModel));
        route
            .post("/v1/files")
            .to_new_handler(to(Endpoint::CreateFile));
        route
            .request(get(), "/v1/files")
            .to_new_handler(to(Endpoint::ListFiles));
        route
            .request(get(), "/v1/files/:file")
            .to_new_handler(to(Endpoint::GetFile));
        route
            .delete("/v1/files/:file")
            .to_new_handler(to(Endpoint::DeleteFile));
        route
            .request(get(), "/v1/files/:file/content")
            .to_new_handler(to(Endpoint::FileContent));
        route
            .post("/v1/batches")
            .to_new_handler(to(Endpoint::CreateBatch));
        route
            .request(get(), "/v1/batches")
            .to_new_handler(to(Endpoint::ListBatches));
        route
            .request(get(), "/v1/batches/:batch")
            .to_new_handler(to(Endpoint::GetBatch));
        route
            .post("/v1/batches/:batch/cancel")
            .to_new_handler(to(Endpoint::CancelBatch));
        route
            .request(get(), "/v1/explain/*")
            .to_new_handler(to(Endpoint::Explain));
        route
            .request(get(), "/metrics")
            .to_new_handler(to(Endpoint::Metrics));
        for path in ["/services/:service", "/services/:service/*"] {
            route
                .request(service_methods(), path)
                .to_new_handler(to(Endpoint::Service));
        }
        route
            .request(get(), "/healthz")
            .to_new_handler(to(Endpoint::Health));
        route
            .request(get(), "/readyz")
            .to_new_handler(to(Endpoint::Ready));
    })
}
