//! Detection of backend servers whose responses are overdue or that several hosts cannot reach.
//!
//! A partitioned server accepts requests on connections that stay open and answers none of them.
//! The attempts fail only when the requests end, so overdue responses count before that.

use types::{Instant, Micros};

use crate::{
    backend::Backend,
    requests::{Phase, RequestEntry},
    router::Router,
};

/// Multiple of the estimate after which a response is overdue.
const OVERDUE_FACTOR: f64 = 4.0;

/// Minimum time after which a response is overdue.
const MIN_OVERDUE: Micros = Micros::from_millis(400);

/// Number of other hosts that must report a server as unreachable before it is avoided.
///
/// A single reporting host may itself be partitioned.
const MIN_UNREACHABLE_REPORTS: u16 = 2;

/// Time for which a lost response counts as evidence, unless the server responds to this host.
const LOST_RESPONSE_TIME: Micros = Micros::from_secs(3);

/// Time for which a response shows that the server responds to this host.
const RESPONSE_TIME: Micros = Micros::from_secs(1);

/// Number of hosts that must have lost their last response before a server counts as losing them all.
const MIN_LOST_REPORTS: u16 = 2;

impl Backend {
    /// Returns whether this host has evidence that the server is unreachable.
    pub(crate) fn is_unreachable(&self, now: Instant) -> bool {
        self.overdue || (self.unreachable > 0 && !self.cooldown_until.is_past(now))
    }

    /// Returns whether this host or several others have evidence that the server is unreachable.
    pub(crate) fn is_likely_unreachable(&self) -> bool {
        self.overdue || self.unreachable_reports >= MIN_UNREACHABLE_REPORTS
    }

    /// Returns whether the last attempt of this host at the server broke off, a short time ago.
    pub(crate) fn has_lost_response(&self, now: Instant) -> bool {
        self.lost_response
            .is_some_and(|at| now.since(at) < LOST_RESPONSE_TIME)
    }

    /// Returns whether the server has responded to this host a short time ago.
    pub(crate) fn has_responded(&self, now: Instant) -> bool {
        self.last_response > Instant::ZERO && now.since(self.last_response) < RESPONSE_TIME
    }

    /// Returns whether the server seems to lose all responses: the last ones of several hosts, and of more than it
    /// responds to.
    ///
    /// Such a server has no queue, and so attracts requests while others are loaded. One that loses a few
    /// responses still responds to most hosts.
    pub(crate) fn loses_responses(&self, now: Instant) -> bool {
        let own_lost = u16::from(self.has_lost_response(now));
        let lost = self.lost_reports.saturating_add(own_lost);
        let own_response = u16::from(self.has_responded(now));
        let responses = self.response_reports.saturating_add(own_response);
        lost >= MIN_LOST_REPORTS && lost > responses
    }
}

impl Router {
    /// Updates which backend servers have overdue responses.
    pub(crate) fn update_overdue(&mut self, now: Instant) {
        for b in &mut self.backends {
            b.overdue = false;
        }
        for slot in self.requests.slots() {
            let late = self
                .requests
                .get(slot)
                .and_then(|f| self.overdue_backend(now, f));
            if let Some(b) = late.and_then(|at| self.backends.get_mut(at as usize)) {
                b.overdue = true;
            }
        }
    }

    /// Returns the backend server of a request if its first byte is overdue.
    pub(crate) fn overdue_backend(&self, now: Instant, entry: &RequestEntry) -> Option<u32> {
        let Phase::Running { backend, .. } = entry.phase else {
            return None;
        };
        let b = self.backends.get(backend as usize)?;
        let silent = now
            .since(entry.dispatched.max(b.last_response))
            .as_secs_f64();
        let expected = f64::from(entry.expected) * OVERDUE_FACTOR;
        let late = silent > expected.max(MIN_OVERDUE.as_secs_f64());
        (late && entry.response.since.is_none()).then_some(backend)
    }
}
