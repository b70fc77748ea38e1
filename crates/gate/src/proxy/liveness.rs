//! Detection of a crash of a backend server whose connection ended within a response.
//!
//! A refused connection alone does not show a crash: a server that stops as planned closes its port first,
//! finishes its responses and ends. Any other connection to the server that is still open shows that its
//! process is alive, as the kernel closes all connections of a process that ends.

use std::{net::SocketAddr, time::Duration};

use engine::{Connection, Pool, Server};
use http::{HeaderValue, Method, StatusCode, header, response};
use metrics::counter;
use route::Event;
use tokio::{task::JoinHandle, time::sleep};
use types::{Incarnation, RetryReason};

use crate::{
    dispatcher::StateMachine,
    peers::Peers,
    proxy::{Shared, codec::HeaderCodec, log},
};

/// Time after which all connections of a process that has ended are seen as closed.
const CONNECTIONS_CLOSE_TIME: Duration = Duration::from_millis(10);

/// Counter of servers whose connections ended within a response, by their status.
const STATUS_COUNTER: &str = "celerytally_broken_response_judgements_total";

/// Backend server and incarnation that an attempt was sent to.
#[derive(Clone, Debug)]
pub(crate) struct Destination {
    pub(crate) server: Server,
    pub(crate) incarnation: Option<Incarnation>,
    /// Id of the caller's request, for the log.
    pub(crate) request: String,
}

/// Status of a server after one of its connections has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ServerStatus {
    /// It accepts connections.
    Accepts,
    /// It neither accepts nor refuses connections.
    Unreachable,
    /// It refuses connections and is leaving, so that it may have ended as planned.
    Leaves,
    /// It refuses connections but keeps others open.
    StopsListening,
    /// It refused a connection already during the response.
    HadStoppedListening,
    /// It refuses connections and has closed all others.
    Crashed,
}

/// What ended a response whose end is marked only by that of its connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum UnmarkedEnd {
    /// The server has crashed; the response is incomplete.
    Crash,
    /// The server was alive afterwards.
    Alive,
    /// Nothing shows a crash, but the server may have ended.
    Unclear,
}

impl ServerStatus {
    /// Returns the value in logs and metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Accepts => "accepts",
            Self::Unreachable => "unreachable",
            Self::Leaves => "leaves",
            Self::StopsListening => "stops_listening",
            Self::HadStoppedListening => "had_stopped_listening",
            Self::Crashed => "crashed",
        }
    }
}

/// Check whether a server accepts connections while it sends a response.
///
/// The connection that it opens stays in the pool. At the end of the response, it shows whether the process
/// is alive.
#[derive(Debug)]
pub(crate) struct PortCheck(Option<JoinHandle<bool>>);

impl PortCheck {
    /// Starts the check, unless another connection to the server is open already.
    pub(crate) fn start(pool: &Pool, connection: &Connection, addr: SocketAddr) -> Self {
        if pool.has_other_open_connection(connection) {
            return Self(None);
        }
        let pool = pool.clone();
        Self(Some(tokio::spawn(async move {
            match pool.open(addr).await {
                Ok(connection) => {
                    pool.release(connection, None);
                    false
                }
                Err(e) => e.is_refused(),
            }
        })))
    }

    /// Returns whether the server refused the connection.
    async fn was_refused(self) -> bool {
        let Some(check) = self.0 else {
            return false;
        };
        check.await.unwrap_or_else(|e| {
            tracing::warn!(error = %e, "check of a backend server's port failed");
            false
        })
    }
}

impl<R: StateMachine, N: Peers, C: HeaderCodec> Shared<R, N, C> {
    /// Returns the reason of a failure after the connection to a server broke: the given one, unless the
    /// server has crashed.
    ///
    /// The head of a response does not show that its server is alive: it may crash as it writes the body.
    pub(crate) async fn diagnose(
        &self,
        destination: &Destination,
        reason: RetryReason,
    ) -> RetryReason {
        match self.check_server(destination).await {
            ServerStatus::Crashed => RetryReason::Crash,
            _ => reason,
        }
    }

    /// Returns what ended a response whose end is marked only by that of its connection.
    ///
    /// An orderly close ends the response unless the server has crashed: what a
    /// stopping server has finished is complete.
    pub(crate) async fn unmarked_end(
        &self,
        destination: &Destination,
        port: Option<PortCheck>,
    ) -> UnmarkedEnd {
        let had_stopped_listening = match port {
            Some(port) => port.was_refused().await,
            None => false,
        };
        if had_stopped_listening {
            record_status(destination, ServerStatus::HadStoppedListening);
            return UnmarkedEnd::Unclear;
        }
        match self.check_server(destination).await {
            ServerStatus::Crashed => UnmarkedEnd::Crash,
            ServerStatus::Accepts => UnmarkedEnd::Alive,
            _ => UnmarkedEnd::Unclear,
        }
    }

    /// Determines and records the status of a server, and reports a crash to the router.
    async fn check_server(&self, destination: &Destination) -> ServerStatus {
        let status = self.probe(destination).await;
        record_status(destination, status);
        // If the incarnation is unknown, the router learns of the crash from the failed attempt alone.
        if status == ServerStatus::Crashed
            && let Some(incarnation) = destination.incarnation
        {
            self.dispatcher.feed(Event::Crashed {
                backend: destination.server.id.clone(),
                incarnation,
            });
        }
        status
    }

    /// Determines the status of a server by opening a connection to it.
    async fn probe(&self, destination: &Destination) -> ServerStatus {
        let server = &destination.server;
        match self.pool.open(server.addr).await {
            Ok(connection) => {
                self.pool.release(connection, None);
                return ServerStatus::Accepts;
            }
            Err(e) if e.is_refused() => {}
            Err(_unreachable) => return ServerStatus::Unreachable,
        }
        if self.is_leaving(destination) {
            return ServerStatus::Leaves;
        }
        sleep(CONNECTIONS_CLOSE_TIME).await;
        if self.pool.has_open_connection(server.addr) {
            ServerStatus::StopsListening
        } else {
            ServerStatus::Crashed
        }
    }

    /// Returns whether a server has announced that it leaves, or is registered as leaving or not at all.
    fn is_leaving(&self, destination: &Destination) -> bool {
        let id = &destination.server.id;
        self.has_announced_leaving(id, destination.incarnation) || self.dispatcher.is_leaving(id)
    }
}

/// Counts and logs the status of a server whose connection ended.
fn record_status(destination: &Destination, status: ServerStatus) {
    let label = status.label();
    counter!(STATUS_COUNTER, "judgement" => label).increment(1);
    log::connection_ended(destination, label);
}

/// Returns whether only the end of the connection marks the end of the body, so that a crash looks the
/// same.
pub(crate) fn ends_with_connection(method: &Method, head: &response::Parts) -> bool {
    let has_no_body = *method == Method::HEAD
        || matches!(
            head.status,
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
        );
    !has_no_body && !is_framed(head)
}

/// Returns whether the headers state the length of the body or a transfer coding that marks its end.
///
/// Only the chunked coding marks it, and any transfer coding overrides a stated length.
pub(crate) fn is_framed(head: &response::Parts) -> bool {
    let headers = &head.headers;
    let codings = headers.get_all(header::TRANSFER_ENCODING);
    match codings.iter().next_back() {
        Some(value) => ends_chunked(value),
        None => headers.contains_key(header::CONTENT_LENGTH),
    }
}

fn ends_chunked(codings: &HeaderValue) -> bool {
    let last = codings
        .to_str()
        .ok()
        .and_then(|value| value.rsplit(',').next());
    last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}
