//! The placement over all workers, against workers that answer, lose and delay orders.

use std::collections::VecDeque;

use config::{EngineSpec, ModelSpec, RoutedService};
use control::{Fleet, FleetAction, FleetEvent, PlacementRequest, WorkerOrder};
use orders::SequencedOutcome;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use types::{
    AdapterId, BackendId, Bytes, Epoch, HeldModel, Incarnation, Instant, Micros, ModelId, OrderOp,
    Registration, WorkerState,
};

const GB: u64 = 1_000_000_000;
const MEMORY: u64 = 230 * GB;
const MODEL: u64 = 70 * GB;
const ADAPTER_SLOTS: usize = 2;
const WINDOW: Micros = Micros::from_secs(5);
const LOADS_PER_SECOND: f64 = 1.4;

fn model(id: &str) -> ModelId {
    id.parse().expect("a name")
}

fn want(model: ModelId, adapter: Option<AdapterId>) -> PlacementRequest {
    let on = None;
    PlacementRequest {
        model,
        adapter,
        worker: on,
    }
}

fn services() -> Vec<RoutedService> {
    let spec = |at: usize| ModelSpec {
        id: model(&format!("m{at}")),
        bytes: Bytes::new(MODEL),
        load: Micros::from_millis(1_200),
        load_from_disk: Micros::from_millis(400),
        adapters: 4,
        adapter_bytes: Bytes::new(GB),
    };
    vec![RoutedService {
        name: "chat".parse().expect("a name"),
        connections: 100,
        engine: Some(EngineSpec {
            slots: 64,
            cache_tokens: 280_000,
            memory: Bytes::new(MEMORY),
            adapter_slots: 2,
            loads_per_second: LOADS_PER_SECOND,
            models: (1..=6).map(spec).collect(),
        }),
    }]
}

/// Worker that follows the rules of orders and notes what would break them.
struct Worker {
    id: BackendId,
    state: WorkerState,
    /// Load or unload under way with the instant of its end.
    under_way: Option<(WorkerOrder, Instant)>,
    late: VecDeque<(Instant, WorkerOrder)>,
}

impl Worker {
    fn new(id: &str, held: &[&str]) -> Self {
        let held = held.iter().map(|m| HeldModel {
            id: model(m),
            adapters: Vec::new(),
        });
        Self {
            id: id.parse().expect("a name"),
            state: WorkerState {
                incarnation: Incarnation::new(1),
                models: held.collect(),
                ..WorkerState::default()
            },
            under_way: None,
            late: VecDeque::new(),
        }
    }

    fn registration(&self) -> Registration {
        Registration {
            id: self.id.clone(),
            service: "chat".parse().expect("a name"),
            addr: "10.0.0.1:80".parse().expect("an address"),
            dc: "north".parse().expect("a name"),
            slots: 64,
            leaving: false,
            gone_in: None,
            state: WorkerState {
                orders: 0,
                ..self.state.clone()
            },
        }
    }

    fn accept(&mut self, now: Instant, order: &WorkerOrder) -> SequencedOutcome {
        if self.under_way.is_some() && order.task.adapter.is_none()
            || order.expect != self.state.orders
        {
            return SequencedOutcome::Conflict;
        }
        self.state.orders += 1;
        match (order.task.op, &order.task.adapter) {
            (OrderOp::Load, _) => {
                let held = self.state.models.len() as u64 + 1;
                assert!(
                    held * MODEL <= MEMORY,
                    "memory overcommitted on {}",
                    self.id
                );
            }
            (OrderOp::LoadAdapter, Some(adapter)) => self.load_adapter(order, adapter),
            (OrderOp::UnloadAdapter, Some(adapter)) => {
                for held in &mut self.state.models {
                    held.adapters.retain(|a| a != adapter);
                }
                return SequencedOutcome::Holds;
            }
            _ => {}
        }
        if order.task.adapter.is_none() {
            self.state.busy = true;
            self.under_way = Some((order.clone(), now + Micros::from_millis(700)));
        }
        SequencedOutcome::Accepted
    }

