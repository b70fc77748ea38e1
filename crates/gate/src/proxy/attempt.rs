//! One attempt of a request at one backend server, up to the head of the response.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use engine::{Connection, Pool, SendOutcome, Server};
use http::{HeaderValue, Method, Request, header, response};
use http_body_util::Full;
use hyper::body::Incoming;
use route::Failure;
use tokio::time::{timeout, timeout_at};
use types::{Announcement, BackendId, Clock, Instant, Micros, NoticeSource, RetryReason};

use crate::{
    dispatcher::StateMachine,
    peers::Peers,
    proxy::{
        Shared,
        buffer::discard_whole,
        codec::{AttemptInfo, HeaderCodec, ResponseClass},
        headers::{end_to_end, has_connection_close, keep_alive_timeout},
        implies_not_run,
        inbound::Inbound,
        liveness::{Destination, PortCheck, ends_with_connection},
    },
};

/// Time limit for reading the body of a refusal. The connection is closed if it is exceeded.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(50);

/// Rank of requests that will miss their target. Ranked after all others on a worker.
const LATE_URGENCY: u8 = 8;

/// Rank of priority-zero requests that can meet their target.
const HIGHEST_URGENCY: u8 = 3;

/// Last rank of requests that can meet their target.
const LOWEST_ON_TIME_URGENCY: u8 = 7;

/// Response with a validated head and an unread body.
#[derive(Debug)]
pub(crate) struct OpenResponse {
    pub(crate) backend: BackendId,
    pub(crate) destination: Destination,
    pub(crate) head: response::Parts,
    pub(crate) body: Incoming,
    pub(crate) connection: Connection,
    /// Check of the server's port, if only the end of the connection marks that of the body.
    pub(crate) port: Option<PortCheck>,
}

/// Attempt that has not been sent yet.
pub(crate) struct Attempt<R, N, C> {
    pub(crate) shared: Arc<Shared<R, N, C>>,
    pub(crate) inbound: Arc<Inbound>,
    pub(crate) arrived_at: Instant,
    pub(crate) server: Server,
    /// Estimated time to the first byte of the response.
    pub(crate) first_byte: Micros,
    /// Id of the event after which the stream continues.
    pub(crate) last_event_id: Option<String>,
}

impl<R: StateMachine, N: Peers, C: HeaderCodec> Attempt<R, N, C> {
    /// Sends the request and waits for the head of the response, at the longest until the deadline.
    ///
    /// Dropping the future closes the connection, which cancels the request at the server.
    pub(crate) async fn run(self) -> Result<OpenResponse, Failure> {
        let server = &self.server;
        let incarnation = self.shared.incarnation(&server.id);
        let destination = Destination {
            server: server.clone(),
            incarnation,
            request: self.inbound.info.id.clone(),
        };
        let mut connection = self.connect().await?;
        let sent_at = self.shared.clock.now();
        let mut sent = self.send(&mut connection).await?;
        if matches!(sent, SendOutcome::NotSent) && connection.is_reused() {
            // The server closed the idle connection before any part of the request was sent.
            let opened = self.shared.pool.open(server.addr).await;
            connection = opened.map_err(|_not_sent| not_run_failure(RetryReason::Unreachable))?;
            sent = self.send(&mut connection).await?;
        }
        let answer = match sent {
            SendOutcome::Response(answer) => answer,
            SendOutcome::NotSent => return Err(not_run_failure(RetryReason::Unreachable)),
            SendOutcome::ConnectionLost(e) => {
                tracing::debug!(backend = %server.id, error = %e, "backend connection broke");
                let ran_for = self.shared.clock.now().since(sent_at);
                let reason = self.shared.diagnose_lost(&destination, ran_for).await;
                return Err(may_have_run_failure(reason));
            }
        };
        let (mut head, body) = answer.into_parts();
        let notice = self.shared.codec.take_notice(&mut head);
        if !notice.is_empty() {
            let announcement = Announcement {
                backend: server.id.clone(),
                incarnation,
                notice,
                source: NoticeSource::Response,
            };
            if self.shared.apply_announcement(&announcement) {
                self.shared.dispatcher.server_announced(announcement);
            }
        }
        let id = &self.inbound.info.id;
        match self.shared.codec.classify_response(id, &server.id, &head) {
            ResponseClass::Answer => {
                if implies_not_run(head.status) {
                    connection.record_refusal(id);
                }
                let ends_with_connection = ends_with_connection(&self.inbound.head.method, &head);
                let port = ends_with_connection
                    .then(|| PortCheck::start(&self.shared.pool, &connection, server.addr));
                Ok(OpenResponse {
                    backend: server.id.clone(),
                    destination,
                    head,
                    body,
                    connection,
                    port,
                })
            }
            ResponseClass::NotRun(reason) => {
                connection.record_refusal(id);
                self.drain_and_keep(connection, &head, body).await;
                Err(not_run_failure(reason))
            }
            ResponseClass::Mismatch => Err(may_have_run_failure(RetryReason::Mismatch)),
        }
    }

