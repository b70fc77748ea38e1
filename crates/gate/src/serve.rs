//! HTTP server of the entry host: setup, request handling and shutdown.

use std::{
    fmt, io,
    net::TcpStream,
    os::fd::OwnedFd,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU8, Ordering},
    },
    time::Duration,
};

use config::ActiveConfig;
use engine::Client;
use metrics_exporter_prometheus::PrometheusHandle;
use reqwest::header::HeaderValue;
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, Router, Server, async_trait,
    conn::tcp::TcpAcceptor, server::ServerHandle,
};
use serde_json::json;
use store::Platform;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use types::{Clock, Code, Micros, Monotonic, RequestId};

use crate::{
    attempt::Runner,
    auth::{self, InFlightLimiter, Sender, TokenVerifier},
    claims::Claims,
    counters::Counters,
    dispatcher::{Checks, Dispatcher, StateMachine},
    error::{Error, Result},
    limit,
    operator::{OperatorApi, Readiness, Reporter},
    peers::Peers,
    record::{End, RequestRecord, SharedRecord},
    refusal::{self, Refusal},
    reply::{Body, Reply},
    request::{self, ApiPath, IncomingRequest, PreparedRequest, REQUEST_ID_HEADER},
};

/// Components of a [`Gate`].
pub struct GateParts<R, N, P, W> {
    /// Process clock, shared by all crates.
    pub clock: Monotonic,
    /// The router.
    pub router: R,
    /// Other entry hosts.
    pub peers: N,
    /// The platform, which stores claims.
    pub platform: P,
    /// Source of operator reports.
    pub reporter: W,
    /// Metrics exposed at `/metrics`. The recorder must already be installed.
    pub metrics: PrometheusHandle,
    /// Host id and incarnation of this process, recorded in claims.
    pub owner: claim::Owner,
    /// Client for backend servers, shared with load report polling.
    pub engine: Client,
    /// Token shared by the entry hosts.
    pub host_token: String,
    /// Operator token. Without one, `/metrics` and the JSON report are open.
    pub operator_token: Option<String>,
}

/// Omits all fields because some are secret.
impl<R, N, P, W> fmt::Debug for GateParts<R, N, P, W> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("GateParts").finish_non_exhaustive()
    }
}

/// HTTP API of an entry host.
pub struct Gate<R, N, P, W> {
    runner: Runner<R, N>,
    claims: Claims<P>,
    operator: OperatorApi<W>,
    host_token: TokenVerifier,
    in_flight_limiter: InFlightLimiter,
    phase: AtomicU8,
    /// Cancelled when a stop ends all open requests.
    aborting: CancellationToken,
    server: Mutex<Option<ServerHandle>>,
}

/// Server phases, in order.
const SERVING: u8 = 0;
const NOT_READY: u8 = 1;
const CLOSED: u8 = 2;

/// Minimum claim retention, whatever is configured.
const MIN_CLAIM_RETENTION: Micros = Micros::from_secs(60);

/// Time limit for pending platform operations at shutdown.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after the longest deadline for which a shutdown waits for slow readers.
const SHUTDOWN_MARGIN: Duration = Duration::from_secs(2);

impl<R, N, P, W> fmt::Debug for Gate<R, N, P, W> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Gate").finish_non_exhaustive()
    }
}

impl<R: StateMachine, N: Peers, P: Platform, W: Reporter> Gate<R, N, P, W> {
    /// Creates the HTTP API and registers its counters at zero.
    ///
    /// # Errors
    /// `Settings` if the host token is not a valid header value.
    pub fn new(parts: GateParts<R, N, P, W>) -> Result<Arc<Self>> {
        Self::with_checks(parts, Checks::default())
    }

