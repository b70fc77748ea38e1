//! End of a stream: whether the end of a response is one, and its record.

use bytes::Bytes;
use types::RetryReason;

use super::{Origin, Part, StreamRelay};
use crate::{
    dispatcher::StateMachine,
    peers::Peers,
    proxy::{
        attempt::keep,
        codec::HeaderCodec,
        events::ends_event,
        liveness::{UnmarkedEnd, is_framed},
    },
    record::End,
};

/// Number of bytes that show whether a stream ends with a complete event.
const TAIL_BYTES: usize = 3;

impl<R: StateMachine, N: Peers, C: HeaderCodec> StreamRelay<R, N, C> {
    /// Returns whether the end of the current response, if it came now, would not be that of the stream.
    ///
    /// The length that a server states proves nothing within an event. Without a length, the end of the
    /// connection marks the end of a stream only after an event.
    pub(super) fn ends_early(&self) -> bool {
        let ends_event = self.tail.is_empty() || ends_event(&self.tail);
        let within_event = self.kind.has_events() && !ends_event;
        within_event || (self.origin == Origin::Resumed && !self.is_framed())
    }

    fn is_framed(&self) -> bool {
        self.response.as_ref().is_some_and(|r| is_framed(&r.head))
    }

    /// Returns what follows the end of the current response: the end of the stream, a failure, or nothing
    /// yet if another server continues it.
    ///
    /// Without a length, the response of a server that is ended between two events ends like a complete
    /// one.
    pub(super) async fn part_at_end(&mut self) -> Option<Part> {
        if self.ends_early() {
            return Some(Part::Failed(RetryReason::Truncated));
        }
        if self.is_framed() {
            return Some(Part::End);
        }
        let Some(response) = self.response.as_mut() else {
            return Some(Part::End);
        };
        let (port, destination) = (response.port.take(), response.destination.clone());
        self.end = self.exchange.shared.unmarked_end(&destination, port).await;
        if let Some(reason) = self.end.failure() {
            return Some(Part::Failed(reason));
        }
        let is_unclear = self.end == UnmarkedEnd::Unclear;
        if is_unclear && self.can_resume() && self.try_continuation().await {
            return None;
        }
        Some(Part::End)
    }

    /// Records the end of the stream and returns the bytes after its last complete event.
    pub(super) fn finish(&mut self) -> Option<Bytes> {
        let response = self.response.take()?;
        let exchange = &mut self.exchange;
        let is_harmless = self.end.is_harmless();
        exchange.finish(&response.backend, true, is_harmless);
        let status = response.head.status.as_u16();
        keep(&exchange.shared.pool, response.connection, &response.head);
        metrics::histogram!("celerytally_longest_pause_seconds")
            .record(exchange.record.timing.longest_pause.as_secs_f64());
        exchange.record.end(&End::Answered {
            backend: Some(response.backend),
            status,
        });
        let rest = self.events.take_remainder();
        (!rest.is_empty()).then_some(rest)
    }
}

/// Replaces the last bytes of a stream by those after further data.
pub(super) fn keep_tail(tail: &mut Vec<u8>, data: &[u8]) {
    tail.extend_from_slice(&data[data.len().saturating_sub(TAIL_BYTES)..]);
    let excess = tail.len().saturating_sub(TAIL_BYTES);
    tail.drain(..excess);
}
