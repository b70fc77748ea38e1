//! Answers that are derived from the prompt.

use std::fmt::Write as _;

/// Returns one token of the answer to a prompt.
#[must_use]
pub fn token(prompt: &str, index: usize) -> String {
    let tag = blake3::hash(prompt.as_bytes()).to_hex();
    format!("{}-{index} ", &tag[..8])
}

/// Returns the whole answer to a prompt.
#[must_use]
pub fn text(prompt: &str, tokens: usize) -> String {
    let tag = blake3::hash(prompt.as_bytes()).to_hex();
    (0..tokens).fold(String::new(), |mut text, index| {
        // Writing to a string does not fail.
        write!(text, "{}-{index} ", &tag[..8]).unwrap_or_default();
        text
    })
}

/// Returns whether a text is the whole answer to a prompt.
#[must_use]
pub fn is_whole(prompt: &str, tokens: usize, found: &str) -> bool {
    found == text(prompt, tokens)
}
