//! JSON bodies of requests to an engine.

use linnethitch_protocol::{
    command::EngineOrder,
    fleet::EngineRole,
    ids::{FencingToken, ModelId, Term},
};
use serde::Deserialize;

use crate::{
    answer::{PromptKey, chat_prompt},
    engine::KvHandle,
};

/// The body of a chat or text completion request; unknown members are ignored.
#[derive(Debug, Deserialize)]
pub(super) struct CompletionBody {
    pub(super) model: String,
    messages: Option<Vec<Message>>,
    prompt: Option<Prompt>,
    #[serde(default)]
    pub(super) stream: bool,
    #[serde(default)]
    stream_options: StreamOptions,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    pub(super) min_tokens: u32,
    pub(super) resume: Option<Resume>,
    pub(super) kv_import: Option<String>,
    #[serde(default)]
    pub(super) prefill_only: bool,
}

#[derive(Debug, Deserialize)]
struct Message {
    role: String,
    content: Option<Content>,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<Part>),
}

#[derive(Debug, Deserialize)]
struct Part {
    #[serde(default)]
    text: String,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Prompt {
    One(String),
    Many(Vec<String>),
}

#[derive(Debug, Default, Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

/// Output that an earlier run delivered.
#[derive(Debug, Deserialize)]
pub(super) struct Resume {
    pub(super) text: String,
    pub(super) tokens: u32,
}

impl Content {
    fn text(&self) -> String {
        match self {
            Content::Text(text) => text.clone(),
            Content::Parts(parts) => parts.iter().map(|part| part.text.as_str()).collect(),
        }
    }
}

impl CompletionBody {
    /// The prompt in its canonical form; `None` if the body has neither messages nor prompt.
    pub(super) fn canonical_prompt(&self) -> Option<String> {
        if let Some(messages) = &self.messages {
            let texts: Vec<String> = messages
                .iter()
                .map(|message| {
                    message
                        .content
                        .as_ref()
                        .map_or_else(String::new, Content::text)
                })
                .collect();
            let roles = messages.iter().map(|message| message.role.as_str());
            return Some(chat_prompt(roles.zip(texts.iter().map(String::as_str))));
        }
        match self.prompt.as_ref()? {
            Prompt::One(text) => Some(text.clone()),
            Prompt::Many(texts) => Some(texts.concat()),
        }
    }

    pub(super) fn max_tokens(&self) -> Option<u32> {
        self.max_completion_tokens.or(self.max_tokens)
    }

    pub(super) fn include_usage(&self) -> bool {
        self.stream_options.include_usage
    }
}

/// The body of a KV export request.
#[derive(Debug, Deserialize)]
pub(super) struct ExportBody {
    pub(super) request_id: String,
}

/// Formats a handle as `kv-PROMPT-TOKENS`.
pub(super) fn format_handle(handle: &KvHandle) -> String {
    format!("kv-{:016x}-{}", handle.prompt.0, handle.tokens)
}

/// Parses the text of a handle.
pub(super) fn parse_handle(text: &str) -> Option<KvHandle> {
    let (prompt, tokens) = text.strip_prefix("kv-")?.split_once('-')?;
    Some(KvHandle {
        prompt: PromptKey(u64::from_str_radix(prompt, 16).ok()?),
        tokens: tokens.parse().ok()?,
    })
}

/// The body of an order.
#[derive(Debug, Deserialize)]
pub(super) struct OrderBody {
    token: TokenBody,
    order: OrderKind,
}

#[derive(Debug, Deserialize)]
struct TokenBody {
    term: u64,
    sequence: u64,
}

#[derive(Debug, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
enum OrderKind {
    LoadModel { model: String, version: String },
    LoadAdapter { adapter: String, version: String },
    ChangeRole { role: RoleName },
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum RoleName {
    Mixed,
    Prefill,
    Decode,
}

impl OrderBody {
    pub(super) fn token(&self) -> FencingToken {
        FencingToken {
            term: Term(self.token.term),
            sequence: self.token.sequence,
        }
    }

    pub(super) fn into_order(self) -> EngineOrder {
        match self.order {
            OrderKind::LoadModel { model, version } => EngineOrder::LoadModel {
                model: ModelId(model),
                version,
            },
            OrderKind::LoadAdapter { adapter, version } => {
                EngineOrder::LoadAdapter { adapter, version }
            }
            OrderKind::ChangeRole { role } => EngineOrder::ChangeRole(match role {
                RoleName::Mixed => EngineRole::Mixed,
                RoleName::Prefill => EngineRole::Prefill,
                RoleName::Decode => EngineRole::Decode,
            }),
        }
    }
}
