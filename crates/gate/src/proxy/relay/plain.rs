//! Forwarding of plain responses that are too large to be buffered.

use bytes::Bytes;
use futures::{Stream, stream};
use hyper::body::{Body, Frame};
use route::Failure;
use tokio::time::{Instant as TokioInstant, timeout_at};
use types::{Code, RetryReason};

use super::{MAX_PIECE_BYTES, Part, StreamError, read_part};
use crate::{
    dispatcher::StateMachine,
    peers::Peers,
    proxy::{
        attempt::{OpenResponse, keep, may_have_run_failure},
        buffer::Beginning,
        codec::HeaderCodec,
        exchange::{BegunResponse, Exchange},
        liveness::{UnmarkedEnd, ends_with_connection},
    },
    record::End,
};

/// Response that is forwarded from its beginning on, and that no other server continues.
pub(crate) struct PlainRelay<R: StateMachine, N: Peers, C> {
    exchange: Exchange<R, N, C>,
    /// `None` once the response has ended.
    response: Option<OpenResponse>,
    /// Part that was read before the head was passed on.
    beginning: Beginning,
    /// Data that were read and not passed on yet.
    received: Bytes,
    /// What ended the response; `Alive` for one whose end is marked.
    end: UnmarkedEnd,
}

impl<R: StateMachine, N: Peers, C: HeaderCodec> PlainRelay<R, N, C> {
    pub(crate) fn new(exchange: Exchange<R, N, C>, begun: Box<BegunResponse>) -> Self {
        Self {
            exchange,
            response: Some(begun.response),
            beginning: begun.beginning,
            received: Bytes::new(),
            end: UnmarkedEnd::Alive,
        }
    }

    /// Returns the body. It is read as fast as the caller reads.
    pub(crate) fn into_stream(self) -> impl Stream<Item = Result<Frame<Bytes>, StreamError>> {
        stream::unfold(self, |mut relay| async move {
            let next = relay.next().await?;
            Some((next.map(Frame::data), relay))
        })
    }

    async fn next(&mut self) -> Option<Result<Bytes, StreamError>> {
        loop {
            if self.received.is_empty() {
                self.received = self.beginning.pop().unwrap_or_default();
            }
            if !self.received.is_empty() {
                let len = self.received.len().min(MAX_PIECE_BYTES);
                let piece = self.received.split_to(len);
                if self.has_passed_stated_length() {
                    // The HTTP library asks for nothing after the last byte.
                    self.finish();
                }
                return Some(Ok(piece));
            }
            match self.read_part().await? {
                Part::Data(data) => self.received = data,
                Part::End => {
                    self.finish();
                    return None;
                }
                Part::Failed(reason) | Part::Refused(reason, _) => {
                    self.break_off(reason);
                    return Some(Err(StreamError));
                }
            }
        }
    }

    /// Returns whether all bytes of the length that the server states were taken.
    fn has_passed_stated_length(&self) -> bool {
        let is_read = |r: &OpenResponse| r.body.is_end_stream();
        self.received.is_empty()
            && self.beginning.is_empty()
            && self.response.as_ref().is_some_and(is_read)
    }

    /// Reads the next part until the deadline. Returns `None` if the response has ended.
    async fn read_part(&mut self) -> Option<Part> {
        let deadline = self.exchange.inbound.deadline_at;
        let response = self.response.as_mut()?;
        let part = match timeout_at(deadline, read_part(&mut response.body)).await {
            // A timeout does not end a wait for data that are always there.
            Ok(Part::Data(_)) if TokioInstant::now() >= deadline => {
                Part::Failed(RetryReason::Silent)
            }
            Ok(part) => part,
            Err(_elapsed) => Part::Failed(RetryReason::Silent),
        };
        let shared = &self.exchange.shared;
        let method = &self.exchange.inbound.head.method;
        Some(match part {
            Part::Failed(reason) if reason == RetryReason::Truncated => {
                Part::Failed(shared.diagnose(&response.destination, reason).await)
            }
            Part::End if ends_with_connection(method, &response.head) => {
                let check = response.port.take();
                let end = shared.unmarked_end(&response.destination, check).await;
                self.end = end;
                end.failure().map_or(Part::End, Part::Failed)
            }
            part => part,
        })
    }

    /// Records the end of the response.
    fn finish(&mut self) {
        let Some(response) = self.response.take() else {
            return;
        };
        let exchange = &mut self.exchange;
        let status = response.head.status;
        let is_harmless = self.end.is_harmless();
        exchange.finish(&response.backend, !status.is_server_error(), is_harmless);
        keep(&exchange.shared.pool, response.connection, &response.head);
        exchange.record.end(&End::Answered {
            backend: Some(response.backend),
            status: status.as_u16(),
        });
    }

    /// Records that the response has failed, and closes its connection.
    fn break_off(&mut self, reason: RetryReason) {
        let Some(response) = self.response.take() else {
            return;
        };
        let failure = Failure {
            answered: true,
            ..may_have_run_failure(reason)
        };
        self.exchange.report_failure(&response.backend, failure);
        let code = Code::StreamInterrupted;
        self.exchange.record.end(&End::BrokenOff { reason, code });
    }
}
