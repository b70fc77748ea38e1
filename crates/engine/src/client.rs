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
    incarnations::Incarnations,
};

pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
pub(crate) const INCARNATION: HeaderName = HeaderName::from_static("x-incarnation");
pub(crate) const LOAD: HeaderName = HeaderName::from_static("x-load");
pub(crate) const LEAVING: HeaderName = HeaderName::from_static("x-leaving");

/// Timeout of a connection attempt, after which the server counts as unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which an idle connection is dropped. It is shorter than the usual keep-alive timeout
/// of servers, 5 s or more, so that a request rarely uses a connection that the server is closing.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Time until the default deadline of a [`Call`].
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// Backend server and its address.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Server {
    /// Identifier of the server.
    pub id: BackendId,
    /// Address for HTTP.
    pub addr: SocketAddr,
}

/// Checks that a client applies. Tests disable each one to show that it is needed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Checks {
    /// Whether a response must echo the request id.
    pub request_id: bool,
    /// Whether a response must be complete.
    pub complete_body: bool,
    /// Whether the incarnation of a server is read before its first request.
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

/// Interpretation of the response statuses of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Protocol {
    /// Inference engine: 404, 429 and 503 mean that the request was refused and not run.
    Model,
    /// Plain service: only 503 with `x-leaving` is a refusal; other statuses are its own response.
    Plain,
    /// Another entry host: statuses carry result codes, and none is interpreted as a refusal.
    EntryHost,
}

/// Request to a backend server.
#[derive(Clone, Debug)]
pub struct Call {
    /// Request id, which the server must echo.
    pub id: RequestId,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers besides the request id.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Interpretation of the response status.
    pub protocol: Protocol,
    /// Whether the request may be run more than once.
    ///
    /// A non-idempotent request is sent on a new connection. On an idle connection that the server
    /// is closing, the failure could not be distinguished from one after dispatch.
    pub idempotent: bool,
    /// Instant by which the response must be complete.
    pub deadline: Instant,
}

impl Call {
    /// Creates an idempotent GET request to a plain service with a deadline in 30 seconds.
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
    /// Reuses connections; replaced in order to close the idle ones.
    pooled: RwLock<reqwest::Client>,
    /// Opens a connection for each request.
    unpooled: reqwest::Client,
    incarnations: Incarnations,
    checks: Checks,
}

fn build_http_client(max_idle_per_host: usize) -> Result<reqwest::Client> {
    reqwest::Client::builder()
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(max_idle_per_host)
        .http1_only()
        .tcp_nodelay(true)
        .no_proxy()
        // Only the router decides on retries.
        .retry(reqwest::retry::never())
        .redirect(reqwest::redirect::Policy::none())
        // Connections to backend servers don't use TLS, so no root certificates are loaded.
        .tls_certs_only([])
        .build()
        .map_err(Error::setup)
}

impl Client {
    /// Creates a client.
    ///
    /// # Errors
    /// `Setup` when the HTTP client can't be created.
    pub fn new() -> Result<Self> {
        Self::with_checks(Checks::default())
    }

    /// Creates a client with some checks disabled, for tests that show what each check detects.
    ///
    /// # Errors
    /// As [`new`](Self::new).
    pub fn with_checks(checks: Checks) -> Result<Self> {
        Ok(Self(Arc::new(Inner {
            pooled: RwLock::new(build_http_client(usize::MAX)?),
            unpooled: build_http_client(0)?,
            incarnations: Incarnations::default(),
            checks,
        })))
    }

    /// Sends a request and returns the response once its headers are verified.
    ///
    /// # Errors
    /// Every [`Category`] but `Truncated` and `Crashed`; [`diagnose`](Self::diagnose) distinguishes
    /// a crash from a lost connection.
    pub async fn send(&self, server: &Server, call: Call) -> Result<Answer> {
        let incarnation = self.read_incarnation(server, &call).await?;
        let client = if call.idempotent {
            self.pooled()
        } else {
            self.0.unpooled.clone()
        };
        let (id, protocol, deadline, is_head) = (
            call.id,
            call.protocol,
            call.deadline,
            call.method == Method::HEAD,
        );
        let req = client
            .request(call.method, format!("http://{}{}", server.addr, call.path))
            .headers(call.headers)
            .header(REQUEST_ID, id.to_string())
            .body(call.body);
        let response = match tokio::time::timeout_at(deadline, req.send()).await {
            Ok(Ok(response)) => response,
            Ok(Err(e)) => return Err(classify(&server.id, &e).with_incarnation(incarnation)),
            Err(e) => {
                return Err(
                    Error::new(Category::Timeout, &server.id, e).with_incarnation(incarnation)
                );
            }
        };
        self.verify_request_id(server, id, &response)?;
        let incarnation = self
            .record_incarnation_header(server, response.headers())
            .or(incarnation);
        check_refusal(server, protocol, &response)?;
        let framed = is_head || !self.0.checks.complete_body || is_framed(&response);
        let answer = Answer::new(server.clone(), response, framed, incarnation, deadline);
        Ok(answer.with_require_complete(self.0.checks.complete_body))
    }

