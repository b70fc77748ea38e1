//! Idempotency claims for requests that carry a key and must run at most once.

use std::{
    fmt,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use claim::{Answer, Claim, Outcome, Owner, State};
use salvo::http::{StatusCode, header::CONTENT_TYPE};
use store::{Category, Platform};
use tokio::sync::oneshot;
use tokio_util::task::TaskTracker;
use types::{AttemptId, Clock, Code, ExecutionStatus, Micros, Monotonic};

use crate::{
    attempt::Runner,
    claim_driver::{ClaimDriver, Dispatched, Stored},
    dispatcher::StateMachine,
    peers::Peers,
    refusal::{self, Refusal},
    reply::{Body, Reply},
    request::{PreparedRequest, digest},
    retention::RetentionQueue,
};

/// Largest answer stored for resends. The platform limits records to 1 MB, and JSON needs up to
/// four bytes per byte of body.
const MAX_STORED_ANSWER_BYTES: usize = 16 << 10;

/// Interval between checks for claims whose retention has ended.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(10);

/// Claims of requests received by this host, and the deletion of finished claims.
pub(crate) struct Claims<P> {
    platform: P,
    clock: Monotonic,
    owner: Owner,
    /// Attempts running in this process, sorted by id.
    running: Arc<Mutex<Vec<RunningAttempt>>>,
    tasks: TaskTracker,
    retained: Arc<Mutex<RetentionQueue>>,
}

impl<P> fmt::Debug for Claims<P> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Claims").finish_non_exhaustive()
    }
}

/// Attempt running in this process.
struct RunningAttempt {
    attempt: AttemptId,
    name: String,
    /// Whether the request was refused as not run while its claim may still take effect.
    unresolved: Arc<AtomicBool>,
}

/// Registration of a running attempt. Dropping it removes the attempt.
struct RunningGuard {
    running: Arc<Mutex<Vec<RunningAttempt>>>,
    attempt: AttemptId,
}

fn position(running: &[RunningAttempt], attempt: AttemptId) -> Result<usize, usize> {
    running.binary_search_by_key(&attempt, |r| r.attempt)
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        let mut running = lock(&self.running);
        if let Ok(index) = position(&running, self.attempt) {
            running.remove(index);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl<P: Platform> Claims<P> {
    pub(crate) fn new(platform: P, clock: Monotonic, owner: Owner) -> Self {
        Self {
            platform,
            clock,
            owner,
            running: Arc::default(),
            tasks: TaskTracker::new(),
            retained: Arc::default(),
        }
    }

    /// Returns the number of attempts that are running or have pending platform operations.
    pub(crate) fn pending(&self) -> usize {
        self.tasks.len()
    }

    /// Waits until all attempts have completed their platform operations.
    pub(crate) async fn wait_until_settled(&self) {
        self.tasks.close();
        self.tasks.wait().await;
    }

    /// Claims the request's key, runs the request, and records the outcome.
    ///
    /// The attempt runs in its own task, so it completes even if the caller disconnects.
    pub(crate) async fn run<R: StateMachine, N: Peers>(
        &self,
        runner: &Runner<R, N>,
        key: &str,
        mut request: PreparedRequest,
        retention: Micros,
    ) -> Result<Reply, Refusal> {
        let attempt = AttemptId::random(&mut rand::rng());
        let claim = Claim::new(attempt, body_hash(&request)).with_owner(self.owner.clone());
        let name = claim_name(&request, key);
        // The outcome is known only once the response is complete.
        request.buffered = true;
        let unresolved = Arc::new(AtomicBool::new(false));
        let guard = self.register(attempt, &name, &unresolved)?;
        let (running, owner) = (Arc::clone(&self.running), self.owner.clone());
        let dispatcher = runner.dispatcher.clone();
        let is_live = move |record: &claim::Record| match &record.owner {
            Some(o) if *o == owner => position(&lock(&running), record.attempt).is_ok(),
            Some(o) => dispatcher.is_live(o),
            None => false,
        };
        let parts = (self.platform.clone(), self.clock);
        let driver = ClaimDriver::new(parts, name.clone(), attempt, claim, is_live);
        let driver = driver.with_unresolved_flag(unresolved);
        let (tx, rx) = oneshot::channel();
        let (runner, retained, clock) = (runner.clone(), Arc::clone(&self.retained), self.clock);
        self.tasks.spawn(async move {
            let revision = driver.run(|| dispatch(runner, request), tx).await;
            drop(guard);
            if let Some(revision) = revision {
                lock(&retained).add(name, revision, clock.now() + retention);
            }
        });
        match rx.await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(refusal)) => Err(refusal),
            Err(_) => Err(Code::Internal.into()),
        }
    }

    /// Registers an attempt, unless an earlier attempt with the same key is unresolved.
    fn register(
        &self,
        attempt: AttemptId,
        name: &str,
        unresolved: &Arc<AtomicBool>,
    ) -> Result<RunningGuard, Refusal> {
        let mut running = lock(&self.running);
        let blocks = |r: &RunningAttempt| r.name == name && r.unresolved.load(Ordering::SeqCst);
        if running.iter().any(blocks) {
            return Err(Code::ClaimUnresolved.into());
        }
        if let Err(index) = position(&running, attempt) {
            let entry = RunningAttempt {
                attempt,
                name: name.to_owned(),
                unresolved: Arc::clone(unresolved),
            };
            running.insert(index, entry);
        }
        Ok(RunningGuard {
            running: Arc::clone(&self.running),
            attempt,
        })
    }

    /// Deletes this host's claims as their retention ends. Never returns.
    pub(crate) async fn delete_expired(&self) {
        loop {
            tokio::time::sleep(EXPIRY_INTERVAL).await;
            let due = lock(&self.retained).due(self.clock.now());
            for (name, revision) in due {
                let deleted = self.platform.delete::<Stored>(&name, &revision).await;
                let retry = deleted.is_err_and(|e| {
                    matches!(e.category(), Category::Unavailable | Category::Unknown)
                });
                if retry {
                    lock(&self.retained).add(name, revision, self.clock.now());
                }
            }
        }
    }

    /// Deletes finished claims left by hosts that are gone, once they have been unchanged for the
    /// retention period.
    pub(crate) async fn sweep(&self, retention: Micros) -> store::Result<usize> {
        let listing = self.platform.list::<Stored>().await?;
        let finished = listing
            .items
            .into_iter()
            .filter(|o| o.value.0.state != State::Dispatched)
            .map(|o| (o.name, o.revision));
        let due = lock(&self.retained).observe(finished, self.clock.now(), retention);
        let mut deleted = 0;
        for (name, revision) in due {
            match self.platform.delete::<Stored>(&name, &revision).await {
                Ok(()) => deleted += 1,
                Err(e) if matches!(e.category(), Category::Conflict | Category::NotFound) => {}
                Err(e) => return Err(e),
            }
        }
        Ok(deleted)
    }
}

