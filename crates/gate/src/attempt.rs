//! Attempts at one request: from the router's decision to a verified response.

use std::{sync::Arc, time::Duration};

use engine::{Answer, Call, Client, Error, Protocol, Server};
use reqwest::header::{AUTHORIZATION, HeaderMap, HeaderValue};
use route::{Event, Failure, Liveness};
use tokio::time::Instant as TokioInstant;
use types::{
    BackendId, Clock, Code, DataCentreId, Deadline, Instant, Micros, Monotonic, Ran, RetryReason,
};

use crate::{
    auth::{FORWARDED_CALLER, HOP},
    count::Counters,
    dispatcher::{Decision, Dispatcher, Flight, Step},
    job::Job,
    limit::DEADLINE,
    peers::Peers,
    refusal::{CODE, Refusal},
};

/// Time after a failed attempt in which the router's decision is awaited even beyond the deadline,
/// because suspects are shared with peers before a refusal is sent.
const SHARE_GRACE: Duration = Duration::from_secs(2);

/// Bounds a deadline that is turned into a timer.
const MAX_TIMER: Duration = Duration::from_hours(24);

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
pub(crate) struct Attempts<R: Step, N: Peers> {
    pub(crate) runner: Runner<R, N>,
    pub(crate) job: Arc<Job>,
    pub(crate) flight: Flight<R, N>,
    /// Code of the last attempt that may have run.
    ran: Option<Code>,
    failed: bool,
    /// Events that were passed on to the caller; nothing until the first byte.
    pub(crate) delivered: Option<u64>,
    arrived: Instant,
    pub(crate) timing: Timing,
}

/// Times that are told in the `Server-Timing` header.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Timing {
    queue: Micros,
    backend: Micros,
}

impl Timing {
    pub(crate) fn header(self) -> Option<HeaderValue> {
        let ms = |t: Micros| t.as_secs_f64() * 1e3;
        let (queue, backend) = (ms(self.queue), ms(self.backend));
        HeaderValue::try_from(format!("queue;dur={queue:.1}, backend;dur={backend:.1}")).ok()
    }
}

impl<R: Step, N: Peers> Attempts<R, N> {
    pub(crate) fn begin(runner: Runner<R, N>, job: Arc<Job>) -> Self {
        Self {
            arrived: runner.clock.now(),
            flight: runner.dispatcher.arrive(job.ticket.clone()),
            runner,
            job,
            ran: None,
            failed: false,
            delivered: None,
            timing: Timing::default(),
        }
    }

    /// Waits for the router and sends the request until a server responds or it is refused.
    pub(crate) async fn open(&mut self) -> Result<(Server, Answer), Refusal> {
        loop {
            let decided = self.decide().await?;
            let sent_at = self.runner.clock.now();
            self.timing.queue = sent_at.since(self.arrived);
            let (server, sent) = match decided {
                Target::Backend(server) => {
                    let sent = self.dispatch(&server).await;
                    (server, sent)
                }
                Target::EntryHost(server) => {
                    let sent = self.forward(&server).await;
                    (server, sent)
                }
            };
            self.timing.backend = self.runner.clock.now().since(sent_at);
            match sent {
                Ok(answer) if is_refused_remotely(&answer) => self.fail_remotely(),
                Ok(answer) => {
                    self.observe(&server, &answer);
                    return Ok((server, answer));
                }
                Err(e) => self.fail(&server, e).await,
            }
        }
    }

