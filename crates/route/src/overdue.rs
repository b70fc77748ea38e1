//! Backend servers that owe an answer for too long, or that several hosts can't reach.
//!
//! A server behind a cut takes requests on connections that stay open and answers none of them.
//! Its failures would count only when its requests end, so overdue answers count before that.

use types::{Instant, Micros};

use crate::{
    backend::Backend,
    requests::{Phase, RequestEntry},
    router::Router,
};

/// Times the estimate after which an answer is overdue.
const OVERDUE_FACTOR: f64 = 4.0;

/// Shortest time after which an answer is overdue.
const MIN_OVERDUE: Micros = Micros::from_millis(400);

/// Other hosts that must suspect a server before their word counts here.
///
/// One host may be the one that is cut off.
const MIN_UNREACHABLE_REPORTS: u16 = 2;

impl Backend {
    /// Tells whether this host has evidence that the server is out of reach.
    pub(crate) fn is_unreachable(&self, now: Instant) -> bool {
        self.overdue || (self.unreachable > 0 && !self.cooldown_until.is_past(now))
    }

    /// Tells whether this host or several others take the server to be out of reach.
    pub(crate) fn is_likely_unreachable(&self) -> bool {
        self.overdue || self.unreachable_reports >= MIN_UNREACHABLE_REPORTS
    }
}

impl Router {
    /// Marks the backend servers that owe an answer for too long.
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

    /// Returns the backend server that owes a request its first byte for too long.
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
        (late && !entry.response_started).then_some(backend)
    }
}
