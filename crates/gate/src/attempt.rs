//! Attempts at one request: from the router's decision to a verified response.

use std::{sync::Arc, time::Duration};

use engine::{Answer, Category, Client, Error, Server};
use reqwest::header::HeaderValue;
use route::{Event, Failure, Liveness};
use tokio::time::Instant as TokioInstant;
use types::{BackendId, Clock, Code, DataCentreId, Instant, Micros, Monotonic, Ran, RetryReason};

use crate::{
    call,
    count::Counters,
    dispatcher::{Decision, Dispatcher, Flight, StateMachine},
    job::Job,
    peers::Peers,
    refusal::{self, Refusal},
};

/// Time after a failed attempt in which the router's decision is awaited even beyond the deadline,
/// because suspects are shared with peers before a refusal is sent.
const SHARE_GRACE: Duration = Duration::from_secs(2);

/// Resumptions of one stream; a server that breaks it more often is not going to finish it.
const MAX_RESUMES: u32 = 3;

/// What is needed to run requests.
pub(crate) struct Runner<R, N> {
    pub(crate) dispatcher: Dispatcher<R, N>,
    pub(crate) engine: Client,
    pub(crate) clock: Monotonic,
    pub(crate) counters: Arc<Counters>,
    /// Value of the authorization header towards other entry hosts.
    pub(crate) host_bearer: HeaderValue,
}

impl<R, N> Clone for Runner<R, N> {
    fn clone(&self) -> Self {
        Self {
            dispatcher: self.dispatcher.clone(),
            engine: self.engine.clone(),
            clock: self.clock,
            counters: Arc::clone(&self.counters),
            host_bearer: self.host_bearer.clone(),
        }
    }
}

/// Attempts at one request; dropping them cancels it.
pub(crate) struct Attempts<R: StateMachine, N: Peers> {
    pub(crate) runner: Runner<R, N>,
    pub(crate) job: Arc<Job>,
    pub(crate) flight: Flight<R, N>,
    /// Code of the last attempt that may have run.
    ran: Option<Code>,
    failed: bool,
    /// Whether the last attempt went to another entry host.
    pub(crate) remote: bool,
    /// Events that were passed on to the caller; nothing until the first byte.
    pub(crate) delivered: Option<u64>,
    resumes: u32,
    arrived: Instant,
    queue: Micros,
    backend: Micros,
}

impl<R: StateMachine, N: Peers> Attempts<R, N> {
    pub(crate) fn begin(runner: Runner<R, N>, job: Arc<Job>) -> Self {
        Self {
            arrived: runner.clock.now(),
            flight: runner.dispatcher.arrive(job.ticket.clone()),
            runner,
            job,
            ran: None,
            failed: false,
            remote: false,
            delivered: None,
            resumes: 0,
            queue: Micros::ZERO,
            backend: Micros::ZERO,
        }
    }

    /// Returns the value of the `Server-Timing` header.
    pub(crate) fn timing(&self) -> Option<HeaderValue> {
        let ms = |t: Micros| t.as_secs_f64() * 1e3;
        let (queue, backend) = (ms(self.queue), ms(self.backend));
        HeaderValue::try_from(format!("queue;dur={queue:.1}, backend;dur={backend:.1}")).ok()
    }

    /// Waits for the router and sends the request until a server responds or it is refused.
    pub(crate) async fn open(&mut self) -> Result<(Server, Answer), Refusal> {
        loop {
            let server = self.decide().await?;
            let sent_at = self.runner.clock.now();
            self.queue = sent_at.since(self.arrived);
            let call = if self.remote {
                let bearer = self.runner.host_bearer.clone();
                call::forward(&self.job, sent_at, bearer)
            } else {
                call::dispatch(&self.job, sent_at)
            };
            let sent = self.runner.engine.send(&server, call).await;
            self.backend = self.runner.clock.now().since(sent_at);
            match sent {
                Ok(answer) if self.remote && is_refused(&answer) => {
                    self.report(RetryReason::Refused, false);
                }
                Ok(answer) => {
                    self.observe(&server, &answer);
                    return Ok((server, answer));
                }
                Err(e) => self.fail(&server, e).await,
            }
        }
    }

    /// Returns the next server to try.
    async fn decide(&mut self) -> Result<Server, Refusal> {
        loop {
            let limit = self.decision_limit();
            let decided = tokio::time::timeout_at(limit, self.flight.decision()).await;
            let Ok(decision) = decided else {
                return Err(self.refusal(Code::DeadlineUnreachable, None));
            };
            let found = match decision {
                Decision::Refuse { code, retry_after } => {
                    return Err(self.refusal(code, retry_after));
                }
                _ if self.must_not_repeat() => {
                    return Err(self.refusal(Code::RetriesExhausted, None));
                }
                Decision::Dispatch { backend, .. } => {
                    self.remote = false;
                    self.runner.dispatcher.server(&backend)
                }
                Decision::Forward(dc) => {
                    self.remote = true;
                    self.entry_host(&dc)
                }
            };
            match found {
                Some(server) => return Ok(server),
                None => self.report(RetryReason::Unreachable, false),
            }
        }
    }

    /// Waits for the router to end a request whose response has begun.
    pub(crate) async fn end(&mut self) -> Refusal {
        match self.decide().await {
            Ok(_) => Code::StreamInterrupted.into(),
            Err(refusal) => refusal,
        }
    }

