//! Forwarding of event streams, with resumption on another backend server.

use std::{collections::VecDeque, fmt, sync::Arc, time::Duration};

use bytes::Bytes;
use config::RetryPolicy;
use futures::{
    Stream,
    future::{Either, select},
    stream,
};
use http::response;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use route::Failure;
use tokio::time::{Instant as TokioInstant, timeout_at};
use types::{Code, RetryReason};

use crate::{
    dispatcher::StateMachine,
    peers::Peers,
    proxy::{
        attempt::{Attempt, OpenResponse, keep, may_have_run_failure},
        buffer::Charge,
        codec::HeaderCodec,
        events::{EventSplitter, ends_event},
        exchange::Exchange,
        kind::StreamKind,
        liveness::is_framed,
        position::Position,
    },
    record::{End, Progress},
    refusal::Refusal,
};

/// Multiple of the longest allowed gap after which a resumable stream counts as stalled.
const STALL_GAP_FACTOR: u64 = 3;

/// Maximum time for which a stream is open at two servers after both have begun to respond.
const MAX_OVERLAP: Duration = Duration::from_millis(300);

/// Maximum size of a piece of a stream that is passed to the HTTP library.
const MAX_PIECE_BYTES: usize = 8 << 10;

/// Error of a stream that ended early. The caller's connection is closed without completing the
/// response.
#[derive(Debug)]
pub struct StreamError;

impl fmt::Display for StreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("response stream ended early")
    }
}

impl std::error::Error for StreamError {}

/// Part of a response body.
#[derive(Debug)]
enum Part {
    Data(Bytes),
    End,
    /// The response has failed; the router does not know yet.
    Failed(RetryReason),
    /// The response has failed, and no other server continues it.
    Refused(RetryReason, Refusal),
}

/// Relation of a response to the events that were forwarded before it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Origin {
    /// It started the stream.
    First,
    /// It continues the stream, and none of its events has arrived yet.
    Resumed,
    /// It continues the stream with an event that follows.
    Joined,
}

/// Response of another server that continues a stream, and the data of its first event.
struct Continuation {
    response: OpenResponse,
    data: Vec<Bytes>,
}

/// Outcome of the wait for a stalled server and for another one.
enum Race<F> {
    /// The stalled server went on.
    Continued(Part),
    /// The stalled server failed; the other one goes on.
    StalledFailed(RetryReason, F),
    /// The other server responded or failed.
    Opened(Box<Result<Continuation, Failure>>),
}

/// Reads the next part of a response body, without a time limit.
async fn read_part(body: &mut Incoming) -> Part {
    loop {
        match body.frame().await {
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    return Part::Data(data);
                }
            }
            Some(Err(_)) => return Part::Failed(RetryReason::Truncated),
            None => return Part::End,
        }
    }
}

/// First part of a stream.
pub(crate) enum FirstPart<E, S> {
    /// Head of the response and the body from the first part on.
    Received(response::Parts, S),
    /// The stream failed before its first part, and the router knows.
    Failed(E),
    /// The stream failed before its first part, and no other server continues it.
    Refused(E, Refusal),
}

/// Response of a backend server that is forwarded part by part.
pub(crate) struct StreamRelay<R: StateMachine, N: Peers, C> {
    exchange: Exchange<R, N, C>,
    response: Option<OpenResponse>,
    /// Data of the response that were received and not processed yet.
    received: VecDeque<Bytes>,
    /// Kind of the first response; one that continues it has the same.
    kind: StreamKind,
    events: EventSplitter,
    /// Last bytes of the current response.
    tail: Vec<u8>,
    /// How the current response relates to the events that were forwarded before it.
    origin: Origin,
    /// Charge of a partial event that is held back.
    charge: Charge,
    /// Time at which the stream counts as stalled; `None` until its first event.
    stalls_at: Option<TokioInstant>,
}

impl<R: StateMachine, N: Peers, C: HeaderCodec> StreamRelay<R, N, C> {
    pub(crate) fn new(exchange: Exchange<R, N, C>, response: OpenResponse) -> Self {
        Self {
            charge: exchange.shared.buffers.charge(),
            stalls_at: None,
            exchange,
            kind: StreamKind::of(&response.head),
            response: Some(response),
            received: VecDeque::new(),
            events: EventSplitter::default(),
            tail: Vec::new(),
            origin: Origin::First,
        }
    }

