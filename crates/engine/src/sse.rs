//! Boundaries of events in an event stream.

use bytes::{Bytes, BytesMut};

const DONE: &[u8] = b"[DONE]";

/// Splits an event stream into whole events without changing a byte.
#[derive(Debug, Default)]
pub(crate) struct Blocks {
    /// Bytes of an event that is not complete yet.
    tail: BytesMut,
    /// Position up to which `tail` holds no end of an event.
    scanned: usize,
    ready: BytesMut,
    events: u64,
    end: End,
    error: bool,
}

#[derive(Debug, Default)]
enum End {
    #[default]
    Open,
    /// The closing event was seen and is kept back.
    Done(Bytes),
    /// The closing event was handed out.
    Closed,
}

impl Blocks {
    pub(crate) fn push(&mut self, chunk: &[u8]) {
        self.tail.extend_from_slice(chunk);
        while let Some(end) = boundary(&self.tail, self.scanned) {
            let block = self.tail.split_to(end);
            self.scanned = 0;
            self.accept(&block);
        }
        // A boundary spans at most four bytes, three of which may be here already.
        self.scanned = self.tail.len().saturating_sub(3);
    }

    fn accept(&mut self, block: &[u8]) {
        if !matches!(self.end, End::Open) {
            return;
        }
        match data(block) {
            Some(_) if is_error(block) => {
                self.error = true;
                self.end = End::Done(Bytes::copy_from_slice(block));
            }
            Some(data) if data == DONE => self.end = End::Done(Bytes::copy_from_slice(block)),
            found => {
                self.events += u64::from(found.is_some());
                self.ready.extend_from_slice(block);
            }
        }
    }

    /// Returns the bytes of the event that is not complete yet.
    pub(crate) fn incomplete(&self) -> usize {
        self.tail.len()
    }

    pub(crate) fn is_error(&self) -> bool {
        self.error
    }

    /// Returns the whole events that are ready, with their number.
    pub(crate) fn take(&mut self) -> Option<(Bytes, u64)> {
        if self.ready.is_empty() {
            return None;
        }
        let events = std::mem::take(&mut self.events);
        Some((self.ready.split().freeze(), events))
    }

    /// Returns the closing event at the end of the stream, then an empty end.
    ///
    /// Returns nothing if the stream has no closing event.
    #[expect(
        clippy::option_option,
        reason = "the outer option tells whether the end is proper"
    )]
    pub(crate) fn finish(&mut self) -> Option<Option<Bytes>> {
        match std::mem::replace(&mut self.end, End::Closed) {
            End::Open => {
                self.end = End::Open;
                None
            }
            End::Done(bytes) => Some(Some(bytes)),
            End::Closed => Some(None),
        }
    }
}

fn is_error(block: &[u8]) -> bool {
    block
        .split(|b| matches!(b, b'\n' | b'\r'))
        .filter_map(|line| line.strip_prefix(b"event:"))
        .any(|name| name.trim_ascii() == b"error")
}

/// Returns the position after the first blank line.
fn boundary(buf: &[u8], from: usize) -> Option<usize> {
    let mut at = from;
    while at < buf.len() {
        let rest = &buf[at..];
        for blank in [&b"\r\n\r\n"[..], b"\n\n", b"\r\r", b"\n\r\n"] {
            if rest.starts_with(blank) {
                return Some(at + blank.len());
            }
        }
        at += 1;
    }
    None
}

/// Returns the value of the first data line.
fn data(block: &[u8]) -> Option<&[u8]> {
    block
        .split(|b| matches!(b, b'\n' | b'\r'))
        .find_map(|line| line.strip_prefix(b"data:"))
        .map(<[u8]>::trim_ascii)
}
