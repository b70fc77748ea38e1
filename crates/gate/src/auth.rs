//! Authentication of callers, operators and entry hosts by bearer token.

use std::sync::{Arc, Mutex, PoisonError};

use config::{Caller, Deployment, TokenHash};
use salvo::http::{HeaderMap, header::AUTHORIZATION, header::HeaderName};
use subtle::{Choice, ConstantTimeEq};
use types::{CallerId, Code, ServiceName};

use crate::refusal::Refusal;

pub(crate) const HOP: HeaderName = HeaderName::from_static("x-celerytally-hop");
pub(crate) const FORWARDED_CALLER: HeaderName = HeaderName::from_static("x-celerytally-caller");

/// Sender of a request, proven by its token.
#[derive(Clone, Debug)]
pub(crate) struct Sender {
    pub(crate) caller: Caller,
    /// Whether another entry host forwarded the request.
    pub(crate) forwarded: bool,
}

impl Sender {
    pub(crate) fn may_use(&self, service: &ServiceName) -> Result<(), Refusal> {
        if self.caller.services.contains(service) {
            Ok(())
        } else {
            Err(Code::Forbidden.into())
        }
    }
}

/// Hash of a secret token, compared in constant time.
#[derive(Clone, Debug)]
pub(crate) struct Secret(TokenHash);

impl Secret {
    pub(crate) fn new(token: &str) -> Self {
        Self(TokenHash::of(token))
    }

    pub(crate) fn is_sent(&self, headers: &HeaderMap) -> bool {
        bearer(headers).is_some_and(|token| bool::from(equal(&TokenHash::of(token), &self.0)))
    }
}

fn equal(a: &TokenHash, b: &TokenHash) -> Choice {
    a.as_str().as_bytes().ct_eq(b.as_str().as_bytes())
}

fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = value.split_once(' ')?;
    let token = token.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !token.is_empty()).then_some(token)
}

/// Tells whether another entry host sent the request.
pub(crate) fn is_forwarded(headers: &HeaderMap, host: &Secret) -> bool {
    headers.contains_key(HOP) && host.is_sent(headers)
}

/// Proves the sender of a request to the caller API.
///
/// A hop header counts only with the token of an entry host.
pub(crate) fn authenticate(
    headers: &HeaderMap,
    deployment: &Deployment,
    host: &Secret,
) -> Result<Sender, Refusal> {
    if is_forwarded(headers, host) {
        if headers.get(HOP).is_some_and(|hop| hop != "1") {
            return Err(Code::HopLimit.into());
        }
        return forwarded(headers, deployment);
    }
    let token = bearer(headers).ok_or(Code::Unauthenticated)?;
    let hash = TokenHash::of(token);
    let mut found = None;
    // Every caller is compared, so that the time does not tell which one matched.
    for caller in &deployment.callers {
        if bool::from(equal(&hash, &caller.token)) {
            found = Some(caller);
        }
    }
    let caller = found.ok_or(Code::Unauthenticated)?.clone();
    Ok(Sender {
        caller,
        forwarded: false,
    })
}

fn forwarded(headers: &HeaderMap, deployment: &Deployment) -> Result<Sender, Refusal> {
    let name = headers.get(FORWARDED_CALLER).and_then(|v| v.to_str().ok());
    let id: CallerId = name
        .and_then(|name| name.parse().ok())
        .ok_or(Code::Unauthenticated)?;
    let at = deployment.callers.binary_search_by(|c| c.id.cmp(&id));
    let at = at.map_err(|_at| Code::Unauthenticated)?;
    Ok(Sender {
        caller: deployment.callers[at].clone(),
        forwarded: true,
    })
}

/// Requests in flight per caller, sorted by caller.
#[derive(Clone, Debug, Default)]
pub(crate) struct InFlight(Arc<Mutex<Vec<(CallerId, u32)>>>);

/// One request of a caller, counted until it is dropped.
#[derive(Debug)]
pub(crate) struct Place {
    all: InFlight,
    caller: CallerId,
}

impl InFlight {
    /// Counts a request, unless the caller is at its limit.
    pub(crate) fn enter(&self, sender: &Sender) -> Result<Option<Place>, Refusal> {
        if sender.forwarded {
            return Ok(None);
        }
        let caller = &sender.caller;
        let mut counts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let at = match counts.binary_search_by(|(id, _)| id.cmp(&caller.id)) {
            Ok(at) => at,
            Err(at) => {
                counts.insert(at, (caller.id.clone(), 0));
                at
            }
        };
        if counts[at].1 >= caller.max_in_flight {
            return Err(Code::TooManyRequests.into());
        }
        counts[at].1 += 1;
        Ok(Some(Place {
            all: self.clone(),
            caller: caller.id.clone(),
        }))
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut counts = self.all.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Ok(at) = counts.binary_search_by(|(id, _)| id.cmp(&self.caller)) {
            counts[at].1 -= 1;
            if counts[at].1 == 0 {
                counts.remove(at);
            }
        }
    }
}
