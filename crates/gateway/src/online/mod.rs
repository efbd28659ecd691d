//! Online requests: completions, with streamed or complete answers.

pub(crate) mod checks;
mod claimed;
pub(crate) mod completion_response;
pub(crate) mod generation;
mod prefix;
pub(crate) mod request;
mod stream_answer;

use std::sync::Arc;

use gotham::helpers::http::Body;
use http::Response;
use linnethitch_errors::Failure;
use xxhash_rust::xxh3::Xxh3;

use crate::{
    claims::{Claimed, claim, replay, run_rules},
    http::{IncomingRequest, body::read_complete, routes::Endpoint},
    online::{generation::Generation, request::CompletionRequest},
    state::Gateway,
};

/// Answers `POST /v1/chat/completions` and `POST /v1/completions`.
pub(crate) async fn answer(
    gateway: &Arc<Gateway>,
    endpoint: Endpoint,
    incoming: IncomingRequest,
) -> Result<Response<Body>, Failure> {
    let arrived = gateway.clock().now();
    let rules = run_rules(&incoming.head.headers)?;
    let (active, tenant) = gateway.authenticate(&incoming.head)?;
    let IncomingRequest {
        head,
        body,
        connection,
    } = incoming;
    let bytes = read_complete(&connection, &head.headers, body, active.document_limits()).await?;
    let mut request = CompletionRequest::parse(
        endpoint,
        head.id,
        &head.headers,
        &bytes,
        &active.fleet,
        arrived,
    )?;
    let estimate = request.prompt_tokens.saturating_add(request.output_tokens);
    let permit = gateway.pass_limits(&request.id, &tenant, estimate)?;
    request.at_most_once = rules.at_most_once;
    let digest = content_digest(&request, &bytes);
    match claim(gateway, &request.id, &tenant.name, &rules, digest).await? {
        Claimed::NotNeeded => {}
        Claimed::Granted(claim) => return claimed::respond(gateway, claim, request, permit).await,
        Claimed::Answered(stored) => return Ok(replay(stored)),
    }
    let stream = request.stream;
    let generation = Generation::start(Arc::clone(gateway), request, permit).await?;
    if stream {
        Ok(stream_answer::respond(generation))
    } else {
        completion_response::respond(generation).await
    }
}

/// Digest of a request's content, to distinguish a resend from another request under the same key.
fn content_digest(request: &CompletionRequest, body: &[u8]) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(request.kind.path().as_bytes());
    hasher.update(&[u8::from(request.at_most_once)]);
    hasher.update(body);
    hasher.digest()
}
