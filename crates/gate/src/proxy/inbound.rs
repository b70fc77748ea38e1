//! Reading of caller requests and creation of router tickets.

use std::{sync::OnceLock, time::Duration};

use bytes::Bytes;
use config::{RetryPolicy, Route, RouteTable};
use http::{HeaderValue, header, request::Parts};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use rand::RngExt;
use route::{Fingerprint, RequestOptions, RoutingRequest};
use tokio::time::{Instant as TokioInstant, timeout};
use types::{Code, Deadline, Instant, Micros, RequestId, ServiceName};

use crate::{
    proxy::{
        codec::RequestInfo,
        identity::{Identity, find_account, identity},
        quotas,
    },
    refusal::Refusal,
    request::fingerprint as hash_request,
};

/// Range of the time after which callers of an unknown path return while the route table is outdated.
///
/// The transfer of a new one takes some tenths of a second.
const MIN_OUTDATED_RETRY_AFTER_MS: u64 = 300;
const MAX_OUTDATED_RETRY_AFTER_MS: u64 = 700;

/// Least time that a request must have until the host stops.
const MIN_TIME_AT_STOP: Duration = Duration::from_millis(50);

/// Multiple of its target latency that a request which may run only once must have until the host stops.
const MIN_TARGETS_AT_STOP_ONCE: u64 = 4;

/// Maximum number of bytes read and discarded from the body of a refused request.
const MAX_DISCARDED_BYTES: usize = 32 << 20;

/// Time limit for discarding the body of a refused request.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);

/// Completely received request, ready for dispatch.
#[derive(Debug)]
pub(crate) struct Inbound {
    pub(crate) head: Parts,
    pub(crate) body: Bytes,
    pub(crate) info: RequestInfo,
    pub(crate) ticket: RoutingRequest,
    pub(crate) policy: RoutePolicy,
    pub(crate) identity: Identity,
    /// Units that it takes from the quota of its account.
    pub(crate) quota_cost: Option<u32>,
    /// Deadline on the tokio clock.
    pub(crate) deadline_at: TokioInstant,
}

/// Settings of the route that a request matched.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RoutePolicy {
    pub(crate) retry_policy: RetryPolicy,
    pub(crate) stream: bool,
    pub(crate) max_attempts: u8,
    pub(crate) target: Micros,
    pub(crate) gap: Option<Micros>,
}

impl From<&Route> for RoutePolicy {
    fn from(route: &Route) -> Self {
        Self {
            retry_policy: route.retry_policy,
            stream: route.stream,
            max_attempts: route.max_attempts,
            target: route.target,
            gap: route.gap,
        }
    }
}

/// Returns the host of a request without the port.
fn host_name(head: &Parts) -> Option<&str> {
    let named = head.headers.get(header::HOST)?.to_str().ok()?;
    Some(named.rsplit_once(':').map_or(named, |(name, _)| name))
}

/// Finds the route of a request.
pub(crate) fn find_route<'a>(table: &'a RouteTable, head: &Parts) -> Result<&'a Route, Refusal> {
    let route = host_name(head).and_then(|host| table.find(host, head.uri.path()));
    route.ok_or_else(|| Code::UnknownPath.into())
}

/// Returns when the caller of an unknown path should return, spread over callers.
pub(crate) fn outdated_retry_after() -> Micros {
    let range = MIN_OUTDATED_RETRY_AFTER_MS..=MAX_OUTDATED_RETRY_AFTER_MS;
    Micros::from_millis(rand::rng().random_range(range))
}

/// Picks a service at random by the route's weights.
fn pick_service(route: &Route) -> Option<ServiceName> {
    let total: f64 = route.services.iter().map(|s| s.weight).sum();
    let mut threshold = rand::rng().random::<f64>() * total;
    let picked = route.services.iter().find(|s| {
        threshold -= s.weight;
        threshold < 0.0
    });
    picked.or(route.services.last()).map(|s| s.service.clone())
}

/// Reads a request body within the size and time limits.
async fn read_body(
    body: &mut Incoming,
    table: &RouteTable,
    remaining: Micros,
) -> Result<Bytes, Refusal> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let limit = usize::try_from(table.limits.body.get()).unwrap_or(usize::MAX);
    let read = Limited::new(body, limit).collect();
    match timeout(Duration::from(remaining), read).await {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(Code::BodyTooLarge.into()),
        Ok(Err(_)) => Err(Code::IncompleteBody.into()),
        Err(_elapsed) => Err(Code::BodyTimeout.into()),
    }
}

