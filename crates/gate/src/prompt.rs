//! Prompt properties used for routing: size, prefixes and expected output.

use engine::prefix_key;
use serde_json::{Map, Value};
use types::Code;

use crate::refusal::Refusal;

/// Average bytes of text per token. Used for estimates only.
const BYTES_PER_TOKEN: usize = 4;

/// Output tokens assumed for requests without a limit.
const DEFAULT_OUTPUT_TOKENS: u32 = 256;

/// Length in characters of the shortest prefix. Each further prefix is twice as long.
const MIN_PREFIX_CHARS: usize = 32;

/// Properties of a completion request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Prompt {
    pub(crate) model: String,
    pub(crate) stream: bool,
    pub(crate) tokens: u32,
    pub(crate) output_tokens: u32,
    pub(crate) prefixes: Vec<u64>,
}

/// Parses and validates the fields of the body.
pub(crate) fn parse(body: &Map<String, Value>, prompt_field: &str) -> Result<Prompt, Refusal> {
    let model = body.get("model").and_then(Value::as_str);
    let model = model.ok_or(Code::InvalidField)?.to_owned();
    let stream = match body.get("stream") {
        None | Some(Value::Null) => false,
        Some(Value::Bool(stream)) => *stream,
        Some(_) => return Err(Code::InvalidField.into()),
    };
    let text = match body.get(prompt_field) {
        Some(Value::String(text)) if prompt_field == "prompt" => text.clone(),
        Some(Value::Array(items)) if !items.is_empty() => join_text(items, prompt_field)?,
        _ => return Err(Code::InvalidField.into()),
    };
    let tokens = u32::try_from(text.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX);
    Ok(Prompt {
        prefixes: prefixes(&model, &text),
        model,
        stream,
        tokens,
        output_tokens: output_tokens(body)?,
    })
}

fn join_text(items: &[Value], prompt_field: &str) -> Result<String, Refusal> {
    if prompt_field == "messages" && !items.iter().all(|m| m.get("role").is_some()) {
        return Err(Code::InvalidField.into());
    }
    let parts = items
        .iter()
        .map(|item| match item.get("content").unwrap_or(item) {
            Value::String(part) => part.clone(),
            part => part.to_string(),
        });
    Ok(parts.collect::<Vec<_>>().join("\n"))
}

fn output_tokens(body: &Map<String, Value>) -> Result<u32, Refusal> {
    let bound = body
        .get("max_completion_tokens")
        .or_else(|| body.get("max_tokens"));
    match bound {
        None | Some(Value::Null) => Ok(DEFAULT_OUTPUT_TOKENS),
        Some(n) => n
            .as_u64()
            .and_then(|n| u32::try_from(n).ok())
            .filter(|n| *n > 0)
            .ok_or_else(|| Code::InvalidField.into()),
    }
}

/// Returns the keys of prefixes of increasing length.
fn prefixes(model: &str, text: &str) -> Vec<u64> {
    let mut keys = Vec::new();
    let mut chars = MIN_PREFIX_CHARS;
    while let Some((end, _)) = text.char_indices().nth(chars) {
        keys.push(prefix_key(model, &text[..end]));
        chars *= 2;
    }
    keys.push(prefix_key(model, text));
    keys
}