    /// Returns the incarnation of the server before a request is sent.
    ///
    /// An unknown incarnation is read from the server: without it, a crash followed by an immediate
    /// restart could not be distinguished from a lost connection.
    async fn read_incarnation(&self, server: &Server, call: &Call) -> Result<Option<Incarnation>> {
        let known = self.0.incarnations.get(&server.id);
        let skip = !self.0.checks.incarnation || call.protocol == Protocol::EntryHost;
        if known.is_some() || skip {
            return Ok(known);
        }
        match tokio::time::timeout_at(call.deadline, self.load_report(server)).await {
            Ok(Ok(report)) => Ok(Some(report.incarnation)),
            Ok(Err(e)) if e.category() == Category::Unreachable => Err(e),
            Ok(Err(_)) => Ok(None),
            Err(e) => Err(Error::new(Category::Unreachable, &server.id, e)),
        }
    }

    /// Requests the rest of a stream after its first `from` events.
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
        if !answer.status().is_success() {
            return Err(Error::new(Category::Refused, &server.id, answer.status()));
        }
        if !answer.is_event_stream() {
            let detail = "the response is no event stream";
            return Err(Error::new(Category::Refused, &server.id, detail));
        }
        Ok(answer)
    }

    /// Returns the last known incarnation of a backend server.
    #[must_use]
    pub fn incarnation(&self, id: &BackendId) -> Option<Incarnation> {
        self.0.incarnations.get(id)
    }

    pub(crate) fn pooled(&self) -> reqwest::Client {
        let pooled = self.0.pooled.read().unwrap_or_else(PoisonError::into_inner);
        pooled.clone()
    }

    pub(crate) fn unpooled(&self) -> &reqwest::Client {
        &self.0.unpooled
    }

    pub(crate) fn record_incarnation(&self, id: &BackendId, incarnation: Incarnation) {
        self.0.incarnations.set(id, incarnation);
    }

    fn verify_request_id(&self, server: &Server, id: RequestId, response: &Response) -> Result<()> {
        let echoed: Vec<&HeaderValue> = response.headers().get_all(REQUEST_ID).iter().collect();
        let id = id.to_string();
        // A response with two ids does not show to which request it belongs.
        let is_own = !echoed.is_empty() && echoed.iter().all(|v| v.as_bytes() == id.as_bytes());
        if !self.0.checks.request_id || is_own {
            return Ok(());
        }
        self.close_idle();
        let detail = format!("expected request id {id}, found {echoed:?}");
        Err(Error::new(Category::Mismatch, &server.id, detail))
    }

    /// Closes all idle connections.
    ///
    /// After a mismatch, later responses on the connection may belong to other requests as well.
    /// The HTTP client can't close a single connection, and a mismatch is rare, so all idle ones
    /// are closed.
    fn close_idle(&self) {
        if let Ok(new) = build_http_client(usize::MAX) {
            *self
                .0
                .pooled
                .write()
                .unwrap_or_else(PoisonError::into_inner) = new;
        }
    }

    fn record_incarnation_header(
        &self,
        server: &Server,
        headers: &HeaderMap,
    ) -> Option<Incarnation> {
        let incarnation = parse_u64(headers.get(INCARNATION)).map(Incarnation::new)?;
        self.record_incarnation(&server.id, incarnation);
        Some(incarnation)
    }
}

pub(crate) fn parse_u64(value: Option<&HeaderValue>) -> Option<u64> {
    value?.to_str().ok()?.trim().parse().ok()
}

fn check_refusal(server: &Server, protocol: Protocol, response: &Response) -> Result<()> {
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

/// Classifies a failure that occurred before the response began.
pub(crate) fn classify(backend: &BackendId, e: &reqwest::Error) -> Error {
    let category = if e.is_connect() || e.is_builder() {
        Category::Unreachable
    } else {
        Category::ConnectionLost
    };
    Error::new(category, backend, root_cause(e))
}

/// Returns whether the connection was refused because no process listens at the address.
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

/// Returns the message of the root cause, which contains no addresses or request data.
pub(crate) fn root_cause(e: &reqwest::Error) -> String {
    let mut cause: &dyn std::error::Error = e;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}
