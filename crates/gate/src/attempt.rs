//! Dispatch attempts of one request, from the routing decision to a validated response.

use std::{sync::Arc, time::Duration};

use engine::{Answer, Category, Client, Error, Server};
use reqwest::header::HeaderValue;
use route::{Event, Failure, Liveness};
use tokio::time::Instant as TokioInstant;
use types::{
    BackendId, Clock, Code, DataCentreId, ExecutionStatus, Instant, Micros, Monotonic, RetryReason,
};

use crate::{
    call,
    counters::Counters,
    dispatcher::{Decision, Dispatcher, RequestHandle, StateMachine},
    peers::Peers,
    record::{End, RequestRecord, SharedRecord},
    refusal::{self, Refusal},
    request::PreparedRequest,
};

/// Extra time to wait for the router's decision after a failed attempt, even past the deadline,
/// because suspects are shared with peers before the refusal is sent.
const SUSPECT_SHARING_GRACE: Duration = Duration::from_secs(2);

/// Maximum resumptions per stream. A server that breaks a stream more often is unlikely to finish
/// it.
const MAX_RESUMES: u32 = 3;

/// Shared state for running requests.
pub(crate) struct Runner<R, N> {
    pub(crate) dispatcher: Dispatcher<R, N>,
    pub(crate) engine: Client,
    pub(crate) clock: Monotonic,
    pub(crate) counters: Arc<Counters>,
    /// `Authorization` header value for requests to other entry hosts.
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

/// State of a request across its dispatch attempts. Dropping it cancels the request.
pub(crate) struct Attempts<R: StateMachine, N: Peers> {
    pub(crate) runner: Runner<R, N>,
    pub(crate) request: Arc<PreparedRequest>,
    pub(crate) handle: RequestHandle<R, N>,
    /// Result code of the last attempt that may have run.
    may_have_run: Option<Code>,
    failed: bool,
    /// Whether the last attempt was sent to another entry host.
    pub(crate) remote: bool,
    /// Number of events forwarded to the caller, or `None` before the first byte.
    pub(crate) delivered_events: Option<u64>,
    resumes: u32,
    /// Record of the caller's request; `None` if its end does not depend on this run.
    pub(crate) record: Option<SharedRecord>,
    arrived_at: Instant,
    queue_time: Micros,
    backend_time: Micros,
}

impl<R: StateMachine, N: Peers> Attempts<R, N> {
    pub(crate) fn start(
        runner: Runner<R, N>,
        request: Arc<PreparedRequest>,
        record: Option<SharedRecord>,
    ) -> Self {
        Self {
            record,
            arrived_at: runner.clock.now(),
            handle: runner.dispatcher.arrive(request.ticket.clone()),
            runner,
            request,
            may_have_run: None,
            failed: false,
            remote: false,
            delivered_events: None,
            resumes: 0,
            queue_time: Micros::ZERO,
            backend_time: Micros::ZERO,
        }
    }

    /// Returns the value of the `Server-Timing` header.
    pub(crate) fn timing(&self) -> Option<HeaderValue> {
        let ms = |t: Micros| t.as_secs_f64() * 1e3;
        let (queue, backend) = (ms(self.queue_time), ms(self.backend_time));
        HeaderValue::try_from(format!("queue;dur={queue:.1}, backend;dur={backend:.1}")).ok()
    }

    /// Waits for a routing decision and sends the request, until a server responds or the request
    /// is refused.
    pub(crate) async fn open(&mut self) -> Result<(Server, Answer), Refusal> {
        loop {
            let server = self.next_server().await?;
            self.update_record(RequestRecord::sent);
            let sent_at = self.runner.clock.now();
            self.queue_time = sent_at.since(self.arrived_at);
            let call = if self.remote {
                let bearer = self.runner.host_bearer.clone();
                call::forward_call(&self.request, sent_at, bearer)
            } else {
                call::backend_call(&self.request, sent_at)
            };
            let sent = self.runner.engine.send(&server, call).await;
            self.backend_time = self.runner.clock.now().since(sent_at);
            match sent {
                Ok(answer) if self.remote && is_not_run_refusal(&answer) => {
                    self.report_failure(RetryReason::Refused, false);
                }
                Ok(answer) => {
                    self.feed_response_hints(&server, &answer);
                    return Ok((server, answer));
                }
                Err(e) => self.report_error(&server, e).await,
            }
        }
    }

    /// Returns the server for the next attempt.
    async fn next_server(&mut self) -> Result<Server, Refusal> {
        loop {
            let timeout = self.decision_timeout_at();
            let decided = tokio::time::timeout_at(timeout, self.handle.decision()).await;
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
                None => self.report_failure(RetryReason::Unreachable, false),
            }
        }
    }

    /// Waits for the router's final refusal of a request whose response has already started.
    pub(crate) async fn final_refusal(&mut self) -> Refusal {
        match self.next_server().await {
            Ok(_) => Code::StreamInterrupted.into(),
            Err(refusal) => refusal,
        }
    }

    fn decision_timeout_at(&self) -> TokioInstant {
        let now = self.runner.clock.now();
        let deadline = call::timer_instant(self.request.ticket.deadline, now);
        if self.failed {
            deadline.max(TokioInstant::now() + SUSPECT_SHARING_GRACE)
        } else {
            deadline
        }
    }

