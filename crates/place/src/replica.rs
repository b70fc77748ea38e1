//! Replicas by demand, with hysteresis.

use crate::{input::CopyState, plan::surplus_at, round::Round};

/// Share of a worker's capacity above which its load counts as excess.
const HIGH_LOAD: f64 = 0.8;
/// Share of a worker's capacity that a new replica may fill it to.
const TARGET_LOAD: f64 = 0.7;
/// Seconds for which a replica is expected to be useful.
const LIFE_SECONDS: f64 = 300.0;
/// Worth of one avoided move, as seconds of full work of the slowest worker.
const MOVE_SECONDS: f64 = 20.0;
/// Rounds of balancing the demand over the copies.
const BALANCE_ROUNDS: usize = 6;

/// Orders loads of the replicas whose benefit exceeds their cost, best first.
pub(crate) fn add(round: &mut Round<'_>) {
    while round.loads > 0 {
        let load = Load::of(round);
        let Some(choice) = best(round, &load) else {
            return;
        };
        if choice.victims.is_empty() {
            round.load(choice.worker, choice.model);
        } else {
            round.loads -= 1;
            for (m, at) in choice.victims {
                round.unload(m, at);
            }
        }
    }
}

/// Demand divided over the copies.
struct Load {
    /// Tokens a second per worker.
    worker: Vec<f64>,
    /// Tokens a second per model and copy, in the order of the model's copies.
    copy: Vec<Vec<f64>>,
}

impl Load {
    fn of(round: &Round<'_>) -> Self {
        let mut load = Self {
            worker: vec![0.0; round.input.workers.len()],
            copy: round.spots.iter().map(|s| vec![0.0; s.len()]).collect(),
        };
        for _ in 0..BALANCE_ROUNDS {
            for m in 0..round.spots.len() {
                load.divide(round, m);
            }
        }
        load
    }

    /// Divides a model's demand over its copies by the capacity that the other models leave.
    fn divide(&mut self, round: &Round<'_>, m: usize) {
        let spots = &round.spots[m];
        for (spot, share) in spots.iter().zip(&mut self.copy[m]) {
            self.worker[spot.worker] -= *share;
            *share = 0.0;
        }
        let weight = |w: usize, load: &[f64]| {
            let capacity = capacity(round, w);
            (capacity - load[w]).max(0.01 * capacity)
        };
        let usable = spots
            .iter()
            .enumerate()
            .filter(|(_, s)| s.live && s.state != CopyState::Unloading);
        let weights: Vec<(usize, usize, f64)> = usable
            .map(|(at, s)| (at, s.worker, weight(s.worker, &self.worker)))
            .collect();
        let total: f64 = weights.iter().map(|(.., w)| w).sum();
        for (at, worker, weight) in weights {
            let share = round.demand(m).tokens_per_second * weight / total;
            self.copy[m][at] = share;
            self.worker[worker] += share;
        }
    }
}

fn capacity(round: &Round<'_>, worker: usize) -> f64 {
    round.input.base_tokens_per_second * round.input.workers[worker].speed
}

struct Choice {
    model: usize,
    worker: usize,
    victims: Vec<(usize, usize)>,
    worth: f64,
}

fn best(round: &Round<'_>, load: &Load) -> Option<Choice> {
    let mut best: Option<Choice> = None;
    for m in 0..round.spots.len() {
        let relief = relief(round, load, m);
        if relief <= 0.0 {
            continue;
        }
        let worker = target(round, load, m, relief);
        if let Some(choice) = worker
            && best.as_ref().is_none_or(|b| choice.worth > b.worth)
        {
            best = Some(choice);
        }
    }
    best
}

/// Tokens a second that another copy could take from overloaded workers.
fn relief(round: &Round<'_>, load: &Load, m: usize) -> f64 {
    let demand = round.demand(m);
    let spots = &round.spots[m];
    if spots.iter().any(|s| s.state != CopyState::Ready) {
        return 0.0;
    }
    if spots.is_empty() {
        let lost = demand.missed_per_second > 0.0 && !round.ready_elsewhere(m);
        return if lost { f64::MAX } else { 0.0 };
    }
    let over = spots.iter().zip(&load.copy[m]).map(|(s, share)| {
        let excess = load.worker[s.worker] - HIGH_LOAD * capacity(round, s.worker);
        excess.clamp(0.0, *share)
    });
    over.sum()
}

fn target(round: &Round<'_>, load: &Load, m: usize, relief: f64) -> Option<Choice> {
    let lost = round.spots[m].is_empty();
    let mut best: Option<Choice> = None;
    for w in 0..round.input.workers.len() {
        let headroom = TARGET_LOAD * capacity(round, w) - load.worker[w];
        let held = round.spots[m].iter().any(|s| s.worker == w);
        if held || !round.input.workers[w].live || (headroom <= 0.0 && !lost) {
            continue;
        }
        let Some((victims, harm)) = room(round, load, w, m) else {
            continue;
        };
        let gain = relief.min(headroom) - harm;
        let worth = if lost {
            f64::MAX
        } else {
            worth(round, gain, 1 + victims.len())
        };
        if worth > 0.0 && best.as_ref().is_none_or(|b| worth > b.worth) {
            best = Some(Choice {
                model: m,
                worker: w,
                victims,
                worth,
            });
        }
    }
    best
}

/// Benefit of a move over its expected life less its cost, in weighted tokens.
fn worth(round: &Round<'_>, gain: f64, moves: usize) -> f64 {
    let objective = round.input.objective;
    let cost = MOVE_SECONDS * round.input.base_tokens_per_second * moves as f64;
    objective.attainment * gain * LIFE_SECONDS - objective.moves * cost
}

/// Surplus copies to unload for a replica, and the demand that they serve.
fn room(
    round: &Round<'_>,
    load: &Load,
    worker: usize,
    m: usize,
) -> Option<(Vec<(usize, usize)>, f64)> {
    let bytes = round.demand(m).bytes.get();
    let mut free = round.free[worker];
    if free >= bytes {
        return Some((Vec::new(), 0.0));
    }
    let mut surplus: Vec<(f64, usize, usize)> = (0..round.spots.len())
        .filter_map(|v| surplus_at(round, v, worker).map(|at| (load.copy[v][at], v, at)))
        .collect();
    surplus.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut victims = Vec::new();
    let mut harm = 0.0;
    for (share, v, at) in surplus {
        victims.push((v, at));
        harm += share;
        free += round.demand(v).bytes.get();
        if free >= bytes {
            return Some((victims, harm));
        }
    }
    None
}
