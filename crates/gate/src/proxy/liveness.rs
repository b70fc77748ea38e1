//! Judgement whether a backend server has crashed whose connection ended within a response.
//!
//! A refused connection alone does not show it: a server that stops as planned closes its port first,
//! finishes its responses and ends. What shows that a process lives on is any other connection to it that
//! is still open, as the kernel closes all connections of a process that ends.

use std::{net::SocketAddr, time::Duration};

use engine::{Connection, Pool, Server};
use http::{Method, StatusCode, header, response};
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

/// Counter of judgements on servers whose connections ended within a response, by what they rest on.
const JUDGEMENTS: &str = "celerytally_broken_response_judgements_total";

/// Backend server and incarnation that an attempt was sent to.
#[derive(Clone, Debug)]
pub(crate) struct Destination {
    pub(crate) server: Server,
    pub(crate) incarnation: Option<Incarnation>,
}

/// What is known of a server after its connection has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Judgement {
    /// It accepts connections.
    Accepts,
    /// It can't be reached, and does not refuse connections.
    Unreachable,
    /// It refuses connections and leaves, so that it may have ended as planned.
    Leaves,
    /// It refuses connections and keeps others open.
    StopsListening,
    /// It refused connections before the end of the response.
    HadStoppedListening,
    /// It refuses connections and has closed all others.
    Crashed,
}

impl Judgement {
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
/// It leaves a connection in the pool, which shows at the end of the response whether the process lives.
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
        match self.judge(destination).await {
            Judgement::Crashed => RetryReason::Crash,
            _ => reason,
        }
    }

    /// Returns whether the end of a connection, which is the only mark of the end of a response, was that
    /// of a crashed process.
    ///
    /// An orderly end counts as that of the response unless all shows a crash: what a stopping server has
    /// finished is complete.
    pub(crate) async fn ended_by_crash(
        &self,
        destination: &Destination,
        port: Option<PortCheck>,
    ) -> bool {
        let had_stopped_listening = match port {
            Some(port) => port.was_refused().await,
            None => false,
        };
        if had_stopped_listening {
            record(destination, Judgement::HadStoppedListening);
            return false;
        }
        self.judge(destination).await == Judgement::Crashed
    }

    async fn judge(&self, destination: &Destination) -> Judgement {
        let judgement = self.look_at(destination).await;
        record(destination, judgement);
        // If the incarnation is unknown, the router learns of the crash from the failed attempt alone.
        if judgement == Judgement::Crashed
            && let Some(incarnation) = destination.incarnation
        {
            self.dispatcher.feed(Event::Crashed {
                backend: destination.server.id.clone(),
                incarnation,
            });
        }
        judgement
    }

    async fn look_at(&self, destination: &Destination) -> Judgement {
        let server = &destination.server;
        match self.pool.open(server.addr).await {
            Ok(connection) => {
                self.pool.release(connection, None);
                return Judgement::Accepts;
            }
            Err(e) if e.is_refused() => {}
            Err(_unreachable) => return Judgement::Unreachable,
        }
        if self.is_leaving(destination) {
            return Judgement::Leaves;
        }
        sleep(CONNECTIONS_CLOSE_TIME).await;
        if self.pool.has_open_connection(server.addr) {
            Judgement::StopsListening
        } else {
            Judgement::Crashed
        }
    }

    /// Returns whether a server has announced that it leaves, or is registered as leaving or not at all.
    fn is_leaving(&self, destination: &Destination) -> bool {
        let id = &destination.server.id;
        self.has_announced_leaving(id, destination.incarnation) || self.dispatcher.is_leaving(id)
    }
}

fn record(destination: &Destination, judgement: Judgement) {
    let label = judgement.label();
    counter!(JUDGEMENTS, "judgement" => label).increment(1);
    log::judged(&destination.server.id, destination.incarnation, label);
}

/// Returns whether only the end of the connection marks that of the body, which a crash brings about as
/// well.
pub(crate) fn ends_with_connection(method: &Method, head: &response::Parts) -> bool {
    let has_no_body = *method == Method::HEAD
        || matches!(
            head.status,
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
        );
    !has_no_body && !is_framed(head)
}

/// Returns whether the length of a body is stated, or its end is marked.
pub(crate) fn is_framed(head: &response::Parts) -> bool {
    let headers = &head.headers;
    headers.contains_key(header::CONTENT_LENGTH) || headers.contains_key(header::TRANSFER_ENCODING)
}
