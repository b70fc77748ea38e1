//! Continuation of a stream at another server, because its own has stalled or failed.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures::future::{Either, select};
use route::Failure;
use tokio::time::{Instant as TokioInstant, timeout_at};
use types::RetryReason;

use super::{Origin, Part, StreamRelay, read_part};
use crate::{
    dispatcher::StateMachine,
    peers::Peers,
    proxy::{
        attempt::{Attempt, OpenResponse, may_have_run_failure},
        codec::HeaderCodec,
        events::EventSplitter,
        kind::StreamKind,
        liveness::UnmarkedEnd,
        position::Position,
        sustained::Periods,
    },
    record::Progress,
    refusal::Refusal,
};

/// Maximum time for which a stream is open at two servers after both have begun to respond.
const MAX_OVERLAP: Duration = Duration::from_millis(300);

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

impl<R: StateMachine, N: Peers, C: HeaderCodec> StreamRelay<R, N, C> {
    /// Tries to continue a stalled stream at another server, which then provides the response.
    ///
    /// Returns what the stalled server sent before the other one responded, if anything.
    pub(super) async fn try_takeover(&mut self) -> Option<Part> {
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
        self.periods = Periods::default();
        self.end = UnmarkedEnd::Alive;
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

    /// Opens a response that continues the stream after a reported failure.
    ///
    /// # Errors
    /// The refusal, if no other server continues it.
    pub(super) async fn reopen(&mut self) -> Result<(), Refusal> {
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
