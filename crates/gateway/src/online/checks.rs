//! Checks of a completion request's body against the configuration in force.

use linnethitch_config::fleet::Fleet;
use linnethitch_errors::{ErrorKind, Failure};
use serde_json::{Map, Value};

use crate::online::request::CompletionKind;

/// The failure for an invalid value of a field.
pub(crate) fn invalid(param: &str, message: impl Into<String>) -> Failure {
    Failure::new(ErrorKind::InvalidValue, message).with_param(param)
}

/// The model named in a body, including its adapter.
pub(super) fn model_of(body: &Map<String, Value>, fleet: &Fleet) -> Result<String, Failure> {
    let name = body
        .get("model")
        .and_then(Value::as_str)
        .ok_or_else(|| invalid("model", "`model` must be given as a text"))?;
    let (pool_name, adapter) = match name.split_once(':') {
        Some((pool, adapter)) => (pool, Some(adapter)),
        None => (name, None),
    };
    let known = fleet
        .models
        .iter()
        .find(|pool| pool.name == pool_name)
        .is_some_and(|pool| {
            adapter
                .is_none_or(|requested| pool.adapters.iter().any(|known| known.name == requested))
        });
    if known {
        Ok(name.to_owned())
    } else {
        let shown: String = name.chars().take(128).collect();
        Err(Failure::new(
            ErrorKind::UnknownModel,
            format!("the model {shown:?} does not exist"),
        )
        .with_param("model"))
    }
}

/// Bytes of the prompt's text.
pub(super) fn prompt_bytes(
    kind: CompletionKind,
    body: &Map<String, Value>,
) -> Result<usize, Failure> {
    match kind {
        CompletionKind::Chat => message_bytes(body),
        CompletionKind::Text => match body.get("prompt") {
            Some(Value::String(text)) => Ok(text.len()),
            Some(Value::Array(parts)) if parts.len() == 1 && parts[0].is_string() => {
                Ok(parts[0].as_str().map_or(0, str::len))
            }
            _ => Err(invalid("prompt", "`prompt` must be one text")),
        },
    }
}

fn message_bytes(body: &Map<String, Value>) -> Result<usize, Failure> {
    let messages = body
        .get("messages")
        .and_then(Value::as_array)
        .filter(|messages| !messages.is_empty())
        .ok_or_else(|| {
            invalid(
                "messages",
                "`messages` must be a list with at least one message",
            )
        })?;
    let mut bytes = 0;
    for (position, message) in messages.iter().enumerate() {
        if message.get("role").and_then(Value::as_str).is_none() {
            let param = format!("messages[{position}].role");
            return Err(invalid(&param, "every message must name its role"));
        }
        bytes += match message.get("content") {
            Some(Value::String(text)) => text.len(),
            Some(Value::Array(parts)) => parts.iter().map(part_bytes).sum(),
            Some(Value::Null) | None => 0,
            Some(_) => {
                let param = format!("messages[{position}].content");
                return Err(invalid(
                    &param,
                    "`content` must be a text or a list of parts",
                ));
            }
        };
    }
    Ok(bytes)
}

fn part_bytes(part: &Value) -> usize {
    part.get("text").and_then(Value::as_str).map_or(0, str::len)
}

/// The caller's limit of output tokens, if it sets one.
pub(super) fn output_limit(
    body: &Map<String, Value>,
    fleet: &Fleet,
) -> Result<Option<u32>, Failure> {
    for name in ["max_completion_tokens", "max_tokens"] {
        let Some(value) = body.get(name).filter(|value| !value.is_null()) else {
            continue;
        };
        let maximum = fleet.limits.max_output_tokens;
        return value
            .as_u64()
            .and_then(|tokens| u32::try_from(tokens).ok())
            .filter(|tokens| (1..=maximum).contains(tokens))
            .map(Some)
            .ok_or_else(|| {
                invalid(
                    name,
                    format!("`{name}` must be a whole number from 1 to {maximum}"),
                )
            });
    }
    Ok(None)
}

/// Refuses a request that exceeds the model's context window.
pub(super) fn check_context(
    model: &str,
    prompt_tokens: u32,
    limit: Option<u32>,
    fleet: &Fleet,
) -> Result<(), Failure> {
    let pool_name = model.split(':').next().unwrap_or(model);
    let Some(pool) = fleet.models.iter().find(|pool| pool.name == pool_name) else {
        return Ok(());
    };
    let required = prompt_tokens.saturating_add(limit.unwrap_or(1));
    if required <= pool.context_tokens {
        return Ok(());
    }
    Err(Failure::new(
        ErrorKind::ContextTooLong,
        format!(
            "about {prompt_tokens} prompt tokens and the requested output exceed the model's {} tokens",
            pool.context_tokens
        ),
    ))
}

/// Refuses more than one choice: a stream with several choices cannot be resumed.
pub(super) fn check_single_choice(body: &Map<String, Value>) -> Result<(), Failure> {
    for name in ["n", "best_of"] {
        match body.get(name) {
            None | Some(Value::Null) => {}
            Some(value) if value.as_u64() == Some(1) => {}
            Some(_) => return Err(invalid(name, format!("`{name}` must be 1"))),
        }
    }
    Ok(())
}

/// A field that is true, false or absent.
pub(super) fn flag(body: &Map<String, Value>, name: &str) -> Result<bool, Failure> {
    match body.get(name) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(value)) => Ok(*value),
        Some(_) => Err(invalid(name, format!("`{name}` must be true or false"))),
    }
}

/// Whether the caller requested usage at the end of the stream.
pub(super) fn wants_usage(body: &Map<String, Value>) -> Result<bool, Failure> {
    match body.get("stream_options") {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Object(options)) => flag(options, "include_usage"),
        Some(_) => Err(invalid(
            "stream_options",
            "`stream_options` must be an object",
        )),
    }
}
