//! Online requests: completions, streamed and whole.

pub(crate) mod generation;
mod prefix;
pub(crate) mod request;
mod stream_answer;
pub(crate) mod whole_answer;

use std::sync::Arc;

use gotham::helpers::http::Body;
use http::Response;
use linnethitch_errors::Failure;

use crate::{
    http::{body::read_whole, incoming::Incoming, routes::Endpoint},
    online::{generation::Generation, request::CompletionRequest},
    state::Gateway,
};

/// Answers `POST /v1/chat/completions` and `POST /v1/completions`.
pub(crate) async fn answer(
    gateway: &Arc<Gateway>,
    endpoint: Endpoint,
    incoming: Incoming,
) -> Result<Response<Body>, Failure> {
    let arrived = gateway.clock().now();
    let (active, tenant) = gateway.authenticate(&incoming.head)?;
    let Incoming { head, body } = incoming;
    let bytes = read_whole(&head.headers, body, active.body_limits()).await?;
    let request = CompletionRequest::parse(
        endpoint,
        head.id,
        &head.headers,
        &bytes,
        &active.fleet,
        arrived,
    )?;
    let estimate = request.prompt_tokens.saturating_add(request.output_tokens);
    let pass = gateway
        .decisions
        .pass_limits(&tenant, estimate)
        .map_err(|refused| refused.failure)?;
    let stream = request.stream;
    let generation = Generation::start(Arc::clone(gateway), request, pass).await?;
    if stream {
        Ok(stream_answer::respond(generation))
    } else {
        whole_answer::respond(generation).await
    }
}
