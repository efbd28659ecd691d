//! Header names and formats used by callers and replicas.

use http::{HeaderMap, HeaderName, HeaderValue};
use linnethitch_routing::dispatch::{PromptPart, ReportedLoad};

/// Names of the headers that the relay uses.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Request id chosen by the caller.
    pub request_id: HeaderName,
    /// Remaining time of the caller or this gateway, in milliseconds.
    pub deadline_ms: HeaderName,
    /// The only replica that may run the request.
    pub expect_replica: HeaderName,
    /// A replica's signature of a response.
    pub signature: HeaderName,
    /// Set if a replica did not run the request.
    pub not_run: HeaderName,
    /// The tenant of a request, sent to replicas.
    pub tenant: HeaderName,
    /// Load reported by a replica.
    pub load: HeaderName,
    /// The last event of a stream that the requester already has.
    pub last_event: HeaderName,
    /// The id of the attempt that brought the first event of the stream that a request takes up.
    pub resumes: HeaderName,
}

/// Description of a request's prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Parts of the prompt, in order.
    pub parts: Vec<PromptPart>,
    /// Maximum number of output tokens.
    pub max_output_tokens: u32,
}

impl Prompt {
    /// The ids of the parts that other requests may have too: all but the last.
    #[must_use]
    pub fn shared_parts(&self) -> Vec<u64> {
        let shared = self.parts.len().saturating_sub(1);
        self.parts[..shared].iter().map(|part| part.id).collect()
    }
}

/// Header names and formats used by callers and replicas.
pub trait Dialect: Send + Sync + 'static {
    /// Names of headers.
    fn names(&self) -> &HeaderNames;

    /// The prompt described by a request's headers; empty if the headers do not describe it.
    fn prompt(&self, headers: &HeaderMap) -> Prompt;

    /// The load reported in a response header.
    fn load(&self, value: &HeaderValue) -> Option<ReportedLoad>;
}
