//! Learned slowdowns of backend servers, pooled over all entry hosts.
//!
//! In a large fleet one host sends each server too few requests to learn that it is slow, so hosts
//! exchange their observations.

use serde::{Deserialize, Serialize};
use types::{BackendId, Instant, Micros};

use crate::{backend::Backend, router::Router};

/// Half-life of the weight of an observation.
const HALF_LIFE: Micros = Micros::from_secs(10);

/// Weight of the prior, a slowdown of one, which dampens single outliers.
const PRIOR_SAMPLES: f32 = 2.0;

/// Weight below which observations are not shared.
const MIN_SAMPLES: f32 = 0.1;

/// Bounds of the learned slowdown.
const RANGE: (f32, f32) = (0.1, 10.0);

/// Observed slowdown at one server: time of a request relative to what its configured speed
/// predicts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct ObservedSlowdown {
    /// Weighted sum of the natural logarithms of the slowdowns.
    pub log_sum: f32,
    /// Sum of the weights of the requests; older requests weigh less.
    pub samples: f32,
}

impl ObservedSlowdown {
    fn decayed(self, since: Instant, now: Instant) -> Self {
        let halvings = now.since(since).as_secs_f64() / HALF_LIFE.as_secs_f64();
        #[expect(
            clippy::cast_possible_truncation,
            reason = "single precision suffices for a weight"
        )]
        let factor = (-halvings).exp2() as f32;
        Self {
            log_sum: self.log_sum * factor,
            samples: self.samples * factor,
        }
    }
}

/// Observations of one server by this host and all others, weighted as of `at`.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SlowdownStats {
    own: ObservedSlowdown,
    others: ObservedSlowdown,
    at: Instant,
}

impl SlowdownStats {
    fn decay(&mut self, now: Instant) {
        self.own = self.own.decayed(self.at, now);
        self.others = self.others.decayed(self.at, now);
        self.at = now;
    }

    /// Returns the pooled slowdown.
    fn pooled(&self) -> f32 {
        let samples = self.own.samples + self.others.samples + PRIOR_SAMPLES;
        let mean = (self.own.log_sum + self.others.log_sum) / samples;
        mean.exp().clamp(RANGE.0, RANGE.1)
    }
}

impl Backend {
    /// Adds a request that took `ratio` times the estimate at the current slowdown.
    pub(crate) fn observe_slowdown(&mut self, now: Instant, ratio: f32) {
        let seen = (ratio * self.slowdown).clamp(RANGE.0, RANGE.1);
        self.slowdown_stats.decay(now);
        self.slowdown_stats.own.log_sum += seen.ln();
        self.slowdown_stats.own.samples += 1.0;
        self.slowdown = self.slowdown_stats.pooled();
    }
}

impl Router {
    /// Returns the slowdowns of backend servers that this host observed.
    #[must_use]
    pub fn observed_slowdowns(&self, now: Instant) -> Vec<(BackendId, ObservedSlowdown)> {
        let Some(names) = &self.names else {
            return Vec::new();
        };
        let decayed = |b: &Backend| b.slowdown_stats.own.decayed(b.slowdown_stats.at, now);
        let seen = (0_u32..).zip(self.backends.iter().map(decayed));
        let seen = seen.filter(|(_, seen)| seen.samples >= MIN_SAMPLES);
        seen.map(|(at, seen)| (names.backend_id(at).clone(), seen))
            .collect()
    }

    /// Applies the slowdowns that all other hosts observed.
    pub(crate) fn peer_slowdowns(&mut self, now: Instant, seen: &[(BackendId, ObservedSlowdown)]) {
        let Some(names) = &self.names else {
            return;
        };
        for (id, others) in seen {
            let at = names.backend(id).map(|at| at as usize);
            if let Some(b) = at.and_then(|at| self.backends.get_mut(at)) {
                b.slowdown_stats.decay(now);
                b.slowdown_stats.others = *others;
                b.slowdown = b.slowdown_stats.pooled();
            }
        }
    }
}
