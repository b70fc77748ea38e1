//! Placement rounds of one data centre.

use place::{CopyState, Move, PlanInput, plan};

use crate::fixture::{
    apply_moves, complete_orders, copy, demand, input, model, ready_copies, run_rounds, worker,
};

fn loads(moves: &[Move]) -> usize {
    moves
        .iter()
        .filter(|m| matches!(m, Move::Load { .. }))
        .count()
}

/// Two workers of 80 GiB, the first of which holds two models of 20 GiB.
fn two_workers(tokens: [f64; 2]) -> PlanInput {
    let first = vec![
        copy(0, 1, 20, CopyState::Ready),
        copy(1, 1, 20, CopyState::Ready),
    ];
    input(
        vec![worker(0, 80, first), worker(1, 80, Vec::new())],
        vec![demand(0, 1, 20, tokens[0]), demand(1, 1, 20, tokens[1])],
    )
}

/// Guards against unnecessary moves.
#[test]
fn nothing_is_ordered_when_the_floor_holds_and_demand_is_low() {
    assert!(plan(&two_workers([100.0, 100.0])).is_empty());
}

/// Guards against a model that misses its deadlines while another worker is idle.
#[test]
fn a_replica_is_added_for_lasting_demand() {
    let mut input = two_workers([900.0, 600.0]);
    let moves = run_rounds(&mut input, 10);
    assert_eq!(loads(&moves), 1);
    assert_eq!(moves.len(), 1);
}

/// Guards against moves whose benefit does not cover their cost.
#[test]
fn a_high_weight_of_moves_prevents_a_replica() {
    let mut input = two_workers([450.0, 400.0]);
    input.objective.moves = 10.0;
    assert!(plan(&input).is_empty());
    input.objective.moves = 0.1;
    assert_eq!(loads(&plan(&input)), 1);
}

/// Guards against replicas that oscillate with the demand.
#[test]
fn falling_demand_removes_nothing() {
    let mut input = two_workers([900.0, 600.0]);
    run_rounds(&mut input, 10);
    for demand in &mut input.demand {
        demand.tokens_per_second = 10.0;
    }
    assert!(plan(&input).is_empty());
}

/// Guards against a model that has no copy after its worker has left.
#[test]
fn the_floor_of_a_dead_or_leaving_worker_is_restored_elsewhere() {
    let mut input = two_workers([100.0, 100.0]);
    input.workers[0].live = false;
    run_rounds(&mut input, 10);
    assert_eq!((ready_copies(&input, 0), ready_copies(&input, 1)), (1, 1));
}

/// Guards against more concurrent loads than the weight store supports.
#[test]
fn a_round_orders_no_more_loads_than_allowed() {
    let mut input = two_workers([100.0, 100.0]);
    input.workers[0].live = false;
    input.max_loads = 1;
    assert_eq!(loads(&plan(&input)), 1);
}

/// Guards against a version change during which a model has no ready copy.
#[test]
fn a_new_version_is_loaded_before_the_old_one_is_unloaded() {
    let mut input = two_workers([100.0, 100.0]);
    input.demand[0] = demand(0, 2, 20, 100.0);
    let first = plan(&input);
    assert!(matches!(&*first, [Move::Load { version, .. }] if version.as_str() == "v2"));
    apply_moves(&mut input, &first);
    assert!(plan(&input).is_empty(), "the new version is not ready yet");
    complete_orders(&mut input);
    let second = plan(&input);
    assert!(matches!(&*second, [Move::Unload { version, .. }] if version.as_str() == "v1"));
}

/// Guards against an unload of the last ready copy where the new version does not fit.
#[test]
fn without_memory_the_old_version_stays_until_another_copy_is_ready() {
    let full = |at| worker(at, 30, vec![copy(0, 1, 20, CopyState::Ready)]);
    let mut alone = input(vec![full(0)], vec![demand(0, 2, 20, 100.0)]);
    assert!(plan(&alone).is_empty());
    alone.ready_elsewhere = vec![model(0)];
    assert_eq!(plan(&alone).len(), 1);
    let mut two = input(vec![full(0), full(1)], vec![demand(0, 2, 20, 100.0)]);
    for _ in 0..8 {
        let moves = plan(&two);
        apply_moves(&mut two, &moves);
        assert!(ready_copies(&two, 0) >= 1);
        complete_orders(&mut two);
    }
    let versions = two
        .workers
        .iter()
        .flat_map(|w| &w.copies)
        .map(|h| h.version.as_str());
    assert!(versions.collect::<Vec<_>>().contains(&"v2"));
    assert!(plan(&two).is_empty());
}

/// Guards against a replica that occupies the memory which a model without a copy needs.
#[test]
fn a_replica_is_evicted_for_the_floor() {
    let both = |at| worker(at, 40, vec![copy(0, 1, 20, CopyState::Ready)]);
    let mut input = input(
        vec![both(0), both(1)],
        vec![demand(0, 1, 20, 1.0), demand(1, 1, 40, 1.0)],
    );
    run_rounds(&mut input, 10);
    assert_eq!((ready_copies(&input, 0), ready_copies(&input, 1)), (1, 1));
}

/// Guards against a model that stays in memory after its removal from the file.
#[test]
fn a_model_that_is_not_configured_is_unloaded() {
    let mut input = two_workers([1.0, 1.0]);
    input.demand.remove(1);
    input.floor.retain(|c| c.model != model(1));
    assert!(matches!(&*plan(&input), [Move::Unload { model: m, .. }] if *m == model(1)));
}
