//! Reverse proxy that routes requests by host and path and forwards them unchanged.
//!
//! Requests use the same router, queue and dispatch as the completions API. Only message heads
//! differ: a [`HeaderCodec`] encodes and decodes them in the installation's format.

mod attempt;
mod buffer;
mod codec;
mod connection;
mod events;
mod exchange;
mod headers;
mod hedge;
mod identity;
mod idle;
mod inbound;
mod kind;
mod liveness;
mod log;
mod notices;
mod position;
mod quotas;
mod refused_head;
mod relay;
mod sustained;

use std::{
    fmt,
    sync::{
        Arc, Mutex, OnceLock, PoisonError, RwLock,
        atomic::{AtomicBool, AtomicU8, AtomicUsize, Ordering},
    },
};

use bytes::Bytes;
use config::RouteTable;
use engine::{Pool, Server};
use futures::StreamExt;
use http::{Request, Response, StatusCode, header, request, response};
use http_body_util::{Either, Full, StreamBody};
use hyper::body::{Body, Incoming};
use tokio::time::Instant as TokioInstant;
use tokio_util::sync::CancellationToken;
use types::{BackendId, Clock, Code, Incarnation, Monotonic};

pub use codec::{AttemptInfo, HeaderCodec, RequestInfo, ResponseClass};
pub use identity::Identity;
pub use quotas::Quotas;

use crate::{
    counters::Counters,
    dispatcher::{Checks, Dispatcher, StateMachine},
    peers::Peers,
    proxy::{
        buffer::BufferBudget,
        exchange::{CompleteResponse, Exchange, ReadResponse, not_run},
        headers::end_to_end,
        inbound::Inbound,
        liveness::RecentBreaks,
        quotas::QuotaCharge,
        refused_head::{head_len, max_head_len},
        relay::{FirstPart, PlainRelay, StreamError, StreamRelay},
    },
    record::{End, RequestRecord},
    refusal::Refusal,
};

/// Serving. Ready if a route table is active.
const SERVING: u8 = 0;
/// Serving, but not ready for the load balancer.
const NOT_READY: u8 = 1;
/// Closed for new connections. Existing ones are closed after their current request.
const CLOSING: u8 = 2;

/// Components of a [`Proxy`].
#[derive(Debug)]
pub struct ProxyParts<R, N, C> {
    /// Process clock.
    pub clock: Monotonic,
    /// The router.
    pub router: R,
    /// Other entry hosts.
    pub peers: N,
    /// Encoder and decoder of message heads.
    pub codec: C,
    /// Connections to backend servers.
    pub pool: Pool,
    /// Quotas of client accounts.
    pub quotas: Quotas,
}

pub(crate) struct Shared<R, N, C> {
    pub(crate) dispatcher: Dispatcher<R, N>,
    pub(crate) codec: C,
    pub(crate) pool: Pool,
    quotas: Arc<Quotas>,
    /// Budget of buffered response bodies.
    pub(crate) buffers: BufferBudget,
    pub(crate) clock: Monotonic,
    counters: Arc<Counters>,
    route_table: RwLock<Option<Arc<RouteTable>>>,
    /// Whether a newer route table may exist than the active one.
    outdated: AtomicBool,
    /// Incarnations of backend servers, sorted by id.
    incarnations: RwLock<Vec<(BackendId, Incarnation)>>,
    /// Backend servers that announced that they leave, sorted by id.
    leaving: Mutex<Vec<(BackendId, Option<Incarnation>)>>,
    /// Backend servers that broke off responses.
    breaks: RecentBreaks,
    phase: AtomicU8,
    /// End of the grace period, once the host was told to stop.
    stops_at: OnceLock<TokioInstant>,
    open_requests: Arc<AtomicUsize>,
    /// Number of responses that may not have been written to their connections yet.
    unwritten_responses: Arc<AtomicUsize>,
    /// Number of open caller connections.
    open_connections: Arc<AtomicUsize>,
    closing: CancellationToken,
    /// Cancelled when the process ends while requests are open.
    aborting: CancellationToken,
}

impl<R, N, C> Shared<R, N, C> {
    fn route_table(&self) -> Option<Arc<RouteTable>> {
        let table = self
            .route_table
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        table.clone()
    }

