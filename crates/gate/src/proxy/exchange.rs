//! Attempts of one request, from the routing decision to the response head.
//!
//! A server that is silent for longer than expected may still respond, so its attempt goes on while
//! another server is tried; the first of them to respond ends the other attempt.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use config::RetryPolicy;
use engine::Server;
use futures::future::{Either, select};
use http::{StatusCode, response};
use route::Failure;
use tokio::time::{Instant as TokioInstant, timeout_at};
use types::{BackendId, Code, ExecutionStatus, Micros, RetryReason};

use crate::{
    dispatcher::{Decision, RequestHandle, StateMachine},
    peers::Peers,
    proxy::{
        Shared,
        attempt::{Attempt, OpenResponse, keep, may_have_run_failure, not_run_failure},
        buffer::{Beginning, Incomplete, count_unbuffered, read_whole, stated_len},
        codec::HeaderCodec,
        hedge::{Hedged, Responded, run_hedged},
        implies_not_run,
        inbound::Inbound,
        liveness::{UnmarkedEnd, ends_with_connection},
        log,
        position::Position,
        quotas::QuotaCharge,
    },
    record::{Progress, RequestRecord},
    refusal::{Refusal, is_suspect_code},
};

/// Multiple of the estimated time to first byte after which an attempt that may be repeated counts as
/// stalled.
const STALL_FACTOR: u64 = 4;

/// Minimum time without a response after which an attempt counts as stalled.
const MIN_STALL_TIME: Micros = Micros::from_millis(150);

/// Completely buffered response.
#[derive(Debug)]
pub(crate) struct CompleteResponse {
    pub(crate) backend: BackendId,
    pub(crate) head: response::Parts,
    pub(crate) body: Bytes,
    /// Whether its server was alive at its end.
    pub(crate) is_harmless: bool,
}

/// Response of which a part was read.
#[derive(Debug)]
pub(crate) enum ReadResponse {
    /// It is complete.
    Complete(CompleteResponse),
    /// It was not read to its end, and the caller gets it as it arrives.
    Begun(Box<BegunResponse>),
}

/// Response that is passed on before its end.
#[derive(Debug)]
pub(crate) struct BegunResponse {
    pub(crate) response: OpenResponse,
    /// Part of the body that was read.
    pub(crate) beginning: Beginning,
    /// Length of the body in bytes, if the server states it.
    pub(crate) len: Option<u64>,
}

/// State of a request across its attempts. Dropping it cancels the request.
pub(crate) struct Exchange<R: StateMachine, N: Peers, C> {
    pub(crate) shared: Arc<Shared<R, N, C>>,
    pub(crate) inbound: Arc<Inbound>,
    pub(crate) handle: RequestHandle<R, N>,
    pub(crate) record: RequestRecord,
    /// What the request took from the quota of its account, if it has one.
    charge: Option<QuotaCharge>,
    /// Result code of the last attempt that may have run.
    may_have_run: Option<Code>,
    /// Position in the stream that is forwarded.
    pub(crate) position: Position,
    /// Server error, or a response of which it is unclear whether it is complete. The caller gets it if no
    /// other attempt succeeds.
    fallback: Option<CompleteResponse>,
}

impl<R: StateMachine, N: Peers, C: HeaderCodec> Exchange<R, N, C> {
    pub(crate) fn start(
        shared: Arc<Shared<R, N, C>>,
        inbound: Inbound,
        mut record: RequestRecord,
        charge: Option<QuotaCharge>,
    ) -> Self {
        record.received(&inbound.ticket.target);
        let handle = shared.dispatcher.arrive(inbound.ticket.clone());
        Self {
            handle,
            position: Position::after(inbound.info.last_event_id.clone()),
            inbound: Arc::new(inbound),
            shared,
            record,
            charge,
            may_have_run: None,
            fallback: None,
        }
    }

    /// Waits for a routing decision and sends the request, until a response starts or the request
    /// is refused.
    pub(crate) async fn open(&mut self) -> Result<OpenResponse, Refusal> {
        loop {
            let (server, first_byte) = self.next_server().await?;
            let attempt = self.start_attempt(server, first_byte);
            match self.await_response(attempt).await {
                Ok(response) => return Ok(response),
                Err((backend, failure)) => self.report_failure(&backend, failure),
            }
        }
    }

