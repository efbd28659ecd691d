//! Completion responses of an engine, streamed and non-streamed.

use std::{
    io,
    time::{SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use futures_util::{Stream, stream};
use http_body::Frame;
use serde::Serialize;

use super::output::{OutputKind, OutputReceiver};
use crate::{answer::PromptKey, engine::FinishReason};

/// The request id in the chunks that [`Fault::Stray`](crate::engine::Fault::Stray) inserts.
const STRAY_REQUEST: &str = "req_of_another_caller";
/// The last event of a stream.
const DONE: &[u8] = b"data: [DONE]\n\n";

/// Which of the two completion APIs of OpenAI an answer follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Form {
    /// `/v1/chat/completions`
    Chat,
    /// `/v1/completions`
    Text,
}

/// Data shared by all chunks of an answer.
#[derive(Clone, Debug)]
pub(super) struct AnswerHead {
    pub(super) request: String,
    pub(super) model: String,
    pub(super) form: Form,
    pub(super) prompt: PromptKey,
    pub(super) prompt_tokens: u32,
    /// Index of the first token that this run generates.
    pub(super) first_index: u32,
    pub(super) include_usage: bool,
    /// Seconds since the Unix epoch.
    pub(super) created: u64,
}

/// The current time for OpenAI's `created`, in seconds since the Unix epoch.
pub(super) fn created_now() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_secs())
}

fn reason_name(reason: FinishReason) -> &'static str {
    match reason {
        FinishReason::Stop => "stop",
        FinishReason::Length => "length",
        FinishReason::Prefilled => "prefilled",
    }
}

/// Token counts of a request.
#[derive(Clone, Copy, Debug, Serialize)]
struct Usage {
    prompt_tokens: u32,
    completion_tokens: u32,
    total_tokens: u32,
    prompt_tokens_details: PromptDetails,
}

#[derive(Clone, Copy, Debug, Serialize)]
struct PromptDetails {
    cached_tokens: u32,
}

impl Usage {
    fn new(prompt_tokens: u32, completion_tokens: u32, cached_tokens: u32) -> Usage {
        Usage {
            prompt_tokens,
            completion_tokens,
            total_tokens: prompt_tokens + completion_tokens,
            prompt_tokens_details: PromptDetails { cached_tokens },
        }
    }
}

#[derive(Serialize)]
struct Message<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Message<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Message<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    logprobs: Option<()>,
    finish_reason: Option<&'static str>,
    token_index: u32,
}

#[derive(Serialize)]
struct AnswerBody<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: Vec<Choice<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

impl AnswerHead {
    fn body<'a>(&'a self, object: &'static str, choices: Vec<Choice<'a>>) -> AnswerBody<'a> {
        AnswerBody {
            id: &self.request,
            object,
            created: self.created,
            model: &self.model,
            choices,
            usage: None,
        }
    }

    fn chunk_object(&self) -> &'static str {
        match self.form {
            Form::Chat => "chat.completion.chunk",
            Form::Text => "text_completion",
        }
    }

    fn chunk_choice<'a>(
        &self,
        index: u32,
        text: &'a str,
        finish: Option<FinishReason>,
    ) -> Choice<'a> {
        let delta = Message {
            role: (index == self.first_index).then_some("assistant"),
            content: Some(text),
        };
        Choice {
            index: 0,
            delta: (self.form == Form::Chat).then_some(delta),
            message: None,
            text: (self.form == Form::Text).then_some(text),
            logprobs: None,
            finish_reason: finish.map(reason_name),
            token_index: index,
        }
    }

    fn token_event(&self, index: u32, text: &str, finish: Option<FinishReason>) -> Bytes {
        let choice = self.chunk_choice(index, text, finish);
        event(&self.body(self.chunk_object(), vec![choice]))
    }

    fn stray_event(&self, index: u32) -> Bytes {
        let text = PromptKey::of(STRAY_REQUEST).token_text(index);
        let choice = self.chunk_choice(index, &text, None);
        let mut body = self.body(self.chunk_object(), vec![choice]);
        body.id = STRAY_REQUEST;
        event(&body)
    }

    fn usage_event(&self, usage: Usage) -> Bytes {
        let mut body = self.body(self.chunk_object(), Vec::new());
        body.usage = Some(usage);
        event(&body)
    }
}

