//! Parsing and checking of completion requests.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use linnethitch_config::fleet::Fleet;
use linnethitch_errors::{ErrorKind, Failure};
use linnethitch_protocol::ids::{RequestId, Timestamp};
use linnethitch_routing::Class;
use serde_json::{Map, Value, json};

use crate::{
    decisions::{RequestTarget, RoutingRequest},
    engine::{
        client::{EngineRequest, Priority},
        stream::Progress,
    },
    http::routes::Endpoint,
    online::{
        checks::{
            check_context, check_single_choice, flag, invalid, model_of, output_limit,
            prompt_bytes, wants_usage,
        },
        prefix::prefix_hashes,
    },
};

/// Bytes of text that are estimated as one token.
const ESTIMATED_BYTES_PER_TOKEN: usize = 4;
/// Expected output tokens of a request without a limit.
const DEFAULT_EXPECTED_OUTPUT_TOKENS: u32 = 256;
/// Header with the caller's own deadline in milliseconds.
const DEADLINE_HEADER: &str = "linnethitch-deadline-ms";

/// The completion endpoint of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CompletionKind {
    /// `/v1/chat/completions`
    Chat,
    /// `/v1/completions`
    Text,
}

impl CompletionKind {
    /// The path, the same for callers and engines.
    pub(crate) const fn path(self) -> &'static str {
        match self {
            CompletionKind::Chat => "/v1/chat/completions",
            CompletionKind::Text => "/v1/completions",
        }
    }

    /// The kind with this path.
    pub(crate) fn of_path(path: &str) -> Option<Self> {
        [CompletionKind::Chat, CompletionKind::Text]
            .into_iter()
            .find(|kind| kind.path() == path)
    }
}

/// A checked completion request.
#[derive(Clone, Debug)]
pub(crate) struct CompletionRequest {
    pub(crate) id: RequestId,
    pub(crate) kind: CompletionKind,
    pub(crate) priority: Priority,
    /// The model name as the caller sent it, including the adapter.
    pub(crate) model: String,
    /// Whether the caller requested a streamed answer.
    pub(crate) stream: bool,
    /// Whether the caller requested usage at the end of the stream.
    pub(crate) include_usage: bool,
    /// Time by which the last token must be received.
    pub(crate) deadline: Timestamp,
    /// Estimated tokens of the prompt.
    pub(crate) prompt_tokens: u32,
    /// Tokens of the answer: the caller's limit, or the expected number.
    pub(crate) output_tokens: u32,
    /// Whether the request must never run twice.
    pub(crate) at_most_once: bool,
    prefix_hashes: Vec<u64>,
    body: Map<String, Value>,
}

impl CompletionRequest {
    /// Parses and checks a request against the configuration in force.
    pub(crate) fn parse(
        endpoint: Endpoint,
        id: RequestId,
        headers: &HeaderMap,
        bytes: &Bytes,
        fleet: &Fleet,
        now: Timestamp,
    ) -> Result<Self, Failure> {
        let kind = match endpoint {
            Endpoint::Completions => CompletionKind::Text,
            _ => CompletionKind::Chat,
        };
        let body: Map<String, Value> = serde_json::from_slice(bytes).map_err(|error| {
            Failure::new(
                ErrorKind::MalformedRequest,
                format!("the body is not a JSON object: {error}"),
            )
        })?;
        let mut request = Self::from_body(kind, id, body, fleet)?;
        request.deadline = Timestamp(now.0.saturating_add(deadline_ms(headers, fleet)?));
        Ok(request)
    }

    /// Checks a body that is already parsed.
    pub(crate) fn from_body(
        kind: CompletionKind,
        id: RequestId,
        body: Map<String, Value>,
        fleet: &Fleet,
    ) -> Result<Self, Failure> {
        let model = model_of(&body, fleet)?;
        let prompt_bytes = prompt_bytes(kind, &body)?;
        let prompt_tokens = clamp_u32(prompt_bytes.div_ceil(ESTIMATED_BYTES_PER_TOKEN).max(1));
        let limit = output_limit(&body, fleet)?;
        check_context(&model, prompt_tokens, limit, fleet)?;
        check_single_choice(&body)?;
        Ok(CompletionRequest {
            id,
            kind,
            priority: Priority::Online,
            stream: flag(&body, "stream")?,
            include_usage: wants_usage(&body)?,
            deadline: Timestamp::default(),
            prefix_hashes: prefix_hashes(&body),
            prompt_tokens,
            output_tokens: limit.unwrap_or(DEFAULT_EXPECTED_OUTPUT_TOKENS),
            at_most_once: false,
            model,
            body,
        })
    }

    /// The request to an engine, which resumes after the tokens already received.
    pub(crate) fn for_engine(
        &self,
        address: &str,
        deadline: Duration,
        progress: &Progress,
    ) -> Result<EngineRequest, Failure> {
        Ok(EngineRequest {
            address: address.to_owned(),
            path: self.kind.path(),
            id: self.id.0.clone(),
            priority: self.priority,
            deadline,
            resumed_software: progress.software.clone(),
            body: self.engine_body(progress)?,
        })
    }

    fn engine_body(&self, progress: &Progress) -> Result<Bytes, Failure> {
        let mut body = self.body.clone();
        body.insert("stream".to_owned(), Value::Bool(true));
        body.insert("stream_options".to_owned(), json!({"include_usage": true}));
        body.remove("run");
        if progress.tokens > 0 {
            let resume = json!({"text": progress.text, "tokens": progress.tokens});
            body.insert("resume".to_owned(), resume);
        } else {
            body.remove("resume");
        }
        serde_json::to_vec(&body)
            .map(Bytes::from)
            .map_err(|error| Failure::new(ErrorKind::Internal, error.to_string()))
    }

    /// The properties that the router and the queue use.
    pub(crate) fn routing_request(&self) -> RoutingRequest {
        RoutingRequest {
            target: RequestTarget::Model {
                name: self.pool().to_owned(),
                adapter: self.adapter().map(str::to_owned),
            },
            class: match self.priority {
                Priority::Online => Class::Online,
                Priority::Batch => Class::Batch,
            },
            prompt_tokens: self.prompt_tokens,
            output_tokens: self.output_tokens,
            prefix_hashes: self.prefix_hashes.clone(),
            deadline: self.deadline,
        }
    }

    /// The pool's name without the adapter.
    pub(crate) fn pool(&self) -> &str {
        self.model.split(':').next().unwrap_or(&self.model)
    }

    /// The adapter, if one is named.
    pub(crate) fn adapter(&self) -> Option<&str> {
        self.model.split_once(':').map(|(_, adapter)| adapter)
    }
}

fn clamp_u32(value: usize) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}

fn deadline_ms(headers: &HeaderMap, fleet: &Fleet) -> Result<u64, Failure> {
    let requested = caller_deadline(headers)?;
    Ok(
        requested.map_or(fleet.routing.default_deadline_ms, |requested| {
            u64::try_from(requested.as_millis()).unwrap_or(u64::MAX)
        }),
    )
}

/// The time that the caller sets for its request in the deadline header, if any.
pub(crate) fn caller_deadline(headers: &HeaderMap) -> Result<Option<Duration>, Failure> {
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(None);
    };
    value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse::<u64>().ok())
        .filter(|milliseconds| *milliseconds > 0)
        .map(|milliseconds| Some(Duration::from_millis(milliseconds)))
        .ok_or_else(|| {
            invalid(
                DEADLINE_HEADER,
                "the deadline must be a positive number of milliseconds",
            )
        })
}
