//! Requests to backend servers and the classification of their failures.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, PoisonError, RwLock},
    time::Duration,
};

use bytes::Bytes;
use reqwest::{
    Method, Response, StatusCode,
    header::{HeaderMap, HeaderName, HeaderValue},
};
use tokio::time::Instant;
use types::{BackendId, Incarnation, RequestId};

use crate::{
    answer::{Answer, is_framed},
    error::{Category, Error, Result},
    lives::Lives,
};

pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
pub(crate) const INCARNATION: HeaderName = HeaderName::from_static("x-incarnation");
pub(crate) const LOAD: HeaderName = HeaderName::from_static("x-load");
pub(crate) const LEAVING: HeaderName = HeaderName::from_static("x-leaving");

/// Bounds a connection attempt; beyond it the server counts as unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Idle connections are dropped before the usual keep-alive timeout of servers, 5 s or more, so
/// that a request rarely meets a connection that the server is just closing.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Deadline of a [`Call`] whose sender sets none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// Backend server and its address.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Server {
    /// Name.
    pub id: BackendId,
    /// Address for HTTP.
    pub addr: SocketAddr,
}

/// Protections of a client; a test switches one off to show that it is needed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Checks {
    /// Whether a response must echo the request id.
    pub request_id: bool,
    /// Whether a response must end properly.
    pub complete_body: bool,
    /// Whether the life of a server is read before its first request.
    pub incarnation: bool,
}

impl Default for Checks {
    fn default() -> Self {
        Self {
            request_id: true,
            complete_body: true,
            incarnation: true,
        }
    }
}

/// What the statuses of a backend server mean.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Protocol {
    /// An engine: 404, 429 and 503 are refusals before running.
    Model,
    /// A plain service: only 503 with `x-leaving` is a refusal, other statuses are its response.
    Plain,
    /// Another entry host: statuses carry result codes and nothing is a refusal here.
    EntryHost,
}

/// Request to a backend server.
#[derive(Clone, Debug)]
pub struct Call {
    /// Id that the server must echo.
    pub id: RequestId,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers besides the request id.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// What the statuses mean.
    pub protocol: Protocol,
    /// Whether the request may be run twice.
    ///
    /// A request that may not is sent on a new connection. On an idle one that the server is
    /// closing, the failure could not be told from a break after dispatch.
    pub idempotent: bool,
    /// Instant by which the response must be complete.
    pub deadline: Instant,
}

impl Call {
    /// Makes an idempotent GET of a plain service with a deadline in 30 seconds.
    #[must_use]
    pub fn get(id: RequestId, path: impl Into<String>) -> Self {
        Self {
            id,
            method: Method::GET,
            path: path.into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            protocol: Protocol::Plain,
            idempotent: true,
            deadline: Instant::now() + DEFAULT_DEADLINE,
        }
    }
}

/// Client of all backend servers, cheap to clone.
#[derive(Clone, Debug)]
pub struct Client(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    /// Keeps idle connections; replaced to close them.
    pooled: RwLock<reqwest::Client>,
    /// Opens a connection for each request.
    fresh: reqwest::Client,
    lives: Lives,
    checks: Checks,
}

fn build(max_idle_per_host: usize) -> Result<reqwest::Client> {
    reqwest::Client::builder()
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(max_idle_per_host)
        .http1_only()
        .tcp_nodelay(true)
        .no_proxy()
        // A repeated request is the router's decision alone.
        .retry(reqwest::retry::never())
        .redirect(reqwest::redirect::Policy::none())
        // Backend servers are reached without TLS, so no root certificates are loaded.
        .tls_certs_only([])
        .build()
        .map_err(Error::setup)
}

impl Client {
    /// Makes a client.
    ///
    /// # Errors
    /// `Setup` when the HTTP client can't be set up.
    pub fn new() -> Result<Self> {
        Self::with_checks(Checks::default())
    }

    /// Makes a client with protections switched off, for tests that show what each prevents.
    ///
    /// # Errors
    /// As [`new`](Self::new).
    pub fn with_checks(checks: Checks) -> Result<Self> {
        Ok(Self(Arc::new(Inner {
            pooled: RwLock::new(build(usize::MAX)?),
            fresh: build(0)?,
            lives: Lives::default(),
            checks,
        })))
    }

    /// Sends a request and returns the response once its headers are verified.
    ///
    /// # Errors
    /// Every [`Category`] but `Truncated` and `Crashed`; [`diagnose`](Self::diagnose) tells a crash
    /// from a broken connection.
    pub async fn send(&self, server: &Server, call: Call) -> Result<Answer> {
        let life = self.life(server, &call).await?;
        let http = if call.idempotent {
            self.pooled()
        } else {
            self.0.fresh.clone()
        };
        let (id, protocol, deadline, head) = (
            call.id,
            call.protocol,
            call.deadline,
            call.method == Method::HEAD,
        );
        let req = http
            .request(call.method, format!("http://{}{}", server.addr, call.path))
            .headers(call.headers)
            .header(REQUEST_ID, id.to_string())
            .body(call.body);
        let response = match tokio::time::timeout_at(deadline, req.send()).await {
            Ok(Ok(response)) => response,
            Ok(Err(e)) => return Err(classify(&server.id, &e).in_life(life)),
            Err(e) => return Err(Error::new(Category::Timeout, &server.id, e).in_life(life)),
        };
        self.verify(server, id, &response)?;
        let life = self.observe(server, response.headers()).or(life);
        refusal(server, protocol, &response)?;
        let framed = head || !self.0.checks.complete_body || is_framed(&response);
        let answer = Answer::new(server.clone(), response, framed, life, deadline);
        Ok(answer.requiring_end(self.0.checks.complete_body))
    }

