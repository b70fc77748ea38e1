//! Counters of bytes by kind of message, and of invalid messages and refused connections.

use std::sync::atomic::{AtomicU64, Ordering};

use bincode::Options;
use serde::Serialize;

use crate::message::{MessageKind, Reply, Request};

/// Overhead of a request in bytes: frame length, deadline, trace context, request id and variants.
const REQUEST_ENVELOPE: u64 = 44;

/// Overhead of a reply in bytes: frame length, request id and variant.
const REPLY_ENVELOPE: u64 = 8;

/// Traffic of one kind of message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Traffic {
    /// Kind of message.
    pub kind: MessageKind,
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
}

/// Counters of the exchange.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    sent: [AtomicU64; MessageKind::ALL.len()],
    received: [AtomicU64; MessageKind::ALL.len()],
    invalid_messages: AtomicU64,
    refused_connections: AtomicU64,
}

/// Returns the size of a request on the wire, without TCP and IP headers.
pub(crate) fn request_size(req: &Request) -> u64 {
    size(req) + REQUEST_ENVELOPE
}

/// Returns the size of a reply on the wire, without TCP and IP headers.
pub(crate) fn reply_size(reply: &Reply) -> u64 {
    size(reply) + REPLY_ENVELOPE
}

fn size<T: Serialize>(message: &T) -> u64 {
    let payload = bincode::DefaultOptions::new().serialized_size(message);
    payload.unwrap_or_default()
}

impl Counts {
    pub(crate) fn sent(&self, kind: MessageKind, bytes: u64) {
        self.sent[kind as usize].fetch_add(bytes, Ordering::Relaxed);
        count("sent", kind, bytes);
    }

    pub(crate) fn received(&self, kind: MessageKind, bytes: u64) {
        self.received[kind as usize].fetch_add(bytes, Ordering::Relaxed);
        count("received", kind, bytes);
    }

    /// Counts a message that is malformed or contradicts itself.
    pub(crate) fn record_invalid_message(&self) {
        self.invalid_messages.fetch_add(1, Ordering::Relaxed);
        let code = types::Code::PeerGarbage.label();
        metrics::counter!("celerytally_peer_garbage_total", "code" => code).increment(1);
    }

    pub(crate) fn invalid_messages(&self) -> u64 {
        self.invalid_messages.load(Ordering::Relaxed)
    }

    /// Counts a connection that was refused because of a wrong token.
    pub(crate) fn record_refused_connection(&self) {
        self.refused_connections.fetch_add(1, Ordering::Relaxed);
        metrics::counter!("celerytally_peer_refused_total").increment(1);
    }

    pub(crate) fn refused_connections(&self) -> u64 {
        self.refused_connections.load(Ordering::Relaxed)
    }

    pub(crate) fn by_kind(&self) -> Vec<Traffic> {
        let traffic = |kind: MessageKind| Traffic {
            kind,
            sent: self.sent[kind as usize].load(Ordering::Relaxed),
            received: self.received[kind as usize].load(Ordering::Relaxed),
        };
        MessageKind::ALL.into_iter().map(traffic).collect()
    }
}

fn count(direction: &'static str, kind: MessageKind, bytes: u64) {
    let labels = [("direction", direction), ("kind", kind.label())];
    metrics::counter!("celerytally_peer_bytes_total", &labels).increment(bytes);
}
