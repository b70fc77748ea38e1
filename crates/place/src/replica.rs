//! Replicas beyond the floor, added by demand and with hysteresis.
//!
//! An addition is evaluated by the tokens per second that the data centre serves with it and
//! without it. The increase must be worth more than the cost of the moves, so repeated rounds
//! do not oscillate.

use std::cmp::Reverse;

use crate::{
    input::CopyState,
    load_distribution::{LoadDistribution, capacity},
    round::{PlannedCopy, Round},
};

/// Expected time for which a replica is useful, in seconds.
const REPLICA_LIFETIME_SECONDS: f64 = 300.0;
/// Cost of one move, in seconds of full load of the slowest worker.
const MOVE_COST_SECONDS: f64 = 50.0;
/// Maximum number of models evaluated for each load: those with the most unmet demand.
const MAX_CANDIDATE_MODELS: usize = 6;
/// Maximum number of workers evaluated for each model.
const MAX_CANDIDATE_WORKERS: usize = 4;

/// Plans loads of the replicas whose benefit exceeds their cost, in descending order of benefit.
pub(crate) fn add_replicas(round: &mut Round<'_>) {
    while round.remaining_loads > 0 {
        let Some(addition) = best_addition(round) else {
            return;
        };
        let MemorySource::Evict(victims) = addition.memory else {
            add_without_eviction(round, &addition);
            continue;
        };
        for (m, at) in victims {
            round.order_unload(m, at);
        }
        reserve_load(round, addition.worker, addition.model);
    }
}

fn add_without_eviction(round: &mut Round<'_>, addition: &Addition) {
    if matches!(addition.memory, MemorySource::Free) {
        round.order_load(addition.worker, addition.model);
    } else {
        reserve_load(round, addition.worker, addition.model);
    }
}

/// Reserves memory and one of the round's loads for a copy that waits for unloads.
fn reserve_load(round: &mut Round<'_>, worker: usize, m: usize) {
    round.remaining_loads -= 1;
    round.reserve_memory(worker, m);
    round.copies[m].push(PlannedCopy {
        worker,
        current: true,
        state: CopyState::Loading,
        live: true,
    });
}

/// Source of the memory for a copy on a worker.
#[derive(Clone, Debug)]
enum MemorySource {
    /// Memory that is free now.
    Free,
    /// Memory that is free once the pending unloads are confirmed.
    Freeing,
    /// Memory of surplus copies to be unloaded, given by model and index of the copy.
    Evict(Vec<(usize, usize)>),
}

/// Copy that may be added.
#[derive(Clone, Debug)]
struct Addition {
    model: usize,
    worker: usize,
    memory: MemorySource,
}

impl Addition {
    fn moves(&self) -> usize {
        match &self.memory {
            MemorySource::Free | MemorySource::Freeing => 1,
            MemorySource::Evict(victims) => 1 + victims.len(),
        }
    }
}

fn best_addition(round: &mut Round<'_>) -> Option<Addition> {
    let before = LoadDistribution::compute(round);
    let served = before.served_in_time(round);
    let surplus = surplus_copies(round, &before);
    let mut best: Option<(f64, Addition)> = None;
    for addition in candidates(round, &before, &surplus) {
        let gain = served_with_addition(round, &addition) - served;
        let unavailable = round.copies[addition.model].iter().all(|c| !c.live)
            && !round.ready_elsewhere(addition.model);
        let benefit = if unavailable {
            f64::MAX
        } else {
            net_benefit(round, gain, addition.moves())
        };
        if benefit > 0.0 && best.as_ref().is_none_or(|b| benefit > b.0) {
            best = Some((benefit, addition));
        }
    }
    best.map(|b| b.1)
}

/// Returns the benefit of an addition over its expected lifetime less its cost, in weighted tokens.
fn net_benefit(round: &Round<'_>, gain: f64, moves: usize) -> f64 {
    let objective = round.input.objective;
    let cost = MOVE_COST_SECONDS * round.input.base_tokens_per_second * moves as f64;
    objective.attainment * gain * REPLICA_LIFETIME_SECONDS - objective.moves * cost
}

/// Returns the tokens per second that are served once an addition has taken effect.
fn served_with_addition(round: &mut Round<'_>, addition: &Addition) -> f64 {
    let victims: &[(usize, usize)] = match &addition.memory {
        MemorySource::Evict(victims) => victims,
        MemorySource::Free | MemorySource::Freeing => &[],
    };
    for &(m, at) in victims {
        round.copies[m][at].state = CopyState::Unloading;
    }
    round.copies[addition.model].push(PlannedCopy {
        worker: addition.worker,
        current: true,
        state: CopyState::Loading,
        live: true,
    });
    let served = LoadDistribution::compute(round).served_in_time(round);
    round.copies[addition.model].pop();
    for &(m, at) in victims {
        round.copies[m][at].state = CopyState::Ready;
    }
    served
}

