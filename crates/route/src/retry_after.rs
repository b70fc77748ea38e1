//! Estimation of the retry-after time of refusals.

use rand::RngExt;
use types::{Instant, Micros};

use crate::{dispatch::micros, router::Router, settings::LatencyMetric};

/// Retry-after time of a refusal, unless it is estimated.
pub(crate) const RETRY_AFTER: Micros = Micros::from_secs(1);
/// Bounds of an estimated retry-after time.
const MIN_RETRY_AFTER: Micros = Micros::from_millis(200);
const MAX_RETRY_AFTER: Micros = Micros::from_secs(3);

impl Router {
    /// Returns the time after which a request that is refused now may be served.
    ///
    /// It is the pending prefill time of the least loaded server, with random jitter so that
    /// callers who are refused together do not retry together.
    pub(crate) fn retry_after(&mut self, now: Instant, slot: u32) -> Micros {
        if self.cfg.latency_metric == LatencyMetric::Completion {
            return RETRY_AFTER;
        }
        let Some(entry) = self.requests.get(slot) else {
            return RETRY_AFTER;
        };
        let servers = match entry.model {
            Some(m) => &self.holders[usize::from(m)],
            None => &self.members[usize::from(entry.service)],
        };
        let backlog = |b: &u32| {
            let b = &self.backends[*b as usize];
            b.own_work + b.others_work
        };
        let live = servers
            .iter()
            .filter(|b| self.backends[**b as usize].takes_work(now));
        let held_off = servers.iter().filter_map(|b| {
            let until = self.backends[*b as usize].held_off_until;
            #[expect(
                clippy::cast_possible_truncation,
                reason = "single precision suffices for an estimate"
            )]
            let seconds = until.remaining(now).as_secs_f64() as f32;
            (!until.is_past(now)).then_some(seconds)
        });
        let soonest = live
            .map(backlog)
            .chain(held_off)
            .fold(f32::INFINITY, f32::min);
        let load = self.cfg.load_on_demand.unwrap_or(RETRY_AFTER).as_secs_f64();
        let wait = if soonest.is_finite() {
            f64::from(soonest)
        } else {
            load
        };
        let spread = 1.0 + self.rng.random::<f64>();
        micros(wait * spread).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Returns the retry-after time of a request that failed on its servers, if it can be
    /// estimated.
    pub(crate) fn retry_after_failure(&mut self, now: Instant, slot: u32) -> Option<Micros> {
        let estimated = self.cfg.latency_metric == LatencyMetric::FirstToken;
        estimated.then(|| self.retry_after(now, slot))
    }
}
