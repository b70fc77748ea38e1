//! Placement over all workers of a service: reactions to load patterns.

use config::{EngineSpec, ModelSpec};
use place::{FleetChange, FleetDemand, FleetInput, FleetWorker, plan_fleet};
use types::{BackendId, Bytes, Micros, ModelId, ServedModel, WorkerState};

const GB: u64 = 1_000_000_000;

fn model(id: &str) -> ModelId {
    id.parse().expect("a valid name")
}

fn engine(models: &[&str]) -> EngineSpec {
    let spec = |id: &&str| ModelSpec {
        id: model(id),
        bytes: Bytes::new(70 * GB),
        load: Micros::from_millis(1_200),
        load_from_disk: Micros::from_millis(400),
        adapters: 0,
        adapter_bytes: Bytes::ZERO,
    };
    EngineSpec {
        slots: 64,
        cache_tokens: 280_000,
        memory: Bytes::new(230 * GB),
        adapter_slots: 8,
        loads_per_second: 1.4,
        models: models.iter().map(spec).collect(),
    }
}

struct Worker {
    id: BackendId,
    state: WorkerState,
    load: f64,
}

fn worker(id: &str, held: &[&str], on_disk: &[&str]) -> Worker {
    let held = held.iter().map(|m| ServedModel {
        id: model(m),
        adapters: Vec::new(),
    });
    Worker {
        id: id.parse().expect("a valid name"),
        state: WorkerState {
            models: held.collect(),
            on_disk: on_disk.iter().map(|m| model(m)).collect(),
            ..WorkerState::default()
        },
        load: 0.0,
    }
}

fn need(id: &str, offered_load: f64) -> FleetDemand {
    FleetDemand {
        model: model(id),
        offered_load,
        waiting: false,
        recently_requested: true,
    }
}

fn plan(
    engine: &EngineSpec,
    workers: &[Worker],
    demand: &[FleetDemand],
    store_load_budget: u32,
) -> Vec<FleetChange> {
    let resident_ids =
        |w: &'_ Worker| -> Vec<ModelId> { w.state.models.iter().map(|m| m.id.clone()).collect() };
    let held: Vec<Vec<ModelId>> = workers.iter().map(resident_ids).collect();
    let workers = workers.iter().zip(&held).map(|(w, held)| FleetWorker {
        id: &w.id,
        schedulable: true,
        accepts_orders: true,
        models: held.iter().collect(),
        used_memory: Bytes::new(70 * GB * held.len() as u64),
        state: &w.state,
        utilization: w.load,
        recently_loaded: None,
    });
    plan_fleet(&FleetInput {
        engine,
        workers: workers.collect(),
        demand,
        store_load_budget,
    })
}

fn load(worker: &str, id: &str, from_store: bool) -> FleetChange {
    FleetChange::Load {
        worker: worker.parse().expect("a valid name"),
        model: model(id),
        from_store,
    }
}

/// Guards against a rarely used model that is not loaded although requests wait and a worker has
/// a copy of the weights on its disk.
#[test]
fn a_missing_model_with_waiting_requests_is_loaded_from_a_local_disk() {
    let engine = engine(&["m1", "m2"]);
    let workers = [worker("w1", &["m1"], &[]), worker("w2", &["m1"], &["m2"])];
    let waiting = FleetDemand {
        waiting: true,
        ..need("m2", 0.0)
    };

    let plan = plan(&engine, &workers, &[need("m1", 0.1), waiting], 0);

    assert_eq!(plan, [load("w2", "m2", false)]);
}

/// Guards against more loads from the weight store than its budget allows.
#[test]
fn loads_from_the_weight_store_stay_within_the_budget() {
    let engine = engine(&["m1", "m2", "m3"]);
    let workers = [worker("w1", &["m1"], &[]), worker("w2", &[], &[])];
    let needs = [need("m2", 0.2), need("m3", 0.2)];

    let none = plan(&engine, &workers, &needs, 0);
    let one = plan(&engine, &workers, &needs, 1);

    assert!(none.is_empty());
    assert_eq!(one.len(), 1);
}

