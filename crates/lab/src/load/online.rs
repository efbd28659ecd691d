//! One online request.

use std::time::Instant;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use linnethitch_emulator::answer::PromptKey;
use serde::{Deserialize, Serialize};

use super::{
    Driver,
    client::{Call, Failed},
    prompts::Prompt,
    sse::EventReader,
    tally::Served,
};

#[derive(Serialize)]
pub(super) struct ChatBody<'a> {
    pub(super) model: &'a str,
    pub(super) messages: [ChatMessage<'a>; 1],
    pub(super) max_tokens: u32,
    pub(super) stream: bool,
}

#[derive(Serialize)]
pub(super) struct ChatMessage<'a> {
    pub(super) role: &'static str,
    pub(super) content: &'a str,
}

#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<ChunkChoice>,
    error: Option<ChunkError>,
}

#[derive(Deserialize)]
struct ChunkError {
    code: String,
}

#[derive(Deserialize)]
struct ChunkChoice {
    #[serde(default)]
    delta: Delta,
    finish_reason: Option<String>,
}

#[derive(Default, Deserialize)]
struct Delta {
    content: Option<String>,
}

/// A chat answer that is not streamed.
#[derive(Deserialize)]
pub(super) struct CompleteAnswer {
    choices: Vec<CompleteChoice>,
}

#[derive(Deserialize)]
struct CompleteChoice {
    message: Delta,
    finish_reason: Option<String>,
}

/// The answer that an emulated engine must give.
pub(super) struct Expected {
    text: String,
    tokens: u32,
}

impl Expected {
    pub(super) fn new(key: PromptKey, max_tokens: u32) -> Expected {
        let tokens = key.natural_length().min(max_tokens);
        Expected {
            text: key.text(tokens),
            tokens,
        }
    }

    pub(super) fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Whether a text is the complete expected answer.
    pub(super) fn matches(&self, text: &str) -> bool {
        text == self.text
    }
}

impl CompleteAnswer {
    /// Whether the answer is the expected one.
    pub(super) fn matches(&self, expected: &Expected) -> bool {
        let Some(choice) = self.choices.first() else {
            return false;
        };
        let text = choice.message.content.as_deref().unwrap_or_default();
        choice.finish_reason.is_some() && expected.matches(text)
    }
}

/// Sends a request that was due at `due` and reads its answer.
pub(super) async fn send(driver: &Driver, prompt: &Prompt, due: Instant) -> Result<Served, Failed> {
    let body = ChatBody {
        model: &driver.model,
        messages: [ChatMessage {
            role: "user",
            content: &prompt.text,
        }],
        max_tokens: driver.max_tokens,
        stream: prompt.stream,
    };
    let body = serde_json::to_vec(&body).unwrap_or_default();
    let call = Call::post("/v1/chat/completions", body);
    let expected = Expected::new(prompt.key(), driver.max_tokens);
    if prompt.stream {
        let response = driver.client.send(call).await?;
        return read_stream(response.into_body(), &expected, due).await;
    }
    let answer: CompleteAnswer = driver.client.fetch_json(call).await?;
    let mut served = Served::new(due);
    served.correct = answer.matches(&expected);
    served.tokens = expected.tokens();
    Ok(served)
}

async fn read_stream(
    mut body: Incoming,
    expected: &Expected,
    due: Instant,
) -> Result<Served, Failed> {
    let mut served = Served::new(due);
    let mut reader = EventReader::default();
    let mut text = String::new();
    let mut finished = false;
    let mut done = false;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Failed::connection("answer_cut_off"))?;
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        let events = reader
            .push(&bytes)
            .map_err(|_| Failed::connection("answer_not_understood"))?;
        for event in events {
            if event == "[DONE]" {
                done = true;
                continue;
            }
            let chunk: Chunk = serde_json::from_str(&event)
                .map_err(|_| Failed::connection("answer_not_understood"))?;
            if let Some(error) = chunk.error {
                return Err(Failed::connection(&error.code));
            }
            for choice in chunk.choices {
                if let Some(content) = choice.delta.content.filter(|content| !content.is_empty()) {
                    served.record_token(Instant::now());
                    text.push_str(&content);
                }
                finished |= choice.finish_reason.is_some();
            }
        }
    }
    served.record_end(Instant::now());
    served.correct = done && finished && expected.matches(&text);
    Ok(served)
}
