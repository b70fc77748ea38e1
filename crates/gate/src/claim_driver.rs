//! Asynchronous driver of the claim state machine.

use std::{
    collections::VecDeque,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use claim::{Action, Claim, Event, Outcome, Record, Reply as ClaimReply, State};
use serde::{Deserialize, Serialize};
use store::{Category, Kind, Platform, Revision};
use tokio::sync::oneshot;
use types::{AttemptId, Clock, Code, Monotonic};

use crate::{claims::replay, refusal::Refusal, reply::Reply};

/// Initial delay before a pending platform operation is retried. Doubles up to [`MAX_BACKOFF`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);

/// Maximum retry delay. It spreads the load of all pending claims on a platform that has recovered.
const MAX_BACKOFF: Duration = Duration::from_secs(15);

/// Claim record as stored on the platform.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(transparent)]
pub(crate) struct Stored(pub(crate) Record);

impl Kind for Stored {
    const PLURAL: &'static str = "claims";
}

/// Result of dispatching a claimed request.
pub(crate) struct Dispatched {
    pub(crate) outcome: Outcome,
    pub(crate) reply: Result<Reply, Refusal>,
}

type Answer = Result<Reply, Refusal>;

/// Drives the claim of one attempt and performs its actions.
pub(crate) struct ClaimDriver<P, L> {
    platform: P,
    clock: Monotonic,
    name: String,
    attempt: AttemptId,
    claim: Claim,
    /// Returns whether the process that wrote a record is still running its attempt.
    is_live: L,
    /// Revision of the record last read or written.
    revision: Option<Revision>,
    /// This attempt's record, if it was the one last read or written.
    own_record: Option<Record>,
    /// Set while the request has been refused but its claim may still take effect.
    unresolved: Arc<AtomicBool>,
}

/// Dispatch and reply state of the caller's request.
struct CallerRequest<D> {
    dispatch: Option<D>,
    reply: Option<oneshot::Sender<Answer>>,
    answer: Option<Answer>,
    /// Whether the request was dispatched with an unknown outcome.
    outcome_unknown: bool,
}

impl<P: Platform, L: Fn(&Record) -> bool + Send> ClaimDriver<P, L> {
    pub(crate) fn new(
        (platform, clock): (P, Monotonic),
        name: String,
        attempt: AttemptId,
        claim: Claim,
        is_live: L,
    ) -> Self {
        Self {
            platform,
            clock,
            name,
            attempt,
            claim,
            is_live,
            revision: None,
            own_record: None,
            unresolved: Arc::default(),
        }
    }

    /// Uses a shared flag that is set while the request has been refused but its claim may still
    /// take effect.
    pub(crate) fn with_unresolved_flag(mut self, unresolved: Arc<AtomicBool>) -> Self {
        self.unresolved = unresolved;
        self
    }

    /// Runs the attempt to completion and replies to the caller as soon as the claim permits.
    ///
    /// Returns the revision of the record if it is finished and can be deleted after its retention.
    pub(crate) async fn run<F: Future<Output = Dispatched> + Send>(
        mut self,
        dispatch: impl FnOnce() -> F + Send,
        reply: oneshot::Sender<Answer>,
    ) -> Option<Revision> {
        let mut request = CallerRequest {
            dispatch: Some(dispatch),
            reply: Some(reply),
            answer: None,
            outcome_unknown: false,
        };
        let mut out = VecDeque::new();
        let mut backoff = INITIAL_BACKOFF;
        self.step(Event::Start, &mut out);
        while !self.claim.is_ended() || !out.is_empty() {
            let Some(action) = out.pop_front() else {
                tokio::time::sleep(backoff).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
                self.step(Event::Tick, &mut out);
                continue;
            };
            if let Some(ev) = self.perform(action, &mut request).await {
                self.step(ev, &mut out);
            }
        }
        if request.outcome_unknown {
            self.clear_owner().await;
        }
        let finished = self.own_record?.state != State::Dispatched;
        self.revision.filter(|_| finished)
    }

    async fn perform<F: Future<Output = Dispatched> + Send>(
        &mut self,
        action: Action,
        request: &mut CallerRequest<impl FnOnce() -> F + Send>,
    ) -> Option<Event> {
        match action {
            Action::Create(record) => Some(self.create(record).await),
            Action::Read => Some(self.read().await),
            Action::Store(record) => Some(self.store(record).await),
            Action::Dispatch => {
                // Taking the closure ensures that the request is dispatched at most once.
                let dispatched = request.dispatch.take()?().await;
                request.outcome_unknown = matches!(dispatched.outcome, Outcome::Unknown(_));
                request.answer = Some(dispatched.reply);
                Some(Event::Done(dispatched.outcome))
            }
            Action::Reply(claim_reply) => {
                let unresolved = matches!(claim_reply, ClaimReply::Refuse(Code::ClaimUnresolved));
                self.unresolved.store(unresolved, Ordering::SeqCst);
                let answer = match claim_reply {
                    ClaimReply::Outcome => request.answer.take()?,
                    ClaimReply::Stored(answer) => replay(answer),
                    ClaimReply::Refuse(code) => Err(code.into()),
                };
                // The receiver is gone if the caller has disconnected.
                drop(request.reply.take()?.send(answer));
                None
            }
            Action::End => None,
        }
    }

    fn step(&mut self, ev: Event, out: &mut VecDeque<Action>) {
        let mut actions = Vec::new();
        self.claim.step(self.clock.now(), ev, &mut actions);
        out.extend(actions);
    }

    async fn create(&mut self, record: Record) -> Event {
        let stored = Stored(record);
        match self.platform.create(&self.name, &stored).await {
            Ok(revision) => {
                self.remember(revision, &stored.0);
                Event::Created
            }
            Err(e) => match e.category() {
                Category::Conflict => match self.read().await {
                    Event::ReadBack(Some(record)) => Event::Exists(record),
                    Event::OwnerAlive(record) => Event::OwnerAlive(record),
                    // The create conflicted with a record that is unreadable or already deleted.
                    _ => Event::Refused,
                },
                Category::Unknown | Category::Malformed => Event::Unanswered,
                _ => Event::Refused,
            },
        }
    }

    async fn read(&mut self) -> Event {
        match self.platform.get::<Stored>(&self.name).await {
            Ok(None) => {
                self.revision = None;
                self.own_record = None;
                Event::ReadBack(None)
            }
            Ok(Some(object)) => {
                let record = object.value.0;
                self.remember(object.revision, &record);
                if (self.is_live)(&record) {
                    Event::OwnerAlive(record)
                } else {
                    Event::ReadBack(Some(record))
                }
            }
            Err(_) => Event::ReadFailed,
        }
    }

    async fn store(&mut self, record: Record) -> Event {
        let Some(revision) = self.revision.clone() else {
            return Event::StoreFailed;
        };
        let stored = Stored(record);
        match self.platform.update(&self.name, &stored, &revision).await {
            Ok(revision) => {
                self.remember(revision, &stored.0);
                Event::Stored
            }
            Err(e) if e.category() == Category::Unavailable => Event::Refused,
            Err(_) => Event::StoreFailed,
        }
    }

    fn remember(&mut self, revision: Revision, record: &Record) {
        self.revision = Some(revision);
        self.own_record = (record.attempt == self.attempt).then(|| record.clone());
    }

    /// Removes the owner from a record with an unknown outcome.
    ///
    /// Otherwise, hosts that see this process alive would report the request as still running.
    async fn clear_owner(&mut self) {
        let Some(mut record) = self.own_record.clone() else {
            return;
        };
        record.owner = None;
        let mut backoff = INITIAL_BACKOFF;
        while self.store(record.clone()).await == Event::Refused {
            tokio::time::sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }
}
