//! Prefix-cache events of an engine, which are delayed and may be lost.

use std::{fmt, pin::Pin};

use eventsource_stream::{Event, Eventsource};
use futures::{Stream, StreamExt};
use serde::Deserialize;

use crate::{
    client::{Client, Server, classify},
    error::{Category, Error, Result},
};

type EventSource = Pin<Box<dyn Stream<Item = Result<Event, String>> + Send>>;

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
/// Engines publish the first 64 bits of the BLAKE3 hash of the prefix. The key also depends on the
/// model, because a prefix that is cached for one model is useless to another.
#[must_use]
pub fn prefix_key(model: &str, prefix: &str) -> u64 {
    combine(model, first_64_bits(&blake3::hash(prefix.as_bytes())))
}

fn combine(model: &str, prefix: u64) -> u64 {
    prefix ^ first_64_bits(&blake3::hash(model.as_bytes()))
}

fn first_64_bits(hash: &blake3::Hash) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_be_bytes(bytes)
}

/// Update from the event stream of a prefix cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CacheUpdate {
    /// Events were lost, so earlier events no longer describe the cache.
    Gap,
    /// The next event in sequence.
    Event(CacheEvent),
}

#[derive(Deserialize)]
struct EventData {
    seq: u64,
    op: Operation,
    #[serde(default)]
    model: String,
    /// Hash of the prefix in hexadecimal.
    prefix: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Operation {
    Stored,
    Removed,
}

impl EventData {
    fn event(&self) -> Option<CacheEvent> {
        let prefix = u64::from_str_radix(&self.prefix, 16).ok()?;
        let key = combine(&self.model, prefix);
        Some(match self.op {
            Operation::Stored => CacheEvent::Stored(key),
            Operation::Removed => CacheEvent::Removed(key),
        })
    }
}

/// Event stream of an engine's prefix cache.
pub struct CacheEvents {
    server: Server,
    source: EventSource,
    /// Expected sequence number of the next event.
    next_seq: Option<u64>,
    /// Event received after a gap, to be returned next.
    pending: Option<CacheEvent>,
}

impl fmt::Debug for CacheEvents {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CacheEvents")
            .field("server", &self.server)
            .field("next_seq", &self.next_seq)
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
        let sent = self.unpooled().get(url).send().await;
        let response = sent.map_err(|e| classify(&server.id, &e))?;
        if !response.status().is_success() {
            return Err(Error::new(Category::Refused, &server.id, response.status()));
        }
        let source = response.bytes_stream().eventsource();
        Ok(CacheEvents {
            server: server.clone(),
            source: Box::pin(source.map(|ev| ev.map_err(|e| e.to_string()))),
            next_seq: None,
            pending: None,
        })
    }
}

impl CacheEvents {
    /// Returns the next event, preceded by [`CacheUpdate::Gap`] where events were lost.
    ///
    /// # Errors
    /// `Truncated` when the stream ends, `Malformed` when an event can't be decoded. Events may
    /// have been lost in both cases.
    pub async fn next(&mut self) -> Result<CacheUpdate> {
        if let Some(event) = self.pending.take() {
            return Ok(CacheUpdate::Event(event));
        }
        let event = match self.source.next().await {
            Some(Ok(event)) => event,
            Some(Err(e)) => return Err(Error::new(Category::Truncated, &self.server.id, e)),
            None => {
                return Err(Error::new(
                    Category::Truncated,
                    &self.server.id,
                    "the event stream ended",
                ));
            }
        };
        let malformed = |e: String| Error::new(Category::Malformed, &self.server.id, e);
        let data: EventData =
            serde_json::from_str(&event.data).map_err(|e| malformed(e.to_string()))?;
        let event = data.event().ok_or_else(|| {
            malformed(format!(
                "the prefix {:?} is not a hexadecimal hash",
                data.prefix
            ))
        })?;
        let expected = self.next_seq.replace(data.seq + 1);
        if expected.is_some_and(|seq| seq != data.seq) {
            self.pending = Some(event);
            return Ok(CacheUpdate::Gap);
        }
        Ok(CacheUpdate::Event(event))
    }
}