/// Guards against overcommitted memory when the memory for adapters is included.
#[test]
fn a_model_is_not_loaded_beside_three_that_fill_the_memory() {
    let engine = engine(&["m1", "m2", "m3", "m4"]);
    let workers = [worker("w1", &["m1", "m2", "m3"], &["m4"])];

    let plan = plan(&engine, &workers, &[need("m1", 2.0)], 5);

    assert!(plan.iter().all(|c| !matches!(c, FleetChange::Load { .. })));
}

/// Guards against a model that stays overloaded after the demand has shifted to it, while another
/// worker holds an idle copy of a different model.
#[test]
fn an_overloaded_model_evicts_a_surplus_copy() {
    let engine = engine(&["m1", "m2", "m3"]);
    let workers = [
        worker("w1", &["m1", "m2", "m3"], &[]),
        worker("w2", &["m2", "m3"], &[]),
    ];
    let full = [
        workers[0].state.clone(),
        worker("w2", &["m2", "m3"], &["m1"]).state,
    ];
    let workers: Vec<Worker> = workers
        .into_iter()
        .zip(full)
        .map(|(w, state)| Worker { state, ..w })
        .collect();

    let plan = plan(&engine, &workers, &[need("m1", 0.9)], 5);

    assert_eq!(plan, [load("w2", "m1", false)]);
}

/// Guards against thrashing by requests for rarely used models a few seconds apart: if the only
/// copy of such a model is evicted, each request costs a load, which evicts the next model.
#[test]
fn the_only_copy_of_a_recently_requested_model_is_not_evicted_for_a_busy_one() {
    let engine = engine(&["m1", "m2", "m3", "m4"]);
    let workers = [
        worker("w1", &["m1", "m2", "m3"], &[]),
        worker("w2", &["m1", "m4"], &["m1"]),
    ];
    let needs = [
        need("m1", 0.6),
        need("m2", 0.0),
        need("m3", 0.0),
        need("m4", 0.0),
    ];

    let plan = plan(&engine, &workers, &needs, 5);

    assert!(
        plan.iter()
            .all(|c| !matches!(c, FleetChange::Unload { .. })),
        "{plan:?}"
    );
}

/// Guards against latency targets that are missed below full load: with two copies each busy a
/// quarter of the time, streams are already delayed by the prompts of other requests.
#[test]
fn a_popular_model_evicts_a_surplus_copy_before_its_workers_are_overloaded() {
    let engine = engine(&["m1", "m2", "m3", "m4", "m5", "m6"]);
    let workers = [
        worker("w1", &["m1", "m3", "m4"], &[]),
        worker("w2", &["m1", "m5", "m6"], &[]),
        worker("w3", &["m2", "m3", "m4"], &["m1"]),
        worker("w4", &["m2", "m5", "m6"], &[]),
    ];

    let plan = plan(&engine, &workers, &[need("m1", 0.4)], 0);

    assert!(
        matches!(plan[..], [FleetChange::Unload { ref worker, .. }] if worker.as_str() == "w3"),
        "{plan:?}"
    );
}

/// Guards against empty workers that take over load one model after the other, because most loads that the
/// weight store serves at once are kept free for missing models: after most workers were replaced, two
/// overloaded ones served nearly all requests for ten seconds.
#[test]
fn overloaded_models_get_copies_on_empty_workers_two_at_a_time() {
    let engine = engine(&["m1", "m2", "m3", "m4"]);
    let mut busy = worker("w1", &["m1", "m2", "m3"], &[]);
    busy.load = 2.0;
    let workers = [busy, worker("w2", &[], &[]), worker("w3", &[], &[])];
    let needs = [need("m1", 1.0), need("m2", 1.0)];

    let three = plan(&engine, &workers, &needs, 3);
    let one = plan(&engine, &workers, &needs, 1);
    let missing = FleetDemand {
        waiting: true,
        ..need("m4", 0.0)
    };
    let urgent = plan(&engine, &workers, &[missing], 1);

    assert_eq!(three.len(), 2, "{three:?}");
    assert!(one.is_empty(), "{one:?}");
    assert_eq!(urgent.len(), 1, "{urgent:?}");
}
