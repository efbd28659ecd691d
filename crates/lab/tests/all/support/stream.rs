//! A streamed answer that is read in the background.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use http_body_util::BodyExt;
use hyper::body::Incoming;
use linnethitch_emulator::answer::{PromptKey, chat_prompt};
use serde_json::{Value, json};
use tokio::task::JoinHandle;

use super::Caller;

/// A stream in progress.
pub(crate) struct Stream {
    /// Key from which the emulated engine generates the answer.
    pub(crate) key: PromptKey,
    tokens: Arc<AtomicUsize>,
    reading: JoinHandle<Result<String, String>>,
}

/// The key of the answer to a user's message.
pub(crate) fn key_of(prompt: &str) -> PromptKey {
    PromptKey::of(&chat_prompt([("user", prompt)]))
}

impl Stream {
    /// Sends a request for a streamed answer.
    pub(crate) async fn open(caller: &Caller, prompt: &str) -> Stream {
        let body = json!({
            "model": "quote-writer", "stream": true,
            "messages": [{"role": "user", "content": prompt}],
        });
        let sent = caller.send("POST", "/v1/chat/completions", &[], body.to_string());
        let response = sent.await.unwrap();
        assert_eq!(response.status(), 200, "{:?}", response.headers());
        let tokens = Arc::new(AtomicUsize::new(0));
        Stream {
            key: key_of(prompt),
            tokens: Arc::clone(&tokens),
            reading: tokio::spawn(read(response.into_body(), tokens)),
        }
    }

    /// Tokens received so far.
    pub(crate) fn tokens(&self) -> usize {
        self.tokens.load(Ordering::Relaxed)
    }

    /// Whether the stream has ended.
    pub(crate) fn has_ended(&self) -> bool {
        self.reading.is_finished()
    }

    /// Reads to the end; the answer must be complete, with each token once and in order.
    pub(crate) async fn assert_complete(self) {
        let text = self.reading.await.unwrap();
        assert_eq!(text, Ok(self.key.text(self.key.natural_length())));
    }
}

/// The text of a correctly ended stream; otherwise a description of the fault.
async fn read(mut body: Incoming, tokens: Arc<AtomicUsize>) -> Result<String, String> {
    let mut unread = String::new();
    let mut text = String::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| format!("cut off after `{text}`: {error}"))?;
        let data = frame.into_data().unwrap_or_default();
        unread.push_str(std::str::from_utf8(&data).unwrap());
        while let Some((event, rest)) = unread.split_once("\n\n") {
            let data = event.strip_prefix("data: ").unwrap_or_default().to_owned();
            unread = rest.to_owned();
            if data == "[DONE]" {
                return Ok(text);
            }
            let chunk: Value = serde_json::from_str(&data).map_err(|error| error.to_string())?;
            if !chunk["error"].is_null() {
                return Err(chunk.to_string());
            }
            if let Some(content) = chunk["choices"][0]["delta"]["content"].as_str() {
                text.push_str(content);
                tokens.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
    Err(format!("ended after `{text}` without [DONE]"))
}
