//! Idempotency claims of keyed requests that must run at most once.

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
use types::{AttemptId, Clock, Code, Micros, Monotonic, Ran};

use crate::{
    attempt::Runner,
    dispatcher::StateMachine,
    drive::{Dispatched, Drive, Stored},
    expiry::Expiry,
    job::{Job, digest},
    peers::Peers,
    refusal::{self, Refusal},
    reply::{Body, Reply},
};

/// Largest answer that is kept for a resend; records are limited to 1 MB by the platform, and JSON
/// takes up to four bytes for one.
const MAX_KEPT: usize = 16 << 10;

/// Time between two looks for claims whose retention has ended.
const EXPIRY_PERIOD: Duration = Duration::from_secs(10);

/// Claims of this host's keyed requests, and the clean-up of finished ones.
pub(crate) struct Claims<P> {
    platform: P,
    clock: Monotonic,
    owner: Owner,
    /// Attempts that this process runs, sorted by id.
    running: Arc<Mutex<Vec<Running>>>,
    tasks: TaskTracker,
    expiry: Arc<Mutex<Expiry>>,
}

impl<P> fmt::Debug for Claims<P> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Claims").finish_non_exhaustive()
    }
}

/// Attempt that this process runs.
struct Running {
    attempt: AttemptId,
    name: String,
    /// Whether the request was refused as not run while its claim may still take effect.
    unresolved: Arc<AtomicBool>,
}

/// Attempt in the list of those that this process runs.
struct Listed {
    running: Arc<Mutex<Vec<Running>>>,
    attempt: AttemptId,
}

fn position(running: &[Running], attempt: AttemptId) -> Result<usize, usize> {
    running.binary_search_by_key(&attempt, |r| r.attempt)
}

impl Drop for Listed {
    fn drop(&mut self) {
        let mut running = lock(&self.running);
        if let Ok(at) = position(&running, self.attempt) {
            running.remove(at);
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
            expiry: Arc::default(),
        }
    }

    /// Returns the number of attempts that run or have platform work left.
    pub(crate) fn pending(&self) -> usize {
        self.tasks.len()
    }

    /// Waits until no attempt has platform work left.
    pub(crate) async fn settle(&self) {
        self.tasks.close();
        self.tasks.wait().await;
    }

