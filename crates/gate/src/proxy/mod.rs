//! Entry for callers whose requests are routed by host and path and passed on unchanged.
//!
//! A request goes through the same router, queue and dispatch as one to the API of completions;
//! only its head is read and written in the conventions of the installation, by a [`HeaderCodec`].

mod codec;
mod connection;
mod events;
mod exchange;
mod inbound;
mod log;
mod relay;

use std::{
    fmt,
    sync::{
        Arc, PoisonError, RwLock,
        atomic::{AtomicU8, AtomicUsize, Ordering},
    },
};

use bytes::Bytes;
use config::RouteTable;
use engine::{Pool, Server};
use http::{Request, Response, StatusCode, header};
use http_body_util::{Either, Full, StreamBody};
use hyper::body::{Body, Incoming};
use tokio_util::sync::CancellationToken;
use types::{BackendId, Clock, Code, Incarnation, Monotonic};

pub use codec::{AttemptInfo, HeaderCodec, RequestInfo, ResponseClass};

use crate::{
    count::Counters,
    dispatcher::{Checks, Dispatcher, StateMachine},
    peers::Peers,
    proxy::{
        exchange::{Exchange, Whole, end_to_end, not_run},
        relay::{Broken, relay},
    },
    refusal::Refusal,
};

/// Serves callers; readiness is told if a configuration is in force.
const SERVING: u8 = 0;
/// Serves callers and tells the balancer that it is not ready.
const NOT_READY: u8 = 1;
/// Accepts no more connections and closes each after its request.
const CLOSING: u8 = 2;

/// What a proxy is made of.
#[derive(Debug)]
pub struct ProxyParts<R, N, D> {
    /// Clock of the process.
    pub clock: Monotonic,
    /// The router.
    pub router: R,
    /// Other entry hosts.
    pub peers: N,
    /// Conventions of the installation.
    pub codec: D,
    /// Connections to backend servers.
    pub pool: Pool,
}

pub(crate) struct Shared<R, N, D> {
    pub(crate) dispatcher: Dispatcher<R, N>,
    pub(crate) codec: D,
    pub(crate) pool: Pool,
    pub(crate) clock: Monotonic,
    counters: Arc<Counters>,
    table: RwLock<Option<Arc<RouteTable>>>,
    /// Lives of backend servers, sorted by id.
    lives: RwLock<Vec<(BackendId, Incarnation)>>,
    phase: AtomicU8,
    open_requests: Arc<AtomicUsize>,
    /// Connections of callers.
    open_connections: Arc<AtomicUsize>,
    closing: CancellationToken,
}

impl<R, N, D> Shared<R, N, D> {
    fn route_table(&self) -> Option<Arc<RouteTable>> {
        let table = self.table.read().unwrap_or_else(PoisonError::into_inner);
        table.clone()
    }

    pub(crate) fn incarnation(&self, backend: &BackendId) -> Option<Incarnation> {
        let lives = self.lives.read().unwrap_or_else(PoisonError::into_inner);
        let at = lives.binary_search_by(|(id, _)| id.cmp(backend)).ok()?;
        Some(lives[at].1)
    }
}

/// Entry for callers, without the operator's and completions' interfaces.
pub struct Proxy<R, N, D>(Arc<Shared<R, N, D>>);

impl<R, N, D> Clone for Proxy<R, N, D> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

impl<R, N, D> fmt::Debug for Proxy<R, N, D> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Proxy").finish_non_exhaustive()
    }
}

impl<R: StateMachine, N: Peers, D: HeaderCodec> Proxy<R, N, D> {
    /// Makes a proxy that refuses every request until a route table is in force.
    pub fn new(parts: ProxyParts<R, N, D>) -> Self {
        let counters = Arc::new(Counters::register());
        let dispatcher = Dispatcher::new(
            parts.clock,
            parts.router,
            parts.peers,
            Arc::clone(&counters),
            Checks::default(),
        );
        Self(Arc::new(Shared {
            dispatcher,
            codec: parts.codec,
            pool: parts.pool,
            clock: parts.clock,
            counters,
            table: RwLock::default(),
            lives: RwLock::default(),
            phase: AtomicU8::new(SERVING),
            open_requests: Arc::default(),
            open_connections: Arc::default(),
            closing: CancellationToken::new(),
        }))
    }

    /// Returns the driver of the router.
    #[must_use]
    pub fn dispatcher(&self) -> &Dispatcher<R, N> {
        &self.0.dispatcher
    }

    /// Puts a route table in force, unless a newer one is, and tells whether it did.
    pub fn set_route_table(&self, new: Arc<RouteTable>) -> bool {
        let mut table = self.0.table.write().unwrap_or_else(PoisonError::into_inner);
        let newer = table.as_ref().is_none_or(|old| old.version < new.version);
        if newer {
            *table = Some(new);
        }
        newer
    }

    /// Returns the route table in force.
    #[must_use]
    pub fn route_table(&self) -> Option<Arc<RouteTable>> {
        self.0.route_table()
    }

