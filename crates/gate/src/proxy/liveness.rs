//! Detection of a crash of a backend server whose connection ended within a response.
//!
//! A refused connection alone does not show a crash: a server that stops as planned closes its port first,
//! finishes its responses and ends. Any other connection to the server that is still open shows that its
//! process is alive, as the kernel closes all connections of a process that ends.
//!
//! A server that leaves may be ended within its responses, too: when the time that it named is over, or
//! by a crash, which breaks off its other responses at the same moment.

use std::{
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use engine::{Connection, Pool, Server};
use http::{HeaderValue, Method, StatusCode, header, response};
use metrics::counter;
use route::Event;
use tokio::{task::JoinHandle, time::sleep};
use types::{BackendId, Clock, Incarnation, Instant, Micros, RetryReason};

use crate::{
    dispatcher::StateMachine,
    peers::Peers,
    proxy::{Shared, codec::HeaderCodec, log},
};

/// Time after which all connections of a process that has ended are seen as closed.
const CONNECTIONS_CLOSE_TIME: Duration = Duration::from_millis(10);

/// Time limit between the ends of connections that one event ended, as their tasks see them.
const SAME_MOMENT: Micros = Micros::from_millis(50);

/// Time for which a broken response is kept, longer than a check of its server takes.
const BREAK_RETENTION: Micros = Micros::from_secs(1);

/// Time after which a request was lost within its run. A server that stops closes idle connections, and a
/// request that arrives on one right then is lost at once.
const MAX_IDLE_CLOSE_TIME: Micros = Micros::from_millis(50);

/// Number of connection attempts without a response after which an address counts as silent. One packet may
/// be lost on the way.
const SILENT_ATTEMPTS: u32 = 2;

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
    /// It accepts no connections but keeps others open.
    StopsListening,
    /// It is leaving, and has closed all connections.
    Leaves,
    /// It refused a connection already during the response, and has closed all others.
    HadStoppedListening,
    /// It stops, has closed all connections, and the time that it named may be over.
    Terminated,
    /// It stops, has closed all connections, and broke off another response at that moment.
    Interrupted,
    /// It neither accepts nor refuses connections, and no other connection to it is open.
    Unreachable,
    /// It refuses connections and has closed all others.
    Crashed,
}

/// What ended a response whose end is marked only by that of its connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum UnmarkedEnd {
    /// The server has crashed; the response is incomplete.
    Crash,
    /// The server was ended within its work, or nothing shows that it has finished; the response counts as
    /// incomplete.
    Interruption,
    /// The server was alive afterwards; the response is complete.
    Alive,
    /// The server stops and keeps other connections; the response is complete.
    Finished,
    /// The server stops and has ended; the response is complete if it ended as planned.
    Unclear,
}

impl UnmarkedEnd {
    /// Returns the failure of the attempt if the response counts as incomplete.
    pub(crate) fn failure(self) -> Option<RetryReason> {
        match self {
            Self::Crash => Some(RetryReason::Crash),
            Self::Interruption => Some(RetryReason::Truncated),
            Self::Alive | Self::Finished | Self::Unclear => None,
        }
    }

    /// Returns whether the server was alive after the response, so that the request does not crash servers.
    pub(crate) fn is_harmless(self) -> bool {
        self == Self::Alive
    }
}

impl From<ServerStatus> for UnmarkedEnd {
    fn from(status: ServerStatus) -> Self {
        match status {
            ServerStatus::Accepts => Self::Alive,
            ServerStatus::StopsListening => Self::Finished,
            ServerStatus::Leaves | ServerStatus::HadStoppedListening => Self::Unclear,
            ServerStatus::Terminated | ServerStatus::Interrupted | ServerStatus::Unreachable => {
                Self::Interruption
            }
            ServerStatus::Crashed => Self::Crash,
        }
    }
}

impl ServerStatus {
    /// Returns the value in logs and metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Accepts => "accepts",
            Self::StopsListening => "stops_listening",
            Self::Leaves => "leaves",
            Self::HadStoppedListening => "had_stopped_listening",
            Self::Terminated => "terminated",
            Self::Interrupted => "interrupted",
            Self::Unreachable => "unreachable",
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

/// Response of a server's port to a connection attempt.
enum Port {
    Accepts,
    Refuses,
    Silent,
}

impl<R: StateMachine, N: Peers, C: HeaderCodec> Shared<R, N, C> {
    /// Returns the reason of a failure after a response broke off within its framing: the given one, unless
    /// the server has crashed.
    ///
    /// The head of a response does not show that its server is alive: it may crash as it writes the body.
    pub(crate) async fn diagnose(
        &self,
        destination: &Destination,
        reason: RetryReason,
    ) -> RetryReason {
        self.breaks.record(self.clock.now(), destination);
        match self.check_server(destination, false).await {
            ServerStatus::Crashed => RetryReason::Crash,
            _ => reason,
        }
    }

