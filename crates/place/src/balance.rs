//! Division of the demand over the copies, as good routing would make it.

use crate::{input::CopyState, round::Round};

/// Share of a worker's capacity up to which requests meet their deadlines.
const USEFUL_LOAD: f64 = 0.8;
/// Passes over the models; more change the result by less than a hundredth.
const PASSES: usize = 6;
/// Least weight of a copy relative to its worker's capacity, which keeps weights positive.
const LEAST_WEIGHT: f64 = 0.01;

/// Demand divided over the copies.
pub(crate) struct Balance {
    /// Tokens a second per worker.
    pub worker: Vec<f64>,
    /// Tokens a second per model and copy, in the order of the model's copies.
    pub copy: Vec<Vec<f64>>,
}

/// Returns the tokens a second at which a worker's requests still meet their deadlines.
pub(crate) fn capacity(round: &Round<'_>, worker: usize) -> f64 {
    USEFUL_LOAD * round.input.base_tokens_per_second * round.input.workers[worker].speed
}

impl Balance {
    pub(crate) fn of(round: &Round<'_>) -> Self {
        let mut balance = Self {
            worker: vec![0.0; round.input.workers.len()],
            copy: round.spots.iter().map(|s| vec![0.0; s.len()]).collect(),
        };
        for _ in 0..PASSES {
            for m in 0..round.spots.len() {
                balance.divide(round, m);
            }
        }
        balance
    }

    /// Divides a model's demand over its copies by the capacity that the other models leave.
    fn divide(&mut self, round: &Round<'_>, m: usize) {
        let demand = round.demand(m).tokens_per_second;
        let shares = &mut self.copy[m];
        for (spot, share) in round.spots[m].iter().zip(shares.iter_mut()) {
            self.worker[spot.worker] -= *share;
            *share = 0.0;
        }
        let usable = |at: &usize| {
            let spot = round.spots[m][*at];
            spot.live && spot.state != CopyState::Unloading
        };
        let weight = |at: usize, load: &[f64]| {
            let worker = round.spots[m][at].worker;
            let capacity = capacity(round, worker);
            (capacity - load[worker]).max(LEAST_WEIGHT * capacity)
        };
        let all = 0..shares.len();
        let total: f64 = all
            .clone()
            .filter(usable)
            .map(|at| weight(at, &self.worker))
            .sum();
        for at in all.filter(usable) {
            shares[at] = weight(at, &self.worker);
        }
        for (spot, share) in round.spots[m].iter().zip(shares) {
            *share *= demand / total.max(f64::MIN_POSITIVE);
            self.worker[spot.worker] += *share;
        }
    }

    /// Returns the tokens a second that all workers serve in time.
    pub(crate) fn served(&self, round: &Round<'_>) -> f64 {
        let each = self.worker.iter().enumerate();
        each.map(|(w, load)| load.min(capacity(round, w))).sum()
    }

    /// Returns the part of a model's demand that exceeds the capacity of its workers.
    pub(crate) fn unserved(&self, round: &Round<'_>, m: usize) -> f64 {
        let copies = round.spots[m].iter().zip(&self.copy[m]);
        let over = copies.map(|(spot, share)| {
            let load = self.worker[spot.worker];
            let excess = load - capacity(round, spot.worker);
            if excess > 0.0 {
                share * excess / load
            } else {
                0.0
            }
        });
        over.sum()
    }
}
