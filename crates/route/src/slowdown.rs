//! Learned paces of backend servers, pooled over all entry hosts.
//!
//! In a large fleet one host sends a server too few requests to learn that it is slow, so hosts
//! tell each other what they saw.

use serde::{Deserialize, Serialize};
use types::{BackendId, Instant, Micros};

use crate::{backend::Backend, router::Router};

/// Time in which what was seen loses half of its weight.
const HALF_LIFE: Micros = Micros::from_secs(10);

/// Samples of the configured pace that count beside those seen, against single outliers.
const PRIOR_SAMPLES: f32 = 2.0;

/// Weight below which nothing is told.
const MIN_SAMPLES: f32 = 0.1;

/// Bounds of the learned pace relative to the configured speed.
const RANGE: (f32, f32) = (0.1, 10.0);

/// Times of requests at one server, relative to what its configured speed predicts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct ObservedSlowdown {
    /// Sum of the natural logarithms of the relative times.
    pub log_sum: f32,
    /// Requests, older ones with less weight.
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

/// What this host and all others saw of one server, with the instant as of which it counts.
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

    /// Returns the pooled pace.
    fn pooled(&self) -> f32 {
        let samples = self.own.samples + self.others.samples + PRIOR_SAMPLES;
        let mean = (self.own.log_sum + self.others.log_sum) / samples;
        mean.exp().clamp(RANGE.0, RANGE.1)
    }
}

impl Backend {
    /// Learns from a request whose time was `ratio` times the estimate at the present pace.
    pub(crate) fn observe_slowdown(&mut self, now: Instant, ratio: f32) {
        let seen = (ratio * self.slowdown).clamp(RANGE.0, RANGE.1);
        self.slowdown_stats.decay(now);
        self.slowdown_stats.own.log_sum += seen.ln();
        self.slowdown_stats.own.samples += 1.0;
        self.slowdown = self.slowdown_stats.pooled();
    }
}

impl Router {
    /// Returns what this host saw of the paces of backend servers.
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

    /// Takes what all other hosts saw.
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