    /// Waits for the first part of the stream.
    ///
    /// The head is not returned before, so that a stream that fails until then can be refused or run
    /// again.
    pub(crate) async fn first_part(
        mut self,
    ) -> FirstPart<Exchange<R, N, C>, impl Stream<Item = Result<Frame<Bytes>, StreamError>>> {
        let first = self.next_part().await;
        let head = self.response.as_ref().map(|r| r.head.clone());
        let (first, head) = match (first, head) {
            (Part::Data(data), Some(head)) => (Some(Ok(Frame::data(data))), head),
            (Part::End, Some(head)) => (self.finish().map(|rest| Ok(Frame::data(rest))), head),
            (Part::Refused(_, refusal), _) => return FirstPart::Refused(self.exchange, refusal),
            (Part::Failed(reason), _) => {
                self.fail_response(reason).await;
                return FirstPart::Failed(self.exchange);
            }
            (Part::Data(_) | Part::End, None) => {
                return FirstPart::Refused(self.exchange, Code::Internal.into());
            }
        };
        let rest = stream::unfold(self, |mut relay| async move {
            let next = relay.next().await?;
            Some((next.map(Frame::data), relay))
        });
        FirstPart::Received(head, futures::StreamExt::chain(stream::iter(first), rest))
    }

    async fn next(&mut self) -> Option<Result<Bytes, StreamError>> {
        loop {
            self.response.as_ref()?;
            let (reason, refusal) = match self.next_part().await {
                Part::Data(data) => return Some(Ok(data)),
                Part::End => return self.finish().map(Ok),
                Part::Refused(reason, refusal) => (reason, refusal),
                Part::Failed(reason) => {
                    let reason = self.fail_response(reason).await;
                    match self.reopen().await {
                        Ok(()) => continue,
                        Err(refusal) => (reason, refusal),
                    }
                }
            };
            self.response = None;
            let code = refusal.code;
            self.exchange.record.end(&End::BrokenOff { reason, code });
            return Some(Err(StreamError));
        }
    }

    /// Waits for the next part to forward. While the server is silent, another one is tried as well.
    async fn next_part(&mut self) -> Part {
        loop {
            if let Some(data) = self.received.pop_front() {
                match self.accept_data(data) {
                    Some(part) => return part,
                    None => continue,
                }
            }
            let stalls_at = self.stalls_at();
            let Some(response) = self.response.as_mut() else {
                return Part::Failed(RetryReason::Truncated);
            };
            let part = match timeout_at(stalls_at, read_part(&mut response.body)).await {
                // A timeout does not end a wait for data that are always there.
                Ok(Part::Data(_)) | Err(_) if self.is_past_deadline() => {
                    Part::Failed(RetryReason::Silent)
                }
                Ok(part) => part,
                Err(_elapsed) => {
                    let part = self.try_takeover().await;
                    self.restart_stall_timer();
                    match part {
                        Some(part) => part,
                        None => continue,
                    }
                }
            };
            let part = match part {
                Part::Data(data) => self.accept_data(data),
                Part::End => match self.failure_at_end().await {
                    Some(reason) => Some(Part::Failed(reason)),
                    None => Some(Part::End),
                },
                part => Some(part),
            };
            if let Some(part) = part {
                return part;
            }
        }
    }

    /// Returns whether the end of the current response, if it came now, would not be that of the stream.
    ///
    /// The length that a server states proves nothing within an event. Without a length, the end of the
    /// connection marks the end of a stream only after an event.
    fn ends_early(&self) -> bool {
        let ends_event = self.tail.is_empty() || ends_event(&self.tail);
        let within_event = self.kind.has_events() && !ends_event;
        within_event || (self.origin == Origin::Resumed && !self.is_framed())
    }

    fn is_framed(&self) -> bool {
        self.response.as_ref().is_some_and(|r| is_framed(&r.head))
    }

    /// Returns why the end of the current response is not that of the stream, if it is not.
    ///
    /// Without a length, the response of a server that crashes between two events ends like a complete
    /// one.
    async fn failure_at_end(&mut self) -> Option<RetryReason> {
        if self.ends_early() {
            return Some(RetryReason::Truncated);
        }
        if self.is_framed() {
            return None;
        }
        let response = self.response.as_mut()?;
        let (port, destination) = (response.port.take(), response.destination.clone());
        let shared = &self.exchange.shared;
        let crashed = shared.ended_by_crash(&destination, port).await;
        crashed.then_some(RetryReason::Crash)
    }

    fn is_past_deadline(&self) -> bool {
        TokioInstant::now() >= self.exchange.inbound.deadline_at
    }

    fn resumes(&self) -> bool {
        self.exchange.inbound.policy.retry_policy == RetryPolicy::Resume
    }

