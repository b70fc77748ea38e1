//! Invariants of placement from random states.

use place::{CopyState, ModelCopy, PlanInput, Worker, floor, plan};
use proptest::prelude::*;
use types::Bytes;

use crate::fixture::{
    GIB, apply_moves, complete_orders, copy, demand, deployment, input, ready_copies, worker,
};

const MODELS: usize = 6;
const MODEL_GIB: [u64; MODELS] = [8, 12, 16, 20, 24, 32];

fn random_state() -> impl Strategy<Value = CopyState> {
    prop_oneof![
        4 => Just(CopyState::Ready),
        1 => Just(CopyState::Loading),
        1 => Just(CopyState::Unloading),
    ]
}

/// Worker with random copies that fit in its memory.
fn random_worker(at: usize) -> impl Strategy<Value = Worker> {
    let copies = prop::collection::vec((0..MODELS, 1..3_u32, random_state()), 0..5);
    (copies, 40..100_u64, 1..5_u32, prop::bool::weighted(0.85)).prop_map(
        move |(copies, memory, speed, live)| {
            let mut used = 0;
            let mut list: Vec<ModelCopy> = Vec::new();
            for (m, v, state) in copies {
                let copy = copy(m, v, MODEL_GIB[m], state);
                let duplicate = |h: &ModelCopy| h.model == copy.model && h.version == copy.version;
                if used + MODEL_GIB[m] <= memory && !list.iter().any(duplicate) {
                    used += MODEL_GIB[m];
                    list.push(copy);
                }
            }
            list.sort_by(|a, b| (&a.model, &a.version).cmp(&(&b.model, &b.version)));
            Worker {
                live,
                speed: f64::from(speed),
                ..worker(at, memory, list)
            }
        },
    )
}

fn random_input() -> impl Strategy<Value = PlanInput> {
    let workers: Vec<_> = (0..4).map(random_worker).collect();
    let rates = prop::collection::vec((0.0..3_000.0_f64, 1..3_u32), MODELS);
    (workers, rates, 0.1..4.0_f64, 0..4_u32).prop_map(|(workers, rates, moves, loads)| {
        let demand = rates
            .into_iter()
            .enumerate()
            .map(|(m, (rate, v))| demand(m, v, MODEL_GIB[m], rate))
            .collect();
        let mut input = input(workers, demand);
        input.objective.moves = moves;
        input.max_loads = loads;
        input
    })
}

fn used(worker: &Worker) -> Bytes {
    worker.copies.iter().map(|h| h.bytes).sum()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against overcommitted memory and against unloading the last ready copy while orders
    /// are pending.
    #[test]
    fn memory_and_reachability_hold(mut input in random_input(), steps in prop::collection::vec(any::<bool>(), 1..12)) {
        for done in steps {
            let before: Vec<usize> = (0..MODELS).map(|m| ready_copies(&input, m)).collect();
            let moves = plan(&input);
            apply_moves(&mut input, &moves);
            for worker in &input.workers {
                prop_assert!(used(worker) <= worker.memory);
            }
            for (m, before) in before.into_iter().enumerate() {
                prop_assert!(before == 0 || ready_copies(&input, m) > 0, "model {m} lost its last copy");
            }
            if done {
                complete_orders(&mut input);
            }
        }
    }

    /// Guards against rounds that keep returning moves although nothing changes.
    #[test]
    fn rounds_converge(mut input in random_input()) {
        input.max_loads = 2;
        for _ in 0..60 {
            let moves = plan(&input);
            if moves.is_empty() {
                return Ok(());
            }
            apply_moves(&mut input, &moves);
            complete_orders(&mut input);
        }
        prop_assert!(false, "still moving after 60 rounds: {:?}", plan(&input));
    }

    /// Guards against a floor that overcommits a worker or omits a model.
    #[test]
    fn the_floor_fits_and_is_complete(sizes in prop::collection::vec(1..40_u64, 1..30), headroom in 0..40_u64) {
        let deployment = deployment(3, 9, &sizes);
        let Ok(copies) = floor(&deployment, Bytes::new(headroom * GIB)) else {
            prop_assert!(sizes.iter().sum::<u64>() > 9 * 40);
            return Ok(());
        };
        for backend in &deployment.backends {
            let on = copies.iter().filter(|c| c.worker == backend.id);
            let bytes = |m: &types::ModelId| {
                let model = deployment.models.iter().find(|d| d.id == *m);
                model.map(|d| d.bytes).unwrap_or_default()
            };
            prop_assert!(on.map(|c| bytes(&c.model)).sum::<Bytes>() <= backend.memory);
        }
        for m in &deployment.models {
            let count = copies.iter().filter(|c| c.model == m.id).count();
            prop_assert!((1..=2).contains(&count));
        }
    }
}
