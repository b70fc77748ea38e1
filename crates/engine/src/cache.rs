//! Prefix-cache events of an engine, which come late and with gaps.

use std::{fmt, pin::Pin};

use eventsource_stream::{Event, Eventsource};
use futures::{Stream, StreamExt};
use serde::Deserialize;

use crate::{
    client::{Client, Server, classify},
    error::{Category, Error, Result},
};

type Source = Pin<Box<dyn Stream<Item = Result<Event, String>> + Send>>;

/// Change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CacheEvent {
    /// A prefix is cached; the value is its [`prefix_key`].
    Stored(u64),
    /// A prefix was evicted; the value is its [`prefix_key`].
    Removed(u64),
}

/// Returns the key of a prompt's prefix under a model or adapter.
///
/// Engines publish the first 64 bits of the BLAKE3 hash of the prefix; the model is mixed in
/// because a prefix that is cached for one model is of no use to another.
#[must_use]
pub fn prefix_key(model: &str, prefix: &str) -> u64 {
    keyed(model, head(&blake3::hash(prefix.as_bytes())))
}

fn keyed(model: &str, prefix: u64) -> u64 {
    prefix ^ head(&blake3::hash(model.as_bytes()))
}

fn head(hash: &blake3::Hash) -> u64 {
    let mut head = [0; 8];
    head.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_be_bytes(head)
}

/// What the event stream tells.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CacheUpdate {
    /// Events were lost; what was heard before is void.
    Gap,
    /// An event, in sequence.
    Event(CacheEvent),
}

#[derive(Deserialize)]
struct Line {
    seq: u64,
    op: Op,
    #[serde(default)]
    model: String,
    /// Hash of the prefix in hexadecimal.
    prefix: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Op {
    Stored,
    Removed,
}

impl Line {
    fn event(&self) -> Option<CacheEvent> {
        let prefix = u64::from_str_radix(&self.prefix, 16).ok()?;
        let key = keyed(&self.model, prefix);
        Some(match self.op {
            Op::Stored => CacheEvent::Stored(key),
            Op::Removed => CacheEvent::Removed(key),
        })
    }
}

/// Event stream of an engine's prefix cache.
pub struct CacheEvents {
    server: Server,
    source: Source,
    /// Sequence number that follows the last event.
    expected: Option<u64>,
    held: Option<CacheEvent>,
}

impl fmt::Debug for CacheEvents {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CacheEvents")
            .field("server", &self.server)
            .field("expected", &self.expected)
            .finish_non_exhaustive()
    }
}

impl Client {
    /// Opens the prefix-cache event stream of an engine.
    ///
    /// # Errors
    /// `Unreachable`, `ConnectionLost`, or `Refused` for an error status.
    pub async fn cache_events(&self, server: &Server) -> Result<CacheEvents> {
        let url = format!("http://{}/events", server.addr);
        let sent = self.fresh().get(url).send().await;
        let answer = sent.map_err(|e| classify(&server.id, &e))?;
        if !answer.status().is_success() {
            return Err(Error::new(Category::Refused, &server.id, answer.status()));
        }
        let source = answer.bytes_stream().eventsource();
        Ok(CacheEvents {
            server: server.clone(),
            source: Box::pin(source.map(|ev| ev.map_err(|e| e.to_string()))),
            expected: None,
            held: None,
        })
    }
}

impl CacheEvents {
    /// Returns the next event, preceded by [`CacheUpdate::Gap`] where events were lost.
    ///
    /// # Errors
    /// `Truncated` when the stream ends, `Malformed` when an event can't be decoded. Both are gaps.
    pub async fn next(&mut self) -> Result<CacheUpdate> {
        if let Some(event) = self.held.take() {
            return Ok(CacheUpdate::Event(event));
        }
        let event = match self.source.next().await {
            Some(Ok(event)) => event,
            Some(Err(e)) => return Err(Error::new(Category::Truncated, &self.server.id, e)),
            None => return Err(Error::new(Category::Truncated, &self.server.id, "end")),
        };
        let malformed = |e: String| Error::new(Category::Malformed, &self.server.id, e);
        let line: Line = serde_json::from_str(&event.data).map_err(|e| malformed(e.to_string()))?;
        let event = line
            .event()
            .ok_or_else(|| malformed(format!("prefix {}", line.prefix)))?;
        let expected = self.expected.replace(line.seq + 1);
        if expected.is_some_and(|seq| seq != line.seq) {
            self.held = Some(event);
            return Ok(CacheUpdate::Gap);
        }
        Ok(CacheUpdate::Event(event))
    }
}