    async fn next_server(&mut self) -> Result<(Server, Micros), Refusal> {
        loop {
            let decided = timeout_at(self.inbound.deadline_at, self.handle.decision()).await;
            let (backend, retry, first_byte) = match decided {
                Err(_elapsed) => return Err(self.refusal(Code::DeadlineUnreachable, None)),
                Ok(Decision::Refuse { code, retry_after }) => {
                    if is_suspect_code(code) {
                        self.log_blocked_suspect();
                    }
                    return Err(self.refusal(code, retry_after));
                }
                Ok(Decision::Forward(_)) => return Err(self.refusal(Code::HopLimit, None)),
                Ok(Decision::Dispatch {
                    backend,
                    retry,
                    first_byte,
                }) => (backend, retry, first_byte),
            };
            if self.inbound.policy.retry_policy == RetryPolicy::Never && self.may_have_run.is_some()
            {
                return Err(self.refusal(Code::RetriesExhausted, None));
            }
            if let Some(server) = self.shared.dispatcher.server(&backend) {
                let waited = self.record.elapsed();
                metrics::histogram!("celerytally_queue_seconds").record(waited.as_secs_f64());
                log::dispatched(&self.inbound, &backend, retry, waited, first_byte);
                return Ok((server, first_byte));
            }
            self.report_failure(&backend, not_run_failure(RetryReason::Unreachable));
        }
    }

    /// Logs which suspect keeps the request from the backend servers.
    fn log_blocked_suspect(&self) {
        let dispatcher = &self.shared.dispatcher;
        let blocked = dispatcher.blocked_suspect(&self.inbound.ticket);
        if let Some((suspect, verdict)) = blocked {
            log::blocked(&self.record.id, suspect, verdict);
        }
    }

    /// Reports the end of the response of a backend server. `is_harmless` is whether the server was alive then.
    pub(crate) fn finish(&mut self, backend: &BackendId, ok: bool, is_harmless: bool) {
        if ok && is_harmless {
            self.log_answered_suspects(backend);
        }
        self.handle.finished(0, ok, is_harmless);
    }

    /// Reports that data of the response of a backend server have arrived for a while.
    pub(crate) fn sustained(&mut self, backend: &BackendId) {
        self.log_answered_suspects(backend);
        self.handle.sustained();
    }

    /// Logs the suspects against which a response removes crashes.
    fn log_answered_suspects(&self, backend: &BackendId) {
        let dispatcher = &self.shared.dispatcher;
        let suspects = dispatcher.awaited_suspects(&self.inbound.ticket);
        if !suspects.is_empty() {
            log::answered_suspects(&self.record.id, backend, &suspects);
        }
    }

    fn start_attempt(&mut self, server: Server, first_byte: Micros) -> Attempt<R, N, C> {
        self.record.sent();
        if let Some(charge) = &mut self.charge {
            charge.sent();
        }
        Attempt {
            shared: Arc::clone(&self.shared),
            inbound: Arc::clone(&self.inbound),
            arrived_at: self.record.arrived_at,
            server,
            first_byte,
            last_event_id: self.position.last_event_id().map(str::to_owned),
        }
    }

    /// Waits for the response to an attempt. While its server is silent, another one is tried as well.
    ///
    /// # Errors
    /// The failure of the last attempt that was left, and its backend server.
    async fn await_response(
        &mut self,
        attempt: Attempt<R, N, C>,
    ) -> Result<OpenResponse, (BackendId, Failure)> {
        let mut backend = attempt.server.id.clone();
        let mut first_byte = attempt.first_byte;
        let hedged = Hedged::default();
        let mut current = Box::pin(run_hedged(attempt, hedged.clone()));
        loop {
            let stalls_at = self.stalls_at(first_byte);
            if stalls_at >= self.inbound.deadline_at {
                // The attempt ends by itself at the deadline.
                let responded = current.await;
                return self.accept(responded).map_err(|failure| (backend, failure));
            }
            match timeout_at(stalls_at, &mut current).await {
                Ok(responded) => {
                    return self.accept(responded).map_err(|failure| (backend, failure));
                }
                Err(_elapsed) => {}
            }
            let Some(attempt) = self.start_takeover() else {
                continue;
            };
            let other = attempt.server.id.clone();
            let other_first_byte = attempt.first_byte;
            hedged.set(true);
            let next = Box::pin(run_hedged(attempt, hedged.clone()));
            match select(current, next).await {
                Either::Left((responded, next)) => match self.accept(responded) {
                    Ok(response) => {
                        self.takeover_failed(&other, None);
                        return Ok(response);
                    }
                    Err(failure) => {
                        self.taken_over(&backend, Some(failure));
                        (backend, first_byte, current) = (other, other_first_byte, next);
                    }
                },
                Either::Right((responded, stalled)) => match self.accept(responded) {
                    Ok(response) => {
                        self.taken_over(&backend, None);
                        return Ok(response);
                    }
                    Err(failure) => {
                        self.takeover_failed(&other, Some(failure));
                        current = stalled;
                    }
                },
            }
            hedged.set(false);
        }
    }