fn event(body: &AnswerBody<'_>) -> Bytes {
    let mut bytes = b"data: ".to_vec();
    // Writing to a vector can not fail, and the body has no maps.
    let _ = serde_json::to_writer(&mut bytes, body);
    bytes.extend_from_slice(b"\n\n");
    bytes.into()
}

/// Returns the error that breaks a connection. Yields once before: the server sends its
/// buffer when the body is pending, and drops the buffer on an error.
pub(super) async fn connection_reset() -> io::Error {
    tokio::task::yield_now().await;
    io::ErrorKind::ConnectionReset.into()
}

/// A streamed answer in progress.
struct Streaming {
    head: AnswerHead,
    output: OutputReceiver,
    next_index: u32,
    finished: bool,
    ended: bool,
}

/// The frames of a streamed answer.
pub(super) fn stream_answer(
    head: AnswerHead,
    output: OutputReceiver,
) -> impl Stream<Item = io::Result<Frame<Bytes>>> + Send {
    let next_index = head.first_index;
    let streaming = Streaming {
        head,
        output,
        next_index,
        finished: false,
        ended: false,
    };
    stream::unfold(streaming, |mut streaming| async move {
        let bytes = streaming.next().await?;
        Some((bytes.map(Frame::data), streaming))
    })
}

impl Streaming {
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        if self.ended {
            return None;
        }
        Some(match self.output.next().await {
            Some(OutputKind::Token { index, finish }) => {
                self.next_index = self.next_index.max(index + 1);
                self.finished |= finish.is_some();
                let text = self.head.prompt.token_text(index);
                Ok(self.head.token_event(index, &text, finish))
            }
            Some(OutputKind::Stray { index }) => Ok(self.head.stray_event(index)),
            Some(OutputKind::End {
                reason,
                cached_tokens,
            }) => {
                self.ended = true;
                Ok(self.end(reason, cached_tokens))
            }
            Some(OutputKind::Broken { cleanly: true }) => return None,
            Some(OutputKind::Broken { cleanly: false }) | None => {
                self.ended = true;
                Err(connection_reset().await)
            }
        })
    }

    /// The events after the last token: the finish reason unless it was sent, usage and
    /// `[DONE]`.
    fn end(&self, reason: FinishReason, cached_tokens: u32) -> Bytes {
        let mut bytes = Vec::new();
        if !self.finished {
            bytes.extend(self.head.token_event(self.next_index, "", Some(reason)));
        }
        if self.head.include_usage {
            let usage = Usage::new(self.head.prompt_tokens, self.next_index, cached_tokens);
            bytes.extend(self.head.usage_event(usage));
        }
        bytes.extend_from_slice(DONE);
        bytes.into()
    }
}

/// Waits for the complete answer and returns its JSON body.
///
/// # Errors
/// The request ended before the answer was complete.
pub(super) async fn complete_answer(
    head: &AnswerHead,
    mut output: OutputReceiver,
) -> Result<Vec<u8>, IncompleteAnswer> {
    let mut text = String::new();
    let mut next_index = head.first_index;
    loop {
        match output.next().await {
            // The tokens of a non-streamed answer are always in order.
            Some(OutputKind::Token { .. }) => {
                text.push_str(&head.prompt.token_text(next_index));
                next_index += 1;
            }
            Some(OutputKind::Stray { .. }) => {}
            Some(OutputKind::End {
                reason,
                cached_tokens,
            }) => {
                let usage = Usage::new(head.prompt_tokens, next_index, cached_tokens);
                return Ok(complete_body(head, &text, reason, usage));
            }
            Some(OutputKind::Broken { .. }) | None => return Err(IncompleteAnswer),
        }
    }
}

/// The request ended before its answer was complete.
#[derive(Clone, Copy, Debug)]
pub(super) struct IncompleteAnswer;

fn complete_body(head: &AnswerHead, text: &str, reason: FinishReason, usage: Usage) -> Vec<u8> {
    let chat = head.form == Form::Chat;
    let message = Message {
        role: Some("assistant"),
        content: Some(text),
    };
    let choice = Choice {
        index: 0,
        delta: None,
        message: chat.then_some(message),
        text: (!chat).then_some(text),
        logprobs: None,
        finish_reason: Some(reason_name(reason)),
        token_index: head.first_index,
    };
    let object = if chat {
        "chat.completion"
    } else {
        "text_completion"
    };
    let mut body = head.body(object, vec![choice]);
    body.usage = Some(usage);
    serde_json::to_vec(&body).unwrap_or_default()
}
