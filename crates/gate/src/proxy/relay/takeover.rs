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
        Shared,
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

/// Outcome of the wait for the first event of a response.
enum FirstEvent {
    /// It has arrived with these data.
    Arrived(Vec<Bytes>),
    /// The time is over; these data have arrived.
    Pending(Vec<Bytes>),
    /// The response has ended.
    Ended,
    /// The response has broken off.
    Broken,
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

    /// Tries to continue a stream of which it is unclear whether its end is complete. Returns whether another
    /// server sends further events.
    pub(super) async fn try_continuation(&mut self) -> bool {
        let Some(ended) = self.response.as_ref().map(|r| r.backend.clone()) else {
            return false;
        };
        let Some(attempt) = self.exchange.start_takeover() else {
            return false;
        };
        let other = attempt.server.id.clone();
        match self.open_until_event(attempt).await {
            Ok(Some(continuation)) => {
                let failure = self.failure(RetryReason::Truncated);
                self.exchange.taken_over(&ended, Some(failure));
                self.switch_to(continuation.response);
                self.received.extend(continuation.data);
                true
            }
            Ok(None) => {
                self.exchange.takeover_failed(&other, None);
                false
            }
            Err(failure) => {
                self.exchange.takeover_failed(&other, Some(failure));
                false
            }
        }
    }

    /// Opens a response that continues the stream, and waits for its first event until the deadline. Returns
    /// `None` if it ends without one.
    async fn open_until_event(
        &self,
        attempt: Attempt<R, N, C>,
    ) -> Result<Option<Continuation>, Failure> {
        let mut response = open_same_kind(attempt, &self.kind).await?;
        let until = self.exchange.inbound.deadline_at;
        match read_first_event(&mut response, &self.exchange.position, until).await? {
            FirstEvent::Arrived(data) => Ok(Some(Continuation { response, data })),
            FirstEvent::Pending(_) | FirstEvent::Ended => Ok(None),
            FirstEvent::Broken => Err(broken_off(&self.exchange.shared, &response).await),
        }
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
    let mut response = open_same_kind(attempt, &kind).await?;
    let until = TokioInstant::now() + MAX_OVERLAP;
    match read_first_event(&mut response, &position, until).await? {
        FirstEvent::Arrived(data) | FirstEvent::Pending(data) => {
            Ok(Continuation { response, data })
        }
        // The server before has not ended the stream, so an event is missing.
        FirstEvent::Ended | FirstEvent::Broken => Err(broken_off(&shared, &response).await),
    }
}

/// Returns the failure of a response that broke off.
async fn broken_off<R: StateMachine, N: Peers, C: HeaderCodec>(
    shared: &Shared<R, N, C>,
    response: &OpenResponse,
) -> Failure {
    let reason = RetryReason::Truncated;
    may_have_run_failure(shared.diagnose(&response.destination, reason).await)
}

/// Opens a response of the same kind as the stream.
///
/// # Errors
/// The failure of the attempt, also if the response is another one.
async fn open_same_kind<R: StateMachine, N: Peers, C: HeaderCodec>(
    attempt: Attempt<R, N, C>,
    kind: &StreamKind,
) -> Result<OpenResponse, Failure> {
    let response = attempt.run().await?;
    if StreamKind::of(&response.head) != *kind {
        return Err(may_have_run_failure(RetryReason::ServerError));
    }
    Ok(response)
}

/// Reads the first event of a response that continues a stream.
///
/// # Errors
/// When the event is too large or does not follow the position.
async fn read_first_event(
    response: &mut OpenResponse,
    position: &Position,
    until: TokioInstant,
) -> Result<FirstEvent, Failure> {
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
                    return Ok(FirstEvent::Arrived(data));
                }
            }
            Part::Refused(reason, _) => return Err(may_have_run_failure(reason)),
            Part::Failed(_) => return Ok(FirstEvent::Broken),
            Part::End => return Ok(FirstEvent::Ended),
        }
    }
    Ok(FirstEvent::Pending(data))
}