/// Returns the claim's object name: a hash of caller, service and key, which is always a valid
/// name.
fn claim_name(request: &PreparedRequest, key: &str) -> String {
    let parts = [
        request.sender.caller.id.as_str().as_bytes(),
        request.ticket.service.as_str().as_bytes(),
        key.as_bytes(),
    ];
    digest(&parts).to_hex().to_string()
}

/// Hashes the method, path and body, which a resend must repeat.
fn body_hash(request: &PreparedRequest) -> String {
    let parts = [
        request.method.as_str().as_bytes(),
        request.public_path.as_bytes(),
        &request.original_body,
    ];
    digest(&parts).to_hex().to_string()
}

async fn dispatch<R: StateMachine, N: Peers>(
    runner: Runner<R, N>,
    request: PreparedRequest,
) -> Dispatched {
    let reply = runner.run(request, None).await;
    let outcome = match &reply {
        // A refusal or failure from another entry host is a response with a result code.
        Ok(reply) => match refusal::code(&reply.headers) {
            Some(code) => failure_outcome(code, code.ran()),
            None => Outcome::Finished(storable_answer(reply)),
        },
        Err(refusal) => failure_outcome(refusal.code, refusal.ran),
    };
    Dispatched { outcome, reply }
}

fn failure_outcome(code: Code, ran: ExecutionStatus) -> Outcome {
    match ran {
        ExecutionStatus::No => Outcome::NotRun(code),
        ExecutionStatus::Yes => Outcome::Finished(None),
        ExecutionStatus::Unknown => Outcome::Unknown(code),
    }
}

fn storable_answer(reply: &Reply) -> Option<Answer> {
    let Body::Full(body) = &reply.body else {
        return None;
    };
    let content_type = reply.headers.get(CONTENT_TYPE);
    let content_type = content_type.and_then(|v| v.to_str().ok());
    (body.len() <= MAX_STORED_ANSWER_BYTES).then(|| Answer {
        status: reply.status.as_u16(),
        content_type: content_type
            .unwrap_or("application/octet-stream")
            .to_owned(),
        body: body.to_vec(),
    })
}

/// Builds the response to a resend from the stored answer.
pub(crate) fn replay(answer: Answer) -> Result<Reply, Refusal> {
    let status = StatusCode::from_u16(answer.status).map_err(|_e| Code::PlatformGarbage)?;
    Ok(Reply::full(status, &answer.content_type, answer.body))
}