    fn can_resume(&self) -> bool {
        self.resumes() && self.exchange.position.is_resumable()
    }

    /// Returns the time at which the stream counts as stalled.
    fn stalls_at(&self) -> TokioInstant {
        let deadline = self.exchange.inbound.deadline_at;
        let stalls_at = self.stalls_at.filter(|_| self.can_resume());
        stalls_at.unwrap_or(deadline)
    }

    /// Starts to wait for the next event; bytes of an incomplete one do not end the wait.
    fn restart_stall_timer(&mut self) {
        let gap = self.exchange.inbound.policy.gap;
        self.stalls_at = gap.map(|gap| {
            let time = Duration::from_micros(gap.get().saturating_mul(STALL_GAP_FACTOR));
            self.exchange.stalls_after(time)
        });
    }

    /// Tries to continue a stalled stream at another server, which then provides the response.
    ///
    /// Returns what the stalled server sent before the other one responded, if anything.
    async fn try_takeover(&mut self) -> Option<Part> {
        let attempt = self.exchange.start_takeover()?;
        let other = attempt.server.id.clone();
        let ends_early = self.ends_early();
        let response = self.response.as_mut()?;
        let stalled = response.backend.clone();
        let position = self.exchange.position.clone();
        let opening = open_continuation(attempt, self.kind.clone(), position);
        let reading = Box::pin(read_part(&mut response.body));
        let race = match select(reading, Box::pin(opening)).await {
            Either::Left((Part::Failed(reason), opening)) => Race::StalledFailed(reason, opening),
            Either::Left((Part::End, opening)) if ends_early => {
                Race::StalledFailed(RetryReason::Truncated, opening)
            }
            Either::Left((part, _opening)) => Race::Continued(part),
            Either::Right((opened, _reading)) => Race::Opened(Box::new(opened)),
        };
        let opened = match race {
            Race::Continued(part) => {
                self.exchange.takeover_failed(&other, None);
                return Some(part);
            }
            Race::StalledFailed(reason, opening) => {
                let reason = self.diagnose(reason).await;
                let failure = self.failure(reason);
                self.exchange.taken_over(&stalled, Some(failure));
                self.response = None;
                opening.await
            }
            Race::Opened(opened) => *opened,
        };
        let failure = match opened {
            Ok(continuation) => {
                if self.response.is_some() {
                    self.exchange.taken_over(&stalled, None);
                }
                self.switch_to(continuation.response);
                self.received.extend(continuation.data);
                return None;
            }
            Err(failure) => failure,
        };
        if self.response.is_some() {
            self.exchange.takeover_failed(&other, Some(failure));
            return None;
        }
        self.exchange.report_failure(&other, failure);
        let reopened = self.reopen().await;
        reopened
            .err()
            .map(|refusal| Part::Refused(failure.reason, refusal))
    }

    /// Replaces the response; a partial event of the earlier one is discarded.
    fn switch_to(&mut self, next: OpenResponse) {
        self.exchange.handle.first_byte();
        self.events.discard_partial();
        self.received.clear();
        self.tail.clear();
        let answered = self.exchange.record.progress == Progress::Answering;
        let after_event = self.exchange.position.last_event_id().is_some();
        self.origin = if answered || after_event {
            Origin::Resumed
        } else {
            Origin::First
        };
        // Closes the connection of the earlier response, so that its server stops.
        self.response = Some(next);
        self.restart_stall_timer();
    }

    /// Reports that the current response has failed, and closes its connection. Returns the reason of
    /// the failure, which is another one if the server has crashed.
    async fn fail_response(&mut self, reason: RetryReason) -> RetryReason {
        let reason = self.diagnose(reason).await;
        let failure = self.failure(reason);
        if let Some(response) = self.response.take() {
            self.exchange.report_failure(&response.backend, failure);
        }
        reason
    }

    /// Checks whether the server of a response that ended early has crashed.
    async fn diagnose(&self, reason: RetryReason) -> RetryReason {
        match &self.response {
            Some(response) if reason == RetryReason::Truncated => {
                let shared = &self.exchange.shared;
                shared.diagnose(&response.destination, reason).await
            }
            _ => reason,
        }
    }

    fn failure(&self, reason: RetryReason) -> Failure {
        Failure {
            answered: self.exchange.record.progress == Progress::Answering,
            resumes: self.can_resume(),
            ..may_have_run_failure(reason)
        }
    }