    fn load_adapter(&mut self, order: &WorkerOrder, adapter: &AdapterId) {
        assert!(
            self.state.adapters() < ADAPTER_SLOTS,
            "adapters overcommitted on {}",
            self.id
        );
        let held = self
            .state
            .models
            .iter_mut()
            .find(|m| m.id == order.task.model);
        if let Some(held) = held
            && let Err(at) = held.adapters.binary_search(adapter)
        {
            held.adapters.insert(at, adapter.clone());
        }
    }

    fn pass(&mut self, now: Instant) {
        while self.late.front().is_some_and(|(at, _)| *at <= now) {
            let (_, order) = self.late.pop_front().expect("just seen");
            self.accept(now, &order);
        }
        if self.under_way.as_ref().is_some_and(|(_, end)| *end <= now) {
            let (order, _) = self.under_way.take().expect("just seen");
            self.state.busy = false;
            let found = self
                .state
                .models
                .binary_search_by(|m| m.id.cmp(&order.task.model));
            match (order.task.op, found) {
                (OrderOp::Load, Err(at)) => {
                    let id = order.task.model;
                    let adapters = Vec::new();
                    self.state.models.insert(at, HeldModel { id, adapters });
                }
                (OrderOp::Unload, Ok(at)) => drop(self.state.models.remove(at)),
                _ => {}
            }
        }
    }
}

struct World {
    fleet: Fleet,
    workers: Vec<Worker>,
    now: Instant,
    rng: StdRng,
    /// Chance that an order gets no answer and is carried out late, or never.
    lost: f64,
    orders: Vec<(Instant, WorkerOrder)>,
    placed: Vec<(u64, Vec<BackendId>)>,
    store_loads: Vec<Instant>,
}

impl World {
    fn new(seed: u64, lost: f64) -> Self {
        let workers = vec![
            Worker::new("w1", &["m1", "m2", "m3"]),
            Worker::new("w2", &["m1", "m4"]),
            Worker::new("w3", &[]),
        ];
        let host = "h1".parse().expect("a name");
        let mut world = Self {
            fleet: Fleet::new(host, WINDOW),
            workers,
            now: Instant::from_micros(1_000_000),
            rng: StdRng::seed_from_u64(seed),
            lost,
            orders: Vec::new(),
            placed: Vec::new(),
            store_loads: Vec::new(),
        };
        world.step(FleetEvent::Services(services()));
        world.register();
        world
    }

    fn register(&mut self) {
        let all = self.workers.iter().map(Worker::registration).collect();
        self.step(FleetEvent::Registrations(all));
    }

    fn step(&mut self, ev: FleetEvent) {
        let mut todo = VecDeque::from([ev]);
        while let Some(ev) = todo.pop_front() {
            let mut out = Vec::new();
            self.fleet.step(self.now, ev, &mut out);
            todo.extend(out.into_iter().filter_map(|action| self.perform(action)));
        }
    }

    fn perform(&mut self, action: FleetAction) -> Option<FleetEvent> {
        match action {
            FleetAction::Reply(id, backends, _) => {
                self.placed.push((id, backends));
                None
            }
            FleetAction::FetchReport(server) => {
                let worker = self.workers.iter().find(|w| w.id == server.id)?;
                Some(FleetEvent::Report(server.id, Some(worker.state.clone())))
            }
            FleetAction::SendOrder(server, order) => {
                self.orders.push((self.now, order.clone()));
                let lost = self.rng.random::<f64>() < self.lost;
                let late = self.now + Micros::from_millis(self.rng.random_range(1_000..8_000));
                let now = self.now;
                let worker = self.workers.iter_mut().find(|w| w.id == server.id)?;
                let expect = order.expect;
                let outcome = if lost {
                    worker.late.push_back((late, order));
                    SequencedOutcome::Lost
                } else {
                    let loads = order.task.op == OrderOp::Load;
                    let outcome = worker.accept(now, &order);
                    if loads && outcome == SequencedOutcome::Accepted {
                        self.store_loads.push(now);
                    }
                    outcome
                };
                Some(FleetEvent::OrderResult {
                    worker: server.id,
                    expect,
                    outcome,
                })
            }
        }
    }

