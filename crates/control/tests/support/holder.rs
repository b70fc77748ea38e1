//! Test support: state machine of a lease holder whose workers answer at once.
#![allow(
    dead_code,
    clippy::allow_attributes,
    reason = "each test target uses a part of this module"
)]

use config::{EngineSpec, ModelSpec, RoutedService};
use control::{Fleet, FleetAction, FleetEvent, PlacementRequest};
use orders::SequencedOutcome;
use types::{
    AdapterId, BackendId, Bytes, Epoch, Incarnation, Instant, Micros, ModelId, OrderOp,
    Registration, ServedModel, ServerNotice, WorkerState,
};

pub const GB: u64 = 1_000_000_000;

pub fn id(worker: &str) -> BackendId {
    worker.parse().expect("a name")
}

pub fn model(name: &str) -> ModelId {
    name.parse().expect("a name")
}

pub fn services() -> Vec<RoutedService> {
    let spec = |name: &str| ModelSpec {
        id: model(name),
        bytes: Bytes::new(70 * GB),
        load: Micros::from_millis(1_200),
        load_from_disk: Micros::from_millis(400),
        adapters: 0,
        adapter_bytes: Bytes::ZERO,
    };
    vec![RoutedService {
        name: "chat".parse().expect("a name"),
        connections: 100,
        engine: Some(EngineSpec {
            slots: 64,
            cache_tokens: 280_000,
            memory: Bytes::new(230 * GB),
            adapter_slots: 2,
            loads_per_second: 10.0,
            models: vec![spec("m1"), spec("m2")],
        }),
    }]
}

pub fn state(incarnation: u64, models: &[&str]) -> WorkerState {
    let held = models.iter().map(|m| ServedModel {
        id: model(m),
        adapters: Vec::new(),
    });
    WorkerState {
        incarnation: Incarnation::new(incarnation),
        models: held.collect(),
        ..WorkerState::default()
    }
}

pub fn registration(worker: &str, state: WorkerState) -> Registration {
    Registration {
        id: id(worker),
        service: "chat".parse().expect("a name"),
        addr: "10.0.0.1:80".parse().expect("an address"),
        dc: "north".parse().expect("a name"),
        slots: 64,
        leaving: false,
        terminates_in: None,
        state,
    }
}

/// State machine of a lease holder; its workers answer every call for a report with their first
/// state, unless they are silent, and accept every order without a later effect.
pub struct Holder {
    pub fleet: Fleet,
    pub now: Instant,
    pub workers: Vec<Registration>,
    /// Workers that got calls for reports.
    pub calls: Vec<BackendId>,
    /// Workers that got orders to load, and the models.
    pub loads: Vec<(BackendId, ModelId)>,
    /// Workers that got orders to load adapters.
    pub adapter_loads: Vec<BackendId>,
    pub replies: Vec<Vec<BackendId>>,
    /// Outcome of the orders.
    pub outcome: SequencedOutcome,
    /// Workers that do not respond.
    pub silent: Vec<BackendId>,
}

impl Holder {
    /// Creates a holder with a worker `w1` that holds `m1` and a worker `w2` that holds `m2`.
    pub fn new() -> Self {
        let host = "h1".parse().expect("a name");
        let mut holder = Self {
            fleet: Fleet::new(host, Micros::from_secs(5)),
            now: Instant::from_micros(1_000_000),
            workers: Vec::new(),
            calls: Vec::new(),
            loads: Vec::new(),
            adapter_loads: Vec::new(),
            replies: Vec::new(),
            outcome: SequencedOutcome::Accepted,
            silent: Vec::new(),
        };
        holder.step(FleetEvent::Services(services()));
        holder.register(&[("w1", state(1, &["m1"])), ("w2", state(1, &["m2"]))]);
        holder.step(FleetEvent::AuthorityGained(Epoch::new(1), holder.now));
        holder.advance(500);
        holder.forget();
        holder
    }

    pub fn register(&mut self, workers: &[(&str, WorkerState)]) {
        let all = workers.iter().map(|(w, s)| registration(w, s.clone()));
        self.workers = all.collect();
        self.step(FleetEvent::Registrations(self.workers.clone()));
    }

    pub fn announce(&mut self, worker: &str, incarnation: Option<u64>, notice: ServerNotice) {
        self.step(FleetEvent::Announced {
            worker: id(worker),
            incarnation: incarnation.map(Incarnation::new),
            notice,
        });
    }

    pub fn request(&mut self, name: &str) {
        self.request_item(name, None);
    }

    pub fn request_adapter(&mut self, name: &str, adapter: &str) {
        self.request_item(name, Some(adapter.parse().expect("a name")));
    }

    fn request_item(&mut self, name: &str, adapter: Option<AdapterId>) {
        let item = PlacementRequest {
            model: model(name),
            adapter,
            worker: None,
        };
        self.step(FleetEvent::PlacementRequested(1, item));
    }

    pub fn forget(&mut self) {
        self.calls.clear();
        self.loads.clear();
        self.adapter_loads.clear();
        self.replies.clear();
    }

    pub fn step(&mut self, event: FleetEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let mut actions = Vec::new();
            self.fleet.step(self.now, event, &mut actions);
            events.extend(actions.into_iter().filter_map(|a| self.perform(a)));
        }
    }

    pub fn perform(&mut self, action: FleetAction) -> Option<FleetEvent> {
        match action {
            FleetAction::Reply(_, backends, _) => {
                self.replies.push(backends);
                None
            }
            FleetAction::FetchReport(server) => {
                self.calls.push(server.id.clone());
                if self.silent.contains(&server.id) {
                    return Some(FleetEvent::Report(server.id, None));
                }
                let worker = self.workers.iter().find(|w| w.id == server.id)?;
                Some(FleetEvent::Report(server.id, Some(worker.state.clone())))
            }
            FleetAction::SendOrder(server, order) => {
                let is_silent = self.silent.contains(&server.id);
                match order.task.op {
                    OrderOp::Load => self.loads.push((server.id.clone(), order.task.model)),
                    OrderOp::LoadAdapter => self.adapter_loads.push(server.id.clone()),
                    OrderOp::Unload | OrderOp::UnloadAdapter => {}
                }
                Some(FleetEvent::OrderResult {
                    worker: server.id,
                    expect: order.expect,
                    outcome: if is_silent {
                        SequencedOutcome::Lost
                    } else {
                        self.outcome
                    },
                })
            }
        }
    }

    pub fn advance(&mut self, millis: u64) {
        const STEP: u64 = 50;
        for _ in 0..millis / STEP {
            self.now = self.now + Micros::from_millis(STEP);
            self.step(FleetEvent::Tick);
        }
    }

    pub fn loads_at(&self, worker: &str) -> usize {
        self.loads.iter().filter(|(w, _)| *w == id(worker)).count()
    }
}