    /// Creates the HTTP API with some safety checks disabled, for tests.
    ///
    /// # Errors
    /// As [`new`](Self::new).
    pub fn with_checks(parts: GateParts<R, N, P, W>, checks: Checks) -> Result<Arc<Self>> {
        let mut host_bearer = HeaderValue::try_from(format!("Bearer {}", parts.host_token))
            .map_err(|e| Error::settings("host token", e))?;
        host_bearer.set_sensitive(true);
        let counters = Arc::new(Counters::register());
        let dispatcher = Dispatcher::new(
            parts.clock,
            parts.router,
            parts.peers,
            Arc::clone(&counters),
            checks,
        );
        Ok(Arc::new(Self {
            runner: Runner {
                dispatcher,
                engine: parts.engine,
                clock: parts.clock,
                counters,
                host_bearer,
            },
            claims: Claims::new(parts.platform, parts.clock, parts.owner),
            operator: OperatorApi {
                reporter: parts.reporter,
                metrics: parts.metrics,
                token: parts.operator_token.as_deref().map(TokenVerifier::new),
                host_token: TokenVerifier::new(&parts.host_token),
            },
            host_token: TokenVerifier::new(&parts.host_token),
            in_flight_limiter: InFlightLimiter::default(),
            phase: AtomicU8::new(SERVING),
            aborting: CancellationToken::new(),
            server: Mutex::new(None),
        }))
    }

    /// Returns the driver of the router.
    pub fn dispatcher(&self) -> &Dispatcher<R, N> {
        &self.runner.dispatcher
    }

    /// Returns the counters.
    pub fn counters(&self) -> &Counters {
        &self.runner.counters
    }

    /// Returns the number of claims without a stored outcome.
    pub fn pending_claims(&self) -> usize {
        self.claims.pending()
    }

    /// Deletes finished claims left by hosts that are gone. Returns the number deleted.
    ///
    /// Call this periodically on one host of the deployment. A claim is deleted once this host has
    /// seen it unchanged for the retention period, which takes at least two calls.
    ///
    /// # Errors
    /// As [`Platform::list`] and [`Platform::delete`].
    pub async fn sweep_claims(&self) -> store::Result<usize> {
        self.claims.sweep(self.retention()).await
    }

    fn retention(&self) -> Micros {
        let config = self.runner.dispatcher.active_config();
        config.map_or(MIN_CLAIM_RETENTION, |c| {
            c.deployment.limits.claim_retention.max(MIN_CLAIM_RETENTION)
        })
    }

    /// Serves callers on a listening socket until [`drain`](Self::drain) completes.
    ///
    /// Returns after the last request has ended and the outcomes of claims have been stored.
    ///
    /// # Errors
    /// `Io` if the socket fails.
    pub async fn serve(self: &Arc<Self>, listener: TcpListener) -> Result<()> {
        let server = Server::new(TcpAcceptor::try_from(with_nodelay(listener)?)?);
        *self.server.lock().unwrap_or_else(PoisonError::into_inner) = Some(server.handle());
        let handler = GateHandler(Arc::clone(self));
        let router = Router::new().push(Router::with_path("{**path}").goal(handler));
        tokio::select! {
            ended = server.try_serve(router) => ended?,
            () = self.claims.delete_expired() => {}
        }
        // Outcomes that are not stored within the time limit remain "dispatched" on the platform.
        drop(tokio::time::timeout(SETTLE_TIMEOUT, self.claims.wait_until_settled()).await);
        Ok(())
    }

    /// Shuts down gracefully: fails readiness, stops accepting connections, then completes
    /// in-flight requests.
    ///
    /// `notice` is the time the load balancer needs to see `/readyz` fail. Requests that arrive
    /// within it are served. Returns once connections are being closed. [`serve`](Self::serve)
    /// returns after the last request, at the latest at the longest deadline.
    pub async fn drain(&self, notice: Duration) {
        self.phase.fetch_max(NOT_READY, Ordering::SeqCst);
        tracing::info!("draining: not ready");
        tokio::time::sleep(notice).await;
        self.phase.fetch_max(CLOSED, Ordering::SeqCst);
        tracing::info!("draining: closed for new requests");
        let longest = self.longest_deadline() + SHUTDOWN_MARGIN;
        let server = self.server();
        if let Some(server) = server {
            server.stop_graceful(None);
            let aborting = self.aborting.clone();
            tokio::spawn(async move {
                tokio::time::sleep(longest).await;
                stop_now(&aborting, &server);
            });
        }
    }