    fn pass(&mut self, millis: u64) {
        const STEP: u64 = 50;
        for _ in 0..millis / STEP {
            self.now = self.now + Micros::from_millis(STEP);
            for worker in &mut self.workers {
                worker.pass(self.now);
            }
            self.step(FleetEvent::Tick);
        }
    }

    fn needs(&mut self, needs: &[(&str, f64)]) {
        let needs = needs.iter().map(|(m, load)| (model(m), *load));
        let host = "h2".parse().expect("a name");
        self.step(FleetEvent::Demand(host, needs.collect()));
    }

    fn begin(&mut self, gap: Micros) {
        self.step(FleetEvent::AuthorityGained(Epoch::new(2), self.now + gap));
    }
}

/// Guards against two holders that give one worker orders within the gap.
#[test]
fn a_new_holder_gives_no_order_before_the_gap_is_over() {
    let mut world = World::new(1, 0.0);
    let began = world.now;
    world.begin(Micros::from_millis(3_500));

    for _ in 0..10 {
        world.needs(&[("m1", 1.5), ("m6", 0.4)]);
        world.pass(1_000);
    }

    let first = world.orders.first().expect("orders after the gap").0;
    assert!(first >= began + Micros::from_millis(3_500), "{first:?}");
}

/// Guards against orders of a host whose lease has ended.
#[test]
fn a_host_without_authority_gives_no_order() {
    let mut world = World::new(1, 0.0);
    world.begin(Micros::ZERO);
    world.step(FleetEvent::AuthorityLost);

    world.needs(&[("m6", 0.4)]);
    world.pass(5_000);

    assert!(world.orders.is_empty());
}

/// Guards against a rare model that nobody loads while its callers wait.
#[test]
fn a_wanted_model_is_placed_and_its_asker_told() {
    let mut world = World::new(1, 0.0);
    world.begin(Micros::ZERO);

    world.step(FleetEvent::PlacementRequested(9, want(model("m6"), None)));
    world.pass(3_000);

    let (id, backends) = world.placed.first().expect("an answer");
    assert_eq!((*id, backends.len()), (9, 1));
}

/// Guards against an adapter that displaces one that callers use.
#[test]
fn a_wanted_adapter_displaces_only_one_out_of_use() {
    let mut world = World::new(1, 0.0);
    world.begin(Micros::ZERO);
    let adapter = |name: &str| -> AdapterId { name.parse().expect("a name") };
    for (id, name) in [(1, "m4:a1"), (2, "m4:a2")] {
        world.step(FleetEvent::PlacementRequested(
            id,
            want(model("m4"), Some(adapter(name))),
        ));
        world.pass(500);
    }

    world.step(FleetEvent::PlacementRequested(
        3,
        want(model("m4"), Some(adapter("m4:a3"))),
    ));
    for _ in 0..12 {
        world.step(FleetEvent::AdaptersUsed(vec![adapter("m4:a1")]));
        world.pass(250);
    }

    let held = |w: &Worker| {
        w.state
            .models
            .iter()
            .flat_map(|m| m.adapters.clone())
            .collect()
    };
    let held: Vec<AdapterId> = world
        .workers
        .iter()
        .flat_map(|w| -> Vec<AdapterId> { held(w) })
        .collect();
    assert!(
        held.contains(&adapter("m4:a1")) && held.contains(&adapter("m4:a3")),
        "{held:?}"
    );
}

