//! What the router needs to know of a prompt: its size, its prefixes and the output asked for.

use serde_json::{Map, Value};
use types::Code;

use crate::refusal::Refusal;

/// Bytes of text per token, a usual mean of tokenizers; only estimates depend on it.
const BYTES_PER_TOKEN: usize = 4;

/// Output tokens assumed when the caller sets no bound.
const DEFAULT_OUTPUT_TOKENS: u32 = 256;

/// Bytes between the ends of the prefixes that are hashed.
const PREFIX_STEP: usize = 256;

/// Bounds the prefixes of one prompt; longer prompts differ in their first part already.
const MAX_PREFIXES: usize = 16;

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
        prefixes: prefixes(&model, text.as_bytes()),
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
    let mut text = String::new();
    for item in items {
        match item.get("content").unwrap_or(item) {
            Value::String(part) => text.push_str(part),
            part => text.push_str(&part.to_string()),
        }
        text.push('\n');
    }
    Ok(text)
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

/// Hashes the growing prefixes of a text under a model or adapter, shortest first.
fn prefixes(model: &str, text: &[u8]) -> Vec<u64> {
    let mut hasher = blake3::Hasher::new();
    hasher.update(model.as_bytes());
    hasher.update(&[0]);
    text.chunks_exact(PREFIX_STEP)
        .take(MAX_PREFIXES)
        .map(|part| {
            hasher.update(part);
            let mut head = [0; 8];
            head.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
            u64::from_le_bytes(head)
        })
        .collect()
}