    /// Replaces the refusal of an unknown path, model or key if a newer configuration may have it.
    fn refine(&self, refusal: Refusal) -> Refusal {
        let is_unknown = matches!(
            refusal.code,
            Code::UnknownPath | Code::UnknownModel | Code::Unauthenticated
        );
        if is_unknown && not_run(&refusal) && self.outdated.load(Ordering::Relaxed) {
            return Refusal {
                retry_after: Some(inbound::outdated_retry_after()),
                ..Code::OutdatedConfiguration.into()
            };
        }
        refusal
    }

    /// Takes the cost of a request from the quota of its account, if it has one.
    fn charge_quota(&self, inbound: &Inbound) -> Result<Option<QuotaCharge>, Refusal> {
        match (inbound.identity.account(), inbound.quota_cost) {
            (Some(account), Some(cost)) => self.quotas.charge(account, cost).map(Some),
            _ => Ok(None),
        }
    }

    /// Returns the response that refuses a request whose end has been recorded.
    fn refuse_without_record<S>(&self, refusal: Refusal) -> Response<ReplyBody<S>>
    where
        C: HeaderCodec,
    {
        let head = self.codec.encode_refusal(&refusal);
        Response::from_parts(head, Either::Left(Full::default()))
    }

    pub(crate) fn incarnation(&self, backend: &BackendId) -> Option<Incarnation> {
        let incarnations = self
            .incarnations
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        let index = incarnations
            .binary_search_by(|(id, _)| id.cmp(backend))
            .ok()?;
        Some(incarnations[index].1)
    }
}

/// Response body: a complete one, or a stream.
type ReplyBody<S> = Either<Full<Bytes>, S>;

/// Request that ends in a refusal, with its record.
type Refused = Box<(RequestRecord, Refusal)>;

/// Reverse proxy, without the operator endpoints and the completions API.
pub struct Proxy<R, N, C>(Arc<Shared<R, N, C>>);

impl<R, N, C> Clone for Proxy<R, N, C> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

impl<R, N, C> fmt::Debug for Proxy<R, N, C> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Proxy").finish_non_exhaustive()
    }
}