/// Reads and discards the rest of a refused request's body, within limits.
///
/// The HTTP library closes a connection whose body is not read. The caller may still be sending, so that
/// the connection is reset, and the refusal can be lost.
pub(crate) async fn discard_body(mut body: Incoming) {
    let discard = async {
        let mut remaining = MAX_DISCARDED_BYTES;
        // The library may report the end only with the next request, so a known length is checked.
        while !body.is_end_stream()
            && let Some(Ok(frame)) = body.frame().await
        {
            let len = frame.data_ref().map_or(0, Bytes::len);
            if len > remaining {
                return;
            }
            remaining -= len;
        }
    };
    if timeout(DISCARD_TIMEOUT, discard).await.is_err() {
        tracing::debug!("the body of a refused request did not arrive in time");
    }
}

/// Returns the hash that identifies resends of a request.
///
/// It covers the caller's account or, if there are none, its credentials: a server may crash on the page of one caller
/// and serve that of another one, whose responses prove nothing for the first.
fn fingerprint(head: &Parts, identity: &Identity, body: &[u8]) -> Fingerprint {
    let path = head.uri.path_and_query().map_or("", |p| p.as_str());
    let host = host_name(head).unwrap_or_default();
    let credentials = head.headers.get(header::AUTHORIZATION);
    let caller = match identity {
        Identity::Unchecked => credentials.map_or(&[][..], HeaderValue::as_bytes),
        Identity::Anonymous | Identity::Account(_) => identity.name().as_bytes(),
    };
    hash_request(&[path.as_bytes(), host.as_bytes(), caller, body])
}

fn micros(time: Duration) -> Micros {
    Micros::new(u64::try_from(time.as_micros()).unwrap_or(u64::MAX))
}

/// Returns the time that a request must have until the host stops.
///
/// With less it is refused while nothing has run, as another host can serve it.
fn time_at_stop(policy: &RoutePolicy) -> Duration {
    let factor = match policy.retry_policy {
        RetryPolicy::Never => MIN_TARGETS_AT_STOP_ONCE,
        RetryPolicy::Idempotent | RetryPolicy::Resume => 1,
    };
    Duration::from_micros(policy.target.get().saturating_mul(factor)).max(MIN_TIME_AT_STOP)
}

/// Reads a complete request and creates its ticket.
///
/// While the host stops, the request must be answered before the end of the grace period.
pub(crate) async fn read_request(
    (head, body): (Parts, &mut Incoming),
    info: RequestInfo,
    table: &RouteTable,
    now: Instant,
    stops_at: &OnceLock<TokioInstant>,
) -> Result<Inbound, Refusal> {
    let arrived = TokioInstant::now();
    let route = find_route(table, &head)?;
    let account = find_account(table, route, &head.headers)?;
    let identity = identity(table, account);
    let remaining = info.remaining.unwrap_or(route.timeout).min(route.timeout);
    if remaining == Micros::ZERO {
        return Err(Code::DeadlineUnreachable.into());
    }
    let service = pick_service(route).ok_or(Code::NoBackend)?;
    let policy = RoutePolicy::from(route);
    let priority = account.and_then(|a| a.priority).unwrap_or(route.priority);
    let quota_cost = quotas::cost(account, info.counted_tokens);
    let body = read_body(body, table, remaining).await?;
    let mut deadline_at = arrived + Duration::from(remaining);
    // The host may have been told to stop while the body arrived.
    if let Some(stops_at) = stops_at.get() {
        if *stops_at < TokioInstant::now() + time_at_stop(&policy) {
            return Err(Code::Draining.into());
        }
        deadline_at = deadline_at.min(*stops_at);
    }
    let remaining = deadline_at.duration_since(arrived);
    let ticket = RoutingRequest {
        id: RequestId::random(&mut rand::rng()),
        fingerprint: fingerprint(&head, &identity, &body),
        service,
        target: info.target.clone(),
        priority,
        deadline: Deadline::after(now, micros(remaining)),
        idempotent: policy.retry_policy != RetryPolicy::Never,
        prompt_tokens: info.prompt_tokens,
        output_tokens: info.output_tokens,
        prefixes: identity.scoped_prefixes(&info.prefixes),
        forwarded: false,
        options: RequestOptions {
            max_attempts: Some(policy.max_attempts),
            prefix_tokens: info.prefix_tokens.clone(),
            parts: identity.scoped_parts(&info.parts),
            first_byte_by: route.patience.map(|time| Deadline::after(now, time)),
        },
    };
    Ok(Inbound {
        head,
        body,
        info,
        ticket,
        policy,
        identity,
        quota_cost,
        deadline_at,
    })
}