    /// Returns the next server to try.
    async fn decide(&mut self) -> Result<Target, Refusal> {
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
                    self.runner.dispatcher.server(&backend).map(Target::Backend)
                }
                Decision::Forward(dc) => self.entry_host(&dc).map(Target::EntryHost),
            };
            match found {
                Some(target) => return Ok(target),
                None => self.fail_before_dispatch(),
            }
        }
    }

    fn decision_limit(&self) -> TokioInstant {
        let deadline = self.timer();
        if self.failed {
            deadline.max(TokioInstant::now() + SHARE_GRACE)
        } else {
            deadline
        }
    }

    fn timer(&self) -> TokioInstant {
        timer(self.job.ticket.deadline, self.runner.clock.now())
    }

    /// Tells whether another dispatch could run a request twice that must not be.
    ///
    /// The resumption of a stream runs nothing again.
    fn must_not_repeat(&self) -> bool {
        !self.job.ticket.idempotent && self.ran.is_some() && self.delivered.is_none()
    }

    fn refusal(&self, code: Code, retry_after: Option<Micros>) -> Refusal {
        match (self.delivered, self.ran) {
            (Some(_), Some(Code::DeadlineExceeded)) => Code::DeadlineExceeded.into(),
            (Some(_), _) => Refusal::decided(code, Some(Code::StreamInterrupted), retry_after),
            // A code of the router that allows a resend must not hide that this one may have run.
            (None, Some(ran)) if !self.job.ticket.idempotent && code.may_resend() => ran.into(),
            (None, ran) => Refusal::decided(code, ran, retry_after),
        }
    }

    fn entry_host(&self, dc: &DataCentreId) -> Option<Server> {
        // A response that has begun can only be resumed by the server that gave it.
        if self.job.ticket.forwarded || self.delivered.is_some() {
            return None;
        }
        let addr = self.runner.dispatcher.entry_host(dc)?;
        let id: BackendId = dc.as_str().parse().ok()?;
        Some(Server { id, addr })
    }

    async fn dispatch(&self, server: &Server) -> engine::Result<Answer> {
        let deadline = self.timer();
        if let Some(from) = self.delivered {
            let (id, headers) = (self.job.ticket.id, self.job.headers.clone());
            return self
                .runner
                .engine
                .resume(server, id, from, headers, deadline)
                .await;
        }
        let mut headers = self.job.headers.clone();
        if self.job.protocol == Protocol::Plain {
            self.set_deadline(&mut headers);
        }
        let call = Call {
            id: self.job.ticket.id,
            method: self.job.method.clone(),
            path: self.job.path.clone(),
            headers,
            body: self.job.body.clone(),
            protocol: self.job.protocol,
            idempotent: self.job.ticket.idempotent,
            deadline,
        };
        self.runner.engine.send(server, call).await
    }

    async fn forward(&self, server: &Server) -> engine::Result<Answer> {
        let mut headers = self.job.headers.clone();
        self.set_deadline(&mut headers);
        headers.insert(HOP, HeaderValue::from_static("1"));
        headers.insert(AUTHORIZATION, self.runner.host_bearer.clone());
        if let Ok(caller) = HeaderValue::from_str(self.job.sender.caller.id.as_str()) {
            headers.insert(FORWARDED_CALLER, caller);
        }
        let call = Call {
            id: self.job.ticket.id,
            method: self.job.method.clone(),
            path: self.job.public_path.clone(),
            headers,
            body: self.job.original.clone(),
            protocol: Protocol::EntryHost,
            idempotent: self.job.ticket.idempotent,
            deadline: self.timer(),
        };
        self.runner.engine.send(server, call).await
    }

    /// Tells the receiver the remaining time, rounded down so that it never lasts longer there.
    fn set_deadline(&self, headers: &mut HeaderMap) {
        let remaining = self.job.ticket.deadline.remaining(self.runner.clock.now());
        headers.insert(DEADLINE, (remaining.get() / 1_000).max(1).into());
    }

    fn observe(&self, server: &Server, answer: &Answer) {
        let backend = || server.id.clone();
        if let Some(load) = answer.load() {
            self.runner.dispatcher.feed(Event::Hint {
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

    /// Tells the router of a failed attempt, after its cause was diagnosed.
    pub(crate) async fn fail(&mut self, server: &Server, err: Error) {
        let err = self.runner.engine.diagnose(server, err).await;
        tracing::debug!(request = %self.job.ticket.id, "attempt failed: {err}");
        let backend = server.id.clone();
        match err.category() {
            engine::Category::Crashed => self.runner.dispatcher.feed(Event::Crashed {
                backend,
                incarnation: err.incarnation().unwrap_or_default(),
            }),
            engine::Category::Leaving => self.runner.dispatcher.feed(Event::Liveness {
                backend,
                liveness: Liveness::Leaving,
            }),
            _ => {}
        }
        if err.may_have_run() {
            self.ran = Some(err.code());
        }
        self.report(err.retry_reason(), err.may_have_run());
    }

    fn fail_before_dispatch(&mut self) {
        self.report(RetryReason::Unreachable, false);
    }

    fn fail_remotely(&mut self) {
        self.report(RetryReason::Refused, false);
    }

    fn report(&mut self, reason: RetryReason, may_have_run: bool) {
        self.failed = true;
        self.flight.failed(Failure {
            reason,
            may_have_run,
            answered: self.delivered.is_some(),
        });
    }

    /// Tells the router that the response is complete, and counts whether it was in time.
    pub(crate) fn finish(&mut self, tokens: u32, ok: bool) {
        let late = self.job.ticket.deadline.is_past(self.runner.clock.now());
        let ok = ok && !late;
        self.flight.finished(tokens, ok);
        if ok {
            self.runner.counters.in_time();
        }
    }
}

enum Target {
    Backend(Server),
    EntryHost(Server),
}

/// Tells whether another entry host refused the request as not run and worth a resend.
fn is_refused_remotely(answer: &Answer) -> bool {
    let Some(code) = answer.headers().get(CODE) else {
        return false;
    };
    let code: Option<u16> = code.to_str().ok().and_then(|v| v.parse().ok());
    Code::ALL
        .iter()
        .find(|c| Some(c.number()) == code)
        .is_some_and(|c| c.ran() == Ran::No && c.may_resend())
}

fn timer(deadline: Deadline, now: Instant) -> TokioInstant {
    let remaining: Duration = deadline.remaining(now).into();
    TokioInstant::now() + remaining.min(MAX_TIMER)
}
