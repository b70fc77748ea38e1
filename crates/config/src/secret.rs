//! Secret tokens.

use std::fmt;

/// Token that never appears in output or logs.
#[derive(Clone)]
pub struct Secret(String);

impl Secret {
    /// Wraps a token.
    #[must_use]
    pub fn new(token: impl Into<String>) -> Self {
        Self(token.into())
    }

    /// Returns the token, for use in a request.
    #[must_use]
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Compares with a token in constant time.
    #[must_use]
    pub fn matches(&self, token: &str) -> bool {
        // Comparison of BLAKE3 hashes is constant in time.
        blake3::hash(self.0.as_bytes()) == blake3::hash(token.as_bytes())
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