    /// Replaces the addresses and lives of the backend servers.
    pub fn set_servers(&self, servers: Vec<(Server, Incarnation)>) {
        let known = servers.iter().map(|(s, life)| (s.id.clone(), *life));
        let mut known: Vec<_> = known.collect();
        known.sort();
        *self.0.lives.write().unwrap_or_else(PoisonError::into_inner) = known;
        let mut addrs: Vec<_> = servers.iter().map(|(s, _)| s.addr).collect();
        addrs.sort_unstable();
        self.0.pool.prune(|addr| addrs.binary_search(addr).is_ok());
        let servers = servers.into_iter().map(|(server, _)| server).collect();
        self.0.dispatcher.set_servers(servers);
    }

    /// Tells whether the balancer may send new connections here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.0.phase.load(Ordering::Relaxed) == SERVING && self.0.route_table().is_some()
    }

    /// Returns the time on the clock of the router.
    #[must_use]
    pub fn now(&self) -> types::Instant {
        self.0.clock.now()
    }

    /// Returns the number of requests that are being answered.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.0.open_requests.load(Ordering::Relaxed)
    }

    /// Tells the balancer that this host is leaving; requests are served as before.
    pub fn set_not_ready(&self) {
        self.0.phase.fetch_max(NOT_READY, Ordering::Relaxed);
    }

    /// Accepts no more connections and closes each one after its request.
    pub fn close(&self) {
        self.0.phase.fetch_max(CLOSING, Ordering::Relaxed);
        self.0.closing.cancel();
    }

    async fn answer(
        self,
        req: Request<Incoming>,
    ) -> Response<Either<Full<Bytes>, impl Body<Data = Bytes, Error = Broken>>> {
        let shared = &self.0;
        let arrived = shared.clock.now();
        shared.counters.request();
        let (head, body) = req.into_parts();
        let asked = shared.codec.decode_request(&head);
        let request = asked
            .as_ref()
            .map_or_else(|_| String::new(), |a| a.id.clone());
        let served = match asked {
            Ok(asked) => self.clone().serve(head, body, asked).await,
            Err(code) => Err(code.into()),
        };
        let mut response = match served {
            Ok(response) => response,
            Err(refusal) => {
                shared.counters.refusal(refusal.code);
                let head = shared.codec.encode_refusal(&refusal);
                let took = shared.clock.now().since(arrived);
                log::refused(&request, &refusal, head.status.as_u16(), took);
                Response::from_parts(head, Either::Left(Full::default()))
            }
        };
        if shared.phase.load(Ordering::Relaxed) == CLOSING {
            let close = http::HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }

    async fn serve(
        self,
        head: http::request::Parts,
        body: Incoming,
        asked: RequestInfo,
    ) -> Result<Response<Either<Full<Bytes>, impl Body<Data = Bytes, Error = Broken>>>, Refusal>
    {
        let shared = &self.0;
        let table = shared.route_table().ok_or(Code::NotReady)?;
        let now = shared.clock.now();
        let inbound = inbound::read((head, body), asked, &table, now).await?;
        let mut exchange = Exchange::begin(Arc::clone(shared), inbound);
        loop {
            let opened = match exchange.open().await {
                Ok(opened) => opened,
                Err(refusal) => {
                    exchange.ended = true;
                    return match exchange.take_fallback() {
                        Some(whole) => Ok(pass(whole)),
                        None => Err(refusal),
                    };
                }
            };
            if exchange.inbound.terms.stream && opened.head.status.is_success() {
                let mut response = Response::new(());
                *response.status_mut() = opened.head.status;
                *response.headers_mut() = end_to_end(&opened.head.headers);
                let stream = StreamBody::new(relay(exchange, opened));
                return Ok(response.map(|()| Either::Right(stream)));
            }
            exchange.flight.first_byte();
            let backend = opened.backend.clone();
            if let Some(whole) = exchange.read_whole(opened).await {
                let status = whole.head.status;
                exchange.flight.finished(0, !status.is_server_error());
                exchange.ended = true;
                let took = shared.clock.now().since(exchange.arrived);
                metrics::histogram!("celerytally_request_seconds").record(took.as_secs_f64());
                let request = &exchange.inbound.asked.id;
                let pace = log::Pace::default();
                log::answered(request, backend.as_str(), status.as_u16(), took, pace);
                return Ok(pass(whole));
            }
        }
    }
}

fn pass<B>(whole: Whole) -> Response<Either<Full<Bytes>, B>> {
    let mut response = Response::new(Either::Left(Full::new(whole.body)));
    *response.status_mut() = whole.head.status;
    *response.headers_mut() = end_to_end(&whole.head.headers);
    response
}

impl Refusal {
    /// Returns the HTTP status, which says "not run" only if that is true.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        let status = StatusCode::from_u16(self.code.status());
        let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let promises = matches!(
            status,
            StatusCode::SERVICE_UNAVAILABLE
                | StatusCode::TOO_MANY_REQUESTS
                | StatusCode::REQUEST_TIMEOUT
                | StatusCode::MISDIRECTED_REQUEST
        );
        if promises && !not_run(self) {
            return StatusCode::BAD_GATEWAY;
        }
        status
    }
}