    /// Returns the reason of a failure after a connection was lost before the head of the response, some
    /// time after the request was sent.
    pub(crate) async fn diagnose_lost(
        &self,
        destination: &Destination,
        ran_for: Micros,
    ) -> RetryReason {
        if ran_for > MAX_IDLE_CLOSE_TIME {
            self.breaks.record(self.clock.now(), destination);
        }
        match self.check_server(destination, false).await {
            ServerStatus::Crashed => RetryReason::Crash,
            _ => RetryReason::ConnectionLost,
        }
    }

    /// Returns what ended a response whose end is marked only by that of its connection.
    ///
    /// An orderly close ends the response unless the server was ended within it: what a
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
        let status = self.check_server(destination, had_stopped_listening);
        status.await.into()
    }

    /// Determines and records the status of a server, and reports a crash to the router.
    async fn check_server(
        &self,
        destination: &Destination,
        had_stopped_listening: bool,
    ) -> ServerStatus {
        let status = self.probe(destination, had_stopped_listening).await;
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
    async fn probe(&self, destination: &Destination, had_stopped_listening: bool) -> ServerStatus {
        let since = self.clock.now();
        let port = self.probe_port(destination.server.addr).await;
        match port {
            // Another process listens there by now.
            Port::Accepts if had_stopped_listening => return ServerStatus::HadStoppedListening,
            Port::Accepts => return ServerStatus::Accepts,
            Port::Refuses | Port::Silent => {}
        }
        sleep(CONNECTIONS_CLOSE_TIME).await;
        if self.pool.has_open_connection(destination.server.addr) {
            return ServerStatus::StopsListening;
        }
        let id = &destination.server.id;
        let leaves = self.is_leaving(destination);
        if leaves && self.dispatcher.may_be_terminated(id) {
            return ServerStatus::Terminated;
        }
        let stops = leaves || had_stopped_listening;
        if stops && self.breaks.has_recent(since, destination) {
            return ServerStatus::Interrupted;
        }
        match port {
            _ if leaves => ServerStatus::Leaves,
            _ if had_stopped_listening => ServerStatus::HadStoppedListening,
            Port::Silent => ServerStatus::Unreachable,
            Port::Accepts | Port::Refuses => ServerStatus::Crashed,
        }
    }

    /// Opens a connection to a server, and keeps it for requests if it stays open.
    ///
    /// The kernel may accept a connection for a process that is about to end, and closes it then.
    async fn probe_port(&self, addr: SocketAddr) -> Port {
        let mut silent = 0;
        let mut closed = false;
        loop {
            match self.pool.open(addr).await {
                // The server accepts connections and closes those above its limit.
                Ok(_connection) if closed => return Port::Accepts,
                Ok(connection) => {
                    sleep(CONNECTIONS_CLOSE_TIME).await;
                    if connection.is_open() {
                        self.pool.release(connection, None);
                        return Port::Accepts;
                    }
                    closed = true;
                }
                Err(e) if e.is_refused() => return Port::Refuses,
                Err(e) => {
                    tracing::debug!(%addr, error = %e, "backend port check failed");
                    silent += 1;
                    if silent == SILENT_ATTEMPTS {
                        return Port::Silent;
                    }
                }
            }
        }
    }

    /// Returns whether a server has announced that it leaves, or is registered as leaving or not at all.
    fn is_leaving(&self, destination: &Destination) -> bool {
        let id = &destination.server.id;
        self.has_announced_leaving(id, destination.incarnation) || self.dispatcher.is_leaving(id)
    }
}

/// Last time at which a server broke off a response within its framing.
#[derive(Debug)]
struct Break {
    backend: BackendId,
    incarnation: Option<Incarnation>,
    at: Instant,
}

/// Servers that broke off a response lately, sorted by id.
#[derive(Debug, Default)]
pub(crate) struct RecentBreaks(Mutex<Vec<Break>>);

impl RecentBreaks {
    fn record(&self, now: Instant, destination: &Destination) {
        let mut breaks = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let id = &destination.server.id;
        breaks.retain(|b| now.since(b.at) <= BREAK_RETENTION && b.backend != *id);
        let at = breaks.partition_point(|b| b.backend < *id);
        breaks.insert(
            at,
            Break {
                backend: id.clone(),
                incarnation: destination.incarnation,
                at: now,
            },
        );
    }

    /// Returns whether a server has broken off a response at about the given time or since.
    fn has_recent(&self, time: Instant, destination: &Destination) -> bool {
        let breaks = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let id = &destination.server.id;
        let found = breaks.binary_search_by(|b| b.backend.cmp(id));
        found.is_ok_and(|at| {
            let last = &breaks[at];
            last.incarnation == destination.incarnation && time.since(last.at) <= SAME_MOMENT
        })
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
