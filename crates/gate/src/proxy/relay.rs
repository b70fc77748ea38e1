//! Forwarding of event streams, with resumption on another backend server.

use std::{fmt, time::Duration};

use bytes::Bytes;
use config::RetryPolicy;
use futures::Stream;
use http_body_util::BodyExt;
use hyper::body::Frame;
use route::Failure;
use tokio::time::{Instant as TokioInstant, timeout_at};
use types::{Clock, Instant, Micros, RetryReason};

use crate::{
    dispatcher::StateMachine,
    peers::Peers,
    proxy::{
        codec::HeaderCodec,
        events::EventSplitter,
        exchange::{Exchange, OpenResponse},
        log,
    },
};

/// Multiple of the longest allowed gap after which a resumable stream counts as silent.
const SILENCE_GAP_FACTOR: u64 = 3;

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

struct StreamRelay<R: StateMachine, N: Peers, C> {
    exchange: Exchange<R, N, C>,
    response: Option<OpenResponse>,
    events: EventSplitter,
    frames: u64,
    /// Arrival time of the last frame.
    last_frame: Instant,
    /// Longest time between two consecutive frames.
    longest_pause: Micros,
    /// Time from the request's arrival to the first frame.
    first_frame: Micros,
}

/// Returns the response body as a stream of frames.
pub(crate) fn relay<R: StateMachine, N: Peers, C: HeaderCodec>(
    exchange: Exchange<R, N, C>,
    response: OpenResponse,
) -> impl Stream<Item = Result<Frame<Bytes>, StreamError>> {
    let relay = StreamRelay {
        last_frame: exchange.shared.clock.now(),
        exchange,
        response: Some(response),
        events: EventSplitter::default(),
        frames: 0,
        longest_pause: Micros::ZERO,
        first_frame: Micros::ZERO,
    };
    futures::stream::unfold(relay, |mut relay| async move {
        let next = relay.next().await?;
        Some((next.map(Frame::data), relay))
    })
}

impl<R: StateMachine, N: Peers, C: HeaderCodec> StreamRelay<R, N, C> {
    async fn next(&mut self) -> Option<Result<Bytes, StreamError>> {
        loop {
            let timeout = self.frame_timeout_at();
            let response = self.response.as_mut()?;
            let failed = match timeout_at(timeout, response.body.frame()).await {
                // A timeout does not end a wait for data that are always there.
                Ok(_) if self.is_past_deadline() => RetryReason::Silent,
                Ok(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    match self.accept_data(data) {
                        Some(bytes) => return Some(Ok(bytes)),
                        None if self.events.is_oversized() => RetryReason::Truncated,
                        None => continue,
                    }
                }
                Ok(None) => return self.finish().map(Ok),
                Ok(Some(Err(_))) => RetryReason::Truncated,
                Err(_elapsed) => RetryReason::Silent,
            };
            if !self.resume(failed).await {
                return Some(Err(StreamError));
            }
        }
    }

    fn is_past_deadline(&self) -> bool {
        TokioInstant::now() >= self.exchange.inbound.deadline_at
    }

    /// Returns the time at which waiting for the next frame is abandoned.
    fn frame_timeout_at(&self) -> TokioInstant {
        let inbound = &self.exchange.inbound;
        let resumes = inbound.policy.retry_policy == RetryPolicy::Resume
            && self.exchange.attempts < inbound.policy.max_attempts;
        match inbound.policy.gap {
            Some(gap) if resumes && self.frames > 0 => {
                let silence = Duration::from_micros(gap.get() * SILENCE_GAP_FACTOR);
                (TokioInstant::now() + silence).min(inbound.deadline_at)
            }
            _ => inbound.deadline_at,
        }
    }

    fn accept_data(&mut self, data: Bytes) -> Option<Bytes> {
        self.record_frame();
        self.exchange.answered = true;
        if self.exchange.inbound.policy.retry_policy != RetryPolicy::Resume {
            return Some(data);
        }
        let complete = self.events.push(&data);
        if complete.last_id.is_some() {
            self.exchange.last_event_id = complete.last_id;
        }
        (!complete.bytes.is_empty()).then_some(complete.bytes)
    }

    /// Records the arrival time of a frame and reports the first one to the router.
    fn record_frame(&mut self) {
        let now = self.exchange.shared.clock.now();
        if self.frames == 0 {
            self.exchange.handle.first_byte();
            self.first_frame = now.since(self.exchange.arrived_at);
            metrics::histogram!("celerytally_first_event_seconds")
                .record(self.first_frame.as_secs_f64());
        } else {
            self.longest_pause = self.longest_pause.max(now.since(self.last_frame));
        }
        self.last_frame = now;
        self.frames += 1;
    }

    /// Returns the frame timing for logging.
    fn timing(&self) -> log::StreamTiming {
        log::StreamTiming {
            events: self.frames,
            first: self.first_frame,
            longest_pause: self.longest_pause,
        }
    }

    fn finish(&mut self) -> Option<Bytes> {
        let response = self.response.take()?;
        let timing = self.timing();
        let exchange = &mut self.exchange;
        exchange.handle.finished(0, true);
        exchange.end_logged = true;
        exchange.keep(response.connection, &response.head);
        let elapsed = exchange.shared.clock.now().since(exchange.arrived_at);
        metrics::histogram!("celerytally_request_seconds").record(elapsed.as_secs_f64());
        let request = &exchange.inbound.info.id;
        let status = response.head.status.as_u16();
        metrics::histogram!("celerytally_longest_pause_seconds")
            .record(self.longest_pause.as_secs_f64());
        log::answered(request, response.backend.as_str(), status, elapsed, timing);
        let rest = self.events.take_remainder();
        (!rest.is_empty()).then_some(rest)
    }

    /// Resumes the stream on another backend server. Returns whether it succeeded.
    async fn resume(&mut self, reason: RetryReason) -> bool {
        let Some(response) = self.response.take() else {
            return false;
        };
        self.events.discard_partial();
        let timing = self.timing();
        let expired = self.is_past_deadline();
        let exchange = &mut self.exchange;
        let resumes = exchange.inbound.policy.retry_policy == RetryPolicy::Resume && !expired;
        let backend = response.backend.clone();
        // Close the connection so that the old server stops before another one resumes.
        drop(response);
        let failure = Failure {
            reason,
            may_have_run: true,
            answered: exchange.answered,
            resumes,
        };
        exchange.report_failure(&backend, failure);
        if resumes
            && let Ok(next) = exchange.open().await
            && next.head.status.is_success()
        {
            exchange.handle.first_byte();
            self.response = Some(next);
            return true;
        }
        exchange.end_logged = true;
        let elapsed = exchange.shared.clock.now().since(exchange.arrived_at);
        let request = &exchange.inbound.info.id;
        log::broken_off(request, reason.label(), elapsed, timing);
        false
    }
}