    /// Returns whether another dispatch could repeat output that the caller has received, or run a
    /// non-idempotent request twice.
    ///
    /// The router applies the same rule. This check holds even if the router does not.
    fn must_not_repeat(&self) -> bool {
        let at_most_once =
            !self.request.ticket.idempotent && self.runner.dispatcher.checks().single_dispatch;
        self.delivered_events.is_some() || (at_most_once && self.may_have_run.is_some())
    }

    fn refusal(&self, code: Code, retry_after: Option<Micros>) -> Refusal {
        let at_most_once = !self.request.ticket.idempotent;
        match (self.delivered_events, self.may_have_run) {
            // The router sees a timeout as a cut connection, so the code recorded here is more
            // precise.
            (_, Some(Code::DeadlineExceeded)) => Code::DeadlineExceeded.into(),
            (Some(_), _) if !refusal::is_suspect_code(code) => Code::StreamInterrupted.into(),
            // A code that permits a resend must not hide that this request may have run.
            (_, Some(ran)) if at_most_once && code.is_retryable() => ran.into(),
            (_, ran) => Refusal::from_router(code, ran, retry_after),
        }
    }

    fn entry_host(&self, dc: &DataCentreId) -> Option<Server> {
        if self.request.ticket.forwarded {
            return None;
        }
        let addr = self.runner.dispatcher.entry_host(dc)?;
        let id: BackendId = dc.as_str().parse().ok()?;
        Some(Server { id, addr })
    }

    fn feed_response_hints(&self, server: &Server, answer: &Answer) {
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

    /// Requests the rest of a broken stream from the same server, unless the server has crashed.
    pub(crate) async fn resume(&mut self, server: &Server, err: Error) -> Result<Answer, Error> {
        let err = self.diagnose(server, err).await;
        let Some(from) = self.delivered_events else {
            return Err(err);
        };
        let broken = matches!(
            err.category(),
            Category::ConnectionLost | Category::Truncated
        );
        if self.remote || !broken || self.resumes == MAX_RESUMES {
            return Err(err);
        }
        self.resumes += 1;
        let deadline = call::timer_instant(self.request.ticket.deadline, self.runner.clock.now());
        let (id, headers) = (self.request.ticket.id, self.request.headers.clone());
        let engine = &self.runner.engine;
        match engine.resume(server, id, from, headers, deadline).await {
            Ok(answer) => {
                self.runner.counters.retry(RetryReason::Resume);
                Ok(answer)
            }
            // The original error describes what happened to the request.
            Err(_) => Err(err),
        }
    }

    /// Distinguishes a crash of a server from a lost connection. A leaving server ends as planned, so its
    /// end shows no crash.
    async fn diagnose(&self, server: &Server, err: Error) -> Error {
        if self.remote || self.runner.dispatcher.is_leaving(&server.id) {
            return err;
        }
        self.runner.engine.diagnose(server, err).await
    }

    /// Diagnoses the error of an attempt and reports it to the router.
    pub(crate) async fn report_error(&mut self, server: &Server, err: Error) {
        let err = self.diagnose(server, err).await;
        let backend = server.id.clone();
        match (err.category(), err.incarnation()) {
            // If the incarnation is unknown, the router learns of the crash from the failed attempt
            // alone.
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
            self.may_have_run = Some(if self.remote && !late {
                Code::ForwardFailed
            } else {
                err.code()
            });
            if !self.request.ticket.idempotent {
                let id = self.request.ticket.id;
                tracing::warn!(request = %id, "outcome unknown: {err}");
            }
        }
        self.report_failure(err.retry_reason(), err.may_have_run());
    }

    fn report_failure(&mut self, reason: RetryReason, may_have_run: bool) {
        self.failed = true;
        self.update_record(RequestRecord::attempt_failed);
        self.handle.failed(Failure {
            reason,
            may_have_run,
            answered: self.delivered_events.is_some(),
            resumes: false,
        });
    }

    /// Changes the record of the caller's request, if there is one.
    pub(crate) fn update_record(&self, change: impl FnOnce(&mut RequestRecord)) {
        if let Some(record) = &self.record {
            record.update(change);
        }
    }

    /// Writes the log line of the end of the caller's request and counts it.
    pub(crate) fn end(&self, end: &End) {
        self.update_record(|record| record.end(end));
    }

    /// Reports the completed response to the router and counts it if it met the deadline.
    pub(crate) fn finish(&mut self, tokens: u32, ok: bool) {
        let late = self
            .request
            .ticket
            .deadline
            .is_past(self.runner.clock.now());
        let ok = ok && !late;
        self.handle.finished(tokens, ok, true);
        // A forwarded request is counted by the entry host that received it from the caller.
        if ok && !self.request.ticket.forwarded {
            self.runner.counters.in_time();
        }
    }
}

/// Returns whether another entry host refused the request without running it.
///
/// `CrashingRequest` is final. Other refusals may not apply in this data centre.
fn is_not_run_refusal(answer: &Answer) -> bool {
    refusal::code(answer.headers())
        .is_some_and(|code| code.ran() == ExecutionStatus::No && code != Code::CrashingRequest)
}
