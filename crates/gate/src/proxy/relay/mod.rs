//! Forwarding of responses part by part: of event streams, with resumption on another backend server,
//! and of plain responses that are not buffered.

mod end;
mod plain;
mod takeover;

use std::{collections::VecDeque, fmt, time::Duration};

use bytes::Bytes;
use config::RetryPolicy;
use futures::{Stream, stream};
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
        attempt::{OpenResponse, may_have_run_failure},
        buffer::{Charge, count_oversized},
        codec::HeaderCodec,
        events::EventSplitter,
        exchange::Exchange,
        kind::StreamKind,
        liveness::UnmarkedEnd,
        sustained::Periods,
    },
    record::{End, Progress},
    refusal::Refusal,
};

pub(crate) use plain::PlainRelay;

/// Multiple of the longest allowed gap after which a resumable stream counts as stalled.
const STALL_GAP_FACTOR: u64 = 3;

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
    /// Periods in which data of the current response arrived.
    periods: Periods,
    /// What ended the current response; `Alive` for one whose end is marked.
    end: UnmarkedEnd,
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
            periods: Periods::default(),
            end: UnmarkedEnd::Alive,
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
                Part::End => self.part_at_end().await,
                part => Some(part),
            };
            if let Some(part) = part {
                return part;
            }
        }
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

    /// Returns the part to forward, or `None` if data is held back until an event is complete.
    fn accept_data(&mut self, data: Bytes) -> Option<Part> {
        self.record_part();
        let data = self.split_off_rest(data);
        end::keep_tail(&mut self.tail, &data);
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
            count_oversized();
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
        if self.periods.record_data(TokioInstant::now())
            && let Some(response) = &self.response
        {
            self.exchange.sustained(&response.backend);
        }
        self.exchange.record.part(1);
    }
}
