//! Smoothed demand per model.

use types::{Instant, Micros};

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
