//! Authentication of callers, operators and entry hosts by bearer token.

use std::sync::{Arc, Mutex, PoisonError};

use config::{Caller, Deployment, TokenHash};
use salvo::http::{HeaderMap, header::AUTHORIZATION, header::HeaderName};
use subtle::{Choice, ConstantTimeEq};
use types::{CallerId, Code, ServiceName};

use crate::refusal::Refusal;

pub(crate) const HOP_HEADER: HeaderName = HeaderName::from_static("x-celerytally-hop");
pub(crate) const CALLER_HEADER: HeaderName = HeaderName::from_static("x-celerytally-caller");

/// Authenticated sender of a request.
#[derive(Clone, Debug)]
pub(crate) struct Sender {
    pub(crate) caller: Caller,
    /// Whether the request was forwarded by another entry host.
    pub(crate) forwarded: bool,
}

impl Sender {
    pub(crate) fn authorize(&self, service: &ServiceName) -> Result<(), Refusal> {
        if self.caller.services.contains(service) {
            Ok(())
        } else {
            Err(Code::Forbidden.into())
        }
    }
}

/// Hash of a secret token. Comparisons take constant time.
#[derive(Clone, Debug)]
pub(crate) struct TokenVerifier(TokenHash);

impl TokenVerifier {
    pub(crate) fn new(token: &str) -> Self {
        Self(TokenHash::of(token))
    }

    pub(crate) fn matches(&self, headers: &HeaderMap) -> bool {
        bearer(headers).is_some_and(|token| bool::from(ct_eq(&TokenHash::of(token), &self.0)))
    }
}

fn ct_eq(a: &TokenHash, b: &TokenHash) -> Choice {
    a.as_str().as_bytes().ct_eq(b.as_str().as_bytes())
}

/// Returns the bearer token of a request.
pub(crate) fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = value.split_once(' ')?;
    let token = token.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !token.is_empty()).then_some(token)
}

/// Returns whether the request comes from another entry host.
pub(crate) fn is_forwarded(headers: &HeaderMap, host_token: &TokenVerifier) -> bool {
    headers.contains_key(HOP_HEADER) && host_token.matches(headers)
}

/// Authenticates the sender of a request to the caller API.
///
/// The hop header is honoured only together with the entry hosts' token.
pub(crate) fn authenticate(
    headers: &HeaderMap,
    deployment: &Deployment,
    host_token: &TokenVerifier,
) -> Result<Sender, Refusal> {
    if is_forwarded(headers, host_token) {
        if headers.get(HOP_HEADER).is_some_and(|hop| hop != "1") {
            return Err(Code::HopLimit.into());
        }
        return forwarded_sender(headers, deployment);
    }
    let token = bearer(headers).ok_or(Code::Unauthenticated)?;
    let hash = TokenHash::of(token);
    let mut found = None;
    // Compare with every caller so that the response time does not reveal which one matched.
    for caller in &deployment.callers {
        if bool::from(ct_eq(&hash, &caller.token)) {
            found = Some(caller);
        }
    }
    let caller = found.ok_or(Code::Unauthenticated)?.clone();
    Ok(Sender {
        caller,
        forwarded: false,
    })
}

fn forwarded_sender(headers: &HeaderMap, deployment: &Deployment) -> Result<Sender, Refusal> {
    let name = headers.get(CALLER_HEADER).and_then(|v| v.to_str().ok());
    let id: CallerId = name
        .and_then(|name| name.parse().ok())
        .ok_or(Code::Unauthenticated)?;
    let index = deployment.callers.binary_search_by(|c| c.id.cmp(&id));
    let index = index.map_err(|_not_found| Code::Unauthenticated)?;
    Ok(Sender {
        caller: deployment.callers[index].clone(),
        forwarded: true,
    })
}

/// Number of in-flight requests per caller, sorted by caller.
#[derive(Clone, Debug, Default)]
pub(crate) struct InFlightLimiter(Arc<Mutex<Vec<(CallerId, u32)>>>);

/// In-flight slot of one request. Dropping it releases the slot.
#[derive(Debug)]
pub(crate) struct InFlightPermit {
    limiter: InFlightLimiter,
    caller: CallerId,
}

impl InFlightLimiter {
    /// Acquires a slot, or refuses the request if the caller is at its limit.
    pub(crate) fn acquire(&self, sender: &Sender) -> Result<Option<InFlightPermit>, Refusal> {
        if sender.forwarded {
            return Ok(None);
        }
        let caller = &sender.caller;
        let mut counts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let index = match counts.binary_search_by(|(id, _)| id.cmp(&caller.id)) {
            Ok(index) => index,
            Err(index) => {
                counts.insert(index, (caller.id.clone(), 0));
                index
            }
        };
        if counts[index].1 >= caller.max_in_flight {
            return Err(Code::TooManyRequests.into());
        }
        counts[index].1 += 1;
        Ok(Some(InFlightPermit {
            limiter: self.clone(),
            caller: caller.id.clone(),
        }))
    }
}

impl Drop for InFlightPermit {
    fn drop(&mut self) {
        let mut counts = self
            .limiter
            .0
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Ok(index) = counts.binary_search_by(|(id, _)| id.cmp(&self.caller)) {
            counts[index].1 -= 1;
            if counts[index].1 == 0 {
                counts.remove(index);
            }
        }
    }
}
