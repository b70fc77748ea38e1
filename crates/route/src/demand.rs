//! Smoothed demand per model.

use types::{Instant, Micros};

use crate::{choose::request_work, router::Router, settings::LatencyMetric};

/// Exponentially decaying sums for one model.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Demand {
    tokens: f32,
    missed: f32,
    at: Instant,
}

impl Demand {
    fn decay(&mut self, now: Instant, half_life: Micros) {
        let halvings = now.since(self.at).as_secs_f64() / half_life.as_secs_f64();
        #[expect(
            clippy::cast_possible_truncation,
            reason = "single precision suffices for a smoothed rate"
        )]
        let factor = (-halvings).exp2() as f32;
        self.tokens *= factor;
        self.missed *= factor;
        self.at = now;
    }

    pub(crate) fn add(&mut self, tokens: f32, missed: f32, now: Instant, half_life: Micros) {
        self.decay(now, half_life);
        self.tokens += tokens;
        self.missed += missed;
    }

    /// Returns tokens per second and misses per second.
    ///
    /// A steady rate `r` converges to a sum of `r` times the mean lifetime, so the rate is the sum
    /// divided by the mean lifetime.
    pub(crate) fn rates(mut self, now: Instant, half_life: Micros) -> (f64, f64) {
        self.decay(now, half_life);
        let mean_life = half_life.as_secs_f64() / std::f64::consts::LN_2;
        (
            f64::from(self.tokens) / mean_life,
            f64::from(self.missed) / mean_life,
        )
    }
}

impl Router {
    /// Adds a served or refused request to the demand for its model.
    pub(crate) fn record_demand(&mut self, now: Instant, slot: u32, missed: bool) {
        let Some(entry) = self.requests.get(slot) else {
            return;
        };
        let Some(model) = entry.model else {
            return;
        };
        #[expect(
            clippy::cast_possible_truncation,
            reason = "single precision suffices for a smoothed rate"
        )]
        let amount = match self.cfg.latency_metric {
            LatencyMetric::Completion => {
                request_work(&self.cfg, &entry.request, entry.request.output_tokens)
            }
            LatencyMetric::FirstToken => self.demand_seconds(entry, model),
        } as f32;
        let half_life = self.cfg.demand_half_life;
        let missed = f32::from(u8::from(missed));
        self.demand[usize::from(model)].add(amount, missed, now, half_life);
    }
}