/// Returns additions of the models with the most unmet demand on the workers with the most spare
/// capacity.
fn candidates(
    round: &Round<'_>,
    distribution: &LoadDistribution,
    surplus: &[Vec<SurplusCopy>],
) -> Vec<Addition> {
    let mut models: Vec<(f64, usize)> = (0..round.copies.len())
        .map(|m| (unmet_demand(round, distribution, m), m))
        .filter(|w| w.0 > 0.0)
        .collect();
    models.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
    models.truncate(MAX_CANDIDATE_MODELS);
    let each = models.into_iter();
    each.flat_map(|(_, m)| candidates_for_model(round, distribution, surplus, m))
        .collect()
}

/// Returns the demand for a model, in tokens per second, that its copies do not serve in time.
fn unmet_demand(round: &Round<'_>, distribution: &LoadDistribution, m: usize) -> f64 {
    let copies = &round.copies[m];
    if copies.iter().any(|c| c.live) {
        return distribution.excess_demand(round, m);
    }
    let demand = round.demand(m);
    if demand.missed_per_second <= 0.0 {
        0.0
    } else if round.ready_elsewhere(m) {
        // Demand served by other data centres counts there; this part was refused here.
        demand.tokens_per_second
    } else {
        f64::MAX
    }
}

fn candidates_for_model(
    round: &Round<'_>,
    distribution: &LoadDistribution,
    surplus: &[Vec<SurplusCopy>],
    m: usize,
) -> Vec<Addition> {
    let mut options: Vec<(f64, Addition)> = (0..round.input.workers.len())
        .filter(|&w| round.input.workers[w].live)
        .filter(|&w| !round.copies[m].iter().any(|c| c.worker == w))
        .filter_map(|w| {
            let (memory, displaced) = find_memory(round, &surplus[w], w, m)?;
            let spare = capacity(round, w) - distribution.per_worker[w] - displaced;
            let addition = Addition {
                model: m,
                worker: w,
                memory,
            };
            Some((spare, addition))
        })
        .collect();
    options.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.worker.cmp(&b.1.worker)));
    options.truncate(MAX_CANDIDATE_WORKERS);
    options.into_iter().map(|o| o.1).collect()
}

/// Copy that is not needed for the floor.
#[derive(Clone, Copy, Debug)]
struct SurplusCopy {
    /// Tokens per second that the copy serves.
    share: f64,
    model: usize,
    /// Index among the model's copies.
    at: usize,
}

/// Returns the surplus copies by worker, in ascending order of the demand that they serve.
fn surplus_copies(round: &Round<'_>, distribution: &LoadDistribution) -> Vec<Vec<SurplusCopy>> {
    let mut by_worker: Vec<Vec<SurplusCopy>> = vec![Vec::new(); round.input.workers.len()];
    for (model, copies) in round.copies.iter().enumerate() {
        if !round.has_surplus(model) {
            continue;
        }
        for (at, copy) in copies.iter().enumerate() {
            if copy.is_serving() && copy.current {
                let share = distribution.per_copy[model][at];
                by_worker[copy.worker].push(SurplusCopy { share, model, at });
            }
        }
    }
    for list in &mut by_worker {
        list.sort_by(|a, b| a.share.total_cmp(&b.share).then(a.model.cmp(&b.model)));
    }
    by_worker
}

/// Finds memory for a copy on a worker.
///
/// Also returns the demand served by the surplus copies that were considered for unloading.
fn find_memory(
    round: &Round<'_>,
    surplus: &[SurplusCopy],
    worker: usize,
    m: usize,
) -> Option<(MemorySource, f64)> {
    let bytes = round.demand(m).bytes.get();
    let mut free = round.free[worker];
    if free >= bytes {
        return Some((MemorySource::Free, 0.0));
    }
    free += round.freeing[worker];
    if free >= bytes {
        return Some((MemorySource::Freeing, 0.0));
    }
    let (mut victims, mut displaced) = (Vec::new(), 0.0);
    for s in surplus.iter().filter(|s| s.model != m) {
        victims.push(*s);
        displaced += s.share;
        free += round.demand(s.model).bytes.get();
        if free >= bytes {
            // Keep small copies that a larger one, selected later, makes unnecessary to unload.
            victims.sort_by_key(|s| Reverse(round.demand(s.model).bytes));
            let mut excess = free - bytes;
            while let Some(last) = victims.last() {
                let size = round.demand(last.model).bytes.get();
                if size > excess {
                    break;
                }
                excess -= size;
                victims.pop();
            }
            let victims = victims.iter().map(|s| (s.model, s.at)).collect();
            return Some((MemorySource::Evict(victims), displaced));
        }
    }
    None
}
