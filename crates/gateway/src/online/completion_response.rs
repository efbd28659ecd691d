//! Answers that are not streamed, assembled from the engine's stream.

use gotham::helpers::http::Body;
use http::{Response, StatusCode};
use linnethitch_errors::Failure;
use serde::Serialize;

use crate::{
    engine::{
        chunk::{FinishReason, Usage},
        stream::{Progress, StreamEvent},
    },
    http::answer::json_response,
    online::{
        generation::Generation,
        request::{CompletionKind, CompletionRequest},
    },
};

/// Waits for the complete answer.
pub(crate) async fn respond(mut generation: Generation) -> Result<Response<Body>, Failure> {
    while generation.next().await? != StreamEvent::Done {}
    let body = CompletionResponse::new(&generation.request, &generation.progress);
    Ok(json_response(StatusCode::OK, &body))
}

/// A completion object of the OpenAI interface.
#[derive(Debug, Serialize)]
pub(crate) struct CompletionResponse {
    id: String,
    object: &'static str,
    created: u64,
    model: String,
    choices: [CompletionChoice; 1],
    usage: Usage,
}

#[derive(Debug, Serialize)]
struct CompletionChoice {
    index: u32,
    #[serde(flatten)]
    output: Output,
    logprobs: Option<()>,
    finish_reason: Option<FinishReason>,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum Output {
    Message {
        role: &'static str,
        content: String,
        refusal: Option<()>,
    },
    Text(String),
}

impl CompletionResponse {
    /// The answer to a request whose generation is complete.
    pub(crate) fn new(request: &CompletionRequest, progress: &Progress) -> Self {
        let (object, output) = match request.kind {
            CompletionKind::Chat => (
                "chat.completion",
                Output::Message {
                    role: "assistant",
                    content: progress.text.clone(),
                    refusal: None,
                },
            ),
            CompletionKind::Text => ("text_completion", Output::Text(progress.text.clone())),
        };
        CompletionResponse {
            id: request.id.0.clone(),
            object,
            created: unix_seconds(),
            model: request.model.clone(),
            choices: [CompletionChoice {
                index: 0,
                output,
                logprobs: None,
                finish_reason: progress.finish_reason,
            }],
            usage: progress
                .usage
                .unwrap_or_else(|| estimated_usage(request, progress.tokens)),
        }
    }
}

fn estimated_usage(request: &CompletionRequest, tokens: u32) -> Usage {
    let prompt_tokens = u64::from(request.prompt_tokens);
    let completion_tokens = u64::from(tokens);
    Usage {
        prompt_tokens,
        completion_tokens,
        total_tokens: prompt_tokens + completion_tokens,
    }
}

fn unix_seconds() -> u64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_secs())
}
