//! Whole events of a stream, so that another backend server can go on after the last one.

use bytes::{Bytes, BytesMut};

/// Cuts a stream of bytes into whole events.
#[derive(Debug, Default)]
pub(crate) struct WholeEvents {
    rest: BytesMut,
}

/// Bytes of whole events and the id of the last one.
#[derive(Debug, Default, Eq, PartialEq)]
pub(crate) struct Taken {
    pub(crate) bytes: Bytes,
    pub(crate) last_id: Option<String>,
}

impl WholeEvents {
    /// Adds bytes and takes the events that are whole.
    pub(crate) fn push(&mut self, data: &[u8]) -> Taken {
        self.rest.extend_from_slice(data);
        let Some(end) = end_of_last(&self.rest) else {
            return Taken::default();
        };
        let bytes = self.rest.split_to(end).freeze();
        let last_id = last_id(&bytes);
        Taken { bytes, last_id }
    }

    /// Drops the beginning of an event that was broken off.
    pub(crate) fn discard(&mut self) {
        self.rest.clear();
    }

    /// Takes what is left at the end of the stream.
    pub(crate) fn finish(&mut self) -> Bytes {
        self.rest.split().freeze()
    }
}

/// Returns the end of the last blank line.
fn end_of_last(buf: &[u8]) -> Option<usize> {
    let ends = |at: &usize| {
        let before = &buf[..*at];
        buf[*at] == b'\n' && (before.ends_with(b"\n") || before.ends_with(b"\n\r"))
    };
    (0..buf.len()).rev().find(ends).map(|at| at + 1)
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