    async fn connect(&self) -> Result<Connection, Failure> {
        let server = &self.server;
        let id = &self.inbound.info.id;
        let opened = self.shared.pool.get_for(server.addr, id).await;
        opened.map_err(|e| {
            tracing::debug!(backend = %server.id, error = %e, "backend connection failed");
            not_run_failure(RetryReason::Unreachable)
        })
    }

    async fn send(&self, connection: &mut Connection) -> Result<SendOutcome, Failure> {
        let sent = connection.send(self.request());
        let sent = timeout_at(self.inbound.deadline_at, sent).await;
        sent.map_err(|_elapsed| may_have_run_failure(RetryReason::Silent))
    }

    fn request(&self) -> Request<Full<Bytes>> {
        let inbound = &self.inbound;
        let now = self.shared.clock.now();
        let attempt = AttemptInfo {
            backend: &self.server.id,
            remaining: inbound.ticket.deadline.remaining(now),
            urgency: self.urgency(now),
            last_event_id: self.last_event_id.as_deref(),
            identity: &inbound.identity,
        };
        let caller_headers = end_to_end(&inbound.head.headers);
        let mut req = Request::new(Full::new(inbound.body.clone()));
        *req.method_mut() = inbound.head.method.clone();
        *req.uri_mut() = inbound.head.uri.clone();
        *req.headers_mut() = self.shared.codec.encode_attempt(&caller_headers, &attempt);
        if inbound.body.is_empty() && has_content_length(&inbound.head) {
            let zero = HeaderValue::from_static("0");
            req.headers_mut().insert(header::CONTENT_LENGTH, zero);
        }
        req
    }

    /// Returns the rank of the request, or `None` for a plain service.
    ///
    /// Requests that can meet their target precede those that cannot.
    fn urgency(&self, now: Instant) -> Option<u8> {
        let ticket = &self.inbound.ticket;
        if ticket.target == route::Target::Plain {
            return None;
        }
        let waited = now.since(self.arrived_at).get();
        if waited + self.first_byte.get() > self.inbound.policy.target.get() {
            return Some(LATE_URGENCY);
        }
        Some((HIGHEST_URGENCY + ticket.priority.get()).min(LOWEST_ON_TIME_URGENCY))
    }

    async fn drain_and_keep(&self, conn: Connection, head: &response::Parts, mut body: Incoming) {
        if timeout(REFUSAL_BODY_TIMEOUT, discard_whole(&mut body)).await == Ok(true) {
            keep(&self.shared.pool, conn, head);
        }
    }
}

/// Returns a connection to the pool after a complete response, unless its server closes it.
pub(crate) fn keep(pool: &Pool, connection: Connection, head: &response::Parts) {
    if !has_connection_close(&head.headers) {
        pool.release(connection, keep_alive_timeout(&head.headers));
    }
}

/// Returns a failure of an attempt that was not run.
pub(crate) fn not_run_failure(reason: RetryReason) -> Failure {
    Failure {
        reason,
        may_have_run: false,
        answered: false,
        resumes: false,
    }
}

/// Returns a failure of an attempt that may have run.
pub(crate) fn may_have_run_failure(reason: RetryReason) -> Failure {
    Failure {
        may_have_run: true,
        ..not_run_failure(reason)
    }
}

fn has_content_length(head: &http::request::Parts) -> bool {
    head.method != Method::GET && head.headers.contains_key(header::CONTENT_LENGTH)
}