    /// Opens a response that continues the stream after a reported failure.
    ///
    /// # Errors
    /// The refusal, if no other server continues it.
    async fn reopen(&mut self) -> Result<(), Refusal> {
        loop {
            let next = self.exchange.open().await?;
            if StreamKind::of(&next.head) == self.kind {
                self.switch_to(next);
                return Ok(());
            }
            let failure = self.failure(RetryReason::ServerError);
            self.exchange.report_failure(&next.backend, failure);
        }
    }

    /// Returns the part to forward, or `None` if data is held back until an event is complete.
    fn accept_data(&mut self, data: Bytes) -> Option<Part> {
        self.record_part();
        let data = self.split_off_rest(data);
        keep_tail(&mut self.tail, &data);
        if !self.resumes() {
            self.exchange.record.progress = Progress::Answering;
            return Some(Part::Data(data));
        }
        if self.stalls_at.is_none() {
            self.restart_stall_timer();
        }
        let complete = self.events.push(&data);
        for id in complete.ids {
            if self.origin == Origin::Resumed {
                if !self.exchange.position.is_followed_by(id.as_deref()) {
                    return Some(Part::Failed(RetryReason::Mismatch));
                }
                self.origin = Origin::Joined;
            }
            self.exchange.position.advance(id);
        }
        if self.events.is_oversized() || !self.charge.set(self.events.partial_len()) {
            return Some(Part::Failed(RetryReason::Truncated));
        }
        if complete.bytes.is_empty() {
            return None;
        }
        self.restart_stall_timer();
        self.exchange.record.progress = Progress::Answering;
        Some(Part::Data(complete.bytes))
    }

    /// Returns the first piece of data; the rest is processed after it.
    ///
    /// The HTTP library holds a number of pieces for a caller that reads slowly, whatever their size.
    fn split_off_rest(&mut self, mut data: Bytes) -> Bytes {
        if data.len() > MAX_PIECE_BYTES {
            self.received.push_front(data.split_off(MAX_PIECE_BYTES));
        }
        data
    }

    /// Records the arrival of a part and reports the first one to the router.
    fn record_part(&mut self) {
        if self.exchange.record.timing.events == 0 {
            self.exchange.handle.first_byte();
        }
        self.exchange.record.part(1);
    }

    /// Records the end of the stream and returns the bytes after its last complete event.
    fn finish(&mut self) -> Option<Bytes> {
        let response = self.response.take()?;
        let exchange = &mut self.exchange;
        exchange.handle.finished(0, true);
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

/// Opens a response that continues a stream, and waits for its first event.
///
/// Until then the server before may still go on. The wait after the head is limited, so that two
/// servers do not work on the same stream for long.
///
/// # Errors
/// The failure of the attempt, also if the response is another one.
async fn open_continuation<R: StateMachine, N: Peers, C: HeaderCodec>(
    attempt: Attempt<R, N, C>,
    kind: StreamKind,
    position: Position,
) -> Result<Continuation, Failure> {
    let shared = Arc::clone(&attempt.shared);
    let mut response = attempt.run().await?;
    if StreamKind::of(&response.head) != kind {
        return Err(may_have_run_failure(RetryReason::ServerError));
    }
    let until = TokioInstant::now() + MAX_OVERLAP;
    let mut events = EventSplitter::default();
    let mut data = Vec::new();
    while let Ok(part) = timeout_at(until, read_part(&mut response.body)).await {
        match part {
            Part::Data(bytes) => {
                let complete = events.push(&bytes);
                data.push(bytes);
                if events.is_oversized() {
                    return Err(may_have_run_failure(RetryReason::Truncated));
                }
                let first = complete.ids.first();
                if first.is_some_and(|id| !position.is_followed_by(id.as_deref())) {
                    return Err(may_have_run_failure(RetryReason::Mismatch));
                }
                if !complete.ids.is_empty() {
                    break;
                }
            }
            Part::Refused(reason, _) => return Err(may_have_run_failure(reason)),
            // The server before has not ended the stream, so an event is missing.
            Part::Failed(_) | Part::End => {
                let reason = RetryReason::Truncated;
                let reason = shared.diagnose(&response.destination, reason).await;
                return Err(may_have_run_failure(reason));
            }
        }
    }
    Ok(Continuation { response, data })
}

/// Number of bytes that show whether a stream ends with a complete event.
const TAIL_BYTES: usize = 3;

/// Replaces the last bytes of a stream by those after further data.
fn keep_tail(tail: &mut Vec<u8>, data: &[u8]) {
    tail.extend_from_slice(&data[data.len().saturating_sub(TAIL_BYTES)..]);
    let excess = tail.len().saturating_sub(TAIL_BYTES);
    tail.drain(..excess);
}