    /// Returns the response to an attempt, and keeps an error for the case that the other attempt fails,
    /// too.
    ///
    /// # Errors
    /// The failure of the attempt.
    fn accept(&mut self, responded: Result<Responded, Failure>) -> Result<OpenResponse, Failure> {
        match responded? {
            Responded::Open(response) => Ok(response),
            Responded::Error(whole) => {
                self.fallback = Some(whole);
                Err(may_have_run_failure(RetryReason::ServerError))
            }
        }
    }

    /// Returns the time at which an attempt without a response counts as stalled.
    fn stalls_at(&self, first_byte: Micros) -> TokioInstant {
        let estimated = first_byte.get().saturating_mul(STALL_FACTOR);
        let time = estimated
            .max(self.inbound.policy.target.get())
            .max(MIN_STALL_TIME.get());
        self.stalls_after(Duration::from_micros(time))
    }

    /// Returns the time at which the current attempt counts as stalled after a time without data, or
    /// the deadline if the request must not be repeated.
    pub(crate) fn stalls_after(&self, time: Duration) -> TokioInstant {
        let deadline = self.inbound.deadline_at;
        let policy = &self.inbound.policy;
        if policy.retry_policy == RetryPolicy::Never || policy.max_attempts <= 1 {
            return deadline;
        }
        let time = time.max(MIN_STALL_TIME.into());
        (TokioInstant::now() + time).min(deadline)
    }

    /// Starts an attempt at another server for a stalled request, if one can take it now.
    pub(crate) fn start_takeover(&mut self) -> Option<Attempt<R, N, C>> {
        let (backend, first_byte) = self.handle.stalled()?;
        let Some(server) = self.shared.dispatcher.server(&backend) else {
            let failure = not_run_failure(RetryReason::Unreachable);
            self.takeover_failed(&backend, Some(failure));
            return None;
        };
        let (retry, waited) = (Some(RetryReason::Silent), self.record.elapsed());
        log::dispatched(&self.inbound, &backend, retry, waited, first_byte);
        Some(self.start_attempt(server, first_byte))
    }

    /// Records that the attempt at a stalled server is over, and the other one goes on.
    ///
    /// `failure` is `None` if the other server responded.
    pub(crate) fn taken_over(&mut self, stalled: &BackendId, failure: Option<Failure>) {
        let silent = may_have_run_failure(RetryReason::Silent);
        self.record_failure(stalled, failure.unwrap_or(silent));
        self.handle.taken_over(failure);
    }

    /// Records that the attempt at another server is over, and the one at the stalled server goes on.
    ///
    /// `failure` is `None` if the stalled server went on before the other one responded.
    pub(crate) fn takeover_failed(&mut self, other: &BackendId, failure: Option<Failure>) {
        match failure {
            Some(failure) => self.record_failure(other, failure),
            None => log::attempt_cancelled(&self.record.id, other, self.record.attempts),
        }
        self.handle.takeover_failed(failure);
    }

    fn refusal(&self, code: Code, retry_after: Option<Micros>) -> Refusal {
        if self.may_have_run == Some(Code::DeadlineExceeded) {
            // The router sees a silent attempt only as failed, so the code recorded here is more
            // precise.
            return Code::DeadlineExceeded.into();
        }
        Refusal::from_router(code, self.may_have_run, retry_after)
    }

    /// Returns the refusal of a request that the end of the process interrupts before its response.
    pub(crate) fn refusal_at_stop(&self) -> Refusal {
        let may_run = self.record.progress >= Progress::Sent;
        let attempt = may_run.then_some(Code::ConnectionCut).or(self.may_have_run);
        Refusal::from_router(Code::Draining, attempt, None)
    }

    /// Takes the response to return instead of a refusal, if any.
    ///
    /// A response that promises "not run" is not returned after an attempt that may have run.
    pub(crate) fn take_fallback(&mut self) -> Option<CompleteResponse> {
        let kept = self.fallback.take()?;
        (!self.is_untrue(kept.head.status)).then_some(kept)
    }

    /// Reports a failed attempt to the router.
    pub(crate) fn report_failure(&mut self, backend: &BackendId, failure: Failure) {
        self.record_failure(backend, failure);
        self.record.attempt_failed();
        self.handle.failed(failure);
    }