impl<R: StateMachine, N: Peers, C: HeaderCodec> Proxy<R, N, C> {
    /// Creates a proxy that refuses all requests until a route table is active.
    pub fn new(parts: ProxyParts<R, N, C>) -> Self {
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
            quotas: Arc::new(parts.quotas),
            buffers: BufferBudget::default(),
            clock: parts.clock,
            counters,
            route_table: RwLock::default(),
            outdated: AtomicBool::default(),
            incarnations: RwLock::default(),
            leaving: Mutex::default(),
            breaks: RecentBreaks::default(),
            phase: AtomicU8::new(SERVING),
            stops_at: OnceLock::new(),
            open_requests: Arc::default(),
            unwritten_responses: Arc::default(),
            open_connections: Arc::default(),
            closing: CancellationToken::new(),
            aborting: CancellationToken::new(),
        }))
    }

    /// Returns the driver of the router.
    #[must_use]
    pub fn dispatcher(&self) -> &Dispatcher<R, N> {
        &self.0.dispatcher
    }

    /// Activates a route table unless the active one is at least as new. Returns whether it was
    /// activated.
    pub fn set_route_table(&self, new: Arc<RouteTable>) -> bool {
        let mut table = self
            .0
            .route_table
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        let newer = table.as_ref().is_none_or(|old| old.version < new.version);
        if newer {
            self.0.quotas.configure(&new);
            *table = Some(new);
        }
        newer
    }

    /// Returns the quotas of client accounts.
    #[must_use]
    pub fn quotas(&self) -> &Quotas {
        &self.0.quotas
    }

    /// Sets whether a newer route table may exist than the active one.
    ///
    /// If so, an unknown path may be a new route, so its requests are refused as retryable.
    pub fn set_outdated(&self, outdated: bool) {
        self.0.outdated.store(outdated, Ordering::Relaxed);
    }

    /// Returns the active route table.
    #[must_use]
    pub fn route_table(&self) -> Option<Arc<RouteTable>> {
        self.0.route_table()
    }

    /// Replaces the addresses and incarnations of the backend servers.
    pub fn set_servers(&self, servers: Vec<(Server, Incarnation)>) {
        let known = servers
            .iter()
            .map(|(s, incarnation)| (s.id.clone(), *incarnation));
        let mut known: Vec<_> = known.collect();
        known.sort();
        *self
            .0
            .incarnations
            .write()
            .unwrap_or_else(PoisonError::into_inner) = known;
        let is_known = |id: &BackendId| servers.iter().any(|(s, _)| s.id == *id);
        self.0
            .leaving
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .retain(|(id, _)| is_known(id));
        let mut addrs: Vec<_> = servers.iter().map(|(s, _)| s.addr).collect();
        addrs.sort_unstable();
        self.0.pool.prune(|addr| addrs.binary_search(addr).is_ok());
        let servers = servers.into_iter().map(|(server, _)| server).collect();
        self.0.dispatcher.set_servers(servers);
    }

    /// Returns whether the load balancer may send new connections.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.0.phase.load(Ordering::Relaxed) == SERVING && self.0.route_table().is_some()
    }

    /// Returns the current time on the router's clock.
    #[must_use]
    pub fn now(&self) -> types::Instant {
        self.0.clock.now()
    }

    /// Returns the number of requests in progress.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.0.open_requests.load(Ordering::Relaxed)
    }

    /// Marks the host as not ready for the load balancer, because it stops at a time.
    ///
    /// Requests are still served, as far as they can be answered before that time.
    pub fn set_not_ready(&self, stops_at: TokioInstant) {
        // A second signal does not put off the end.
        let _: &TokioInstant = self.0.stops_at.get_or_init(|| stops_at);
        self.0.phase.fetch_max(NOT_READY, Ordering::Relaxed);
    }

    /// Stops accepting connections and closes each one after its current request.
    pub fn close(&self) {
        self.0.phase.fetch_max(CLOSING, Ordering::Relaxed);
        self.0.closing.cancel();
    }

    /// Ends all open requests, because the process ends before they do: with an answer if none has begun.
    pub fn abort(&self) {
        self.0.aborting.cancel();
    }

    /// Returns the response to a request, and its body if it was refused before that had arrived.
    async fn handle_request(
        self,
        req: Request<Incoming>,
    ) -> (
        Response<ReplyBody<impl Body<Data = Bytes, Error = StreamError>>>,
        Option<Incoming>,
    ) {
        let shared = &self.0;
        shared.counters.request();
        let (head, mut body) = req.into_parts();
        // Such a caller sends no body after a refusal.
        let waits_to_send = head.headers.contains_key(header::EXPECT);
        let info = shared.codec.decode_request(&head);
        let id = info
            .as_ref()
            .map_or_else(|_| String::new(), |i| i.id.clone());
        let record = RequestRecord::start(shared.clock, shared.aborting.clone(), id);
        let received = self.receive((head, &mut body), info).await;
        let unread = (received.is_err() && !waits_to_send).then_some(body);
        let served = match received {
            Ok(inbound) => self.clone().route_request(inbound, record).await,
            Err(refusal) => Err(Box::new((record, refusal))),
        };
        let mut response = match served {
            Ok(response) => response,
            Err(refused) => {
                let (mut record, refusal) = *refused;
                let refusal = shared.refine(refusal);
                shared.counters.refusal(refusal.code);
                let head = shared.codec.encode_refusal(&refusal);
                let status = head.status.as_u16();
                record.end(&End::Refused { refusal, status });
                Response::from_parts(head, Either::Left(Full::default()))
            }
        };
        if shared.phase.load(Ordering::Relaxed) == CLOSING {
            let close = http::HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        (response, unread)
    }

    /// Reads a request that a route leads to.
    async fn receive(
        &self,
        request: (request::Parts, &mut Incoming),
        info: Result<RequestInfo, Code>,
    ) -> Result<Inbound, Refusal> {
        let info = info?;
        let table = self.0.route_table().ok_or(Code::NotReady)?;
        if head_len(&request.0) > max_head_len(Some(table.limits)) {
            return Err(Code::HeadersTooLarge.into());
        }
        let now = self.0.clock.now();
        inbound::read_request(request, info, &table, now, &self.0.stops_at).await
    }

    /// Serves a request, or returns its record with the refusal that ends it.
    async fn route_request(
        self,
        inbound: Inbound,
        mut record: RequestRecord,
    ) -> Result<Response<ReplyBody<impl Body<Data = Bytes, Error = StreamError>>>, Refused> {
        let shared = &self.0;
        record.identified(inbound.identity.name());
        let charge = match shared.charge_quota(&inbound) {
            Ok(charge) => charge,
            Err(refusal) => return Err(Box::new((record, refusal))),
        };
        let mut exchange = Exchange::start(Arc::clone(shared), inbound, record, charge);
        loop {
            let opening = shared.aborting.run_until_cancelled(exchange.open()).await;
            let opened = match opening {
                Some(Ok(opened)) => opened,
                Some(Err(refusal)) => return kept_reply(exchange, refusal),
                None => {
                    let refusal = exchange.refusal_at_stop();
                    return kept_reply(exchange, refusal);
                }
            };
            if exchange.inbound.policy.stream && opened.head.status.is_success() {
                let first_part = StreamRelay::new(exchange, opened).first_part();
                match shared.aborting.run_until_cancelled(first_part).await {
                    Some(FirstPart::Received(head, stream)) => {
                        return Ok(streamed_reply(&head, stream.left_stream()));
                    }
                    Some(FirstPart::Failed(returned)) => exchange = returned,
                    Some(FirstPart::Refused(returned, refusal)) => {
                        return kept_reply(returned, refusal);
                    }
                    // The record has ended with the relay.
                    None => return Ok(shared.refuse_without_record(Code::ConnectionCut.into())),
                }
                continue;
            }
            exchange.handle.first_byte();
            let reading = exchange.read_response(opened);
            let Some(read) = shared.aborting.run_until_cancelled(reading).await else {
                let refusal = exchange.refusal_at_stop();
                return kept_reply(exchange, refusal);
            };
            match read {
                Some(ReadResponse::Complete(whole)) => {
                    let status = whole.head.status;
                    let ok = !status.is_server_error();
                    exchange.finish(&whole.backend, ok, whole.is_harmless);
                    exchange.record.end(&End::Answered {
                        backend: Some(whole.backend.clone()),
                        status: status.as_u16(),
                    });
                    return Ok(complete_reply(whole));
                }
                Some(ReadResponse::Begun(begun)) => {
                    let (head, len) = (begun.response.head.clone(), begun.len);
                    let rest = PlainRelay::new(exchange, begun).into_stream();
                    let mut response = streamed_reply(&head, rest.right_stream());
                    if let Some(len) = len {
                        let headers = response.headers_mut();
                        headers.insert(header::CONTENT_LENGTH, len.into());
                    }
                    return Ok(response);
                }
                None => {}
            }
        }
    }
}

