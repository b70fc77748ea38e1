//! Log lines and counters of objects that can't be decoded.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::{self, Display, Write},
    hash::{DefaultHasher, Hash, Hasher},
};

/// Counter of objects that could not be decoded, by kind.
const MALFORMED_METRIC: &str = "celerytally_platform_garbage_total";

/// Maximum length of a name or an error in a log line.
///
/// Both can contain a value of the object, which may have a megabyte.
const MAX_TEXT_BYTES: usize = 200;

/// Maximum number of objects of a kind that are remembered; further ones are only counted.
const MAX_LOGGED: usize = 1_000;

/// Log of objects that can't be decoded, each of which is logged once until it is valid or removed.
#[derive(Debug, Default)]
pub struct MalformedLog {
    /// Hashes of the names that were logged, by kind.
    logged: BTreeMap<&'static str, BTreeSet<u64>>,
}

fn name_hash(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}

impl MalformedLog {
    /// Counts a read of an object that can't be decoded, and logs the first one.
    ///
    /// An object whose name can't be read has the empty name.
    pub fn record(&mut self, kind: &'static str, name: &str, error: &dyn Display) {
        metrics::counter!(MALFORMED_METRIC, "kind" => kind).increment(1);
        let logged = self.logged.entry(kind).or_default();
        if logged.len() < MAX_LOGGED && logged.insert(name_hash(name)) {
            tracing::warn!(
                kind,
                object = bounded(&name),
                error = bounded(error),
                "skipped an object that can't be decoded"
            );
        }
    }

    /// Records that an object is valid or removed.
    pub fn clear(&mut self, kind: &'static str, name: &str) {
        if let Some(logged) = self.logged.get_mut(kind) {
            logged.remove(&name_hash(name));
        }
    }

    /// Records that these are all malformed objects of a kind.
    pub fn retain<'a>(&mut self, kind: &'static str, malformed: impl Iterator<Item = &'a str>) {
        let malformed: BTreeSet<u64> = malformed.map(name_hash).collect();
        if let Some(logged) = self.logged.get_mut(kind) {
            logged.retain(|hash| malformed.contains(hash));
        }
    }
}

/// Returns the beginning of a text, for log lines and errors.
#[must_use]
pub fn bounded(text: &dyn Display) -> String {
    let mut out = Bounded(String::new());
    match write!(out, "{text}") {
        Ok(()) => out.0,
        // The text is longer than the maximum.
        Err(fmt::Error) => out.0 + "…",
    }
}

/// Text that fails to grow beyond the maximum length.
struct Bounded(String);

impl Write for Bounded {
    fn write_str(&mut self, s: &str) -> fmt::Result {
        let rest = MAX_TEXT_BYTES.saturating_sub(self.0.len());
        let end = s.floor_char_boundary(rest);
        self.0.push_str(&s[..end]);
        if end < s.len() {
            return Err(fmt::Error);
        }
        Ok(())
    }
}
