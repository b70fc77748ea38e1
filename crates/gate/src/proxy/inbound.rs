//! From a caller's request to a ticket for the router.

use std::time::Duration;

use bytes::Bytes;
use config::{Repeat, Route, RouteTable};
use http::{header, request::Parts};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use rand::RngExt;
use route::{Fingerprint, RequestOptions, RoutingRequest};
use tokio::time::{Instant as TokioInstant, timeout};
use types::{Code, Deadline, Instant, Micros, RequestId, ServiceName};

use crate::{proxy::codec::RequestInfo, refusal::Refusal};

/// Request that was read completely and may be sent to a backend server.
#[derive(Debug)]
pub(crate) struct Inbound {
    pub(crate) head: Parts,
    pub(crate) body: Bytes,
    pub(crate) asked: RequestInfo,
    pub(crate) ticket: RoutingRequest,
    pub(crate) terms: Terms,
    /// The deadline on the clock of the runtime.
    pub(crate) ends: TokioInstant,
}

/// Terms of the route on which a request arrived.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Terms {
    pub(crate) repeat: Repeat,
    pub(crate) stream: bool,
    pub(crate) max_attempts: u8,
    pub(crate) target: Micros,
    pub(crate) gap: Option<Micros>,
}

impl From<&Route> for Terms {
    fn from(route: &Route) -> Self {
        Self {
            repeat: route.repeat,
            stream: route.stream,
            max_attempts: route.max_attempts,
            target: route.target,
            gap: route.gap,
        }
    }
}

/// Returns the host that a request names, without a port.
fn host(head: &Parts) -> Option<&str> {
    let named = head.headers.get(header::HOST)?.to_str().ok()?;
    Some(named.rsplit_once(':').map_or(named, |(name, _)| name))
}

/// Finds the route of a request.
pub(crate) fn find_route<'a>(table: &'a RouteTable, head: &Parts) -> Result<&'a Route, Refusal> {
    let route = host(head).and_then(|host| table.find(host, head.uri.path()));
    route.ok_or_else(|| Code::UnknownPath.into())
}

/// Draws the service that gets a request, by the weights of the route.
fn draw_service(route: &Route) -> Option<ServiceName> {
    let total: f64 = route.shares.iter().map(|s| s.weight).sum();
    let mut at = rand::rng().random::<f64>() * total;
    let drawn = route.shares.iter().find(|s| {
        at -= s.weight;
        at < 0.0
    });
    drawn.or(route.shares.last()).map(|s| s.service.clone())
}

/// Reads the body of a request within the limits.
async fn read_body(body: Incoming, table: &RouteTable, left: Micros) -> Result<Bytes, Refusal> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let limit = usize::try_from(table.limits.body.get()).unwrap_or(usize::MAX);
    let read = Limited::new(body, limit).collect();
    match timeout(Duration::from(left), read).await {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(Code::BodyTooLarge.into()),
        Ok(Err(_)) => Err(Code::BodyTimeout.into()),
        Err(_elapsed) => Err(Code::BodyTimeout.into()),
    }
}

fn fingerprint(head: &Parts, body: &[u8]) -> Fingerprint {
    let mut hasher = blake3::Hasher::new();
    let path = head.uri.path_and_query().map_or("", |p| p.as_str());
    hasher.update(&(path.len() as u64).to_le_bytes());
    hasher.update(path.as_bytes());
    hasher.update(body);
    let hash = hasher.finalize();
    let mut bits = [0; 16];
    bits.copy_from_slice(&hash.as_bytes()[..16]);
    Fingerprint::new(u128::from_le_bytes(bits))
}

/// Reads a request completely and makes its ticket.
pub(crate) async fn read(
    (head, body): (Parts, Incoming),
    asked: RequestInfo,
    table: &RouteTable,
    now: Instant,
) -> Result<Inbound, Refusal> {
    let arrived = TokioInstant::now();
    let route = find_route(table, &head)?;
    let left = asked.remaining.unwrap_or(route.timeout).min(route.timeout);
    if left == Micros::ZERO {
        return Err(Code::DeadlineUnreachable.into());
    }
    let service = draw_service(route).ok_or(Code::NoBackend)?;
    let terms = Terms::from(route);
    let priority = route.priority;
    let body = read_body(body, table, left).await?;
    let ticket = RoutingRequest {
        id: RequestId::random(&mut rand::rng()),
        fingerprint: fingerprint(&head, &body),
        service,
        target: asked.target.clone(),
        priority,
        deadline: Deadline::after(now, left),
        idempotent: terms.repeat != Repeat::Never,
        prompt_tokens: asked.prompt_tokens,
        output_tokens: asked.output_tokens,
        prefixes: asked.prefixes.clone(),
        forwarded: false,
        options: RequestOptions {
            max_attempts: Some(terms.max_attempts),
            prefix_tokens: asked.prefix_tokens.clone(),
        },
    };
    Ok(Inbound {
        head,
        body,
        asked,
        ticket,
        terms,
        ends: arrived + Duration::from(left),
    })
}