/// Returns the response that was kept from an earlier attempt, or the refusal if there is none.
fn kept_reply<R: StateMachine, N: Peers, C: HeaderCodec, B>(
    mut exchange: Exchange<R, N, C>,
    refusal: Refusal,
) -> Result<Response<ReplyBody<B>>, Refused> {
    let Some(kept) = exchange.take_fallback() else {
        return Err(Box::new((exchange.record, refusal)));
    };
    let (backend, status) = (kept.backend.clone(), kept.head.status);
    exchange.record.end(&if status.is_server_error() {
        End::KeptError {
            backend,
            status: status.as_u16(),
            code: refusal.code,
        }
    } else {
        End::Answered {
            backend: Some(backend),
            status: status.as_u16(),
        }
    });
    Ok(complete_reply(kept))
}

fn streamed_reply<S>(head: &response::Parts, stream: S) -> Response<ReplyBody<StreamBody<S>>> {
    let mut response = Response::new(Either::Right(StreamBody::new(stream)));
    *response.status_mut() = head.status;
    *response.headers_mut() = end_to_end(&head.headers);
    response
}

fn complete_reply<B>(whole: CompleteResponse) -> Response<ReplyBody<B>> {
    let mut response = Response::new(Either::Left(Full::new(whole.body)));
    *response.status_mut() = whole.head.status;
    *response.headers_mut() = end_to_end(&whole.head.headers);
    response
}

/// Returns whether callers take a status as the promise that a request was not run.
pub(crate) fn implies_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

impl Refusal {
    /// Returns the HTTP status. Statuses that imply "not run" are used only if the request was not
    /// run.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        let status = StatusCode::from_u16(self.code.status());
        let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        if implies_not_run(status) && !not_run(self) {
            return StatusCode::BAD_GATEWAY;
        }
        status
    }
}
