//! The names and forms in which callers and replicas speak.

use http::{HeaderMap, HeaderName, HeaderValue};
use linnethitch_routing::dispatch::{PromptPart, ReportedLoad};

/// Names of the headers that matter to the relay.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// The caller's id of a request.
    pub request_id: HeaderName,
    /// Milliseconds for which the caller, or this gateway, will wait.
    pub deadline_ms: HeaderName,
    /// The only replica that may run the request.
    pub expect_replica: HeaderName,
    /// A replica's signature of an answer.
    pub signature: HeaderName,
    /// Set where a replica did not run the request.
    pub not_run: HeaderName,
    /// Whose a request is, as replicas are told.
    pub tenant: HeaderName,
    /// The load of a replica.
    pub load: HeaderName,
    /// The last event of a stream that the asker has.
    pub last_event: HeaderName,
}

/// What a request says of its prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Its parts, in order.
    pub parts: Vec<PromptPart>,
    /// Most tokens of the answer.
    pub max_output_tokens: u32,
}

/// How callers and replicas speak.
pub trait Dialect: Send + Sync + 'static {
    /// Names of headers.
    fn names(&self) -> &HeaderNames;

    /// What a request's headers say of its prompt; empty where they say nothing.
    fn prompt(&self, headers: &HeaderMap) -> Prompt;

    /// The load that an answer carries.
    fn load(&self, value: &HeaderValue) -> Option<ReportedLoad>;
}
