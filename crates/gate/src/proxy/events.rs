//! Splitting of event streams, so that another backend server can resume after the last complete
//! event.

use bytes::{Buf, Bytes, BytesMut};

/// Maximum size of one event; the stream of a larger one counts as broken.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Byte order mark, which is valid at the start of a stream only.
const BYTE_ORDER_MARK: &[u8] = "\u{feff}".as_bytes();

/// Splits a byte stream into complete events.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    buffer: BytesMut,
    /// Whether the next complete event is the first one of a response that continues the stream.
    continues: bool,
}

/// Bytes of complete events and the id of each one.
#[derive(Debug, Default, Eq, PartialEq)]
pub(crate) struct CompleteEvents {
    pub(crate) bytes: Bytes,
    /// Ids in the order of the events; `None` for an event without one. Comments and retry times are no
    /// events; whatever else precedes an empty line is one.
    pub(crate) ids: Vec<Option<String>>,
}

impl EventSplitter {
    /// Appends data and returns all complete events.
    pub(crate) fn push(&mut self, data: &[u8]) -> CompleteEvents {
        let known = self.buffer.len();
        self.buffer.extend_from_slice(data);
        let Some(end) = last_event_end(&self.buffer, known) else {
            return CompleteEvents::default();
        };
        let mut bytes = self.buffer.split_to(end).freeze();
        if std::mem::take(&mut self.continues) && bytes.starts_with(BYTE_ORDER_MARK) {
            bytes.advance(BYTE_ORDER_MARK.len());
        }
        let ids = event_ids(&bytes);
        CompleteEvents { bytes, ids }
    }

    /// Returns whether the partial event exceeds the maximum size.
    pub(crate) fn is_oversized(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Returns the number of bytes of the partial event.
    pub(crate) fn partial_len(&self) -> usize {
        self.buffer.len()
    }

    /// Discards a partial event of a broken stream. A byte order mark at the start of the response that
    /// continues it is not part of the stream.
    pub(crate) fn discard_partial(&mut self) {
        self.buffer.clear();
        self.continues = true;
    }

    /// Returns the remaining bytes at the end of the stream.
    pub(crate) fn take_remainder(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }
}

/// Returns whether data ends with a complete event, which is followed by an empty line.
pub(crate) fn ends_event(data: &[u8]) -> bool {
    let ends: [&[u8]; 3] = [b"\n\n", b"\n\r\n", b"\r\r"];
    ends.iter().any(|end| data.ends_with(end))
}

/// Returns the offset just past the last complete event that ends after `known` bytes.
fn last_event_end(buf: &[u8], known: usize) -> Option<usize> {
    (known + 1..=buf.len())
        .rev()
        .find(|end| ends_event(&buf[..*end]))
}

/// Returns the id of each event in the bytes of complete events.
fn event_ids(bytes: &[u8]) -> Vec<Option<String>> {
    let mut bytes = bytes.strip_prefix(BYTE_ORDER_MARK).unwrap_or(bytes);
    let mut ids = Vec::new();
    let mut event = None;
    while !bytes.is_empty() {
        let (line, rest) = split_line(bytes);
        bytes = rest;
        if line.is_empty() {
            ids.extend(event.take());
        } else if let Some(id) = line.strip_prefix(b"id:") {
            event = Some(read_id(id));
        } else if !line.starts_with(b":") && !line.starts_with(b"retry:") {
            event.get_or_insert_default();
        }
    }
    ids
}

/// Returns the first line without its end, and the bytes after it.
fn split_line(bytes: &[u8]) -> (&[u8], &[u8]) {
    let end = bytes.iter().position(|b| matches!(b, b'\r' | b'\n'));
    let (line, rest) = bytes.split_at(end.unwrap_or(bytes.len()));
    let rest = match rest {
        [b'\r', b'\n', rest @ ..] | [_, rest @ ..] => rest,
        [] => rest,
    };
    (line, rest)
}

/// Returns the id in a field value. An empty one means that the event has none.
fn read_id(value: &[u8]) -> Option<String> {
    let id = std::str::from_utf8(value).ok()?.trim();
    (!id.is_empty()).then(|| id.to_owned())
}

#[cfg(test)]
#[path = "../../tests/proxy/events.rs"]
mod tests;
