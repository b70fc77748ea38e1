//! Identity of contents, and what hosts tell each other about them.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Length of the hash of a content, which rules out accidental collisions.
const HASH_BYTES: usize = 16;

/// Hash of a content or of its encoding.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct ContentId([u8; HASH_BYTES]);

impl ContentId {
    /// Returns the id of a content.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        let mut hash = [0; HASH_BYTES];
        blake3::Hasher::new()
            .update(bytes)
            .finalize_xof()
            .fill(&mut hash);
        Self(hash)
    }
}

impl fmt::Display for ContentId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}

impl fmt::Debug for ContentId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// Content that a host offers in parts.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Offer {
    /// Id of the encoded content, by which its parts are requested.
    pub encoding: ContentId,
    /// Size of the encoded content in bytes.
    pub encoded_size: u32,
    /// Id of the content.
    pub content: ContentId,
    /// Size of the content in bytes.
    pub content_size: u32,
    /// Content from which the encoding is a difference, if any.
    pub base: Option<ContentId>,
}

/// Part of an encoded content.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct PartId {
    /// Id of the encoded content.
    pub encoding: ContentId,
    /// Position of the part's first byte.
    pub offset: u32,
}
