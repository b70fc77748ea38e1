//! Replicas by demand, with hysteresis.
//!
//! Every change is judged by the tokens a second that the data centre serves with it and without
//! it. A change must raise that figure by more than its cost, so repeated rounds can't go round in
//! a circle.

use std::cmp::Reverse;

use crate::{
    balance::{Balance, capacity},
    input::CopyState,
    round::{Round, Spot},
};

/// Seconds for which a replica is expected to be useful.
const LIFE_SECONDS: f64 = 300.0;
/// Worth of one avoided move, as seconds of full work of the slowest worker.
const MOVE_SECONDS: f64 = 50.0;
/// Models that are examined for each load, those with the most unserved demand.
const MODELS: usize = 6;
/// Workers that are examined for each model.
const WORKERS: usize = 4;

/// Orders loads of the replicas whose benefit exceeds their cost, best first.
pub(crate) fn add(round: &mut Round<'_>) {
    while round.loads > 0 {
        let Some(change) = best(round) else {
            return;
        };
        let Room::Evict(victims) = change.room else {
            place(round, &change);
            continue;
        };
        for (m, at) in victims {
            round.unload(m, at);
        }
        defer(round, change.worker, change.model);
    }
}

fn place(round: &mut Round<'_>, change: &Change) {
    if matches!(change.room, Room::Free) {
        round.load(change.worker, change.model);
    } else {
        defer(round, change.worker, change.model);
    }
}

/// Keeps memory and a share of the loads for a copy that waits for unloads.
fn defer(round: &mut Round<'_>, worker: usize, m: usize) {
    round.loads -= 1;
    round.claim(worker, m);
    round.spots[m].push(Spot {
        worker,
        current: true,
        state: CopyState::Loading,
        live: true,
    });
}

/// How a worker has memory for a copy.
#[derive(Clone, Debug)]
enum Room {
    /// Now.
    Free,
    /// When the unloads that are under way are confirmed.
    Freeing,
    /// After surplus copies, given by model and position, are unloaded.
    Evict(Vec<(usize, usize)>),
}

/// Addition of a copy.
#[derive(Clone, Debug)]
struct Change {
    model: usize,
    worker: usize,
    room: Room,
}

impl Change {
    fn moves(&self) -> usize {
        match &self.room {
            Room::Free | Room::Freeing => 1,
            Room::Evict(victims) => 1 + victims.len(),
        }
    }
}

fn best(round: &mut Round<'_>) -> Option<Change> {
    let before = Balance::of(round);
    let served = before.served(round);
    let surplus = surplus(round, &before);
    let mut best: Option<(f64, Change)> = None;
    for change in candidates(round, &before, &surplus) {
        let gain = served_with(round, &change) - served;
        let lost = round.spots[change.model].iter().all(|s| !s.live)
            && !round.ready_elsewhere(change.model);
        let worth = if lost {
            f64::MAX
        } else {
            worth(round, gain, change.moves())
        };
        if worth > 0.0 && best.as_ref().is_none_or(|b| worth > b.0) {
            best = Some((worth, change));
        }
    }
    best.map(|b| b.1)
}

/// Benefit of a change over its expected life less its cost, in weighted tokens.
fn worth(round: &Round<'_>, gain: f64, moves: usize) -> f64 {
    let objective = round.input.objective;
    let cost = MOVE_SECONDS * round.input.base_tokens_per_second * moves as f64;
    objective.attainment * gain * LIFE_SECONDS - objective.moves * cost
}

/// Tokens a second that are served once the change has taken effect.
fn served_with(round: &mut Round<'_>, change: &Change) -> f64 {
    let victims: &[(usize, usize)] = match &change.room {
        Room::Evict(victims) => victims,
        Room::Free | Room::Freeing => &[],
    };
    for &(m, at) in victims {
        round.spots[m][at].state = CopyState::Unloading;
    }
    round.spots[change.model].push(Spot {
        worker: change.worker,
        current: true,
        state: CopyState::Loading,
        live: true,
    });
    let served = Balance::of(round).served(round);
    round.spots[change.model].pop();
    for &(m, at) in victims {
        round.spots[m][at].state = CopyState::Ready;
    }
    served
}