    fn decision_limit(&self) -> TokioInstant {
        let now = self.runner.clock.now();
        let deadline = call::timer(self.job.ticket.deadline, now);
        if self.failed {
            deadline.max(TokioInstant::now() + SHARE_GRACE)
        } else {
            deadline
        }
    }

    /// Tells whether another dispatch could repeat what the caller has seen or must not be run
    /// twice.
    ///
    /// The router decides the same; this holds even if it does not.
    fn must_not_repeat(&self) -> bool {
        let once = !self.job.ticket.idempotent && self.runner.dispatcher.checks().single_dispatch;
        self.delivered.is_some() || (once && self.ran.is_some())
    }

    fn refusal(&self, code: Code, retry_after: Option<Micros>) -> Refusal {
        let once = !self.job.ticket.idempotent;
        match (self.delivered, self.ran) {
            // More is known here than in the router, which takes a timeout for a cut.
            (_, Some(Code::DeadlineExceeded)) => Code::DeadlineExceeded.into(),
            (Some(_), _) if !refusal::is_suspect(code) => Code::StreamInterrupted.into(),
            // A code that allows a resend must not hide that this request may have run.
            (_, Some(ran)) if once && code.may_resend() => ran.into(),
            (_, ran) => Refusal::decided(code, ran, retry_after),
        }
    }

    fn entry_host(&self, dc: &DataCentreId) -> Option<Server> {
        if self.job.ticket.forwarded {
            return None;
        }
        let addr = self.runner.dispatcher.entry_host(dc)?;
        let id: BackendId = dc.as_str().parse().ok()?;
        Some(Server { id, addr })
    }

    fn observe(&self, server: &Server, answer: &Answer) {
        if self.remote {
            return;
        }
        let backend = || server.id.clone();
        if let Some(load) = answer.load() {
            self.runner.dispatcher.feed(Event::LoadHeaders {
                backend: backend(),
                in_flight: load.in_flight,
                queued: load.queued,
            });
        }
        if answer.is_leaving() {
            self.runner.dispatcher.feed(Event::Liveness {
                backend: backend(),
                liveness: Liveness::Leaving,
            });
        }
    }

    /// Asks the server for the rest of a stream that broke, unless the server has crashed.
    pub(crate) async fn resume(&mut self, server: &Server, err: Error) -> Result<Answer, Error> {
        let err = self.diagnose(server, err).await;
        let Some(from) = self.delivered else {
            return Err(err);
        };
        let broken = matches!(err.category(), Category::Cut | Category::Truncated);
        if self.remote || !broken || self.resumes == MAX_RESUMES {
            return Err(err);
        }
        self.resumes += 1;
        let deadline = call::timer(self.job.ticket.deadline, self.runner.clock.now());
        let (id, headers) = (self.job.ticket.id, self.job.headers.clone());
        let engine = &self.runner.engine;
        match engine.resume(server, id, from, headers, deadline).await {
            Ok(answer) => {
                self.runner.counters.retry(RetryReason::Resume);
                Ok(answer)
            }
            // The first failure says what happened to the request.
            Err(_) => Err(err),
        }
    }

    async fn diagnose(&self, server: &Server, err: Error) -> Error {
        if self.remote {
            return err;
        }
        self.runner.engine.diagnose(server, err).await
    }

    /// Tells the router of a failed attempt, after its cause was diagnosed.
    pub(crate) async fn fail(&mut self, server: &Server, err: Error) {
        let err = self.diagnose(server, err).await;
        let backend = server.id.clone();
        match (err.category(), err.incarnation()) {
            // Without a known life, the failed attempt alone tells the router of the crash.
            (Category::Crashed, Some(incarnation)) => {
                let ev = Event::Crashed {
                    backend,
                    incarnation,
                };
                self.runner.dispatcher.feed(ev);
            }
            (Category::Leaving, _) => self.runner.dispatcher.feed(Event::Liveness {
                backend,
                liveness: Liveness::Leaving,
            }),
            _ => {}
        }
        if err.may_have_run() {
            let late = err.category() == Category::Timeout;
            self.ran = Some(if self.remote && !late {
                Code::ForwardFailed
            } else {
                err.code()
            });
            if !self.job.ticket.idempotent {
                let id = self.job.ticket.id;
                tracing::warn!(request = %id, "outcome unknown: {err}");
            }
        }
        self.report(err.retry_reason(), err.may_have_run());
    }

    fn report(&mut self, reason: RetryReason, may_have_run: bool) {
        self.failed = true;
        self.flight.failed(Failure {
            reason,
            may_have_run,
            answered: self.delivered.is_some(),
            resumes: false,
        });
    }

    /// Tells the router that the response is complete, and counts whether it was in time.
    pub(crate) fn finish(&mut self, tokens: u32, ok: bool) {
        let late = self.job.ticket.deadline.is_past(self.runner.clock.now());
        let ok = ok && !late;
        self.flight.finished(tokens, ok);
        // The entry host that the caller reached counts a forwarded request.
        if ok && !self.job.ticket.forwarded {
            self.runner.counters.in_time();
        }
    }
}

/// Tells whether another entry host refused the request as not run.
///
/// The verdict on a crashing request is final; any other refusal may not hold here.
fn is_refused(answer: &Answer) -> bool {
    refusal::code(answer.headers())
        .is_some_and(|code| code.ran() == Ran::No && code != Code::CrashingRequest)
}
