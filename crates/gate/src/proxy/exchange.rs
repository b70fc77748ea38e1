//! Attempts at one request: from the router's decision to the head of a response.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use config::Repeat;
use engine::{Connection, Sent, Server};
use http::{HeaderMap, HeaderValue, Method, Request, header, response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use route::{Event, Failure};
use tokio::time::{Instant as TokioInstant, timeout, timeout_at};
use types::{BackendId, Clock, Code, Instant, Micros, Ran, RetryReason};

use crate::{
    dispatcher::{Decision, Flight, StateMachine},
    peers::Peers,
    proxy::{
        Shared,
        codec::{AttemptInfo, HeaderCodec, ResponseClass},
        inbound::Inbound,
        log,
    },
    refusal::Refusal,
};

/// Largest body of a response that is read as a whole.
const MAX_WHOLE_BODY: usize = 4 << 20;

/// Bounds the reading of a refusal's body, after which its connection is closed instead of kept.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(50);

/// Times the estimate after which an attempt that may be repeated counts as silent.
const PATIENCE_FACTOR: u64 = 4;

/// Share of the target within which no attempt counts as silent.
const MIN_PATIENCE: Micros = Micros::from_millis(150);

/// Lowest rank among the requests of a worker, for requests that miss their target anyway.
const LATE_URGENCY: u8 = 8;

/// Rank of requests of priority zero that can meet their target.
const FIRST_URGENCY: u8 = 3;

/// Lowest rank of a request that can meet its target.
const LAST_URGENCY: u8 = 7;

/// Response whose head was verified.
#[derive(Debug)]
pub(crate) struct Opened {
    pub(crate) backend: BackendId,
    pub(crate) head: response::Parts,
    pub(crate) body: Incoming,
    pub(crate) connection: Connection,
}

/// Response that was read as a whole.
#[derive(Debug)]
pub(crate) struct Whole {
    pub(crate) head: response::Parts,
    pub(crate) body: Bytes,
}

/// One request with its attempts; dropping it cancels the request.
pub(crate) struct Exchange<R: StateMachine, N: Peers, D> {
    pub(crate) shared: Arc<Shared<R, N, D>>,
    pub(crate) inbound: Inbound,
    pub(crate) flight: Flight<R, N>,
    pub(crate) attempts: u8,
    /// Code of the last attempt that may have run.
    ran: Option<Code>,
    pub(crate) arrived: Instant,
    /// Whether a part of the response has been passed on.
    pub(crate) answered: bool,
    /// Last event that was passed on whole.
    pub(crate) last_event: Option<String>,
    /// Failure that a backend server answered, kept while another one is tried.
    fallback: Option<Whole>,
    /// Whether the exchange was logged as ended.
    pub(crate) ended: bool,
}

impl<R: StateMachine, N: Peers, D> Drop for Exchange<R, N, D> {
    fn drop(&mut self) {
        if !self.ended {
            let took = self.shared.clock.now().since(self.arrived);
            log::cancelled(&self.inbound, self.attempts, self.answered, took);
        }
    }
}

impl<R: StateMachine, N: Peers, D: HeaderCodec> Exchange<R, N, D> {
    pub(crate) fn begin(shared: Arc<Shared<R, N, D>>, inbound: Inbound) -> Self {
        let flight = shared.dispatcher.arrive(inbound.ticket.clone());
        Self {
            arrived: shared.clock.now(),
            flight,
            last_event: inbound.asked.last_event_id.clone(),
            inbound,
            shared,
            attempts: 0,
            ran: None,
            answered: false,
            fallback: None,
            ended: false,
        }
    }

    /// Waits for the router and sends the request until a response begins or it is refused.
    pub(crate) async fn open(&mut self) -> Result<Opened, Refusal> {
        loop {
            let (server, first_byte) = self.decide().await?;
            self.attempts += 1;
            match self.attempt(&server, first_byte).await {
                Ok(opened) => return Ok(opened),
                Err(failure) => self.fail(&server.id, failure),
            }
        }
    }

    async fn decide(&mut self) -> Result<(Server, Micros), Refusal> {
        loop {
            let decided = timeout_at(self.inbound.ends, self.flight.decision()).await;
            let (backend, retry, first_byte) = match decided {
                Err(_elapsed) => return Err(self.refusal(Code::DeadlineUnreachable, None)),
                Ok(Decision::Refuse { code, retry_after }) => {
                    return Err(self.refusal(code, retry_after));
                }
                Ok(Decision::Forward(_)) => return Err(self.refusal(Code::HopLimit, None)),
                Ok(Decision::Dispatch {
                    backend,
                    retry,
                    first_byte,
                }) => (backend, retry, first_byte),
            };
            if self.inbound.terms.repeat == Repeat::Never && self.ran.is_some() {
                return Err(self.refusal(Code::RetriesExhausted, None));
            }
            if let Some(server) = self.shared.dispatcher.server(&backend) {
                let waited = self.shared.clock.now().since(self.arrived);
                metrics::histogram!("celerytally_queue_seconds").record(waited.as_secs_f64());
                log::dispatched(&self.inbound, &backend, retry, waited, first_byte);
                return Ok((server, first_byte));
            }
            self.fail(&backend, unsent(RetryReason::Unreachable));
        }
    }

    fn refusal(&self, code: Code, retry_after: Option<Micros>) -> Refusal {
        if self.ran == Some(Code::DeadlineExceeded) {
            // More is known here than in the router, which takes silence for a failed attempt.
            return Code::DeadlineExceeded.into();
        }
        Refusal::decided(code, self.ran, retry_after)
    }

    /// Returns the answer of a backend server that stands for a refusal, if there is one.
    pub(crate) fn take_fallback(&mut self) -> Option<Whole> {
        self.fallback.take()
    }

    /// Tells the router of a failed attempt.
    pub(crate) fn fail(&mut self, backend: &BackendId, failure: Failure) {
        log::attempt_failed(&self.inbound.asked.id, backend, failure, self.attempts);
        if failure.may_have_run {
            self.ran = Some(code_of(failure.reason));
        }
        self.flight.failed(failure);
    }

    /// Returns the time until which an attempt may be silent.
    fn patience(&self, first_byte: Micros) -> TokioInstant {
        let terms = &self.inbound.terms;
        if terms.repeat == Repeat::Never || self.attempts >= terms.max_attempts {
            return self.inbound.ends;
        }
        let estimated = first_byte.get().saturating_mul(PATIENCE_FACTOR);
        let patience = estimated.max(terms.target.get()).max(MIN_PATIENCE.get());
        (TokioInstant::now() + Duration::from_micros(patience)).min(self.inbound.ends)
    }

    async fn attempt(&mut self, server: &Server, first_byte: Micros) -> Result<Opened, Failure> {
        let until = self.patience(first_byte);
        let mut connection = self.connect(server).await?;
        let mut sent = self
            .send(&mut connection, server, first_byte, until)
            .await?;
        if matches!(sent, Sent::Unsent) && connection.is_reused() {
            // The server closed the idle connection; nothing of the request was sent.
            let opened = self.shared.pool.open(server.addr).await;
            connection = opened.map_err(|_not_sent| unsent(RetryReason::Unreachable))?;
            sent = self
                .send(&mut connection, server, first_byte, until)
                .await?;
        }
        let answer = match sent {
            Sent::Answered(answer) => answer,
            Sent::Unsent => return Err(unsent(RetryReason::Unreachable)),
            Sent::Broken(e) => {
                tracing::debug!(backend = %server.id, error = %e, "connection broke");
                return Err(self.diagnose(server).await);
            }
        };
        let (head, body) = answer.into_parts();
        match self
            .shared
            .codec
            .classify_response(&self.inbound.asked.id, &server.id, &head)
        {
            ResponseClass::Answer => Ok(Opened {
                backend: server.id.clone(),
                head,
                body,
                connection,
            }),
            ResponseClass::NotRun(reason) => {
                self.keep_after_refusal(connection, &head, body).await;
                Err(unsent(reason))
            }
            ResponseClass::Mismatch => Err(sent_failure(RetryReason::Mismatch)),
        }
    }

    async fn connect(&self, server: &Server) -> Result<Connection, Failure> {
        self.shared.pool.get(server.addr).await.map_err(|e| {
            tracing::debug!(backend = %server.id, error = %e, "no connection");
            unsent(RetryReason::Unreachable)
        })
    }

    async fn send(
        &self,
        connection: &mut Connection,
        server: &Server,
        first_byte: Micros,
        until: TokioInstant,
    ) -> Result<Sent, Failure> {
        let req = self.request(server, first_byte);
        let sent = timeout_at(until, connection.send(req)).await;
        sent.map_err(|_elapsed| sent_failure(RetryReason::Silent))
    }

    fn request(&self, server: &Server, first_byte: Micros) -> Request<Full<Bytes>> {
        let inbound = &self.inbound;
        let now = self.shared.clock.now();
        let attempt = AttemptInfo {
            backend: &server.id,
            remaining: inbound.ticket.deadline.remaining(now),
            urgency: self.urgency(now, first_byte),
            last_event_id: self.last_event.as_deref(),
        };
        let own = end_to_end(&inbound.head.headers);
        let mut req = Request::new(Full::new(inbound.body.clone()));
        *req.method_mut() = inbound.head.method.clone();
        *req.uri_mut() = inbound.head.uri.clone();
        *req.headers_mut() = self.shared.codec.encode_attempt(&own, &attempt);
        if inbound.body.is_empty() && has_length(&inbound.head) {
            let zero = HeaderValue::from_static("0");
            req.headers_mut().insert(header::CONTENT_LENGTH, zero);
        }
        req
    }

    /// Ranks requests that can meet their target before those that can't.
    fn urgency(&self, now: Instant, first_byte: Micros) -> Option<u8> {
        let ticket = &self.inbound.ticket;
        if ticket.target == route::Target::Plain {
            return None;
        }
        let waited = now.since(self.arrived).get();
        if waited + first_byte.get() > self.inbound.terms.target.get() {
            return Some(LATE_URGENCY);
        }
        Some((FIRST_URGENCY + ticket.priority.get()).min(LAST_URGENCY))
    }

    /// Finds out whether a backend server whose connection broke has crashed.
    async fn diagnose(&self, server: &Server) -> Failure {
        let crashed = match self.shared.pool.open(server.addr).await {
            Ok(connection) => {
                self.shared.pool.keep(connection, None);
                false
            }
            Err(e) => e.is_refused(),
        };
        if !crashed {
            return sent_failure(RetryReason::Cut);
        }
        // Without a known life the failed attempt alone tells the router of the crash.
        if let Some(incarnation) = self.shared.incarnation(&server.id) {
            self.shared.dispatcher.feed(Event::Crashed {
                backend: server.id.clone(),
                incarnation,
            });
        }
        sent_failure(RetryReason::Crash)
    }

    async fn keep_after_refusal(&self, conn: Connection, head: &response::Parts, body: Incoming) {
        let read = Limited::new(body, MAX_WHOLE_BODY).collect();
        if matches!(timeout(REFUSAL_BODY_TIMEOUT, read).await, Ok(Ok(_))) {
            self.keep(conn, head);
        }
    }

    /// Gives a connection back to the pool after a complete response.
    pub(crate) fn keep(&self, connection: Connection, head: &response::Parts) {
        if !closes(&head.headers) {
            self.shared.pool.keep(connection, kept_for(&head.headers));
        }
    }

    /// Reads a response as a whole; `None` when another attempt must be made.
    pub(crate) async fn read_whole(&mut self, opened: Opened) -> Option<Whole> {
        let Opened {
            backend,
            head,
            body,
            connection,
        } = opened;
        let read = Limited::new(body, MAX_WHOLE_BODY).collect();
        let body = match timeout_at(self.inbound.ends, read).await {
            Ok(Ok(whole)) => whole.to_bytes(),
            Ok(Err(_)) => {
                self.fail(&backend, sent_failure(RetryReason::Truncated));
                return None;
            }
            Err(_elapsed) => {
                self.fail(&backend, sent_failure(RetryReason::Silent));
                return None;
            }
        };
        self.keep(connection, &head);
        let whole = Whole { head, body };
        let repeats = self.inbound.terms.repeat == Repeat::Idempotent
            && self.attempts < self.inbound.terms.max_attempts;
        if whole.head.status.is_server_error() && repeats {
            self.fallback = Some(whole);
            self.fail(&backend, sent_failure(RetryReason::ServerError));
            return None;
        }
        Some(whole)
    }
}

/// Failure of an attempt that was certainly not run.
fn unsent(reason: RetryReason) -> Failure {
    Failure {
        reason,
        may_have_run: false,
        answered: false,
        resumes: false,
    }
}

/// Failure of an attempt that may have run.
fn sent_failure(reason: RetryReason) -> Failure {
    Failure {
        may_have_run: true,
        ..unsent(reason)
    }
}

/// Returns the code of an attempt that may have run.
fn code_of(reason: RetryReason) -> Code {
    match reason {
        RetryReason::Crash => Code::BackendCrashed,
        RetryReason::Mismatch => Code::AnswerMismatch,
        RetryReason::Truncated => Code::AnswerTruncated,
        RetryReason::Silent => Code::DeadlineExceeded,
        RetryReason::ServerError => Code::BackendError,
        _ => Code::ConnectionCut,
    }
}

fn has_length(head: &http::request::Parts) -> bool {
    head.method != Method::GET && head.headers.contains_key(header::CONTENT_LENGTH)
}

/// Returns the headers that concern more than one connection.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<&str> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .map(str::trim)
        .collect();
    let passes = |name: &header::HeaderName| {
        !HOP_BY_HOP.contains(&name.as_str())
            && !named.iter().any(|n| n.eq_ignore_ascii_case(name.as_str()))
    };
    let kept = headers.iter().filter(|(name, _)| passes(name));
    kept.map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// Headers that concern one connection, and those that the HTTP library sets.
const HOP_BY_HOP: [&str; 11] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

fn closes(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter();
    let mut words = values
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','));
    words.any(|w| w.trim().eq_ignore_ascii_case("close"))
}

/// Returns the time for which the server says that it keeps an idle connection.
fn kept_for(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}

/// Tells whether a refusal may say that the request was not run.
pub(crate) fn not_run(refusal: &Refusal) -> bool {
    refusal.ran == Ran::No
}
