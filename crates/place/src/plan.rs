//! One placement round of a data centre.

use types::ModelId;

use crate::{
    input::{CopyState, Move, PlanInput},
    replica,
    round::Round,
};

/// Returns the moves to order now.
///
/// The floor comes first, then new versions, then replicas by demand. A load is returned only if
/// it fits beside everything that the worker holds, loads and has not confirmed as unloaded. The
/// last ready copy of a model is never unloaded. Without a change of the input, repeated rounds
/// end in a state for which no move is returned.
#[must_use]
pub fn plan(input: &PlanInput) -> Vec<Move> {
    let mut round = Round::new(input);
    unload_unconfigured(&mut round);
    let mut order: Vec<usize> = (0..input.demand.len()).collect();
    // A model without a copy anywhere goes before the second copy of another.
    order.sort_by_key(|&m| (round.ready_elsewhere(m), input.demand[m].priority));
    for &m in &order {
        restore_floor(&mut round, m);
    }
    for &m in &order {
        replace_versions(&mut round, m);
    }
    replica::add(&mut round);
    round.moves
}

fn unload_unconfigured(round: &mut Round<'_>) {
    for worker in &round.input.workers {
        for held in worker.copies.iter().filter(|h| h.state == CopyState::Ready) {
            if round.model(&held.model).is_none() {
                round.moves.push(Move::Unload {
                    worker: worker.id.clone(),
                    model: held.model.clone(),
                    version: held.version.clone(),
                });
            }
        }
    }
}

/// Loads the copies that the floor asks for and that no live worker holds in any version.
///
/// The floor counts copies in the data centre, not on particular workers: a copy elsewhere than
/// the hash ranks it serves as well, and relocating it would be a move without a benefit.
fn restore_floor(round: &mut Round<'_>, m: usize) {
    let wanted = round.floor[m] as usize;
    let held = |round: &Round<'_>| {
        let spots = round.spots[m].iter();
        let kept = spots.filter(|s| s.live && s.state != CopyState::Unloading);
        let mut workers: Vec<usize> = kept.map(|s| s.worker).collect();
        workers.sort_unstable();
        workers.dedup();
        workers.len()
    };
    for _ in held(round)..wanted {
        if let Some(worker) = floor_target(round, m) {
            round.load(worker, m);
        } else if round.loads > 0 {
            make_room(round, m);
        }
    }
}

fn floor_target(round: &Round<'_>, m: usize) -> Option<usize> {
    let model = &round.demand(m).model;
    let free_of = |w: &usize| !round.spots[m].iter().any(|s| s.worker == *w);
    let can = |w: &usize| round.can_load(*w, m) && free_of(w);
    ranked_workers(round.input, model)
        .find(can)
        .or_else(|| roomiest(round, m, can))
}

/// Workers that the floor names for a model.
fn ranked_workers<'a>(
    input: &'a PlanInput,
    model: &'a ModelId,
) -> impl Iterator<Item = usize> + 'a {
    let named = input.floor.iter().filter(move |c| c.model == *model);
    named.filter_map(|c| input.workers.binary_search_by(|w| w.id.cmp(&c.worker)).ok())
}

/// Worker with the most free memory among those that can load the model.
fn roomiest(round: &Round<'_>, m: usize, can: impl Fn(&usize) -> bool) -> Option<usize> {
    (0..round.input.workers.len())
        .filter(|w| round.can_load(*w, m) && can(w))
        .max_by_key(|&w| (round.free[w], std::cmp::Reverse(w)))
}

/// Sets memory aside for a load that finds none free.
///
/// If no unload under way frees enough, surplus copies of other models are unloaded on the worker
/// where that takes the fewest unloads.
fn make_room(round: &mut Round<'_>, m: usize) {
    let bytes = round.demand(m).bytes.get();
    let usable = |w: &usize| round.input.workers[*w].live && !round.holds_current(*w, m);
    let workers: Vec<usize> = (0..round.free.len()).filter(usable).collect();
    let waits = |w: &usize| round.free[*w] + round.freeing[*w] >= bytes;
    if let Some(worker) = workers.iter().copied().find(waits) {
        round.claim(worker, m);
        return;
    }
    let plans = workers.into_iter().filter_map(|w| {
        let victims = victims(round, w, bytes)?;
        Some((victims.len(), w, victims))
    });
    if let Some((_, worker, victims)) = plans.min_by_key(|(count, w, _)| (*count, *w)) {
        for (victim, at) in victims {
            round.unload(victim, at);
        }
        round.claim(worker, m);
    }
}

/// Surplus copies on a worker whose unloading frees the given memory, largest first.
fn victims(round: &Round<'_>, worker: usize, bytes: u64) -> Option<Vec<(usize, usize)>> {
    let mut surplus: Vec<(usize, usize)> = (0..round.spots.len())
        .filter_map(|m| surplus_at(round, m, worker).map(|at| (m, at)))
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

/// Position of a ready copy on the worker that neither the floor nor reachability needs.
fn surplus_at(round: &Round<'_>, m: usize, worker: usize) -> Option<usize> {
    let at = round.spots[m]
        .iter()
        .position(|s| s.worker == worker && s.serves() && s.current)?;
    round.has_surplus(m).then_some(at)
}

/// Brings the model's copies to the version in force.
fn replace_versions(round: &mut Round<'_>, m: usize) {
    for at in 0..round.spots[m].len() {
        let old = round.spots[m][at];
        if old.serves() && !old.current {
            replace(round, m, at, old.worker);
        }
    }
}

fn replace(round: &mut Round<'_>, m: usize, at: usize, worker: usize) {
    let beside = round.spots[m]
        .iter()
        .find(|s| s.worker == worker && s.counts());
    if let Some(beside) = beside {
        if beside.serves() {
            round.unload(m, at);
        }
        return;
    }
    let ready = round.spots[m].iter().filter(|s| s.counts() && s.serves());
    if ready.count() >= (round.floor[m] as usize).max(1) {
        round.unload(m, at);
    } else if round.can_load(worker, m) {
        round.load(worker, m);
    } else if !in_transit(round, m) {
        swap(round, m, at);
    }
}

/// Tells whether a copy of the model is being loaded or unloaded.
fn in_transit(round: &Round<'_>, m: usize) -> bool {
    round.spots[m]
        .iter()
        .any(|s| s.live && s.state != CopyState::Ready)
}

/// Replaces an old copy where the new version does not fit beside it.
fn swap(round: &mut Round<'_>, m: usize, at: usize) {
    if let Some(other) = roomiest(round, m, |_| true) {
        round.load(other, m);
    } else if round.loads > 0 && (round.serving(m) > 1 || round.ready_elsewhere(m)) {
        // The load that follows the unload takes its share of this round's loads.
        round.loads -= 1;
        round.unload(m, at);
        round.claim(round.spots[m][at].worker, m);
    } else if round.loads > 0 {
        make_room(round, m);
    }
}
