//! Placement round of one data centre.

use types::ModelId;

use crate::{
    input::{CopyState, Move, PlanInput},
    replica,
    round::Round,
};

/// Returns the moves to order now.
///
/// The floor has priority over version changes, and these over replicas for demand. A load is
/// returned only if it fits in memory together with everything that the worker holds, loads or has
/// not confirmed as unloaded. The last ready copy of a configured model is not unloaded unless
/// [`PlanInput::ready_elsewhere`] lists the model. Without other changes of the
/// input, repeated rounds converge to a state in which no move is returned.
#[must_use]
pub fn plan(input: &PlanInput) -> Vec<Move> {
    let mut round = Round::new(input);
    unload_unconfigured(&mut round);
    let mut order: Vec<usize> = (0..input.demand.len()).collect();
    // Models without a ready copy in another data centre come first.
    order.sort_by_key(|&m| (round.ready_elsewhere(m), input.demand[m].priority));
    for &m in &order {
        restore_floor(&mut round, m);
    }
    for &m in &order {
        replace_old_versions(&mut round, m);
    }
    replica::add_replicas(&mut round);
    round.moves
}

fn unload_unconfigured(round: &mut Round<'_>) {
    for worker in &round.input.workers {
        for copy in worker.copies.iter().filter(|c| c.state == CopyState::Ready) {
            if round.model_index(&copy.model).is_none() {
                round.moves.push(Move::Unload {
                    worker: worker.id.clone(),
                    model: copy.model.clone(),
                    version: copy.version.clone(),
                });
            }
        }
    }
}

/// Loads copies of a model until as many workers hold it, in any version, as the floor requires.
///
/// The floor fixes the number of copies in the data centre, not their workers: a copy on another
/// worker than the hash selects is as useful, and moving it would only cost a load.
fn restore_floor(round: &mut Round<'_>, m: usize) {
    let required = round.floor[m] as usize;
    let workers_with_copy = |round: &Round<'_>| {
        let copies = round.copies[m].iter();
        let present = copies.filter(|c| c.live && c.state != CopyState::Unloading);
        let mut workers: Vec<usize> = present.map(|c| c.worker).collect();
        workers.sort_unstable();
        workers.dedup();
        workers.len()
    };
    for _ in workers_with_copy(round)..required {
        if let Some(worker) = choose_floor_worker(round, m) {
            round.order_load(worker, m);
        } else if round.remaining_loads > 0 {
            reserve_or_evict(round, m);
        }
    }
}

fn choose_floor_worker(round: &Round<'_>, m: usize) -> Option<usize> {
    let model = &round.demand(m).model;
    let without_copy = |w: &usize| !round.copies[m].iter().any(|c| c.worker == *w);
    let eligible = |w: &usize| round.can_load(*w, m) && without_copy(w);
    floor_workers(round.input, model)
        .find(eligible)
        .or_else(|| worker_with_most_free_memory(round, m, eligible))
}

/// Returns the workers to which the floor assigns a model.
fn floor_workers<'a>(input: &'a PlanInput, model: &'a ModelId) -> impl Iterator<Item = usize> + 'a {
    let placements = input.floor.iter().filter(move |c| c.model == *model);
    placements.filter_map(|c| input.workers.binary_search_by(|w| w.id.cmp(&c.worker)).ok())
}

/// Returns the worker with the most free memory among those that can load the model.
fn worker_with_most_free_memory(
    round: &Round<'_>,
    m: usize,
    eligible: impl Fn(&usize) -> bool,
) -> Option<usize> {
    (0..round.input.workers.len())
        .filter(|w| round.can_load(*w, m) && eligible(w))
        .max_by_key(|&w| (round.free[w], std::cmp::Reverse(w)))
}

