//! Deployments, inputs, and the effects of moves.

use config::{BackendServer, DataCentre, Deployment, Model, Objective, Priority};
use place::{CopyState, Demand, ModelCopy, Move, Placement, PlanInput, Worker};
use types::{Bytes, ModelId, VersionTag};

pub const GIB: u64 = 1 << 30;

/// Deployment with workers of 80 GiB, distributed round-robin over the data centres.
pub fn deployment(dcs: usize, workers: usize, model_gib: &[u64]) -> Deployment {
    let dc = |at: usize| format!("dc{}", at % dcs).parse().expect("a valid name");
    Deployment {
        data_centres: (0..dcs)
            .map(|at| DataCentre {
                id: dc(at),
                region: "r".parse().expect("a valid name"),
            })
            .collect(),
        models: model_gib
            .iter()
            .enumerate()
            .map(|(at, gib)| Model {
                id: model(at),
                version: version(1),
                service: "chat".parse().expect("a valid name"),
                bytes: Bytes::new(gib * GIB),
                priority: Priority::new(1),
            })
            .collect(),
        backends: (0..workers)
            .map(|at| BackendServer {
                id: worker_name(at).parse().expect("a valid name"),
                dc: dc(at),
                service: "chat".parse().expect("a valid name"),
                memory: Bytes::new(80 * GIB),
                adapter_pool: Bytes::ZERO,
                accelerators: 1,
                speed: 1.0,
                max_in_flight: 16,
                fences: false,
            })
            .collect(),
        ..Deployment::default()
    }
}

pub fn worker_name(at: usize) -> String {
    format!("w{at:04}")
}

pub fn model(at: usize) -> ModelId {
    format!("m{at:04}").parse().expect("a valid name")
}

pub fn version(n: u32) -> VersionTag {
    format!("v{n}").parse().expect("a valid name")
}

pub fn copy(model_at: usize, v: u32, gib: u64, state: CopyState) -> ModelCopy {
    ModelCopy {
        model: model(model_at),
        version: version(v),
        bytes: Bytes::new(gib * GIB),
        state,
    }
}

/// Live worker of speed 1.
pub fn worker(at: usize, memory_gib: u64, copies: Vec<ModelCopy>) -> Worker {
    Worker {
        id: worker_name(at).parse().expect("a valid name"),
        dc: "dc0".parse().expect("a valid name"),
        memory: Bytes::new(memory_gib * GIB),
        accelerators: 1,
        speed: 1.0,
        live: true,
        copies,
    }
}

pub fn demand(at: usize, v: u32, gib: u64, tokens_per_second: f64) -> Demand {
    Demand {
        model: model(at),
        version: version(v),
        bytes: Bytes::new(gib * GIB),
        priority: 1,
        tokens_per_second,
        missed_per_second: 0.0,
    }
}

/// Input with a floor of one copy per model, on a worker that holds it or else on the first one.
pub fn input(workers: Vec<Worker>, demand: Vec<Demand>) -> PlanInput {
    let floor = demand.iter().map(|d| {
        let holds = |w: &&Worker| w.copies.iter().any(|c| c.model == d.model);
        Placement {
            worker: workers.iter().find(holds).unwrap_or(&workers[0]).id.clone(),
            model: d.model.clone(),
        }
    });
    let mut floor: Vec<Placement> = floor.collect();
    floor.sort();
    PlanInput {
        objective: Objective {
            attainment: 1.0,
            moves: 1.0,
        },
        floor,
        workers,
        demand,
        ready_elsewhere: Vec::new(),
        base_tokens_per_second: 1_000.0,
        max_loads: 2,
    }
}

/// Applies the moves of a round as pending orders, which occupy memory until `complete_orders`.
pub fn apply_moves(input: &mut PlanInput, moves: &[Move]) {
    for m in moves {
        let worker = input.workers.iter_mut().find(|w| match m {
            Move::Load { worker, .. } | Move::Unload { worker, .. } => w.id == *worker,
        });
        let copies = &mut worker.expect("the worker of a move is in the input").copies;
        match m {
            Move::Load {
                model,
                version,
                bytes,
                ..
            } => copies.push(ModelCopy {
                model: model.clone(),
                version: version.clone(),
                bytes: *bytes,
                state: CopyState::Loading,
            }),
            Move::Unload { model, version, .. } => {
                let copy = copies
                    .iter_mut()
                    .find(|c| c.model == *model && c.version == *version);
                let copy = copy.expect("only copies on the worker are unloaded");
                assert_eq!(copy.state, CopyState::Ready);
                copy.state = CopyState::Unloading;
            }
        }
        copies.sort_by(|a, b| (&a.model, &a.version).cmp(&(&b.model, &b.version)));
    }
}

/// Completes all pending orders.
pub fn complete_orders(input: &mut PlanInput) {
    for worker in &mut input.workers {
        worker.copies.retain(|c| c.state != CopyState::Unloading);
        for copy in &mut worker.copies {
            copy.state = CopyState::Ready;
        }
    }
}

/// Runs rounds until one returns no move, but at most `rounds`, and returns all moves.
pub fn run_rounds(input: &mut PlanInput, rounds: usize) -> Vec<Move> {
    let mut all = Vec::new();
    for _ in 0..rounds {
        let moves = place::plan(input);
        if moves.is_empty() {
            break;
        }
        apply_moves(input, &moves);
        complete_orders(input);
        all.extend(moves);
    }
    all
}

/// Number of ready copies of a model on live workers.
pub fn ready_copies(input: &PlanInput, at: usize) -> usize {
    let live = input.workers.iter().filter(|w| w.live);
    live.flat_map(|w| &w.copies)
        .filter(|c| c.model == model(at) && c.state == CopyState::Ready)
        .count()
}