    /// Ends all open requests, because the process ends before they do.
    pub fn abort(&self) {
        if let Some(server) = self.server() {
            stop_now(&self.aborting, &server);
        }
    }

    fn server(&self) -> Option<ServerHandle> {
        let server = self.server.lock();
        server.unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn longest_deadline(&self) -> Duration {
        let config = self.runner.dispatcher.active_config();
        let services = config.iter().flat_map(|c| &c.deployment.services);
        let longest = services.map(|s| s.max_deadline).max();
        longest.unwrap_or_default().into()
    }

    fn readiness(&self) -> Readiness {
        if self.phase.load(Ordering::SeqCst) != SERVING {
            Readiness::Draining
        } else if self.runner.dispatcher.active_config().is_none() {
            Readiness::NoConfiguration
        } else {
            Readiness::Ready
        }
    }

    async fn handle_request(
        &self,
        req: &mut Request,
        id: RequestId,
        record: &mut Option<SharedRecord>,
    ) -> Result<Reply, Refusal> {
        let path = req.uri().path().to_owned();
        let query = req.uri().query().unwrap_or_default();
        let readiness = self.readiness();
        if let Some(answer) = self
            .operator
            .handle(&path, req.headers(), query, readiness)
            .await
        {
            return answer;
        }
        let forwarded = auth::is_forwarded(req.headers(), &self.host_token);
        // The entry host that received a forwarded request from its caller records it.
        if !forwarded {
            self.runner.counters.request();
            let started =
                RequestRecord::start(self.runner.clock, self.aborting.clone(), id.to_string());
            *record = Some(SharedRecord::new(started));
        }
        if self.phase.load(Ordering::SeqCst) == CLOSED {
            return Err(Code::Draining.into());
        }
        let config = self
            .runner
            .dispatcher
            .active_config()
            .ok_or(Code::NotReady)?;
        self.handle_api_call(req, (id, record.as_ref()), &path, &config)
            .await
    }

    /// Passes a request to the caller API through the filter chain.
    async fn handle_api_call(
        &self,
        req: &mut Request,
        (id, record): (RequestId, Option<&SharedRecord>),
        path: &str,
        config: &ActiveConfig,
    ) -> Result<Reply, Refusal> {
        let (deployment, now) = (&config.deployment, self.runner.clock.now());
        limit::check_headers(req.headers(), &deployment.limits)?;
        let sender = auth::authenticate(req.headers(), deployment, &self.host_token)?;
        let api_path = ApiPath::parse(req.method(), path)?;
        if api_path == ApiPath::Models {
            return Ok(models(&sender, config));
        }
        let permit = self.in_flight_limiter.acquire(&sender)?;
        let mut body = req.take_body();
        let read = limit::read_body(req.headers(), &mut body, &deployment.limits).await;
        req.replace_body(body);
        let body = read?;
        let incoming = IncomingRequest {
            id,
            sender,
            method: req.method().clone(),
            path: path.to_owned(),
            query: req.uri().query().map(str::to_owned),
            headers: std::mem::take(req.headers_mut()),
            body,
        };
        let request = match api_path {
            ApiPath::Completions { prompt } => {
                request::parse_completions(incoming, prompt, deployment, now)?
            }
            ApiPath::Service { name, subpath } => {
                request::parse_plain(incoming, name, subpath, deployment, now)?
            }
            ApiPath::Models => return Err(Code::UnknownPath.into()),
        };
        Ok(self.run(request, record).await?.hold_until_sent(permit))
    }

    async fn run(
        &self,
        request: PreparedRequest,
        record: Option<&SharedRecord>,
    ) -> Result<Reply, Refusal> {
        if let Some(record) = record {
            record.update(|record| record.received(&request.ticket.target));
        }
        // Forwarded requests are claimed by the entry host that received them from the caller.
        let claimed_here = !request.ticket.forwarded && self.runner.dispatcher.checks().claims;
        let claims = !request.ticket.idempotent && claimed_here;
        match &request.idempotency_key {
            Some(key) if claims => {
                let (key, retention) = (key.clone(), self.retention());
                self.claims
                    .run(&self.runner, &key, request, retention)
                    .await
            }
            _ => self.runner.run(request, record.cloned()).await,
        }
    }
}

/// Disables Nagle's algorithm on accepted connections.
///
/// Otherwise, each event could be delayed up to 40 ms until the previous one is acknowledged.
/// Accepted connections inherit the option from the listening socket.
fn with_nodelay(listener: TcpListener) -> io::Result<TcpListener> {
    let socket = TcpStream::from(OwnedFd::from(listener.into_std()?));
    socket.set_nodelay(true)?;
    TcpListener::from_std(std::net::TcpListener::from(OwnedFd::from(socket)))
}

/// Returns the id of a forwarded request, or a new random id.
fn request_id(req: &Request, forwarded: bool) -> RequestId {
    let sent = req
        .headers()
        .get(REQUEST_ID_HEADER)
        .and_then(|v| v.to_str().ok());
    sent.filter(|_| forwarded)
        .and_then(|id| id.parse().ok())
        .unwrap_or_else(|| RequestId::random(&mut rand::rng()))
}

/// Returns the list of models and adapters that a caller may use.
fn models(sender: &Sender, config: &ActiveConfig) -> Reply {
    let deployment = &config.deployment;
    let usable = |service| sender.authorize(service).is_ok();
    let models = deployment.models.iter().filter(|m| usable(&m.service));
    let models: Vec<_> = models.map(|m| &m.id).collect();
    let adapters = deployment.adapters.iter();
    let adapters = adapters.filter(|a| models.binary_search(&&a.model).is_ok());
    let names = models.iter().map(|id| id.as_str());
    let names = names.chain(adapters.map(|a| a.id.as_str()));
    let data: Vec<_> = names
        .map(|id| json!({"id": id, "object": "model", "owned_by": deployment.name}))
        .collect();
    let list = json!({"object": "list", "data": data}).to_string();
    Reply::full(salvo::http::StatusCode::OK, "application/json", list)
}

/// Ends all open requests and their connections.
fn stop_now(aborting: &CancellationToken, server: &ServerHandle) {
    aborting.cancel();
    server.stop_forceful();
}

/// Returns the end of a request with an answer, or `None` if the body of its response ends it.
fn end_of(answer: &Result<Reply, Refusal>) -> Option<End> {
    let (refusal, status) = match answer {
        Err(refusal) => (*refusal, refusal.code.status()),
        Ok(Reply {
            body: Body::Stream(_),
            ..
        }) => return None,
        Ok(reply) => match refusal::code(&reply.headers) {
            // Another entry host refused the request.
            Some(code) => (code.into(), reply.status.as_u16()),
            None => {
                return Some(End::Answered {
                    backend: reply.backend.clone(),
                    status: reply.status.as_u16(),
                });
            }
        },
    };
    Some(End::Refused { refusal, status })
}

struct GateHandler<R, N, P, W>(Arc<Gate<R, N, P, W>>);

#[async_trait]
impl<R: StateMachine, N: Peers, P: Platform, W: Reporter> Handler for GateHandler<R, N, P, W> {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let gate = &self.0;
        let forwarded = auth::is_forwarded(req.headers(), &gate.host_token);
        let id = request_id(req, forwarded);
        let mut record = None;
        let answer = gate.handle_request(req, id, &mut record).await;
        if let (Some(record), Some(end)) = (record, end_of(&answer)) {
            record.end(&end);
        }
        if answer.is_err() {
            limit::drain(req.body_mut()).await;
        }
        let mut reply = answer.unwrap_or_else(|refusal| {
            gate.runner.counters.refusal(refusal.code);
            refusal.into()
        });
        if let Ok(id) = HeaderValue::try_from(id.to_string()) {
            reply.headers.insert(REQUEST_ID_HEADER, id);
        }
        reply.send(res);
    }
}
