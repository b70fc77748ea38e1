//! The entry host's HTTP server: set-up, the chain of filters, shutdown.

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

use config::InForce;
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
use types::{Clock, Code, Micros, Monotonic, RequestId};

use crate::{
    attempt::Runner,
    auth::{self, InFlight, Secret, Sender},
    claims::Claims,
    count::Counters,
    dispatcher::{Checks, Dispatcher, StateMachine},
    error::{Error, Result},
    job::{self, Arrival, Job, Path, REQUEST_ID},
    limit,
    operator::{Operator, Readiness, Reporter},
    peers::Peers,
    refusal::Refusal,
    reply::Reply,
};

/// What a [`Gate`] is made of.
pub struct GateParts<R, N, P, W> {
    /// Clock of the process, the same for every crate.
    pub clock: Monotonic,
    /// The router.
    pub router: R,
    /// Other entry hosts.
    pub peers: N,
    /// The platform, which keeps claims.
    pub platform: P,
    /// Source of the operator's report.
    pub reporter: W,
    /// Metrics that `/metrics` shows; its recorder must be installed before.
    pub metrics: PrometheusHandle,
    /// Name and life of this process, which claims carry.
    pub owner: claim::Owner,
    /// Client of backend servers, shared with the polling of load reports.
    pub engine: Client,
    /// Token of entry hosts among themselves.
    pub host_token: String,
    /// Token of operators; without one, `/metrics` and the JSON report are open.
    pub operator_token: Option<String>,
}

/// Shows no part, because some are secret.
impl<R, N, P, W> fmt::Debug for GateParts<R, N, P, W> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("GateParts").finish_non_exhaustive()
    }
}

/// HTTP API of an entry host.
pub struct Gate<R, N, P, W> {
    runner: Runner<R, N>,
    claims: Claims<P>,
    operator: Operator<W>,
    host_token: Secret,
    in_flight: InFlight,
    phase: AtomicU8,
    server: Mutex<Option<ServerHandle>>,
}

/// Phases of the server's life, in order.
const SERVING: u8 = 0;
const NOT_READY: u8 = 1;
const CLOSED: u8 = 2;

/// Claims are kept at least this long, whatever the file says.
const MIN_RETENTION: Micros = Micros::from_secs(60);

/// Bounds the wait for the platform at the end of a shutdown.
const SETTLE_LIMIT: Duration = Duration::from_secs(5);

/// Time beyond the longest deadline after which a shutdown no longer waits for slow readers.
const SHUTDOWN_MARGIN: Duration = Duration::from_secs(2);

impl<R, N, P, W> fmt::Debug for Gate<R, N, P, W> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Gate").finish_non_exhaustive()
    }
}

impl<R: StateMachine, N: Peers, P: Platform, W: Reporter> Gate<R, N, P, W> {
    /// Makes the HTTP API and registers its counters at zero.
    ///
    /// # Errors
    /// `Settings` when the host token can't be sent in a header.
    pub fn new(parts: GateParts<R, N, P, W>) -> Result<Arc<Self>> {
        Self::with_checks(parts, Checks::default())
    }

    /// Makes the HTTP API with protections switched off, for tests that show what each prevents.
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
            operator: Operator {
                reporter: parts.reporter,
                metrics: parts.metrics,
                token: parts.operator_token.as_deref().map(Secret::new),
                host_token: Secret::new(&parts.host_token),
            },
            host_token: Secret::new(&parts.host_token),
            in_flight: InFlight::default(),
            phase: AtomicU8::new(SERVING),
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

    /// Returns the number of claims whose outcome is not stored yet.
    pub fn pending_claims(&self) -> usize {
        self.claims.pending()
    }

    /// Deletes finished claims of hosts that are gone, and returns their number.
    ///
    /// To be called now and then by one host of the deployment. A claim is deleted once this host
    /// has seen it unchanged for the retention, so at least two calls are needed.
    ///
    /// # Errors
    /// As [`Platform::list`] and [`Platform::delete`].
    pub async fn sweep_claims(&self) -> store::Result<usize> {
        self.claims.sweep(self.retention()).await
    }

    fn retention(&self) -> Micros {
        let in_force = self.runner.dispatcher.active_config();
        in_force.map_or(MIN_RETENTION, |c| {
            c.deployment.limits.claim_retention.max(MIN_RETENTION)
        })
    }

    /// Serves callers on a listening socket until [`drain`](Self::drain) has ended.
    ///
    /// Returns when the last request has ended and the outcomes of claims are stored.
    ///
    /// # Errors
    /// `Io` when the socket fails.
    pub async fn serve(self: &Arc<Self>, listener: TcpListener) -> Result<()> {
        let server = Server::new(TcpAcceptor::try_from(without_delay(listener)?)?);
        *self.server.lock().unwrap_or_else(PoisonError::into_inner) = Some(server.handle());
        let entry = Entry(Arc::clone(self));
        let router = Router::new().push(Router::with_path("{**path}").goal(entry));
        tokio::select! {
            ended = server.try_serve(router) => ended?,
            () = self.claims.expire() => {}
        }
        // Outcomes that the platform does not take in time stay "dispatched" there.
        drop(tokio::time::timeout(SETTLE_LIMIT, self.claims.settle()).await);
        Ok(())
    }

