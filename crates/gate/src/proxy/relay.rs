//! Passes a stream of events on to its caller, and resumes it where it breaks.

use std::{fmt, time::Duration};

use bytes::Bytes;
use config::Repeat;
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
        events::WholeEvents,
        exchange::{Exchange, Opened},
        log,
    },
};

/// Times the longest pause in time after which a stream that can be resumed counts as silent.
const SILENT_GAPS: u64 = 3;

/// The stream ended early; the caller's connection is closed without the end of the response.
#[derive(Debug)]
pub struct Broken;

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the stream broke off")
    }
}

impl std::error::Error for Broken {}

struct Relay<R: StateMachine, N: Peers, D> {
    exchange: Exchange<R, N, D>,
    opened: Option<Opened>,
    events: WholeEvents,
    frames: u64,
    /// When the last frame arrived, and the longest time between two frames.
    last_frame: Instant,
    longest_pause: Micros,
    /// Time from the arrival of the request to the first frame.
    first_frame: Micros,
}

/// Returns the bytes of a stream as they arrive.
pub(crate) fn relay<R: StateMachine, N: Peers, D: HeaderCodec>(
    exchange: Exchange<R, N, D>,
    opened: Opened,
) -> impl Stream<Item = Result<Frame<Bytes>, Broken>> {
    let relay = Relay {
        last_frame: exchange.shared.clock.now(),
        exchange,
        opened: Some(opened),
        events: WholeEvents::default(),
        frames: 0,
        longest_pause: Micros::ZERO,
        first_frame: Micros::ZERO,
    };
    futures::stream::unfold(relay, |mut relay| async move {
        let next = relay.next().await?;
        Some((next.map(Frame::data), relay))
    })
}

impl<R: StateMachine, N: Peers, D: HeaderCodec> Relay<R, N, D> {
    async fn next(&mut self) -> Option<Result<Bytes, Broken>> {
        loop {
            let limit = self.limit();
            let opened = self.opened.as_mut()?;
            let failed = match timeout_at(limit, opened.body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    match self.pass(data) {
                        Some(bytes) => return Some(Ok(bytes)),
                        None => continue,
                    }
                }
                Ok(None) => return self.finish().map(Ok),
                Ok(Some(Err(_))) => RetryReason::Truncated,
                Err(_elapsed) => RetryReason::Silent,
            };
            if !self.resume(failed).await {
                return Some(Err(Broken));
            }
        }
    }

    /// Returns the time until which the next frame is awaited.
    fn limit(&self) -> TokioInstant {
        let inbound = &self.exchange.inbound;
        let resumes = inbound.terms.repeat == Repeat::Resume
            && self.exchange.attempts < inbound.terms.max_attempts;
        match inbound.terms.gap {
            Some(gap) if resumes && self.frames > 0 => {
                let silence = Duration::from_micros(gap.get() * SILENT_GAPS);
                (TokioInstant::now() + silence).min(inbound.ends)
            }
            _ => inbound.ends,
        }
    }

    fn pass(&mut self, data: Bytes) -> Option<Bytes> {
        self.note_frame();
        self.exchange.answered = true;
        if self.exchange.inbound.terms.repeat != Repeat::Resume {
            return Some(data);
        }
        let taken = self.events.push(&data);
        if taken.last_id.is_some() {
            self.exchange.last_event = taken.last_id;
        }
        (!taken.bytes.is_empty()).then_some(taken.bytes)
    }

    /// Notes the time of a frame, and tells the router of the first one.
    fn note_frame(&mut self) {
        let now = self.exchange.shared.clock.now();
        if self.frames == 0 {
            self.exchange.flight.first_byte();
            self.first_frame = now.since(self.exchange.arrived);
            metrics::histogram!("celerytally_first_event_seconds")
                .record(self.first_frame.as_secs_f64());
        } else {
            self.longest_pause = self.longest_pause.max(now.since(self.last_frame));
        }
        self.last_frame = now;
        self.frames += 1;
    }

    /// Returns when the frames arrived, for the log.
    fn pace(&self) -> log::Pace {
        log::Pace {
            events: self.frames,
            first: self.first_frame,
            longest_pause: self.longest_pause,
        }
    }

    fn finish(&mut self) -> Option<Bytes> {
        let opened = self.opened.take()?;
        let pace = self.pace();
        let exchange = &mut self.exchange;
        exchange.flight.finished(0, true);
        exchange.ended = true;
        exchange.keep(opened.connection, &opened.head);
        let held = exchange.shared.clock.now().since(exchange.arrived);
        metrics::histogram!("celerytally_request_seconds").record(held.as_secs_f64());
        let request = &exchange.inbound.asked.id;
        let status = opened.head.status.as_u16();
        metrics::histogram!("celerytally_longest_pause_seconds")
            .record(self.longest_pause.as_secs_f64());
        log::answered(request, opened.backend.as_str(), status, held, pace);
        let rest = self.events.finish();
        (!rest.is_empty()).then_some(rest)
    }

    /// Goes on at another backend server; tells whether that worked.
    async fn resume(&mut self, reason: RetryReason) -> bool {
        let Some(opened) = self.opened.take() else {
            return false;
        };
        self.events.discard();
        let pace = self.pace();
        let exchange = &mut self.exchange;
        let late = TokioInstant::now() >= exchange.inbound.ends;
        let resumes = exchange.inbound.terms.repeat == Repeat::Resume && !late;
        let backend = opened.backend.clone();
        // Dropping the connection tells the former server to stop before another one goes on.
        drop(opened);
        let failure = Failure {
            reason,
            may_have_run: true,
            answered: exchange.answered,
            resumes,
        };
        exchange.fail(&backend, failure);
        if resumes
            && let Ok(next) = exchange.open().await
            && next.head.status.is_success()
        {
            exchange.flight.first_byte();
            self.opened = Some(next);
            return true;
        }
        exchange.ended = true;
        let held = exchange.shared.clock.now().since(exchange.arrived);
        let request = &exchange.inbound.asked.id;
        log::broken_off(request, reason.label(), held, pace);
        false
    }
}
