//! Forwards requests to application services: `ANY /services/{name}/…`.

mod attempt;
mod headers;
mod relay;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use gotham::helpers::http::Body;
use http::{Method, Response};
use linnethitch_config::fleet::{ApplicationService, Fleet};
use linnethitch_errors::{ErrorKind, Failure};
use linnethitch_protocol::ids::Timestamp;
use linnethitch_routing::Class;
use xxhash_rust::xxh3::Xxh3;

use crate::{
    claims::{Claimed, claim, replay, run_rules},
    decisions::{RequestTarget, RoutingRequest},
    http::{IncomingRequest, RequestHead, body::read_complete},
    online::request::caller_deadline,
    services::{
        attempt::{ServiceCall, ServiceRequest},
        headers::request_headers,
    },
    state::Gateway,
};

/// Index of the path segment with the name in `/services/{name}/…`.
const NAME_SEGMENT: usize = 1;

/// Forwards a request to a replica of the service that its path names.
pub(crate) async fn answer(
    gateway: &Arc<Gateway>,
    incoming: IncomingRequest,
) -> Result<Response<Body>, Failure> {
    let arrived = gateway.clock().now();
    let rules = run_rules(&incoming.head.headers)?;
    let (active, tenant) = gateway.authenticate(&incoming.head)?;
    let service = service_of(&incoming.head, &active.fleet)?;
    let IncomingRequest {
        head,
        body,
        connection,
    } = incoming;
    let deadline = deadline(&head, service, arrived)?;
    let bytes = read_complete(&connection, &head.headers, body, active.forwarded_limits()).await?;
    let digest = content_digest(&head, rules.at_most_once, &bytes);
    let request = ServiceRequest {
        path: replica_path(&head),
        headers: request_headers(&head.headers, &head.id),
        repeatable: is_safe(&head.method),
        at_most_once: rules.at_most_once,
        wanted: wanted(service, deadline),
        method: head.method,
        id: head.id,
        body: bytes,
    };
    let pass = gateway.pass_limits(&request.id, &tenant, 0)?;
    let claimed = claim(gateway, &request.id, &tenant.name, &rules, digest).await?;
    let call = ServiceCall::new(Arc::clone(gateway), request, pass);
    match claimed {
        Claimed::NotNeeded => relay::respond(call).await,
        Claimed::Granted(claim) => relay::respond_claimed(gateway, claim, call).await,
        Claimed::Answered(stored) => Ok(replay(stored)),
    }
}

fn service_of<'a>(head: &RequestHead, fleet: &'a Fleet) -> Result<&'a ApplicationService, Failure> {
    let name = head.segment(NAME_SEGMENT);
    let known = fleet.services.iter().find(|service| service.name == name);
    known.ok_or_else(|| {
        let shown: String = name.chars().take(128).collect();
        Failure::new(
            ErrorKind::UnknownService,
            format!("the service {shown:?} does not exist"),
        )
    })
}

/// The deadline of a request: the caller's, limited by the timeout of the service.
fn deadline(
    head: &RequestHead,
    service: &ApplicationService,
    arrived: Timestamp,
) -> Result<Timestamp, Failure> {
    let service_timeout = Duration::from_millis(service.timeout_ms);
    let limit = caller_deadline(&head.headers)?
        .map_or(service_timeout, |requested| requested.min(service_timeout));
    let limit_ms = u64::try_from(limit.as_millis()).unwrap_or(u64::MAX);
    Ok(Timestamp(arrived.0.saturating_add(limit_ms)))
}

/// The path and query after `/services/{name}`, for the request to the replica.
fn replica_path(head: &RequestHead) -> String {
    let path_and_query = head
        .uri
        .path_and_query()
        .map_or("/", |found| found.as_str());
    // The first slash begins the path, the second the name, and the third slash or a question
    // mark ends the name.
    let remaining = path_and_query
        .match_indices(['/', '?'])
        .nth(NAME_SEGMENT + 1)
        .map_or("/", |(position, _)| &path_and_query[position..]);
    if remaining.starts_with('/') {
        remaining.to_owned()
    } else {
        format!("/{remaining}")
    }
}

/// Whether the method is safe (read-only), so that a started request may be retried.
fn is_safe(method: &Method) -> bool {
    method.is_safe()
}

fn wanted(service: &ApplicationService, deadline: Timestamp) -> RoutingRequest {
    RoutingRequest {
        target: RequestTarget::Service(service.name.clone()),
        class: Class::Online,
        prompt_tokens: 0,
        output_tokens: 1,
        prefix_hashes: Vec::new(),
        deadline,
    }
}

/// Digest of a request, to distinguish a repeated request from another one under the same
/// idempotency key.
fn content_digest(head: &RequestHead, at_most_once: bool, body: &Bytes) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(head.method.as_str().as_bytes());
    hasher.update(head.uri.to_string().as_bytes());
    hasher.update(&[u8::from(at_most_once)]);
    hasher.update(body);
    hasher.digest()
}
