//! Splits server-sent event streams into events.

use bytes::{Bytes, BytesMut};

const DONE: &[u8] = b"[DONE]";

/// Splits an event stream into complete events without changing a byte.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    /// Bytes of the incomplete last event.
    incomplete: BytesMut,
    /// Length of the prefix of `incomplete` that contains no event boundary.
    scanned: usize,
    /// Complete events that were not returned yet.
    ready: BytesMut,
    /// Number of events in `ready`, comments excluded.
    ready_events: u64,
    final_event: FinalEvent,
    error: bool,
}

#[derive(Debug, Default)]
enum FinalEvent {
    #[default]
    NotReceived,
    /// The event was received and is withheld until the response is complete.
    Withheld(Bytes),
    /// The event was returned.
    Returned,
}

impl EventSplitter {
    pub(crate) fn push(&mut self, chunk: &[u8]) {
        self.incomplete.extend_from_slice(chunk);
        while let Some(end) = event_end(&self.incomplete, self.scanned) {
            let event = self.incomplete.split_to(end);
            self.scanned = 0;
            self.push_event(&event);
        }
        // A boundary is at most four bytes long, three of which may already be buffered.
        self.scanned = self.incomplete.len().saturating_sub(3);
    }

    fn push_event(&mut self, event: &[u8]) {
        if !matches!(self.final_event, FinalEvent::NotReceived) {
            return;
        }
        match first_data(event) {
            Some(_) if is_error(event) => {
                self.error = true;
                self.final_event = FinalEvent::Withheld(Bytes::copy_from_slice(event));
            }
            Some(data) if data == DONE => {
                self.final_event = FinalEvent::Withheld(Bytes::copy_from_slice(event));
            }
            found => {
                self.ready_events += u64::from(found.is_some());
                self.ready.extend_from_slice(event);
            }
        }
    }

    /// Returns the number of buffered bytes of the incomplete event.
    pub(crate) fn incomplete_len(&self) -> usize {
        self.incomplete.len()
    }

    pub(crate) fn is_error(&self) -> bool {
        self.error
    }

    /// Returns the complete events that were not returned yet, and their number.
    pub(crate) fn take_events(&mut self) -> Option<(Bytes, u64)> {
        if self.ready.is_empty() {
            return None;
        }
        let events = std::mem::take(&mut self.ready_events);
        Some((self.ready.split().freeze(), events))
    }

    /// Returns the withheld final event once, and `Some(None)` after that.
    ///
    /// Returns `None` if the stream has no final event.
    #[expect(
        clippy::option_option,
        reason = "the outer option tells whether the stream had a final event"
    )]
    pub(crate) fn finish(&mut self) -> Option<Option<Bytes>> {
        match std::mem::replace(&mut self.final_event, FinalEvent::Returned) {
            FinalEvent::NotReceived => {
                self.final_event = FinalEvent::NotReceived;
                None
            }
            FinalEvent::Withheld(bytes) => Some(Some(bytes)),
            FinalEvent::Returned => Some(None),
        }
    }
}

fn is_error(event: &[u8]) -> bool {
    event
        .split(|b| matches!(b, b'\n' | b'\r'))
        .filter_map(|line| line.strip_prefix(b"event:"))
        .any(|name| name.trim_ascii() == b"error")
}

/// Returns the position after the first blank line.
fn event_end(buf: &[u8], from: usize) -> Option<usize> {
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
fn first_data(event: &[u8]) -> Option<&[u8]> {
    event
        .split(|b| matches!(b, b'\n' | b'\r'))
        .find_map(|line| line.strip_prefix(b"data:"))
        .map(<[u8]>::trim_ascii)
}
