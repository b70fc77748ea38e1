//! Splitting of event streams, so that another backend server can resume after the last complete
//! event.

use bytes::{Bytes, BytesMut};

/// Maximum size of one event; the stream of a larger one counts as broken.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Splits a byte stream into complete events.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    buffer: BytesMut,
}

/// Bytes of complete events and the id of the last one.
#[derive(Debug, Default, Eq, PartialEq)]
pub(crate) struct CompleteEvents {
    pub(crate) bytes: Bytes,
    pub(crate) last_id: Option<String>,
}

impl EventSplitter {
    /// Appends data and returns all complete events.
    pub(crate) fn push(&mut self, data: &[u8]) -> CompleteEvents {
        self.buffer.extend_from_slice(data);
        let Some(end) = last_event_end(&self.buffer) else {
            return CompleteEvents::default();
        };
        let bytes = self.buffer.split_to(end).freeze();
        let last_id = last_id(&bytes);
        CompleteEvents { bytes, last_id }
    }

    /// Returns whether the partial event exceeds the maximum size.
    pub(crate) fn is_oversized(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Discards a partial event of a broken stream.
    pub(crate) fn discard_partial(&mut self) {
        self.buffer.clear();
    }

    /// Returns the remaining bytes at the end of the stream.
    pub(crate) fn take_remainder(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }
}

/// Returns the offset just past the last complete event.
fn last_event_end(buf: &[u8]) -> Option<usize> {
    let ends = |index: &usize| {
        let before = &buf[..*index];
        buf[*index] == b'\n' && (before.ends_with(b"\n") || before.ends_with(b"\n\r"))
    };
    (0..buf.len()).rev().find(ends).map(|index| index + 1)
}

fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.rsplit(|b| *b == b'\n');
    let id = lines
        .into_iter()
        .find_map(|line| line.strip_prefix(b"id:"))?;
    let id = std::str::from_utf8(id).ok()?;
    Some(id.trim().to_owned())
}

#[cfg(test)]
#[path = "../../tests/proxy/events.rs"]
mod tests;