/// Reserves memory for a load that does not fit on any worker now.
///
/// If pending unloads do not free enough memory on any worker, surplus copies of other models are
/// unloaded on the worker that needs the fewest unloads.
fn reserve_or_evict(round: &mut Round<'_>, m: usize) {
    let bytes = round.demand(m).bytes.get();
    let usable = |w: &usize| round.input.workers[*w].live && !round.holds_current(*w, m);
    let workers: Vec<usize> = (0..round.free.len()).filter(usable).collect();
    let fits_after_unloads = |w: &usize| round.free[*w] + round.freeing[*w] >= bytes;
    if let Some(worker) = workers.iter().copied().find(fits_after_unloads) {
        round.reserve_memory(worker, m);
        return;
    }
    let plans = workers.into_iter().filter_map(|w| {
        let victims = choose_victims(round, w, bytes)?;
        Some((victims.len(), w, victims))
    });
    if let Some((_, worker, victims)) = plans.min_by_key(|(count, w, _)| (*count, *w)) {
        for (victim, at) in victims {
            round.order_unload(victim, at);
        }
        round.reserve_memory(worker, m);
    }
}

/// Selects surplus copies on a worker, largest first, until unloading them frees enough memory.
fn choose_victims(round: &Round<'_>, worker: usize, bytes: u64) -> Option<Vec<(usize, usize)>> {
    let mut surplus: Vec<(usize, usize)> = (0..round.copies.len())
        .filter_map(|m| surplus_copy_on(round, m, worker).map(|at| (m, at)))
        .collect();
    surplus.sort_by_key(|&(m, _)| std::cmp::Reverse(round.demand(m).bytes));
    let mut free = round.free[worker] + round.freeing[worker];
    let mut chosen = Vec::new();
    for (m, at) in surplus {
        if free >= bytes {
            break;
        }
        free += round.demand(m).bytes.get();
        chosen.push((m, at));
    }
    (free >= bytes).then_some(chosen)
}

/// Returns the index of a ready copy on a worker that is not needed for the floor.
fn surplus_copy_on(round: &Round<'_>, m: usize, worker: usize) -> Option<usize> {
    let at = round.copies[m]
        .iter()
        .position(|c| c.worker == worker && c.is_serving() && c.current)?;
    round.has_surplus(m).then_some(at)
}

/// Replaces the model's copies of other versions by the configured version.
fn replace_old_versions(round: &mut Round<'_>, m: usize) {
    for at in 0..round.copies[m].len() {
        let old = round.copies[m][at];
        if old.is_serving() && !old.current {
            replace_copy(round, m, at, old.worker);
        }
    }
}

fn replace_copy(round: &mut Round<'_>, m: usize, at: usize, worker: usize) {
    let new_copy = round.copies[m]
        .iter()
        .find(|c| c.worker == worker && c.will_serve_current());
    if let Some(new_copy) = new_copy {
        if new_copy.is_serving() {
            round.order_unload(m, at);
        }
        return;
    }
    let ready = round.copies[m]
        .iter()
        .filter(|c| c.will_serve_current() && c.is_serving());
    if ready.count() >= (round.floor[m] as usize).max(1) {
        round.order_unload(m, at);
    } else if round.can_load(worker, m) {
        round.order_load(worker, m);
    } else if !has_pending_order(round, m) {
        replace_without_free_memory(round, m, at);
    }
}

/// Returns whether a copy of the model is being loaded or unloaded.
fn has_pending_order(round: &Round<'_>, m: usize) -> bool {
    round.copies[m]
        .iter()
        .any(|c| c.live && c.state != CopyState::Ready)
}

/// Replaces an old copy on a worker without memory for a second version.
fn replace_without_free_memory(round: &mut Round<'_>, m: usize, at: usize) {
    if let Some(other) = worker_with_most_free_memory(round, m, |_| true) {
        round.order_load(other, m);
    } else if round.remaining_loads > 0 && (round.serving_copies(m) > 1 || round.ready_elsewhere(m))
    {
        // The load that follows the unload counts against the limit of this round.
        round.remaining_loads -= 1;
        round.order_unload(m, at);
        round.reserve_memory(round.copies[m][at].worker, m);
    } else if round.remaining_loads > 0 {
        reserve_or_evict(round, m);
    }
}
