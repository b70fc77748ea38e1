//! What the router needs to know of a prompt: its size, its prefixes and the output asked for.

use engine::prefix_key;
use serde_json::{Map, Value};
use types::Code;

use crate::refusal::Refusal;

/// Bytes of text per token, a usual mean of tokenizers; only estimates depend on it.
const BYTES_PER_TOKEN: usize = 4;

/// Output tokens assumed when the caller sets no bound.
const DEFAULT_OUTPUT_TOKENS: u32 = 256;

/// Characters of the shortest prefix that is looked up; each further one is twice as long.
const FIRST_PREFIX: usize = 32;

/// Facts of a request for completions.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Prompt {
    pub(crate) model: String,
    pub(crate) stream: bool,
    pub(crate) tokens: u32,
    pub(crate) output_tokens: u32,
    pub(crate) prefixes: Vec<u64>,
}

/// Reads and checks the fields of the body.
pub(crate) fn read(body: &Map<String, Value>, prompt_field: &str) -> Result<Prompt, Refusal> {
    let model = body.get("model").and_then(Value::as_str);
    let model = model.ok_or(Code::InvalidField)?.to_owned();
    let stream = match body.get("stream") {
        None | Some(Value::Null) => false,
        Some(Value::Bool(stream)) => *stream,
        Some(_) => return Err(Code::InvalidField.into()),
    };
    let text = match body.get(prompt_field) {
        Some(Value::String(text)) if prompt_field == "prompt" => text.clone(),
        Some(Value::Array(items)) if !items.is_empty() => text_of(items, prompt_field)?,
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

fn text_of(items: &[Value], prompt_field: &str) -> Result<String, Refusal> {
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

/// Returns the keys of the growing prefixes of a text, shortest first.
fn prefixes(model: &str, text: &str) -> Vec<u64> {
    let mut keys = Vec::new();
    let mut chars = FIRST_PREFIX;
    while let Some((end, _)) = text.char_indices().nth(chars) {
        keys.push(prefix_key(model, &text[..end]));
        chars *= 2;
    }
    keys.push(prefix_key(model, text));
    keys
}
