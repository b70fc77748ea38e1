//! Estimated distribution of the demand over the copies, assuming balanced routing.

use crate::{input::CopyState, round::Round};

/// Utilization of a worker up to which requests meet their deadlines.
const MAX_UTILIZATION: f64 = 0.8;
/// Iterations over all models; further ones change the result by less than 1%.
const ITERATIONS: usize = 6;
/// Minimum weight of a copy as a share of its worker's capacity; keeps the weights positive.
const MIN_WEIGHT: f64 = 0.01;

/// Demand that each worker and each copy receives, in tokens per second.
pub(crate) struct LoadDistribution {
    /// Demand by worker.
    pub per_worker: Vec<f64>,
    /// Demand by model and copy, in the order of [`Round::copies`].
    pub per_copy: Vec<Vec<f64>>,
}

/// Returns the tokens per second up to which a worker's requests meet their deadlines.
pub(crate) fn capacity(round: &Round<'_>, worker: usize) -> f64 {
    MAX_UTILIZATION * round.input.base_tokens_per_second * round.input.workers[worker].speed
}

impl LoadDistribution {
    pub(crate) fn compute(round: &Round<'_>) -> Self {
        let mut distribution = Self {
            per_worker: vec![0.0; round.input.workers.len()],
            per_copy: round.copies.iter().map(|c| vec![0.0; c.len()]).collect(),
        };
        for _ in 0..ITERATIONS {
            for m in 0..round.copies.len() {
                distribution.distribute_model(round, m);
            }
        }
        distribution
    }

    /// Distributes a model's demand over its copies in proportion to the capacity that the other
    /// models leave on the workers.
    fn distribute_model(&mut self, round: &Round<'_>, m: usize) {
        let demand = round.demand(m).tokens_per_second;
        let shares = &mut self.per_copy[m];
        for (copy, share) in round.copies[m].iter().zip(shares.iter_mut()) {
            self.per_worker[copy.worker] -= *share;
            *share = 0.0;
        }
        let usable = |at: &usize| {
            let copy = round.copies[m][*at];
            copy.live && copy.state != CopyState::Unloading
        };
        let weight = |at: usize, load: &[f64]| {
            let worker = round.copies[m][at].worker;
            let capacity = capacity(round, worker);
            (capacity - load[worker]).max(MIN_WEIGHT * capacity)
        };
        let indices = 0..shares.len();
        let total: f64 = indices
            .clone()
            .filter(usable)
            .map(|at| weight(at, &self.per_worker))
            .sum();
        for at in indices.filter(usable) {
            shares[at] = weight(at, &self.per_worker);
        }
        for (copy, share) in round.copies[m].iter().zip(shares) {
            *share *= demand / total.max(f64::MIN_POSITIVE);
            self.per_worker[copy.worker] += *share;
        }
    }

    /// Returns the tokens per second that all workers together serve within their capacity.
    pub(crate) fn served_in_time(&self, round: &Round<'_>) -> f64 {
        let loads = self.per_worker.iter().enumerate();
        loads.map(|(w, load)| load.min(capacity(round, w))).sum()
    }

    /// Returns the part of a model's demand that exceeds the capacity of its workers.
    ///
    /// The excess of a worker is attributed to its models in proportion to their demand.
    pub(crate) fn excess_demand(&self, round: &Round<'_>, m: usize) -> f64 {
        let copies = round.copies[m].iter().zip(&self.per_copy[m]);
        let excess = copies.map(|(copy, share)| {
            let load = self.per_worker[copy.worker];
            let overload = load - capacity(round, copy.worker);
            if overload > 0.0 {
                share * overload / load
            } else {
                0.0
            }
        });
        excess.sum()
    }
}
