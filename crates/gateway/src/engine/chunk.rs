//! The fields of a streamed chunk that the gateway reads.

use std::borrow::Cow;

use serde::{Deserialize, Serialize};

/// A chunk of a streamed answer.
#[derive(Debug, Deserialize)]
pub(crate) struct Chunk<'a> {
    #[serde(borrow, default)]
    pub(crate) id: Cow<'a, str>,
    #[serde(borrow, default)]
    pub(crate) choices: Vec<Choice<'a>>,
    #[serde(default)]
    pub(crate) usage: Option<Usage>,
    #[serde(default)]
    pub(crate) error: Option<serde::de::IgnoredAny>,
}

/// One choice of a chunk.
#[derive(Debug, Deserialize)]
pub(crate) struct Choice<'a> {
    pub(crate) token_index: Option<u32>,
    #[serde(borrow, default)]
    delta: Delta<'a>,
    #[serde(borrow, default)]
    text: Cow<'a, str>,
    #[serde(default)]
    pub(crate) finish_reason: Option<FinishReason>,
}

#[derive(Debug, Default, Deserialize)]
struct Delta<'a> {
    #[serde(borrow, default, deserialize_with = "text_or_null")]
    content: Cow<'a, str>,
    #[serde(default)]
    tool_calls: Option<serde::de::IgnoredAny>,
}

fn text_or_null<'de: 'a, 'a, D>(deserializer: D) -> Result<Cow<'a, str>, D::Error>
where
    D: serde::Deserializer<'de>,
{
    struct TextOrNull;
    impl<'de> serde::de::Visitor<'de> for TextOrNull {
        type Value = Cow<'de, str>;
        fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
            formatter.write_str("a text or null")
        }
        fn visit_borrowed_str<E>(self, text: &'de str) -> Result<Self::Value, E> {
            Ok(Cow::Borrowed(text))
        }
        fn visit_str<E>(self, text: &str) -> Result<Self::Value, E> {
            Ok(Cow::Owned(text.to_owned()))
        }
        fn visit_unit<E>(self) -> Result<Self::Value, E> {
            Ok(Cow::Borrowed(""))
        }
    }
    deserializer.deserialize_any(TextOrNull)
}

impl Choice<'_> {
    /// The text of the token, for chat and text completions.
    pub(crate) fn text(&self) -> &str {
        if self.text.is_empty() {
            &self.delta.content
        } else {
            &self.text
        }
    }

    /// Whether the chunk has output that a resumed run cannot continue.
    pub(crate) fn has_structured_output(&self) -> bool {
        self.delta.tool_calls.is_some()
    }
}

/// Why an engine ended an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum FinishReason {
    /// The model ended the answer.
    Stop,
    /// The token limit was reached.
    Length,
    /// The answer is a tool call.
    ToolCalls,
    /// A content filter ended the answer.
    ContentFilter,
    /// The answer is a function call.
    FunctionCall,
}

/// Tokens used by a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Usage {
    #[serde(default)]
    pub(crate) prompt_tokens: u64,
    #[serde(default)]
    pub(crate) completion_tokens: u64,
    #[serde(default)]
    pub(crate) total_tokens: u64,
}