    /// Returns the life of the server in which the request is sent.
    ///
    /// A life that is not known yet is read first: without it, a crash of a server that restarts
    /// at once could not be told from a broken connection.
    async fn life(&self, server: &Server, call: &Call) -> Result<Option<Incarnation>> {
        let known = self.0.lives.get(&server.id);
        let needless = !self.0.checks.incarnation || call.protocol == Protocol::EntryHost;
        if known.is_some() || needless {
            return Ok(known);
        }
        match tokio::time::timeout_at(call.deadline, self.load_report(server)).await {
            Ok(Ok(report)) => Ok(Some(report.incarnation)),
            Ok(Err(e)) if e.category() == Category::Unreachable => Err(e),
            Ok(Err(_)) => Ok(None),
            Err(e) => Err(Error::new(Category::Unreachable, &server.id, e)),
        }
    }

    /// Asks for the rest of a stream after a number of events.
    ///
    /// # Errors
    /// As [`send`](Self::send); `Refused` when the server can't resume the stream.
    pub async fn resume(
        &self,
        server: &Server,
        id: RequestId,
        from: u64,
        headers: HeaderMap,
        deadline: Instant,
    ) -> Result<Answer> {
        let call = Call {
            method: Method::POST,
            headers,
            deadline,
            ..Call::get(id, format!("/v1/streams/{id}/resume?from={from}"))
        };
        let answer = self.send(server, call).await?;
        if answer.status().is_success() {
            Ok(answer)
        } else {
            Err(Error::new(Category::Refused, &server.id, answer.status()))
        }
    }

    /// Returns the last known incarnation of a backend server.
    #[must_use]
    pub fn incarnation(&self, id: &BackendId) -> Option<Incarnation> {
        self.0.lives.get(id)
    }

    pub(crate) fn pooled(&self) -> reqwest::Client {
        let pooled = self.0.pooled.read().unwrap_or_else(PoisonError::into_inner);
        pooled.clone()
    }

    pub(crate) fn fresh(&self) -> &reqwest::Client {
        &self.0.fresh
    }

    pub(crate) fn note_life(&self, id: &BackendId, incarnation: Incarnation) {
        self.0.lives.set(id, incarnation);
    }

    fn verify(&self, server: &Server, id: RequestId, response: &Response) -> Result<()> {
        let echoed = response.headers().get(REQUEST_ID);
        if !self.0.checks.request_id
            || echoed.is_some_and(|v| v.as_bytes() == id.to_string().as_bytes())
        {
            return Ok(());
        }
        self.close_idle();
        let detail = format!("expected {id}, found {echoed:?}");
        Err(Error::new(Category::Mismatch, &server.id, detail))
    }

    /// Closes all idle connections.
    ///
    /// A mismatch means that responses are out of step on a connection. The HTTP client gives no
    /// hold on a single connection, and a mismatch is rare, so all idle ones are closed.
    fn close_idle(&self) {
        if let Ok(new) = build(usize::MAX) {
            *self
                .0
                .pooled
                .write()
                .unwrap_or_else(PoisonError::into_inner) = new;
        }
    }

    fn observe(&self, server: &Server, headers: &HeaderMap) -> Option<Incarnation> {
        let life = parse(headers.get(INCARNATION)).map(Incarnation::new)?;
        self.note_life(&server.id, life);
        Some(life)
    }
}

pub(crate) fn parse(value: Option<&HeaderValue>) -> Option<u64> {
    value?.to_str().ok()?.trim().parse().ok()
}

fn refusal(server: &Server, protocol: Protocol, response: &Response) -> Result<()> {
    let leaving = response.headers().contains_key(LEAVING);
    let category = match (protocol, response.status()) {
        (Protocol::EntryHost, _) => return Ok(()),
        (_, StatusCode::SERVICE_UNAVAILABLE) if leaving => Category::Leaving,
        (Protocol::Model, StatusCode::NOT_FOUND) => Category::NotResident,
        (Protocol::Model, StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE) => {
            Category::Refused
        }
        _ => return Ok(()),
    };
    Err(Error::new(category, &server.id, response.status()))
}

/// Classifies the failure of a request before its response began.
pub(crate) fn classify(backend: &BackendId, e: &reqwest::Error) -> Error {
    let category = if e.is_connect() || e.is_builder() {
        Category::Unreachable
    } else {
        Category::ConnectionLost
    };
    Error::new(category, backend, root(e))
}

/// Tells whether the peer's kernel refused the connection, so that no process listens there.
pub(crate) fn is_refused(e: &reqwest::Error) -> bool {
    let mut cause: Option<&dyn std::error::Error> = Some(e);
    while let Some(e) = cause {
        if let Some(io) = e.downcast_ref::<io::Error>()
            && io.kind() == io::ErrorKind::ConnectionRefused
        {
            return true;
        }
        cause = e.source();
    }
    false
}

/// Returns the innermost cause, which names the fault without addresses and request text.
pub(crate) fn root(e: &reqwest::Error) -> String {
    let mut cause: &dyn std::error::Error = e;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}
