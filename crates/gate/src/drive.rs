//! The asynchronous driver of one claim.

use std::{
    collections::VecDeque,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use claim::{Action, Claim, Event, Outcome, Record, Reply as Verdict, State};
use serde::{Deserialize, Serialize};
use store::{Category, Kind, Platform, Revision};
use tokio::sync::oneshot;
use types::{AttemptId, Clock, Code, Monotonic};

use crate::{claims::replay, refusal::Refusal, reply::Reply};

/// First pause before unfinished work with the platform is tried again; it doubles up to the last.
const FIRST_PAUSE: Duration = Duration::from_millis(500);

/// Last pause, so that a platform that comes back is not met by all claims at once.
const LAST_PAUSE: Duration = Duration::from_secs(15);

/// Record of a claim as an object of the platform.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(transparent)]
pub(crate) struct Stored(pub(crate) Record);

impl Kind for Stored {
    const PLURAL: &'static str = "claims";
}

/// End of the dispatch of a claimed request.
pub(crate) struct Dispatched {
    pub(crate) outcome: Outcome,
    pub(crate) reply: Result<Reply, Refusal>,
}

type Answer = Result<Reply, Refusal>;

/// One attempt and what its actions need.
pub(crate) struct Drive<P, L> {
    platform: P,
    clock: Monotonic,
    name: String,
    attempt: AttemptId,
    claim: Claim,
    /// Tells whether the process that wrote a record still runs its attempt.
    is_live: L,
    /// Revision of the record that was last seen or written.
    revision: Option<Revision>,
    /// The record of this attempt, if it was the last one seen or written.
    own: Option<Record>,
    /// Set once the request was refused while its claim may still take effect.
    unresolved: Arc<AtomicBool>,
}

/// The caller's side of an attempt.
struct Request<D> {
    dispatch: Option<D>,
    reply: Option<oneshot::Sender<Answer>>,
    answer: Option<Answer>,
    /// Whether the request was dispatched and its outcome is unknown.
    unknown: bool,
}

impl<P: Platform, L: Fn(&Record) -> bool + Send> Drive<P, L> {
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
            own: None,
            unresolved: Arc::default(),
        }
    }

    /// Sets a mark once the request was refused while its claim may still take effect.
    pub(crate) fn marking(mut self, unresolved: Arc<AtomicBool>) -> Self {
        self.unresolved = unresolved;
        self
    }

    /// Performs the attempt to its end, answering the caller as soon as the claim allows.
    ///
    /// Returns the revision of the record if it is finished and may be deleted later.
    pub(crate) async fn run<F: Future<Output = Dispatched> + Send>(
        mut self,
        dispatch: impl FnOnce() -> F + Send,
        reply: oneshot::Sender<Answer>,
    ) -> Option<Revision> {
        let mut request = Request {
            dispatch: Some(dispatch),
            reply: Some(reply),
            answer: None,
            unknown: false,
        };
        let mut out = VecDeque::new();
        let mut pause = FIRST_PAUSE;
        self.step(Event::Start, &mut out);
        while !self.claim.is_ended() || !out.is_empty() {
            let Some(action) = out.pop_front() else {
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(LAST_PAUSE);
                self.step(Event::Tick, &mut out);
                continue;
            };
            if let Some(ev) = self.perform(action, &mut request).await {
                self.step(ev, &mut out);
            }
        }
        if request.unknown {
            self.disown().await;
        }
        let finished = self.own?.state != State::Dispatched;
        self.revision.filter(|_| finished)
    }

    async fn perform<F: Future<Output = Dispatched> + Send>(
        &mut self,
        action: Action,
        request: &mut Request<impl FnOnce() -> F + Send>,
    ) -> Option<Event> {
        match action {
            Action::Create(record) => Some(self.create(record).await),
            Action::Read => Some(self.read().await),
            Action::Store(record) => Some(self.store(record).await),
            Action::Dispatch => {
                // Taking the closure makes a second dispatch impossible.
                let dispatched = request.dispatch.take()?().await;
                request.unknown = matches!(dispatched.outcome, Outcome::Unknown(_));
                request.answer = Some(dispatched.reply);
                Some(Event::Done(dispatched.outcome))
            }
            Action::Reply(verdict) => {
                let unresolved = matches!(verdict, Verdict::Refuse(Code::ClaimUnresolved));
                self.unresolved.store(unresolved, Ordering::SeqCst);
                let answer = match verdict {
                    Verdict::Outcome => request.answer.take()?,
                    Verdict::Stored(answer) => replay(answer),
                    Verdict::Refuse(code) => Err(code.into()),
                };
                // A caller that went away has dropped its receiver.
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
                self.note(revision, &stored.0);
                Event::Created
            }
            Err(e) => match e.category() {
                Category::Conflict => match self.read().await {
                    Event::ReadBack(Some(record)) => Event::Exists(record),
                    Event::OwnerAlive(record) => Event::OwnerAlive(record),
                    // The write lost against a record that can't be read or is gone again.
                    _ => Event::Refused,
                },
                Category::Unknown | Category::Garbage => Event::Unanswered,
                _ => Event::Refused,
            },
        }
    }

    async fn read(&mut self) -> Event {
        match self.platform.get::<Stored>(&self.name).await {
            Ok(None) => {
                self.revision = None;
                self.own = None;
                Event::ReadBack(None)
            }
            Ok(Some(object)) => {
                let record = object.value.0;
                self.note(object.revision, &record);
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
                self.note(revision, &stored.0);
                Event::Stored
            }
            Err(e) if e.category() == Category::Unavailable => Event::Refused,
            Err(_) => Event::StoreFailed,
        }
    }

    fn note(&mut self, revision: Revision, record: &Record) {
        self.revision = Some(revision);
        self.own = (record.attempt == self.attempt).then(|| record.clone());
    }

    /// Takes the owner out of a record whose outcome is unknown.
    ///
    /// Otherwise hosts that see this process alive would tell callers that the request still runs.
    async fn disown(&mut self) {
        let Some(mut record) = self.own.clone() else {
            return;
        };
        record.owner = None;
        let mut pause = FIRST_PAUSE;
        while self.store(record.clone()).await == Event::Refused {
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(LAST_PAUSE);
        }
    }
}