/// Promising additions: the models with the most unserved demand on the workers with most room.
fn candidates(round: &Round<'_>, balance: &Balance, surplus: &[Vec<Surplus>]) -> Vec<Change> {
    let mut wanting: Vec<(f64, usize)> = (0..round.spots.len())
        .map(|m| (wanted(round, balance, m), m))
        .filter(|w| w.0 > 0.0)
        .collect();
    wanting.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
    wanting.truncate(MODELS);
    let each = wanting.into_iter();
    each.flat_map(|(_, m)| on_workers(round, balance, surplus, m))
        .collect()
}

/// Demand of a model that its copies do not serve in time.
fn wanted(round: &Round<'_>, balance: &Balance, m: usize) -> f64 {
    let spots = &round.spots[m];
    if spots.iter().any(|s| s.live) {
        return balance.unserved(round, m);
    }
    let demand = round.demand(m);
    if demand.missed_per_second <= 0.0 {
        0.0
    } else if round.ready_elsewhere(m) {
        // What the other data centres serve is their demand; the rest was refused here.
        demand.tokens_per_second
    } else {
        f64::MAX
    }
}

fn on_workers(
    round: &Round<'_>,
    balance: &Balance,
    surplus: &[Vec<Surplus>],
    m: usize,
) -> Vec<Change> {
    let mut options: Vec<(f64, Change)> = (0..round.input.workers.len())
        .filter(|&w| round.input.workers[w].live)
        .filter(|&w| !round.spots[m].iter().any(|s| s.worker == w))
        .filter_map(|w| {
            let (room, harm) = room(round, &surplus[w], w, m)?;
            let spare = capacity(round, w) - balance.worker[w] - harm;
            let change = Change {
                model: m,
                worker: w,
                room,
            };
            Some((spare, change))
        })
        .collect();
    options.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.worker.cmp(&b.1.worker)));
    options.truncate(WORKERS);
    options.into_iter().map(|o| o.1).collect()
}

/// Copy that neither the floor nor reachability needs.
#[derive(Clone, Copy, Debug)]
struct Surplus {
    /// Tokens a second that it serves.
    share: f64,
    model: usize,
    at: usize,
}

/// Surplus copies per worker, those that serve least first.
fn surplus(round: &Round<'_>, balance: &Balance) -> Vec<Vec<Surplus>> {
    let mut lists: Vec<Vec<Surplus>> = vec![Vec::new(); round.input.workers.len()];
    for (model, spots) in round.spots.iter().enumerate() {
        if !round.has_surplus(model) {
            continue;
        }
        for (at, spot) in spots.iter().enumerate() {
            if spot.serves() && spot.current {
                let share = balance.copy[model][at];
                lists[spot.worker].push(Surplus { share, model, at });
            }
        }
    }
    for list in &mut lists {
        list.sort_by(|a, b| a.share.total_cmp(&b.share).then(a.model.cmp(&b.model)));
    }
    lists
}

/// Finds memory for a copy, and the demand that the copies to be unloaded serve.
fn room(round: &Round<'_>, surplus: &[Surplus], worker: usize, m: usize) -> Option<(Room, f64)> {
    let bytes = round.demand(m).bytes.get();
    let mut free = round.free[worker];
    if free >= bytes {
        return Some((Room::Free, 0.0));
    }
    free += round.freeing[worker];
    if free >= bytes {
        return Some((Room::Freeing, 0.0));
    }
    let (mut victims, mut harm) = (Vec::new(), 0.0);
    for s in surplus.iter().filter(|s| s.model != m) {
        victims.push(*s);
        harm += s.share;
        free += round.demand(s.model).bytes.get();
        if free >= bytes {
            // A larger copy that came later may make smaller ones unnecessary.
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
            return Some((Room::Evict(victims), harm));
        }
    }
    None
}