    fn record_failure(&mut self, backend: &BackendId, failure: Failure) {
        log::attempt_failed(&self.record.id, backend, failure, self.record.attempts);
        if failure.may_have_run {
            self.may_have_run = Some(failure_code(failure.reason));
        }
        if let Some(charge) = &mut self.charge {
            charge.failed(failure.may_have_run);
        }
    }

    /// Buffers a response, unless it is too large. Returns `None` if another attempt is needed.
    pub(crate) async fn read_response(
        &mut self,
        mut response: OpenResponse,
    ) -> Option<ReadResponse> {
        let len = stated_len(&response.body);
        let read = read_whole(&mut response.body, &self.shared.buffers);
        let read = timeout_at(self.inbound.deadline_at, read).await;
        let read = match read {
            Ok(Err(Incomplete::Unread(beginning))) if self.is_final(response.head.status) => {
                self.fallback = None;
                self.record.answering(0);
                count_unbuffered();
                return Some(ReadResponse::Begun(Box::new(BegunResponse {
                    response,
                    beginning,
                    len,
                })));
            }
            read => read,
        };
        let OpenResponse {
            backend,
            destination,
            head,
            connection,
            port,
            ..
        } = response;
        let body = match read {
            Ok(Ok(whole)) => whole,
            Ok(Err(incomplete)) => {
                let reason = self.shared.reason_of(incomplete, &destination).await;
                self.report_failure(&backend, may_have_run_failure(reason));
                return None;
            }
            Err(_elapsed) => {
                self.report_failure(&backend, may_have_run_failure(RetryReason::Silent));
                return None;
            }
        };
        let mut end = UnmarkedEnd::Alive;
        if ends_with_connection(&self.inbound.head.method, &head) {
            end = self.shared.unmarked_end(&destination, port).await;
        }
        if let Some(reason) = end.failure() {
            self.report_failure(&backend, may_have_run_failure(reason));
            return None;
        }
        keep(&self.shared.pool, connection, &head);
        let whole = CompleteResponse {
            backend,
            head,
            body,
            is_harmless: end.is_harmless(),
        };
        let is_refusal = implies_not_run(whole.head.status);
        if self.is_untrue(whole.head.status) {
            // The server's promise holds for its own attempt only.
            self.report_failure(&whole.backend, not_run_failure(RetryReason::Refused));
            return None;
        }
        if self.is_retryable(whole.head.status) {
            let backend = whole.backend.clone();
            self.fallback = Some(whole);
            let failure = Failure {
                may_have_run: !is_refusal,
                ..may_have_run_failure(RetryReason::ServerError)
            };
            self.report_failure(&backend, failure);
            return None;
        }
        if end == UnmarkedEnd::Unclear && self.may_run_again() {
            let backend = whole.backend.clone();
            self.fallback = Some(whole);
            self.report_failure(&backend, may_have_run_failure(RetryReason::Truncated));
            return None;
        }
        Some(ReadResponse::Complete(whole))
    }

    /// Returns whether a status promises "not run" after an attempt that may have run.
    fn is_untrue(&self, status: StatusCode) -> bool {
        implies_not_run(status) && self.may_have_run.is_some()
    }

    /// Returns whether a response is a server error after which another attempt is possible.
    fn is_retryable(&self, status: StatusCode) -> bool {
        status.is_server_error() && self.may_run_again()
    }

    fn may_run_again(&self) -> bool {
        self.inbound.policy.retry_policy == RetryPolicy::Idempotent
            && self.record.attempts < self.inbound.policy.max_attempts
    }

    /// Returns whether the caller gets a response with a status, whatever its body is.
    fn is_final(&self, status: StatusCode) -> bool {
        !self.is_untrue(status) && !self.is_retryable(status)
    }
}

/// Returns the result code for an attempt that may have run.
fn failure_code(reason: RetryReason) -> Code {
    match reason {
        RetryReason::Crash => Code::BackendCrashed,
        RetryReason::Mismatch => Code::AnswerMismatch,
        RetryReason::Truncated => Code::AnswerTruncated,
        RetryReason::Silent => Code::DeadlineExceeded,
        RetryReason::ServerError => Code::BackendError,
        _ => Code::ConnectionCut,
    }
}

/// Returns whether a refusal states that the request was not run.
pub(crate) fn not_run(refusal: &Refusal) -> bool {
    refusal.ran == ExecutionStatus::No
}