    /// Shuts down: not ready, then no new connections, then the end of what is in flight.
    ///
    /// `notice` is the time that the balancer needs to see `/readyz` fail; requests that arrive
    /// within it are served. Returns once connections are being closed; [`serve`](Self::serve)
    /// returns when the last request has ended, at the latest at the longest deadline.
    pub async fn drain(&self, notice: Duration) {
        self.phase.fetch_max(NOT_READY, Ordering::SeqCst);
        tracing::info!("draining: not ready");
        tokio::time::sleep(notice).await;
        self.phase.fetch_max(CLOSED, Ordering::SeqCst);
        tracing::info!("draining: closed for new requests");
        let longest = self.longest_deadline() + SHUTDOWN_MARGIN;
        let server = self.server.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(server) = &*server {
            server.stop_graceful(longest);
        }
    }

    fn longest_deadline(&self) -> Duration {
        let in_force = self.runner.dispatcher.active_config();
        let services = in_force.iter().flat_map(|c| &c.deployment.services);
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

    async fn answer(
        &self,
        req: &mut Request,
        id: RequestId,
        forwarded: bool,
    ) -> Result<Reply, Refusal> {
        let path = req.uri().path().to_owned();
        let query = req.uri().query().unwrap_or_default();
        let readiness = self.readiness();
        if let Some(answer) = self
            .operator
            .answer(&path, req.headers(), query, readiness)
            .await
        {
            return answer;
        }
        if !forwarded {
            self.runner.counters.request();
        }
        if self.phase.load(Ordering::SeqCst) == CLOSED {
            return Err(Code::Draining.into());
        }
        let in_force = self
            .runner
            .dispatcher
            .active_config()
            .ok_or(Code::NotReady)?;
        self.call(req, id, &path, &in_force).await
    }

    /// Takes a request to the caller API through the chain of filters.
    async fn call(
        &self,
        req: &mut Request,
        id: RequestId,
        path: &str,
        in_force: &InForce,
    ) -> Result<Reply, Refusal> {
        let (deployment, now) = (&in_force.deployment, self.runner.clock.now());
        limit::check_headers(req.headers(), &deployment.limits)?;
        let sender = auth::authenticate(req.headers(), deployment, &self.host_token)?;
        let asked = Path::parse(req.method(), path)?;
        if asked == Path::Models {
            return Ok(models(&sender, in_force));
        }
        let place = self.in_flight.enter(&sender)?;
        let mut body = req.take_body();
        let read = limit::read_body(req.headers(), &mut body, &deployment.limits).await;
        req.replace_body(body);
        let body = read?;
        let arrival = Arrival {
            id,
            sender,
            method: req.method().clone(),
            path: path.to_owned(),
            query: req.uri().query().map(str::to_owned),
            headers: std::mem::take(req.headers_mut()),
            body,
        };
        let job = match asked {
            Path::Completions { prompt } => job::completions(arrival, prompt, deployment, now)?,
            Path::Service { name, rest } => job::plain(arrival, name, rest, deployment, now)?,
            Path::Models => return Err(Code::UnknownPath.into()),
        };
        Ok(self.run(job).await?.hold(place))
    }

    async fn run(&self, job: Job) -> Result<Reply, Refusal> {
        // The entry host that the request reached first has claimed it.
        let first = !job.ticket.forwarded && self.runner.dispatcher.checks().claims;
        let claims = !job.ticket.idempotent && first;
        match &job.key {
            Some(key) if claims => {
                let (key, retention) = (key.clone(), self.retention());
                self.claims.run(&self.runner, &key, job, retention).await
            }
            _ => self.runner.run(job).await,
        }
    }
}

/// Makes accepted connections send each event at once.
///
/// Otherwise an event waits up to 40 ms for the acknowledgement of the one before it. The option
/// passes from the listening socket to the connections it accepts.
fn without_delay(listener: TcpListener) -> io::Result<TcpListener> {
    let socket = TcpStream::from(OwnedFd::from(listener.into_std()?));
    socket.set_nodelay(true)?;
    TcpListener::from_std(std::net::TcpListener::from(OwnedFd::from(socket)))
}

/// Takes the id of a forwarded request from its entry host, and draws all others.
fn request_id(req: &Request, forwarded: bool) -> RequestId {
    let sent = req.headers().get(REQUEST_ID).and_then(|v| v.to_str().ok());
    sent.filter(|_| forwarded)
        .and_then(|id| id.parse().ok())
        .unwrap_or_else(|| RequestId::random(&mut rand::rng()))
}

/// Lists the models and adapters that a caller may use.
fn models(sender: &Sender, in_force: &InForce) -> Reply {
    let deployment = &in_force.deployment;
    let usable = |service| sender.may_use(service).is_ok();
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

struct Entry<R, N, P, W>(Arc<Gate<R, N, P, W>>);

#[async_trait]
impl<R: StateMachine, N: Peers, P: Platform, W: Reporter> Handler for Entry<R, N, P, W> {
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
        let answer = gate.answer(req, id, forwarded).await;
        if answer.is_err() {
            limit::drain(req.body_mut()).await;
        }
        let mut reply = answer.unwrap_or_else(|refusal| {
            gate.runner.counters.refusal(refusal.code);
            refusal.into()
        });
        if let Ok(id) = HeaderValue::try_from(id.to_string()) {
            reply.headers.insert(REQUEST_ID, id);
        }
        reply.send(res);
    }
}