    /// Claims the key of a request, runs the request, and records its outcome.
    ///
    /// The attempt is a task of its own, so it ends properly even when the caller goes away.
    pub(crate) async fn run<R: StateMachine, N: Peers>(
        &self,
        runner: &Runner<R, N>,
        key: &str,
        mut job: Job,
        retention: Micros,
    ) -> Result<Reply, Refusal> {
        let attempt = AttemptId::random(&mut rand::rng());
        let claim = Claim::new(attempt, body_hash(&job)).with_owner(self.owner.clone());
        let name = name(&job, key);
        // The outcome is known only when the response is complete.
        job.buffered = true;
        let unresolved = Arc::new(AtomicBool::new(false));
        let listed = self.list(attempt, &name, &unresolved)?;
        let (running, owner) = (Arc::clone(&self.running), self.owner.clone());
        let dispatcher = runner.dispatcher.clone();
        let is_live = move |record: &claim::Record| match &record.owner {
            Some(o) if *o == owner => position(&lock(&running), record.attempt).is_ok(),
            Some(o) => dispatcher.is_live(o),
            None => false,
        };
        let parts = (self.platform.clone(), self.clock);
        let drive = Drive::new(parts, name.clone(), attempt, claim, is_live);
        let drive = drive.marking(unresolved);
        let (tx, rx) = oneshot::channel();
        let (runner, expiry, clock) = (runner.clone(), Arc::clone(&self.expiry), self.clock);
        self.tasks.spawn(async move {
            let revision = drive.run(|| dispatch(runner, job), tx).await;
            drop(listed);
            if let Some(revision) = revision {
                lock(&expiry).add(name, revision, clock.now() + retention);
            }
        });
        match rx.await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(refusal)) => Err(refusal),
            Err(_) => Err(Code::Internal.into()),
        }
    }

    /// Lists an attempt, unless an earlier one for the same key is not resolved yet.
    fn list(
        &self,
        attempt: AttemptId,
        name: &str,
        unresolved: &Arc<AtomicBool>,
    ) -> Result<Listed, Refusal> {
        let mut running = lock(&self.running);
        let blocks = |r: &Running| r.name == name && r.unresolved.load(Ordering::SeqCst);
        if running.iter().any(blocks) {
            return Err(Code::ClaimUnresolved.into());
        }
        if let Err(at) = position(&running, attempt) {
            let entry = Running {
                attempt,
                name: name.to_owned(),
                unresolved: Arc::clone(unresolved),
            };
            running.insert(at, entry);
        }
        Ok(Listed {
            running: Arc::clone(&self.running),
            attempt,
        })
    }

    /// Deletes this host's claims whose retention has ended, for ever.
    pub(crate) async fn expire(&self) {
        loop {
            tokio::time::sleep(EXPIRY_PERIOD).await;
            let due = lock(&self.expiry).due(self.clock.now());
            for (name, revision) in due {
                let deleted = self.platform.delete::<Stored>(&name, &revision).await;
                let again = deleted.is_err_and(|e| {
                    matches!(e.category(), Category::Unavailable | Category::Unknown)
                });
                if again {
                    lock(&self.expiry).add(name, revision, self.clock.now());
                }
            }
        }
    }

    /// Deletes finished claims of hosts that are gone, once they are unchanged for the retention.
    pub(crate) async fn sweep(&self, retention: Micros) -> store::Result<usize> {
        let listing = self.platform.list::<Stored>().await?;
        let finished = listing
            .items
            .into_iter()
            .filter(|o| o.value.0.state != State::Dispatched)
            .map(|o| (o.name, o.revision));
        let due = lock(&self.expiry).observe(finished, self.clock.now(), retention);
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

/// Names the claim: a hash of caller, service and key, so that it is a valid object name.
fn name(job: &Job, key: &str) -> String {
    let parts = [
        job.sender.caller.id.as_str().as_bytes(),
        job.ticket.service.as_str().as_bytes(),
        key.as_bytes(),
    ];
    digest(&parts).to_hex().to_string()
}

/// Hashes what a resend must repeat: the method, the path and the body.
fn body_hash(job: &Job) -> String {
    let parts = [
        job.method.as_str().as_bytes(),
        job.public_path.as_bytes(),
        &job.original,
    ];
    digest(&parts).to_hex().to_string()
}

async fn dispatch<R: StateMachine, N: Peers>(runner: Runner<R, N>, job: Job) -> Dispatched {
    let reply = runner.run(job).await;
    let outcome = match &reply {
        // Another entry host's refusal or failure passes through as a response with a code.
        Ok(reply) => match refusal::code(&reply.headers) {
            Some(code) => failed(code, code.ran()),
            None => Outcome::Finished(kept(reply)),
        },
        Err(refusal) => failed(refusal.code, refusal.ran),
    };
    Dispatched { outcome, reply }
}

fn failed(code: Code, ran: Ran) -> Outcome {
    match ran {
        Ran::No => Outcome::NotRun(code),
        Ran::Yes => Outcome::Finished(None),
        Ran::Unknown => Outcome::Unknown(code),
    }
}

fn kept(reply: &Reply) -> Option<Answer> {
    let Body::Full(body) = &reply.body else {
        return None;
    };
    let content_type = reply.headers.get(CONTENT_TYPE);
    let content_type = content_type.and_then(|v| v.to_str().ok());
    (body.len() <= MAX_KEPT).then(|| Answer {
        status: reply.status.as_u16(),
        content_type: content_type
            .unwrap_or("application/octet-stream")
            .to_owned(),
        body: body.to_vec(),
    })
}

/// Makes the response to a resend from the answer that was kept.
pub(crate) fn replay(answer: Answer) -> Result<Reply, Refusal> {
    let status = StatusCode::from_u16(answer.status).map_err(|_e| Code::PlatformGarbage)?;
    Ok(Reply::full(status, &answer.content_type, answer.body))
}