/// Replays demand that moves between models while orders are lost and carried out late; the worker
/// asserts that neither its memory nor its adapter slots are overcommitted.
#[test]
fn memory_holds_and_the_weight_store_is_not_overrun_while_orders_are_lost_and_late() {
    for seed in 0..60 {
        let mut world = World::new(seed, 0.3);
        world.begin(Micros::ZERO);
        for round in 0..30_u64 {
            let hot = format!("m{}", 1 + (round / 4) % 6);
            let rare = format!("m{}", 1 + world.rng.random_range(0..6));
            world.needs(&[(&hot, 1.2), (&rare, 0.05)]);
            let adapter = format!("{hot}:a{}", 1 + world.rng.random_range(0..4));
            let adapter = adapter.parse().expect("a name");
            world.step(FleetEvent::PlacementRequested(
                round,
                want(model(&hot), Some(adapter)),
            ));
            if round % 10 == 9 {
                let at = world.rng.random_range(0..3);
                world.workers[at].state = WorkerState {
                    incarnation: Incarnation::new(2 + round),
                    ..WorkerState::default()
                };
                world.workers[at].under_way = None;
                world.workers[at].late.clear();
                world.register();
            }
            world.pass(1_000);
        }

        let allowed = LOADS_PER_SECOND * WINDOW.as_secs_f64() * 1.1 + 3.0;
        for began in &world.store_loads {
            let within = world
                .store_loads
                .iter()
                .filter(|l| **l >= *began && l.since(*began) < WINDOW);
            assert!(within.count() as f64 <= allowed, "seed {seed}");
        }
    }
}

/// Replays an adapter whose only worker is overloaded: a host asks for it on an idle one as well.
#[test]
fn an_adapter_is_placed_on_a_second_worker_that_is_named() {
    let mut world = World::new(1, 0.0);
    world.begin(Micros::ZERO);
    let adapter: AdapterId = "m1:a1".parse().expect("a name");
    world.step(FleetEvent::PlacementRequested(
        1,
        want(model("m1"), Some(adapter.clone())),
    ));
    world.pass(500);
    let first = world.placed[0].1[0].clone();
    let other = ["w1", "w2"].map(|w| -> BackendId { w.parse().expect("a name") });
    let other = other
        .into_iter()
        .find(|w| *w != first)
        .expect("another holder of the model");

    let item = PlacementRequest {
        worker: Some(other.clone()),
        ..want(model("m1"), Some(adapter))
    };
    world.step(FleetEvent::PlacementRequested(2, item));
    world.pass(500);

    assert_eq!(world.placed.last(), Some(&(2, vec![other])));
}

/// Replays many missing models behind a fast weight store: loads one by one would leave callers
/// without their models for many seconds, although the store serves ten loads at once.
#[test]
fn as_many_loads_begin_at_once_as_the_weight_store_serves() {
    const FAST_STORE: f64 = 8.5;
    let mut world = World::new(1, 0.0);
    world.workers = (1..=8)
        .map(|at| Worker::new(&format!("w{at}"), &[]))
        .collect();
    let mut services = services();
    if let Some(engine) = &mut services[0].engine {
        engine.loads_per_second = FAST_STORE;
    }
    world.step(FleetEvent::Services(services));
    world.register();
    world.begin(Micros::ZERO);

    world.needs(&[
        ("m1", 0.1),
        ("m2", 0.1),
        ("m3", 0.1),
        ("m4", 0.1),
        ("m5", 0.1),
    ]);
    world.pass(600);

    assert!(world.store_loads.len() >= 5, "{:?}", world.store_loads);
}

/// Replays a slow weight store, which serves fewer than two loads at once: with as many loads allowed
/// as are left for waiting callers, a busy model never got a copy that no worker had at hand.
#[test]
fn a_busy_model_gets_another_copy_from_a_slow_weight_store() {
    let mut world = World::new(1, 0.0);
    world.begin(Micros::ZERO);
    let on_other_workers = |world: &World| {
        let held = |w: &&Worker| w.state.model(&model("m4")).is_some();
        world.workers.iter().filter(held).count()
    };
    let before = on_other_workers(&world);

    for _ in 0..4 {
        world.needs(&[("m4", 1.5)]);
        world.pass(1_000);
    }

    assert_eq!(before, 1);
    assert!(on_other_workers(&world) > 1);
}
