//! Application services: `ANY /services/{name}/…`.

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
    http::{IncomingRequest, RequestHead, body::read_whole},
    online::request::caller_deadline,
    services::{
        attempt::{ServiceCall, ServiceRequest},
        headers::forwarded,
    },
    state::Gateway,
};

/// Position of the name in `/services/{name}/…`.
const NAME_SEGMENT: usize = 1;

/// Passes a request on to a replica of the service that its path names.
pub(crate) async fn answer(
    gateway: &Arc<Gateway>,
    incoming: IncomingRequest,
) -> Result<Response<Body>, Failure> {
    let arrived = gateway.clock().now();
    let rules = run_rules(&incoming.head.headers)?;
    let (active, tenant) = gateway.authenticate(&incoming.head)?;
    let service = service_of(&incoming.head, &active.fleet)?;
    let IncomingRequest { head, body } = incoming;
    let deadline = deadline(&head, service, arrived)?;
    let bytes = read_whole(&head.headers, body, active.body_limits()).await?;
    let digest = content_digest(&head, rules.at_most_once, &bytes);
    let request = ServiceRequest {
        path: path_for_replica(&head),
        headers: forwarded(&head.headers, &head.id),
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
        Claimed::Answered(kept) => Ok(replay(kept)),
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

/// The caller's deadline, at most the service's own limit.
fn deadline(
    head: &RequestHead,
    service: &ApplicationService,
    arrived: Timestamp,
) -> Result<Timestamp, Failure> {
    let own = Duration::from_millis(service.timeout_ms);
    let limit = caller_deadline(&head.headers)?.map_or(own, |wanted| wanted.min(own));
    let limit_ms = u64::try_from(limit.as_millis()).unwrap_or(u64::MAX);
    Ok(Timestamp(arrived.0.saturating_add(limit_ms)))
}

/// The path and query after `/services/{name}`.
fn path_for_replica(head: &RequestHead) -> String {
    let text = head
        .uri
        .path_and_query()
        .map_or("/", |whole| whole.as_str());
    // The text begins with a slash, so the rest begins after the third one.
    let rest = text
        .match_indices(['/', '?'])
        .nth(NAME_SEGMENT + 1)
        .map_or("/", |(position, _)| &text[position..]);
    if rest.starts_with('/') {
        rest.to_owned()
    } else {
        format!("/{rest}")
    }
}

/// Methods that change nothing, so that a request may be sent again after it was started.
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

/// Tells a resend from another request under the same key.
fn content_digest(head: &RequestHead, at_most_once: bool, body: &Bytes) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(head.method.as_str().as_bytes());
    hasher.update(head.uri.to_string().as_bytes());
    hasher.update(&[u8::from(at_most_once)]);
    hasher.update(body);
    hasher.digest()
}
